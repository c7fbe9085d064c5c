"""News for the neighbours of this entry, sent at once beside the heartbeats.

Load pattern: two entries place long prompts on the same engine within a heartbeat,
since neither knows of the other's. Also crashes of upstreams, after which a request may
come again at another entry.
"""

from collections.abc import Callable

import curio

from ..errors import WisteriaError
from ..events import Event, EventLog
from ..process.clock import now_s
from ..process.digest import PeerDigest
from ..process.store import Instance
from .codec import MessageKind
from .peer import PeerConnection

NEWS_GAP_S = 0.005
SEND_TIMEOUT_S = 0.25
# Peers end connections on which nothing came for 2 s or more.
IDLE_MAX_S = 1.0


class PeerNews:
    """Sends the same digest to all neighbours, each by a task of its own."""

    def __init__(self, compose: Callable[[], PeerDigest], log: EventLog):
        self._compose = compose
        self._log = log
        self._waiting: dict[Instance, curio.Event] = {}

    async def announce(self) -> None:
        """Have each neighbour told what is known now."""
        for event in self._waiting.values():
            await event.set()

    async def follow(self, peer: Instance) -> None:
        """Tell one neighbour whatever is announced, until cancelled."""
        event = self._waiting[peer] = curio.Event()
        channel = NewsChannel(peer)
        lost = False
        try:
            while True:
                await event.wait()
                event.clear()
                error = await channel.tell(self._compose())
                if error and not lost:
                    self._log.write(
                        Event.PEER_NOT_TOLD, peer=peer.instance_id, error=error
                    )
                lost = bool(error)
                await curio.sleep(NEWS_GAP_S)
        finally:
            self._waiting.pop(peer, None)
            await channel.close()


class NewsChannel:
    """Connection on which one peer is told news; opened as needed."""

    def __init__(self, peer: Instance):
        self._peer = peer
        self._conn: PeerConnection | None = None
        self._used_at_s = 0.0

    async def tell(self, digest: PeerDigest) -> str:
        """Send a digest; returns what went wrong, or an empty string."""
        try:
            async with curio.timeout_after(SEND_TIMEOUT_S):
                conn = await self._open()
                await conn.send(MessageKind.NEWS, digest)
        except (OSError, WisteriaError, curio.TaskTimeout) as exc:
            await self.close()
            return str(exc) or type(exc).__name__
        self._used_at_s = now_s()
        return ""

    async def _open(self) -> PeerConnection:
        if self._conn is not None and now_s() - self._used_at_s > IDLE_MAX_S:
            await self.close()
        if self._conn is None:
            self._conn = await PeerConnection.connect(self._peer.peer_address)
        return self._conn

    async def close(self) -> None:
        """Close the connection, if there is one."""
        conn, self._conn = self._conn, None
        if conn is not None:
            await conn.close()
