"""Opens connections to upstreams, and watches whether they can be reached at all.

An entry that has lost its links reaches the upstreams through another entry.
"""

import random
from collections.abc import Callable, Iterable
from typing import Self

import curio

from ..event_log import EventLog
from ..events import Event
from ..http_client import HttpClientConnection
from ..process.clock import now_s
from ..process.fleet import Fleet
from ..process.upstream_paths import UNREACHABLE_MIN, UpstreamPaths
from ..sockets import CONNECT_TIMEOUT_S, open_socket
from ..wire import Address
from .relay_client import RelayClient

WATCH_EVERY_S = 0.1
PROBE_TIMEOUT_S = 0.3
CLOSE_TIMEOUT_S = 0.05
# A connection that was given up after this time may never have been accepted.
SLOW_CONNECT_S = 0.1


class UpstreamConnector:
    """Connects to upstreams; ``list_addresses`` returns those that are registered.

    Without a ``relay_client``, upstreams are only reached directly.
    """

    def __init__(
        self,
        list_addresses: Callable[[], Iterable[Address]] = tuple,
        log: EventLog | None = None,
        rng: random.Random | None = None,
        relay_client: RelayClient | None = None,
    ):
        self.paths = UpstreamPaths()
        self._list_addresses = list_addresses
        self._log = log
        self._rng = rng or random.Random()
        self._relay_client = relay_client

    @classmethod
    def from_fleet(
        cls,
        fleet: Fleet,
        list_living_peers: Callable[[], Iterable[str]],
        seed: int | None,
        log: EventLog,
    ) -> Self:
        """Connect to the engines and services of a fleet, also through its entries."""
        rng = random.Random(seed)

        def upstream_addresses() -> list[Address]:
            kinds = ("engine", "service")
            return [item.address for kind in kinds for item in fleet.of_kind(kind)]

        def peer_addresses() -> list[Address]:
            living = set(list_living_peers())
            return [
                item.peer_address
                for item in fleet.of_kind("entry")
                if item.instance_id in living and item.peer_address is not None
            ]

        return cls(upstream_addresses, log, rng, RelayClient(peer_addresses, rng))

    async def connect(
        self, address: Address, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> HttpClientConnection:
        """Open a connection to an upstream; raises OSError."""
        if self._relay_client is not None and self.paths.needs_detour(address):
            return await self._connect_relayed(address)
        started_at_s = now_s()
        try:
            sock = await open_socket(address, timeout_s)
        except curio.CancelledError:
            if now_s() - started_at_s > SLOW_CONNECT_S:
                self.paths.record_failure()
            raise
        except OSError as exc:
            self.paths.record_failure()
            if not self._may_be_own_fault(address, exc, started_at_s):
                raise
            return await self._try_detour(address)
        self.paths.record_answer(address)
        return HttpClientConnection(address, sock)

    async def _try_detour(self, address: Address) -> HttpClientConnection:
        try:
            conn = await self._connect_relayed(address)
        except OSError:
            self.paths.record_no_detour(address)
            raise
        self.paths.record_detour(address)
        return conn

    def _may_be_own_fault(self, address: Address, exc: OSError, since_s: float) -> bool:
        """Whether another entry may reach an upstream that can't be reached from here.

        It is asked about refusals, which costs little time, but not again and again. A
        time-out is the upstream's own fault if others have answered meanwhile.
        """
        if self._relay_client is None or not self.paths.may_have_detour(address):
            return False
        if not isinstance(exc, TimeoutError):
            return True
        return not self.paths.has_answered_since(since_s)

    async def _connect_relayed(self, address: Address) -> HttpClientConnection:
        sock = await self._relay_client.open_socket(address)
        return HttpClientConnection(address, sock, is_relayed=True)

    async def is_down(self, address: Address) -> bool:
        """Whether an upstream accepts no connection, or closes it at once.

        A process that is about to exit may still accept a connection, but then closes
        it. Nothing is known of an upstream that no entry reaches.
        """
        try:
            conn = await self.connect(address, PROBE_TIMEOUT_S)
        except ConnectionRefusedError:
            return True
        except OSError:
            return not self.paths.is_cut_off
        async with conn:
            try:
                async with curio.timeout_after(CLOSE_TIMEOUT_S):
                    await conn.sock.recv(1)
            except curio.TaskTimeout:
                return False
            except OSError:
                return True
        return True

    def known_addresses(self) -> set[Address]:
        """Return the addresses of the registered upstreams."""
        return set(self._list_addresses())

    def is_usable(self, conn: HttpClientConnection) -> bool:
        """Whether an idle connection takes the way that a new one would take."""
        return conn.is_relayed == self.paths.needs_detour(conn.address)

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
