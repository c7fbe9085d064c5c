"""Server for caller connections, with graceful shutdown."""

import contextlib
from collections.abc import Callable
from typing import Any

import curio
from curio.io import Socket

from ..events import Event, EventLog
from ..process.supervision import run_supervised
from ..sockets import accept_client
from .caller_connection import CallerConnection
from .handshake_filter import drop_new_handshakes

CLOSE_POLL_EVERY_S = 0.05
HANDSHAKE_TIMEOUT_S = 0.1


class CallerServer:
    """Accepts callers on a listening socket and serves each in its own task."""

    def __init__(self, new_connection: Callable[..., CallerConnection], log: EventLog):
        self._new_connection = new_connection
        self._log = log
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
        """Stop listening; callers that have already connected still get an answer.

        Closing a listening socket resets the connections in its accept queue.
        Therefore new handshakes are dropped first, those in progress are given
        HANDSHAKE_TIMEOUT_S to complete, and the queue is emptied before the socket is
        closed.
        """
        await self._accept_task.cancel()
        sock = self._sock
        try:
            drop_new_handshakes(sock)
        except OSError as exc:
            self._log.write(Event.HANDSHAKE_FILTER_FAILED, error=str(exc))
        await self._accept_queued(sock)
        await curio.sleep(HANDSHAKE_TIMEOUT_S)
        await self._accept_queued(sock)
        await sock.close()
        await self.close_connections()

    async def _accept_queued(self, sock) -> None:
        """Accept all queued connections without yielding to other tasks.

        More connections could be queued while other tasks run.
        """
        with contextlib.suppress(BlockingIOError):
            while True:
                client, _address = sock._socket.accept()
                await self._start(Socket(client))

    async def _accept(self) -> None:
        while True:
            await self._start(await accept_client(self._sock, self._log))

    async def _start(self, client) -> None:
        conn = self._new_connection(client)
        self._connections.add(conn)
        await curio.spawn(self._serve, conn, client, daemon=True)

    async def _serve(self, conn: CallerConnection, client) -> None:
        try:
            async with client:
                await conn.serve()
        finally:
            self._connections.discard(conn)
