"""Pool of idle upstream connections."""

from collections import defaultdict

from ..http_client import HttpClientConnection
from ..process.clock import now_s
from ..sockets import CONNECT_TIMEOUT_S
from ..wire import Address
from .upstream_connector import UpstreamConnector

IDLE_MAX_S = 20.0
IDLE_PER_UPSTREAM = 64
KEEP_ALIVE_USED_RATIO = 0.7
SWEEP_EVERY_S = 1.0


class UpstreamPool:
    """Connections to upstreams, each of which serves one request at a time."""

    def __init__(self, connector: UpstreamConnector | None = None):
        self.connector = connector or UpstreamConnector()
        self._idle: dict[Address, list[tuple[HttpClientConnection, float]]] = (
            defaultdict(list)
        )
        self._swept_at_s = now_s()

    async def acquire(
        self,
        address: Address,
        *,
        fresh: bool,
        timeout_s: float = CONNECT_TIMEOUT_S,
        request_id: str = "",
    ) -> HttpClientConnection:
        """Return an idle connection or open one; raises OSError.

        With ``fresh``, always opens a new connection. A connection on which
        ``request_id`` was sent before isn't used: an answer that is sent once more
        couldn't be told from the one to the new request. A new connection replaces one
        of these, so that a caller that repeats an id doesn't fill the pool.
        """
        idle = self._idle[address]
        skipped = []
        found = None
        while idle and not fresh and found is None:
            conn, expires_at_s = idle.pop()
            if (
                now_s() >= expires_at_s
                or not self.connector.is_usable(conn)
                or conn.has_unexpected_input()
            ):
                await conn.close()
            elif request_id and request_id in conn.request_ids:
                skipped.append((conn, expires_at_s))
            else:
                found = conn
        if found is None and skipped:
            conn, _expires_at_s = skipped.pop()
            await conn.close()
        idle.extend(reversed(skipped))
        return found or await self.connector.connect(address, timeout_s)

    async def release(
        self, conn: HttpClientConnection, keep_alive_s: float | None = None
    ) -> None:
        """Return a connection to the pool; close it if it can't be reused.

        ``keep_alive_s`` is the idle time after which the upstream closes it, None if
        unknown. Only KEEP_ALIVE_USED_RATIO of that time is used.
        """
        idle = self._idle[conn.address]
        idle_s = (
            IDLE_MAX_S
            if keep_alive_s is None
            else min(IDLE_MAX_S, keep_alive_s * KEEP_ALIVE_USED_RATIO)
        )
        if len(idle) < IDLE_PER_UPSTREAM and idle_s > 0 and conn.start_next_cycle():
            idle.append((conn, now_s() + idle_s))
        else:
            await conn.close()
        if now_s() - self._swept_at_s >= SWEEP_EVERY_S:
            self._swept_at_s = now_s()
            await self._sweep()

    async def _sweep(self) -> None:
        """Close expired idle connections, and those on which anything has arrived.

        An upstream that sends without end would otherwise fill the socket's buffer.
        """
        expired = []
        for idle in self._idle.values():
            kept, now = [], now_s()
            for conn, expires_at_s in idle:
                if now >= expires_at_s or conn.has_unexpected_input():
                    expired.append(conn)
                else:
                    kept.append((conn, expires_at_s))
            idle[:] = kept
        for conn in expired:
            await conn.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn, _expires_at_s in idle:
                await conn.close()
        self._idle.clear()
