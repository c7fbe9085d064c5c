"""Decision on the number of a service's servers, without I/O.

Load: demand with waves and bursts (see ``scaling_forecast``), while a sixth of the
servers crash, a zone is lost, or all spot servers of a zone are reclaimed and none are
available there for some seconds. Calls that are refused cost more than a server does,
so servers are ordered as soon as they are needed and, once calls have come, removed
one at a time.

A small number of regular servers is kept; spot servers carry the rest. Regular servers
beyond that number, such as those of a fleet with which the service began, are removed
only once spot servers that replace them serve.
"""

import math
from collections import Counter
from dataclasses import dataclass

from ..process.duty_messages import ScalingOrder
from .scaled_fleet import FleetState, ServerGroup, regular_count
from .scaling_forecast import HOLD_S, DemandForecast, ServerNeed, ServiceDemand
from .scaling_plan import ScalingPlan
from .scaling_spec import ScalingSpec

# Utilization that leaves room for a burst of twice the usual demand, which may be over
# before an ordered server serves, and keeps the prefill stage below the utilization
# (0.45) from which it counts as short of engines.
PREFILL_UTILIZATION = 0.35
DECODE_UTILIZATION = 0.4
# Utilization at the forecast peak up to which all calls are served.
ENOUGH_PREFILL_UTILIZATION = 0.6
ENOUGH_DECODE_UTILIZATION = 0.7
# Utilization that the most urgent calls tolerate for a boot time after a loss.
SURVIVAL_UTILIZATION = 0.8
REFUSED_SHARE_MAX = 0.5
# Share of the servers for urgent calls that can't be reclaimed: spot servers of
# several zones may be reclaimed within one boot time.
REGULAR_SHARE = 1 / 3
REMOVAL_INTERVAL_S = 2.0
# A regular server that spot servers have replaced costs several times their price.
REPLACED_INTERVAL_S = 1.0
# Less than this, in servers, is no demand yet, such as calls that test a route.
DEMAND_MIN = 0.2
# Share of the needed engines that each stage keeps. Stages are changed one engine at a
# time, which is away for seconds.
STAGE_SHARE_MIN = 1 / 6
# An engine service keeps an engine in each stage after the loss of one.
ENGINES_MIN = 3
ENGINES_AFTER_LOSS_MIN = 2
# Time after which a zone without stock is asked again.
STOCK_RETRY_S = 4.0


@dataclass(frozen=True)
class ScalingDecision:
    """Orders, and the need that they follow from."""

    orders: tuple[ScalingOrder, ...]
    need: ServerNeed


class ServerScaling:
    """Decides for one service; times are seconds on one clock."""

    def __init__(self, service: str, spec: ScalingSpec, has_engines: bool):
        self._service = service
        self._spec = spec
        self._has_engines = has_engines
        self._prefill = DemandForecast(spec.boot_s)
        self._decode = DemandForecast(spec.boot_s)
        self._initial_servers = 0
        self._demand_since_s: float | None = None
        self._added_at_s = float("-inf")
        self._removed_at_s = float("-inf")
        self._no_stock_until_s: dict[ServerGroup, float] = {}

    def block_group(
        self, group: ServerGroup, now: float, retry_s: float = STOCK_RETRY_S
    ) -> None:
        """Order no servers of a group for ``retry_s``.

        None are available there, or the outcome of an order is unknown.
        """
        self._no_stock_until_s[group] = now + retry_s

    def decide(
        self, demand: ServiceDemand, fleet: FleetState, now: float
    ) -> ScalingDecision:
        """Return the orders due now; called some times a second."""
        self._observe_start(demand, fleet, now)
        need = self._need(demand, now)
        plan = ScalingPlan(self._spec, need, fleet, self._groups_in_stock(now))
        added = plan.additions()
        if added and plan.is_enough and now - self._removed_at_s < self._spec.boot_s:
            # Servers beyond what is enough may wait, so that changes aren't reversed.
            return ScalingDecision((), need)
        if added:
            self._added_at_s = now
            return ScalingDecision(self._orders(fleet, added), need)
        removable = self._removable(fleet, need)
        if removable < 1:
            return ScalingDecision((), need)
        removed = plan.removal()
        if removed is None or not self._is_removal_due(removed, now):
            return ScalingDecision((), need)
        self._removed_at_s = now
        # Several only before the first calls, while no engine has cached a prefix that
        # would be lost.
        is_idle = self._demand_since_s is None
        count = min(plan.dispensable(removed), removable) if is_idle else 1
        return ScalingDecision(self._orders(fleet, Counter({removed: -count})), need)

    def _observe_start(
        self, demand: ServiceDemand, fleet: FleetState, now: float
    ) -> None:
        if self._demand_since_s is None:
            # Registrations may arrive one after the other; spot servers that replace
            # regular ones don't count once more.
            found = regular_count(fleet.present)
            if not self._initial_servers:
                found = sum(fleet.present.values()) + sum(fleet.booting.values())
            self._initial_servers = max(self._initial_servers, found)
            if max(demand.prefill, demand.decode) >= DEMAND_MIN:
                self._demand_since_s = now

    def _least_servers(self, now: float) -> int:
        """Return the number kept whatever the demand.

        Until the demand of a whole wave is known, it is the number found at the start,
        which the operator has chosen; cheaper servers may replace those.
        """
        least = ENGINES_MIN if self._has_engines else 1
        since_s = self._demand_since_s
        if since_s is not None and now - since_s >= HOLD_S:
            return least
        return max(least, self._initial_servers)

    def _need(self, demand: ServiceDemand, now: float) -> ServerNeed:
        """Return the servers needed over the boot time."""
        offered = 1 / (1 - min(REFUSED_SHARE_MAX, demand.refused_share))
        self._prefill.observe(demand.prefill * offered, now)
        self._decode.observe(demand.decode * offered, now)
        prefill, decode = self._prefill.peak, self._decode.peak
        share = demand.urgent_share / SURVIVAL_UTILIZATION
        total = math.ceil(decode / DECODE_UTILIZATION)
        enough = math.ceil(decode / ENOUGH_DECODE_UTILIZATION)
        urgent = math.ceil(decode * share)
        if self._has_engines:
            total += math.ceil(prefill / PREFILL_UTILIZATION)
            enough += math.ceil(prefill / ENOUGH_PREFILL_UTILIZATION)
            urgent += math.ceil(prefill * share)
        after_loss_min = ENGINES_AFTER_LOSS_MIN if self._has_engines else 1
        urgent = max(urgent, after_loss_min)
        total_min = self._least_servers(now)
        return ServerNeed(
            max(total, total_min),
            max(enough, total_min),
            urgent,
            max(after_loss_min, math.ceil(urgent * REGULAR_SHARE)),
            self._decode.is_settled(now),
        )

    @property
    def _has_spot(self) -> bool:
        return self._spec.spot_price is not None and self._spec.spot_price < 1

    def _groups_in_stock(self, now: float) -> list[ServerGroup]:
        groups = (
            ServerGroup(zone, is_spot)
            for zone in self._spec.zone_prices
            for is_spot in ((True, False) if self._has_spot else (False,))
        )
        return [
            group for group in groups if now >= self._no_stock_until_s.get(group, now)
        ]

    def _removable(self, fleet: FleetState, need: ServerNeed) -> float:
        """Return how many servers may be removed at once; 0 while too little is known.

        The platform chooses which engines leave. All of them may be of the stage with
        the fewest, and that of a new engine is changed only as prompts come.
        """
        if not need.is_settled:
            return 0
        if not self._has_engines:
            return math.inf
        kept = max(1, math.ceil(STAGE_SHARE_MIN * need.enough))
        return min(fleet.engines_by_stage.values(), default=0) - kept

    def _is_removal_due(self, group: ServerGroup, now: float) -> bool:
        """Whether the last changes are long enough ago.

        A regular server that spot servers replace needn't wait for the boot of further
        ones, since only those that serve count as its replacement.
        """
        is_replaced = not group.is_spot and self._has_spot
        if not is_replaced and now - self._added_at_s < self._spec.boot_s:
            return False
        interval_s = REPLACED_INTERVAL_S if is_replaced else REMOVAL_INTERVAL_S
        return now - self._removed_at_s >= interval_s

    def _orders(
        self, fleet: FleetState, changes: Counter[ServerGroup]
    ) -> tuple[ScalingOrder, ...]:
        return tuple(
            ScalingOrder(
                self._service,
                group.zone,
                fleet.present.get(group, 0) + fleet.booting.get(group, 0) + change,
                group.is_spot,
            )
            for group, change in sorted(changes.items())
        )
