"""Orders for servers that were sent, until the registrations show their effect."""

from collections import Counter
from dataclasses import dataclass, replace

from ..process.duty_messages import ScalingOrder
from .scaled_fleet import FleetState, ServerGroup

# A removed server is registered as draining within this time.
REMOVAL_LAG_S = 3.0
# Time that a boot may take beyond its stated time.
BOOT_MARGIN_S = 1.0
BOOT_MARGIN_FACTOR = 1.5
# An order without an answer may be executed within this time.
UNANSWERED_MAX_S = 12.0
# Repeats leave most of a service's calls to orders for other groups.
REPEAT_INTERVAL_S = 2.0


@dataclass
class _Issued:
    order: ScalingOrder
    sent_at_s: float
    is_addition: bool
    is_answered: bool
    last_sent_at_s: float


def group_of(order: ScalingOrder) -> ServerGroup:
    """Return the servers that an order is about."""
    return ServerGroup(order.zone, order.spot)


class IssuedOrders:
    """Latest order of each group; one without an answer counts as carried out."""

    def __init__(self, boot_s: float):
        self._addition_s = BOOT_MARGIN_FACTOR * boot_s + BOOT_MARGIN_S
        self._by_group: dict[ServerGroup, _Issued] = {}

    def record(
        self, order: ScalingOrder, is_addition: bool, is_answered: bool, now: float
    ) -> None:
        """Record an order that was sent; one unanswered again keeps its time."""
        known = self._by_group.get(group_of(order))
        if known is not None and not known.is_answered and known.order == order:
            known.last_sent_at_s = now
            if is_answered:
                known.is_answered, known.sent_at_s = True, now
            return
        self._by_group[group_of(order)] = _Issued(
            order, now, is_addition, is_answered, now
        )

    def discard(self, order: ScalingOrder) -> None:
        """Remove an order that isn't carried out."""
        self._by_group.pop(group_of(order), None)

    def clear(self) -> None:
        """Remove all orders."""
        self._by_group.clear()

    def unanswered(self) -> list[ScalingOrder]:
        """Return the orders whose outcome is unknown."""
        return [item.order for item in self._by_group.values() if not item.is_answered]

    def to_repeat(self, now: float) -> list[tuple[ScalingOrder, bool]]:
        """Return the unanswered orders that are due, and whether they are additions."""
        return [
            (item.order, item.is_addition)
            for item in self._by_group.values()
            if not item.is_answered and now - item.last_sent_at_s >= REPEAT_INTERVAL_S
        ]

    def expire(self, fleet: FleetState, now: float) -> list[ScalingOrder]:
        """Remove orders that took effect, or didn't in time; returns the latter."""
        unfulfilled = []
        for group, item in list(self._by_group.items()):
            present = fleet.present.get(group, 0)
            is_effective = (
                present >= item.order.desired
                if item.is_addition
                else present <= item.order.desired
            )
            is_expired = now - item.sent_at_s >= self._max_age_s(item)
            if is_expired or (is_effective and item.is_answered):
                del self._by_group[group]
                if not is_effective:
                    unfulfilled.append(item.order)
        return unfulfilled

    def _max_age_s(self, item: _Issued) -> float:
        if not item.is_answered:
            return UNANSWERED_MAX_S
        return self._addition_s if item.is_addition else REMOVAL_LAG_S

    def apply(self, fleet: FleetState) -> FleetState:
        """Return the fleet with servers that boot, without those being removed."""
        booting: Counter[ServerGroup] = Counter()
        leaving: Counter[ServerGroup] = Counter()
        for group, item in self._by_group.items():
            change = item.order.desired - fleet.present.get(group, 0)
            if item.is_addition:
                booting[group] = max(0, change)
            else:
                leaving[group] = max(0, -change)
        return replace(
            fleet,
            present=Counter(fleet.present) - leaving,
            serving=Counter(fleet.serving) - leaving,
            booting=+booting,
        )
