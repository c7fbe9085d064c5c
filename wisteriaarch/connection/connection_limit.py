"""Limit on the number of connections that a server holds open."""

import contextlib
from collections.abc import Callable
from typing import Any

import curio

from ..client_socket import ClientSocket
from ..process.clock import now_s
from ..process.limit_reports import ClientLimit, LimitReports
from ..process.settings_models import LimitSettings
from ..sockets import limit_unsent, stop_transfer, unread_for_s

# Most clients send their request right after they connect and take this for its
# answer. It is not certain to arrive: unread input resets the connection.
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nX-Ran: no\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
UNREAD_WHEN_FULL_S = 0.5
# 0.3 s in total; the task of a reset connection notices it within HANGUP_POLL_S.
CLOSE_POLL_EVERY_S = 0.005
CLOSE_POLLS = 60


def bounded_socket(
    sock: Any, limits: LimitSettings, on_limit: Callable[[ClientLimit], None]
) -> ClientSocket:
    """Return the client of an accepted connection under the settings' limits."""
    limit_unsent(sock, limits.unsent_bytes)
    return ClientSocket(sock, limits.pipelined_bytes, limits.write_timeout_s, on_limit)


class ConnectionLimit:
    """Counts the open connections of one server.

    Above the limit, the connection whose answer has been unread for longest is reset
    if that is ``unread_s`` or more. Otherwise the new one is accepted and closed at
    once, since clients that wait in the queue of the socket would learn nothing.
    """

    def __init__(
        self,
        maximum: int,
        server: str,
        reports: LimitReports,
        unread_s: float = UNREAD_WHEN_FULL_S,
    ):
        self.maximum = maximum
        self._server = server
        self._reports = reports
        self._unread_s = unread_s
        self._open: set[Any] = set()
        self._reset: set[Any] = set()
        self._next_search_at_s = 0.0

    def report(self, limit: ClientLimit, **fields: str) -> None:
        """Record that a limit took effect at this server."""
        self._reports.report(limit, server=self._server, **fields)

    async def admit(self, client: Any) -> bool:
        """Count a new connection, or else refuse and close it."""
        if len(self._open) >= self.maximum:
            # A cancellation in between would lose a client that was accepted.
            async with curio.disable_cancellation():
                await self._make_room()
        if len(self._open) < self.maximum:
            self._open.add(client)
            return True
        self.report(ClientLimit.CONNECTIONS)
        with contextlib.suppress(OSError):
            client._socket.send(REFUSAL)
        await client.close()
        # The caller accepts the next client without waiting if there is one.
        await curio.sleep(0)
        return False

    def release(self, client: Any) -> None:
        """Count an admitted connection as closed."""
        self._open.discard(client)
        self._reset.discard(client)

    async def _make_room(self) -> None:
        """Reset the connection unread for longest, and wait until it is closed.

        The wait keeps the number of descriptors within the limit.
        """
        client = self._find_unread()
        if client is None:
            return
        self.report(ClientLimit.UNREAD_WHEN_FULL)
        self._reset.add(client)
        stop_transfer(client)
        for _ in range(CLOSE_POLLS):
            await curio.sleep(CLOSE_POLL_EVERY_S)
            if len(self._open) < self.maximum:
                return

    def _find_unread(self) -> Any | None:
        now = now_s()
        if now < self._next_search_at_s:
            return None
        unread = {client: unread_for_s(client) for client in self._open - self._reset}
        client = max(unread, key=unread.__getitem__, default=None)
        longest_s = unread.get(client, 0.0)
        if longest_s >= self._unread_s:
            return client
        # A search takes about 3 us for each connection, so none is made before one of
        # them can have been unread for that long.
        self._next_search_at_s = now + self._unread_s - longest_s
        return None
