"""Pool of idle upstream connections."""

from collections import defaultdict

from ..http_client import HttpClientConnection
from ..process.clock import now_s
from ..sockets import CONNECT_TIMEOUT_S
from ..wire import Address

IDLE_MAX_S = 20.0
IDLE_PER_UPSTREAM = 64
KEPT_SHARE = 0.7


class UpstreamPool:
    """Connections to upstreams, each of which serves one request at a time."""

    def __init__(self):
        self._idle: dict[Address, list[tuple[HttpClientConnection, float]]] = (
            defaultdict(list)
        )

    async def acquire(
        self,
        address: Address,
        *,
        fresh: bool,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> HttpClientConnection:
        """Return an idle connection or open one; raises OSError.

        With ``fresh``, always opens a new connection.
        """
        idle = self._idle[address]
        while idle and not fresh:
            conn, until_s = idle.pop()
            if now_s() < until_s and not conn.has_input():
                return conn
            await conn.close()
        return await HttpClientConnection.connect(address, timeout_s)

    async def release(
        self, conn: HttpClientConnection, keep_s: float | None = None
    ) -> None:
        """Return a connection to the pool; close it if it can't be reused.

        ``keep_s`` is the idle time after which the upstream closes the connection; None
        if the upstream doesn't report it. Only KEPT_SHARE of that time is used.
        """
        idle = self._idle[conn.address]
        kept_s = IDLE_MAX_S if keep_s is None else min(IDLE_MAX_S, keep_s * KEPT_SHARE)
        if len(idle) < IDLE_PER_UPSTREAM and kept_s > 0 and conn.reuse():
            idle.append((conn, now_s() + kept_s))
        else:
            await conn.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn, _until_s in idle:
                await conn.close()
        self._idle.clear()
