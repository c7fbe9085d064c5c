"""Limit on the number of connections that a server holds open."""

import contextlib
from collections.abc import Callable
from typing import Any

import curio

from ..client_socket import ClientSocket
from ..process.limit_reports import ClientLimit, LimitReports
from ..process.settings_models import LimitSettings
from ..sockets import limit_unsent

# Most clients send their request right after they connect and take this for its
# answer. It is not certain to arrive: unread input resets the connection.
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nX-Ran: no\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


def bounded_socket(
    sock: Any, limits: LimitSettings, on_limit: Callable[[ClientLimit], None]
) -> ClientSocket:
    """Return the client of an accepted connection under the settings' limits."""
    limit_unsent(sock, limits.unsent_bytes)
    return ClientSocket(sock, limits.pipelined_bytes, limits.write_timeout_s, on_limit)


class ConnectionLimit:
    """Counts the open connections of one server.

    Connections above the limit are accepted and closed at once, since clients that
    wait in the queue of the socket would learn nothing.
    """

    def __init__(self, maximum: int, server: str, reports: LimitReports):
        self.maximum = maximum
        self._server = server
        self._reports = reports
        self._open = 0

    def report(self, limit: ClientLimit, **fields: str) -> None:
        """Record that a limit took effect at this server."""
        self._reports.report(limit, server=self._server, **fields)

    async def admit(self, client: Any) -> bool:
        """Count a new connection, or else refuse and close it."""
        if self._open < self.maximum:
            self._open += 1
            return True
        self.report(ClientLimit.CONNECTIONS)
        with contextlib.suppress(OSError):
            client._socket.send(REFUSAL)
        await client.close()
        # The caller accepts the next client without waiting if there is one.
        await curio.sleep(0)
        return False

    def release(self) -> None:
        """Count an admitted connection as closed."""
        self._open -= 1
