"""Server for caller connections, with graceful shutdown."""

from collections.abc import Callable
from typing import Any

import curio
from curio.io import Socket

from ..event_log import EventLog
from ..events import Event
from ..process.supervision import run_step, run_supervised
from ..sockets import accept_client
from .caller_connection import CallerConnection
from .connection_limit import ConnectionLimit
from .handshake_filter import drop_new_handshakes

CLOSE_POLL_EVERY_S = 0.05
HANDSHAKE_TIMEOUT_S = 0.1


class CallerServer:
    """Accepts callers on a listening socket and serves each in its own task."""

    def __init__(
        self,
        new_connection: Callable[..., CallerConnection],
        log: EventLog,
        limit: ConnectionLimit | None = None,
    ):
        self._new_connection = new_connection
        self._log = log
        self._limit = limit
        self._connections: set[CallerConnection] = set()
        self._sock: Any = None
        self._accept_task: curio.Task | None = None

    async def start(self, sock: Any) -> None:
        """Accept callers on a socket until ``stop``."""
        self._sock = sock
        self._accept_task = await curio.spawn(run_supervised, self._accept, self._log)

    @property
    def open_connections(self) -> int:
        """Number of connections that are open, idle ones included."""
        return len(self._connections)

    async def close_connections(self) -> None:
        """Close the currently open connections and wait until they are closed.

        A connection closes after its current request is answered. Callers that connect
        in the meantime are still served.
        """
        remaining = set(self._connections)
        while remaining := remaining & self._connections:
            for conn in remaining:
                await conn.close_when_idle()
            await curio.sleep(CLOSE_POLL_EVERY_S)

    async def stop(self) -> None:
        """Stop listening; callers that have already connected still get an answer."""
        await run_step(self._stop_listening, self._log)
        await self.close_connections()

    async def end_requests(self, timeout_s: float) -> None:
        """Stop listening and end the requests that are still open with an error.

        Returns once all connections are closed, at the latest after ``timeout_s``.
        """
        async with curio.ignore_after(timeout_s):
            for conn in tuple(self._connections):
                await conn.end_request()
            await self.stop()

    async def _stop_listening(self) -> None:
        """Close the listening socket; does nothing if it is closed.

        Closing a listening socket resets the connections in its accept queue.
        Therefore new handshakes are dropped first, those in progress are given
        HANDSHAKE_TIMEOUT_S to complete, and the queue is emptied before the socket is
        closed.
        """
        if self._sock is None:
            return
        sock, self._sock = self._sock, None
        await self._accept_task.cancel()
        try:
            drop_new_handshakes(sock)
        except OSError as exc:
            self._log.write(Event.HANDSHAKE_FILTER_FAILED, error=str(exc))
        try:
            await self._accept_queued(sock)
            await curio.sleep(HANDSHAKE_TIMEOUT_S)
            await self._accept_queued(sock)
        finally:
            await sock.close()

    async def _accept_queued(self, sock) -> None:
        """Accept all queued connections without yielding to other tasks.

        More connections could be queued while other tasks run.
        """
        try:
            while True:
                client, _address = sock._socket.accept()
                await self._start(Socket(client))
        except BlockingIOError:
            return
        except OSError as exc:
            self._log.write(Event.ACCEPT_FAILED, error=str(exc))

    async def _accept(self) -> None:
        sock = self._sock
        while True:
            await self._start(await accept_client(sock, self._log))

    async def _start(self, client) -> None:
        if self._limit and not await self._limit.admit(client):
            return
        conn = self._new_connection(client)
        self._connections.add(conn)
        await curio.spawn(self._serve, conn, client, daemon=True)

    async def _serve(self, conn: CallerConnection, client) -> None:
        try:
            async with client:
                await conn.serve()
        finally:
            self._connections.discard(conn)
            if self._limit:
                self._limit.release(client)
