"""Opens connections to upstreams, and watches whether they can be reached at all."""

import random
from collections.abc import Callable, Iterable

import curio

from ..events import Event, EventLog
from ..http_client import HttpClientConnection
from ..process.clock import now_s
from ..process.upstream_paths import UNREACHABLE_MIN, UpstreamPaths
from ..sockets import CONNECT_TIMEOUT_S, open_socket
from ..wire import Address

WATCH_EVERY_S = 0.1
PROBE_TIMEOUT_S = 0.3


class UpstreamConnector:
    """Connects to upstreams; ``list_addresses`` returns those that are registered."""

    def __init__(
        self,
        list_addresses: Callable[[], Iterable[Address]] = tuple,
        log: EventLog | None = None,
        rng: random.Random | None = None,
    ):
        self.paths = UpstreamPaths()
        self._list_addresses = list_addresses
        self._log = log
        self._rng = rng or random.Random()

    async def connect(
        self, address: Address, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> HttpClientConnection:
        """Open a connection to an upstream; raises OSError."""
        try:
            conn = await HttpClientConnection.connect(address, timeout_s)
        except OSError:
            self.paths.record_failure()
            raise
        self.paths.record_answer(address)
        return conn

    async def run(self) -> None:
        """Watch the links to the upstreams, forever."""
        while True:
            if self.paths.needs_probe():
                await self._probe()
            await curio.sleep(WATCH_EVERY_S)

    async def _probe(self) -> None:
        """Try some upstreams, one first, and judge by whether any can be reached."""
        since_s = now_s()
        self.paths.begin_probe()
        known = list(dict.fromkeys(self._list_addresses()))
        chosen = self._rng.sample(known, min(len(known), UNREACHABLE_MIN))
        for batch in (chosen[:1], chosen[1:]):
            if self.paths.has_answered_since(since_s):
                break
            async with curio.TaskGroup() as group:
                for address in batch:
                    await group.spawn(self._try, address)
        if known and self.paths.conclude_probe(since_s, len(chosen), len(known)):
            self._log_verdict(len(known))

    async def _try(self, address: Address) -> None:
        try:
            sock = await open_socket(address, PROBE_TIMEOUT_S)
        except OSError:
            return
        await sock.close()
        self.paths.record_answer(address)

    def _log_verdict(self, known: int) -> None:
        event = Event.UPSTREAMS_LOST if self.paths.is_cut_off else Event.UPSTREAMS_FOUND
        self._log.write(event, upstreams=known)
