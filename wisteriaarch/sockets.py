"""Opening of TCP connections and listening sockets."""

import errno
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from curio import socket

from .errors import ConfigError
from .events import Event, EventLog
from .wire import Address

CONNECT_TIMEOUT_S = 1.0
BACKLOG = 512
ACCEPT_PAUSE_S = 0.05
# Errors of one client, or of a moment without descriptors or memory.
PASSING_ACCEPT_ERRORS = frozenset(
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
    """Return a listening curio socket; ``field`` is the setting that names ``address``.

    Raises ConfigError when the address can't be listened on.
    """
    try:
        return curio.tcp_server_socket(address.host, address.port, backlog=BACKLOG)
    except OSError as exc:
        raise ConfigError(
            f"field '{field}': got '{address}'; expected a free address of this "
            f"machine ({exc.strerror})"
        ) from exc


async def accept_client(sock: Any, log: EventLog) -> Any:
    """Return the socket of the next client; waits while none can be accepted.

    Load pattern: a return of all callers takes the last descriptors. Clients that are
    connected stay, and others are accepted as soon as some have gone.
    """
    while True:
        try:
            client, _address = await sock.accept()
            return client
        except OSError as exc:
            if exc.errno not in PASSING_ACCEPT_ERRORS:
                raise
            log.write(Event.CLIENT_NOT_ACCEPTED, error=str(exc))
        await curio.sleep(ACCEPT_PAUSE_S)


async def serve_clients(
    sock: Any, serve_client: Callable[[Any], Awaitable], log: EventLog
) -> None:
    """Run ``serve_client`` in a task for each client that connects, until cancelled.

    The tasks are then cancelled as well, and the listening socket is closed. In curio's
    own server a client that is accepted while the server is cancelled is waited for.
    """
    tasks: set[curio.Task] = set()

    async def serve(client) -> None:
        try:
            async with client:
                await serve_client(client)
        finally:
            tasks.discard(await curio.current_task())

    try:
        async with sock:
            while True:
                client = await accept_client(sock, log)
                tasks.add(await curio.spawn(serve, client, daemon=True))
    finally:
        for task in tuple(tasks):
            await task.cancel()


async def open_socket(address: Address, timeout_s: float = CONNECT_TIMEOUT_S) -> Any:
    """Return a connected curio socket; raises OSError when it can't be opened in time.

    Small writes are sent at once.
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
