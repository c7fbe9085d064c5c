"""TCP connections and listening sockets."""

import contextlib
import errno
import struct
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import curio
from curio import socket

from .errors import ConfigError
from .event_log import EventLog
from .events import Event
from .wire import Address

CONNECT_TIMEOUT_S = 1.0
BACKLOG = 512
# struct linger: on, for 0 s.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ACCEPT_RETRY_DELAY_S = 0.05
# Linux's struct tcp_info up to tcpi_notsent_bytes: eight bytes, then 24 fields of four
# bytes, four of eight (rates and byte counts) and three of four.
TCP_INFO = struct.Struct("=8x24I4Q3I")
LAST_DATA_SENT_MS = 9
UNSENT_BYTES = 30
# Errors of a single connection, or a temporary lack of descriptors or memory.
TRANSIENT_ACCEPT_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPROTO,
    )
)


def listen_on(field: str, address: Address) -> Any:
    """Return a listening curio socket; ``field`` is the setting of ``address``.

    Raises ConfigError if the address can't be bound.
    """
    try:
        return curio.tcp_server_socket(address.host, address.port, backlog=BACKLOG)
    except OSError as exc:
        raise ConfigError(
            f"field '{field}': got '{address}'; expected a free address of this "
            f"machine ({exc.strerror})"
        ) from exc


async def accept_client(sock: Any, log: EventLog) -> Any:
    """Return the socket of the next client; retries after a transient error.

    When all callers reconnect at once, the process can run out of descriptors.
    Connected clients are still served; others are accepted once descriptors are free.
    """
    while True:
        try:
            client, _address = await sock.accept()
            return client
        except OSError as exc:
            if exc.errno not in TRANSIENT_ACCEPT_ERRORS:
                raise
            log.write(Event.ACCEPT_FAILED, error=str(exc))
        await curio.sleep(ACCEPT_RETRY_DELAY_S)


class ConnectionAdmission(Protocol):
    """Limit on the number of open connections."""

    async def admit(self, client: Any) -> bool:
        """Count a new connection, or else refuse and close it."""

    def release(self, client: Any) -> None:
        """Count an admitted connection as closed."""


async def serve_clients(
    sock: Any,
    serve_client: Callable[[Any], Awaitable],
    log: EventLog,
    admission: ConnectionAdmission | None = None,
) -> None:
    """Run ``serve_client`` in a task for each client that connects, until cancelled.

    Only clients that ``admission`` admits are served. It is asked before the next one
    is accepted, so that a burst of connections doesn't exceed the limit meanwhile.

    Cancellation also cancels the tasks and closes the listening socket. curio's own
    server instead waits for a client that is accepted during the cancellation.
    """
    tasks: set[curio.Task] = set()

    async def serve(client) -> None:
        try:
            async with client:
                await serve_client(client)
        finally:
            tasks.discard(await curio.current_task())
            if admission:
                admission.release(client)

    try:
        async with sock:
            while True:
                client = await accept_client(sock, log)
                if admission is None or await admission.admit(client):
                    tasks.add(await curio.spawn(serve, client, daemon=True))
    finally:
        for task in tuple(tasks):
            await task.cancel()


def stop_reading(sock: Any) -> None:
    """Make a pending read of a curio socket return, and its close reset the connection.

    A peer that still sends would otherwise learn of the close only after a time.
    """
    _shut_down(sock, socket.SHUT_RD)


def stop_transfer(sock: Any) -> None:
    """As ``stop_reading``, and make a pending write fail."""
    _shut_down(sock, socket.SHUT_RDWR)


def _shut_down(sock: Any, how: int) -> None:
    reset_on_close(sock)
    with contextlib.suppress(OSError), sock.blocking() as raw:
        raw.shutdown(how)


def reset_on_close(sock: Any) -> None:
    """Make the close of a curio socket reset the connection and drop unsent bytes."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def limit_unsent(sock: Any, size: int) -> None:
    """Make writes wait while the kernel holds ``size`` bytes that it hasn't sent.

    The send buffer else grows to megabytes before a client that doesn't read is seen.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, size)


def unread_for_s(sock: Any) -> float:
    """Return for how long the peer has taken nothing of what waits to be sent to it.

    0 if nothing waits to be sent. The kernel is asked, since it still sends to a slow
    reader between the writes.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
        fields = TCP_INFO.unpack(info)
    except (OSError, struct.error):
        return 0.0
    return fields[LAST_DATA_SENT_MS] / 1000 if fields[UNSENT_BYTES] else 0.0


async def open_socket(address: Address, timeout_s: float = CONNECT_TIMEOUT_S) -> Any:
    """Return a connected curio socket; raises OSError on failure or time-out.

    Nagle's algorithm is disabled, so that small writes are sent without delay.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        async with curio.timeout_after(timeout_s):
            await sock.connect((address.host, address.port))
    except curio.TaskTimeout as exc:
        await sock.close()
        raise TimeoutError(f"connecting to {address} took too long") from exc
    except BaseException:
        await sock.close()
        raise
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
