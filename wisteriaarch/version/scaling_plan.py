"""Which servers of a service to add or remove for a given need.

Spot servers carry what the regular ones that are kept don't. The spread over zones is
even, since a zone's servers may be lost or reclaimed at once.
"""

import math
from collections import Counter
from collections.abc import Collection

from .scaled_fleet import FleetState, ServerGroup, by_zone, regular_count
from .scaling_forecast import ServerNeed
from .scaling_spec import ScalingSpec

# One server in this many may crash at the same time.
SERVERS_PER_CRASH = 6
# Demand above the present at which a spot server is still dispensable.
REMOVAL_MARGIN = 1.1


class ScalingPlan:
    """Additions and removals for one observation of the fleet.

    Only groups ``in_stock`` get servers.
    """

    def __init__(
        self,
        spec: ScalingSpec,
        need: ServerNeed,
        fleet: FleetState,
        in_stock: Collection[ServerGroup],
    ):
        self._spec = spec
        self._need = need
        self._in_stock = in_stock
        self._serving = Counter(fleet.serving)
        self._expected = self._serving + Counter(fleet.booting)
        self._ordered = Counter(fleet.present) + Counter(fleet.booting)
        self._zone_servers = by_zone(self._serving)
        self._zone_ordered = by_zone(self._ordered)
        self._has_spot = any(group.is_spot for group in in_stock)

    @property
    def is_enough(self) -> bool:
        """Whether the servers there and ordered serve all calls, also after a loss."""
        return self._suffices(self._expected, self._need.enough)

    def additions(self) -> Counter[ServerGroup]:
        """Return how many servers to add, by group."""
        added: Counter[ServerGroup] = Counter()
        counts = self._kept()
        while regular_count(counts) < self._need.regular:
            if not self._add(counts, added, is_spot=False):
                break
        lacking = self._lacking_to_minimum(added)
        added += lacking
        counts += lacking
        while not self._suffices(counts, self._need.total):
            if not self._add(counts, added, is_spot=True):
                break
        counts = self._expected + added
        while not self._suffices(counts, self._need.enough):
            if not self._add(counts, added, is_spot=False):
                break
        return added

    def removal(self) -> ServerGroup | None:
        """Return the group that is to lose a server; None if none is dispensable.

        Regular servers go before spot ones, then those of zones with many servers, then
        the dearest.
        """
        groups = [
            group
            for group, count in self._serving.items()
            if count > 0 and group.zone in self._zones
        ]
        groups.sort(key=self._removal_order, reverse=True)
        return next((group for group in groups if self._is_dispensable(group)), None)

    def dispensable(self, group: ServerGroup) -> int:
        """Return how many servers of a dispensable group can be removed at once."""
        count = 1
        while count < self._serving[group] and self._is_dispensable(group, count + 1):
            count += 1
        return count

    @property
    def _zones(self) -> Collection[str]:
        return self._spec.zone_prices.keys()

    def _removal_order(self, group: ServerGroup) -> tuple[bool, int, float, str]:
        """Return a sort key; the group with the greatest loses a server first."""
        in_zone = self._zone_servers[group.zone]
        return not group.is_spot, in_zone, self._price(group), group.zone

    def _is_dispensable(self, group: ServerGroup, count: int = 1) -> bool:
        if self._zone_ordered[group.zone] - count < self._spec.replicas_min:
            return False
        left = self._serving - Counter({group: count})
        if group.is_spot:
            return self._suffices(left, self._need.total, REMOVAL_MARGIN)
        margin = 1.0 if self._has_spot else REMOVAL_MARGIN
        return regular_count(left) >= self._need.regular and self._suffices(
            left, self._need.enough, margin
        )

    def _kept(self) -> Counter[ServerGroup]:
        """Return the spot servers, and as many regular ones as are needed.

        The cheapest regular servers are kept, spread over zones. Without spot servers
        to replace them, all are kept.
        """
        if not self._has_spot:
            return self._expected.copy()
        kept = Counter({g: n for g, n in self._expected.items() if g.is_spot})
        regular = Counter({g: n for g, n in self._expected.items() if not g.is_spot})
        for _ in range(min(self._need.regular, regular.total())):
            groups = (group for group in regular if regular[group] > kept[group])
            kept[min(groups, key=lambda g: (kept[g], self._price(g), g))] += 1
        return kept

    def _price(self, group: ServerGroup) -> float:
        return self._spec.zone_prices.get(group.zone, math.inf)

    def _lacking_to_minimum(self, added: Counter[ServerGroup]) -> Counter[ServerGroup]:
        """Return the servers that zones lack to their minimum; spot ones first."""
        lacking: Counter[ServerGroup] = Counter()
        zones = by_zone(self._ordered + added)
        for zone in self._zones:
            missing = self._spec.replicas_min - zones[zone]
            groups = [group for group in self._in_stock if group.zone == zone]
            if missing > 0 and groups:
                lacking[max(groups)] += missing
        return lacking

    def _add(
        self,
        counts: Counter[ServerGroup],
        added: Counter[ServerGroup],
        is_spot: bool,
    ) -> bool:
        """Add a server to both counts, where there is room; False if none helps."""
        zones = by_zone(self._ordered + added)
        in_zone = by_zone(counts)
        groups = [
            group
            for group in self._in_stock
            if group.is_spot == is_spot and zones[group.zone] < self._spec.replicas_max
        ]
        if not groups:
            return False
        # An even spread loses the fewest servers with a zone.
        group = min(groups, key=lambda g: (in_zone[g.zone], self._price(g), g))
        if not self._helps(counts, group, len(groups)):
            return False
        counts[group] += 1
        added[group] += 1
        return True

    def _helps(
        self, counts: Counter[ServerGroup], group: ServerGroup, open_groups: int
    ) -> bool:
        """Whether a server in the least zone with room brings counts nearer the need.

        Between zones with equally many servers, one server alone doesn't help, but the
        next one will.
        """
        lacks_regular = not group.is_spot and regular_count(counts) < self._need.regular
        if lacks_regular or counts.total() < self._need.total:
            return True
        if len(self._zones) == 1:
            return not group.is_spot
        zones = by_zone(counts)
        return open_groups > 1 or zones[group.zone] < max(zones.values())

    def _suffices(
        self, counts: Counter[ServerGroup], total: int, margin: float = 1.0
    ) -> bool:
        return (
            counts.total() >= total * margin
            and self._left_after_loss(counts) >= self._need.urgent * margin
        )

    def _left_after_loss(self, counts: Counter[ServerGroup]) -> int:
        """Return the servers left after the worst loss that is prepared for.

        The loss of a zone includes that of its spot servers. With a single zone only
        its spot servers count, since no number of servers would survive its loss.
        """
        total = counts.total()
        losses = [math.ceil(total / SERVERS_PER_CRASH)]
        if len(self._zones) > 1:
            losses.extend(by_zone(counts).values())
        else:
            losses.append(total - regular_count(counts))
        return total - max(losses)
