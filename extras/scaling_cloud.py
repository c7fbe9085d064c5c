"""Simulated servers of a service: they boot, drain, fail and are reclaimed."""

import math
from collections import Counter
from dataclasses import dataclass, field

from wisteriaarch.process.duty_messages import ScalingOrder
from wisteriaarch.version.scaled_fleet import ServerGroup, price_of
from wisteriaarch.version.scaling_spec import ScalingSpec

OUTAGE_S = 30.0
NO_STOCK_S = 8.0
NOTICE_S = 2.2


@dataclass(eq=False)
class Server:
    """Simulated server; it serves from ``ready_at_s`` to ``leaves_at_s``."""

    group: ServerGroup
    ready_at_s: float
    is_draining: bool = False
    leaves_at_s: float = math.inf


@dataclass
class Cloud:
    """Simulated servers of one service."""

    spec: ScalingSpec
    servers: list[Server] = field(default_factory=list)
    no_stock_until_s: dict[str, float] = field(default_factory=dict)
    orders: int = 0
    reversals: int = 0
    last_changes: dict[bool, tuple[float, int]] = field(default_factory=dict)

    def counts(self, now: float, ready: bool) -> Counter[ServerGroup]:
        """Return the servers that aren't draining, those ready or those not."""
        return Counter(
            item.group
            for item in self.servers
            if not item.is_draining and (item.ready_at_s <= now) == ready
        )

    def execute(self, order: ScalingOrder, now: float) -> bool:
        """Carry an order out; False if the zone has no stock."""
        group = ServerGroup(order.zone, order.spot)
        present = [
            item
            for item in self.servers
            if item.group == group and not item.is_draining
        ]
        change = order.desired - len(present)
        if change > 0 and now < self.no_stock_until_s.get(order.zone, 0.0):
            return False
        self.orders += 1
        self._count_reversal(order.spot, change, now)
        for _ in range(change):
            self.servers.append(Server(group, now + self.spec.boot_s))
        for item in sorted(present, key=lambda s: -s.ready_at_s)[: max(0, -change)]:
            item.is_draining, item.leaves_at_s = True, now + 0.5
        return True

    def _count_reversal(self, is_spot: bool, change: int, now: float) -> None:
        """Count a change of one kind against another within a boot time before it."""
        sign = (change > 0) - (change < 0)
        at_s, last = self.last_changes.get(is_spot, (-math.inf, 0))
        if sign * last < 0 and now - at_s < self.spec.boot_s:
            self.reversals += 1
        if sign:
            self.last_changes[is_spot] = (now, sign)

    def inflict(self, fault: str, now: float) -> None:
        """Let servers fail, or reclaim them."""
        if fault == "sixth":
            lost = self.servers[::6]
            self.servers = [item for item in self.servers if item not in lost]
        elif fault == "zone":
            self.servers = [item for item in self.servers if item.group.zone != "b"]
            self.no_stock_until_s["b"] = now + OUTAGE_S
        elif fault == "reclaim":
            self.no_stock_until_s["b"] = now + NO_STOCK_S
            for item in self.servers:
                if item.group == ServerGroup("b", True):
                    item.is_draining, item.leaves_at_s = True, now + NOTICE_S

    def step(self, now: float) -> tuple[int, float]:
        """Return how many servers serve, and the price of a second of all."""
        self.servers = [item for item in self.servers if item.leaves_at_s > now]
        groups = Counter(item.group for item in self.servers)
        serving = sum(
            item.ready_at_s <= now and not item.is_draining for item in self.servers
        )
        return serving, price_of(self.spec, groups)
