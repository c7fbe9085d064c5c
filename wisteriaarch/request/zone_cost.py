"""Decides by marginal cost whether a call leaves the zone of its entry.

The servers of a zone are sometimes too few for its callers: demand comes in waves of
15 s with other phases in other zones, and some zones have no server of a service.
Traffic between zones takes longer and is charged by the byte. All costs are in seconds
of a caller's waiting:

- staying costs the expected wait, and what the call takes from callers of the zone;
- leaving costs the transfer (delay and price of the bytes), the expected wait in the
  other zone, and what the call takes from its callers.

What a call takes from a zone's callers follows from their own demand, which doesn't
depend on what is sent there. Together with the calls in flight, which count from their
placement on, this keeps decisions steady although ends are known late.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ..process.clock import now_s
from ..process.gateway_settings import MS_PER_S, ZoneTransferSettings
from ..process.stage_utilization import DECAY_S, DecayingSum
from ..process.transfer_sizes import TransferSizes
from ..process.upstreams import Upstream
from .candidate import Candidate
from .routed_call import RoutedCall

BYTES_PER_GB = 1e9
# Bound on the demand of a zone relative to its capacity: beyond it the wait shows in
# the calls in flight and in the queue.
DEMAND_SHARE_MAX = 0.95
# A request and its answer cross from zone to zone.
CROSSINGS = 2


@dataclass(frozen=True)
class TransferPrice:
    """Price of traffic between zones, and the value of a second of a caller's time.

    ``price_per_gb`` and ``value_per_s`` have the same unit. ``kv_bytes_per_token`` is
    the size of a KV cache.
    """

    delay_s: float
    price_per_gb: float
    value_per_s: float
    kv_bytes_per_token: int = 0

    @classmethod
    def from_config(cls, cfg: ZoneTransferSettings | None) -> "TransferPrice | None":
        """Return the price that the settings state; None if they state none."""
        if cfg is None:
            return None
        return cls(
            cfg.delay_ms / MS_PER_S,
            cfg.price_per_gb,
            cfg.value_per_s,
            cfg.kv_bytes_per_token,
        )

    def transfer_s(self, size: float) -> float:
        """Return the cost of a request and its answer of ``size`` bytes together."""
        return CROSSINGS * self.delay_s + self.bytes_s(size)

    def bytes_s(self, size: float) -> float:
        """Return the price of bytes, in seconds of a caller's time."""
        return size / BYTES_PER_GB * self.price_per_gb / self.value_per_s


@dataclass
class ZoneLoad:
    """Load of one zone's upstreams of a service, for a call of ``work_s`` seconds.

    ``capacity`` is their work in seconds a second, ``free_slots`` the number of
    calls that can begin at once, ``excess_s`` the work placed beyond the slots,
    ``waiting_s`` that of the zone's waiting calls, ``demand`` the work that the zone's
    callers ask for, in seconds a second.
    """

    work_s: float
    capacity: float = 0.0
    free_slots: float = 0.0
    excess_s: float = 0.0
    waiting_s: float = 0.0
    demand: float = 0.0

    @property
    def wait_s(self) -> float:
        """Expected wait of a call that is sent there now, and of those that wait.

        A call that takes a free slot before the zone's waiting calls delays all of
        these together by as much as it would wait behind them.
        """
        work_s = self.waiting_s
        if self.free_slots < 1:
            work_s += self.excess_s + (1 - self.free_slots) * self.work_s
        return work_s / max(self.capacity, 1e-9)

    @property
    def demand_share(self) -> float:
        """Demand of the zone's callers relative to the capacity there."""
        return min(DEMAND_SHARE_MAX, self.demand / max(self.capacity, 1e-9))

    @property
    def delay_of_others_s(self) -> float:
        """Wait that a call adds for others if all slots are in use while it runs.

        It delays each call that comes until a slot is idle again.
        """
        return self.work_s / max(self.capacity, 1e-9) / (1 - self.demand_share)

    @property
    def shortage_chance(self) -> float:
        """Chance that the zone's callers need the slot while the call runs."""
        return self.demand_share ** max(0.0, self.free_slots)

    @property
    def crowding_s(self) -> float:
        """Cost of a call to the zone's callers."""
        return self.shortage_chance * self.delay_of_others_s


@dataclass(frozen=True)
class TransferCost:
    """Cost of sending one call to an upstream, by the upstream's zone.

    ``zone_costs_s`` is the expected wait plus the cost to other callers, by zone; 0 for
    a zone that isn't listed. ``transfer_s`` is added for an upstream outside ``zone``,
    the zone of the call's entry, and ``crossing_s`` for one outside ``source_zone``,
    the zone of the engine that has prefilled the prompt, if there is one.
    """

    zone: str
    transfer_s: float
    zone_costs_s: Mapping[str, float] = field(default_factory=dict)
    source_zone: str = ""
    crossing_s: float = 0.0

    def of(self, upstream: Upstream) -> float:
        """Return the cost in seconds."""
        cost_s = self.zone_costs_s.get(upstream.zone, 0.0)
        if upstream.zone != self.zone:
            cost_s += self.transfer_s
        if self.source_zone and upstream.zone != self.source_zone:
            cost_s += self.crossing_s
        return cost_s


class ZoneCosts:
    """Prices of transfers between zones, and the demand of each zone's callers.

    Without a price, nothing is computed, and other zones have a fixed penalty.
    """

    def __init__(self, sizes: TransferSizes, clock: Callable[[], float] = now_s):
        self._sizes = sizes
        self._clock = clock
        self._demand: dict[tuple[str, str], DecayingSum] = defaultdict(DecayingSum)
        self.price: TransferPrice | None = None

    def record_demand(self, call: RoutedCall, work_s: float) -> None:
        """Record the work that a call asks for, whichever zone it is sent to."""
        if self.price is not None:
            self._demand[call.service, call.zone].add(work_s, self._clock())

    def demand(self, service: str, zone: str) -> float:
        """Return the work that a zone's callers ask for, in seconds a second."""
        work = self._demand.get((service, zone))
        return work.value_at(self._clock()) / DECAY_S if work else 0.0

    def transfer_s(self, call: RoutedCall) -> float:
        """Return the cost of sending a call to another zone and its answer back."""
        size = self._sizes.size(call.service, call.route.name)
        return self.price.transfer_s(size)

    def for_plain_call(
        self, call: RoutedCall, loads: Mapping[str, ZoneLoad]
    ) -> TransferCost:
        """Return the cost of a plain call by zone, with waits and crowding.

        Other callers of the own zone can leave it, too, so that they lose no more than
        leaving costs.
        """
        transfer_s = self.transfer_s(call)
        costs = {
            zone: load.wait_s + load.crowding_s
            for zone, load in loads.items()
            if zone != call.zone
        }
        own = loads.get(call.zone)
        if own is not None:
            leaving_s = transfer_s + min(costs.values(), default=float("inf"))
            delay_s = min(own.delay_of_others_s, leaving_s)
            costs[call.zone] = own.wait_s + own.shortage_chance * delay_s
        return TransferCost(call.zone, transfer_s, costs)

    def for_prefill(self, call: RoutedCall) -> TransferCost | None:
        """Return the cost of a prompt's prefill by zone; None without a price.

        Its KV cache returns to the own zone, or the answer crosses instead.
        """
        if self.price is None:
            return None
        transfer_s = self.transfer_s(call)
        return TransferCost(
            call.zone, transfer_s + min(transfer_s, self._kv_cache_s(call))
        )

    def for_direct(self, call: RoutedCall) -> TransferCost | None:
        """Return the cost of prefill and decode on one engine; None without a price."""
        if self.price is None:
            return None
        return TransferCost(call.zone, self.transfer_s(call))

    def for_decode(self, call: RoutedCall, source: Upstream) -> TransferCost | None:
        """Return the cost of decoding by zone; ``source`` has prefilled the prompt."""
        if self.price is None:
            return None
        crossing_s = self.price.delay_s + self._kv_cache_s(call)
        return TransferCost(
            call.zone, self.transfer_s(call), {}, source.zone, crossing_s
        )

    def _kv_cache_s(self, call: RoutedCall) -> float:
        tokens = call.prompt.input_tokens if call.prompt else 0
        return self.price.bytes_s(tokens * self.price.kv_bytes_per_token)


def zone_loads(
    candidates: Iterable[Candidate],
    work_s: float,
    report_delay_s: float,
    demand_of: Callable[[str], float],
    waiting_of: Callable[[str], float],
) -> dict[str, ZoneLoad]:
    """Return the load of each zone that has candidates.

    Ends are known ``report_delay_s`` late, so that a part of the calls in flight has
    ended already.
    """
    loads: dict[str, ZoneLoad] = {}
    for item in candidates:
        zone = item.upstream.zone
        load = loads.get(zone)
        if load is None:
            load = loads[zone] = ZoneLoad(
                work_s, demand=demand_of(zone), waiting_s=waiting_of(zone)
            )
        served_s = work_s * item.slowdown
        occupied = item.occupied * served_s / (served_s + report_delay_s)
        slots = max(1, item.upstream.slots)
        load.capacity += slots / item.slowdown
        load.free_slots += max(0.0, slots - occupied)
        load.excess_s += max(0.0, occupied - slots) * work_s
    return loads
