"""Compares decisions on the number of servers over generated demand.

    python -m extras.scaling_trial

Servers are simulated in steps of 0.1 s: an ordered one serves after the boot time, a
reclaimed one drains for 2.2 s, a lost one is gone at once. Demand is work in servers,
of two priorities; work that can't be served within a second is refused, the less
urgent first. All figures of the table are simulated.
"""

import argparse
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from wisteriaarch.process.duty_messages import ScalingOrder
from wisteriaarch.version.scaled_fleet import FleetState, ServerGroup
from wisteriaarch.version.scaling_forecast import ServiceDemand
from wisteriaarch.version.scaling_spec import ScalingSpec
from wisteriaarch.version.server_scaling import ServerScaling

from .scaling_cloud import Cloud, Server

STEP_S = 0.1
DECISION_S = 0.5
DURATION_S = 240.0
FAULT_AT_S = 120.0
PATIENCE_S = 1.0
SERVERS_AT_START = 19
URGENT_SHARE = 0.5
PREFILL_SHARE = 0.3
SPEC = ScalingSpec(1, 10, 4.0, {"a": 1.0, "b": 0.8, "c": 1.1, "d": 0.9}, 0.15)


def calm(_at_s: float) -> float:
    """Return the work offered without any change, in servers."""
    return 6.0


def wave(at_s: float) -> float:
    """Return the work of waves of 15 s, plus or minus 55%."""
    return 6.0 * (1 + 0.55 * math.sin(2 * math.pi * at_s / 15.0))


def burst(at_s: float) -> float:
    """Return the work with bursts of 2.8 s and 14 s to twice the usual, in turn."""
    since_s = at_s % 60.0
    is_burst = 20.0 <= since_s < 22.8 or 40.0 <= since_s < 54.0
    return 12.0 if is_burst else 6.0


@dataclass(frozen=True)
class Case:
    """Demand over time, and the fault that occurs at ``FAULT_AT_S``."""

    name: str
    demand: Callable[[float], float]
    fault: str = ""


CASES = (
    Case("calm", calm),
    Case("wave", wave),
    Case("burst", burst),
    Case("sixth crashes", wave, "sixth"),
    Case("spot reclaimed", wave, "reclaim"),
    Case("zone lost", wave, "zone"),
)


@dataclass
class Served:
    """Work offered and served, by priority."""

    offered: list[float] = field(default_factory=lambda: [0.0, 0.0])
    served: list[float] = field(default_factory=lambda: [0.0, 0.0])
    waiting: list[list[tuple[float, float]]] = field(default_factory=lambda: [[], []])

    def step(self, now: float, work: float, servers: int) -> float:
        """Serve the work of a step; returns the share of servers in use."""
        capacity = servers * STEP_S
        for priority, share in enumerate((URGENT_SHARE, 1 - URGENT_SHARE)):
            amount = work * share * STEP_S
            self.offered[priority] += amount
            self.waiting[priority].append((now, amount))
        left = capacity
        for priority, items in enumerate(self.waiting):
            kept = []
            for at_s, amount in items:
                done = min(left, amount)
                left -= done
                self.served[priority] += done
                if amount - done > 1e-9 and now - at_s < PATIENCE_S:
                    kept.append((at_s, amount - done))
            self.waiting[priority] = kept
        return capacity - left

    def shares(self) -> tuple[float, float]:
        """Return the served share of all work and of urgent work."""
        return (
            sum(self.served) / sum(self.offered),
            self.served[0] / self.offered[0],
        )


class Fixed:
    """Keeps the servers of the start."""

    def orders(
        self, _busy: float, _cloud: Cloud, _now: float
    ) -> Iterator[ScalingOrder]:
        """Yield no orders."""
        yield from ()

    def record_no_stock(self, order: ScalingOrder, now: float) -> None:
        """Ignore it."""


@dataclass
class TargetUtilization(Fixed):
    """Regular servers for a utilization of ``target``, spread over the zones."""

    target: float = 0.6

    def needed(self, busy: float, _now: float) -> int:
        """Return the number of servers wanted."""
        return math.ceil(busy / self.target)

    is_spot = False

    def orders(self, busy: float, cloud: Cloud, now: float) -> Iterator[ScalingOrder]:
        """Yield an order for each group whose number differs."""
        zones = sorted(cloud.spec.zone_prices)
        needed = max(len(zones), self.needed(busy, now))
        present = cloud.counts(now, True) + cloud.counts(now, False)
        for number, zone in enumerate(zones):
            wanted = needed // len(zones) + (number < needed % len(zones))
            group = ServerGroup(zone, self.is_spot)
            if present[group] != wanted:
                yield ScalingOrder("s", zone, wanted, self.is_spot)
            other = ServerGroup(zone, not self.is_spot)
            if cloud.counts(now, True)[group] >= wanted and present[other]:
                yield ScalingOrder("s", zone, 0, other.is_spot)


@dataclass
class KnownFuture(TargetUtilization):
    """Spot servers for the highest demand until an order of the next step serves."""

    demand: Callable[[float], float] = calm
    is_spot = True

    def needed(self, _busy: float, now: float) -> int:
        """Return the servers for the demand of the next seconds, known in advance."""
        span_s = SPEC.boot_s + 2 * DECISION_S
        times = (now + n * STEP_S for n in range(round(span_s / STEP_S)))
        return math.ceil(max(self.demand(at_s) for at_s in times) / 0.95)


class Decided:
    """The gateway's decision."""

    def __init__(self):
        self.scaling = ServerScaling("s", SPEC, has_engines=True)

    def orders(self, busy: float, cloud: Cloud, now: float) -> Iterator[ScalingOrder]:
        """Yield the orders that are due."""
        serving = cloud.counts(now, True)
        engines = max(2, serving.total())
        stages = {"prefill": engines // 3, "decode": engines - engines // 3}
        demand = ServiceDemand(
            busy * PREFILL_SHARE, busy * (1 - PREFILL_SHARE), URGENT_SHARE
        )
        fleet = FleetState(serving, serving, cloud.counts(now, False), stages)
        yield from self.scaling.decide(demand, fleet, now).orders

    def record_no_stock(self, order: ScalingOrder, now: float) -> None:
        """Let other zones be asked."""
        self.scaling.block_group(ServerGroup(order.zone, order.spot), now)


POLICIES = {
    "fixed number": lambda _case: Fixed(),
    "target utilization": lambda _case: TargetUtilization(),
    "known future": lambda case: KnownFuture(demand=case.demand),
    "decision": lambda _case: Decided(),
}


@dataclass(frozen=True)
class Result:
    """Outcome of one simulation."""

    server_seconds: float
    served: float
    served_urgent: float
    orders: int
    reversals: int
    last_price: float


def simulate(case: Case, policy_name: str, seed: int = 1) -> Result:
    """Run one policy over one case."""
    rng = random.Random(seed)
    policy = POLICIES[policy_name](case)
    cloud, work = Cloud(SPEC), Served()
    zones = sorted(SPEC.zone_prices)
    for number in range(SERVERS_AT_START):
        group = ServerGroup(zones[number % len(zones)], False)
        cloud.servers.append(Server(group, 0.0))
    cost, busy = 0.0, 0.0
    for step in range(round(DURATION_S / STEP_S)):
        now = step * STEP_S
        if case.fault and step == round(FAULT_AT_S / STEP_S):
            cloud.inflict(case.fault, now)
        serving, price = cloud.step(now)
        cost += price * STEP_S
        offered = case.demand(now) * rng.uniform(0.9, 1.1)
        used = work.step(now, offered, serving) / STEP_S
        busy += (used - busy) * STEP_S
        if step % round(DECISION_S / STEP_S) == 0:
            for order in policy.orders(busy, cloud, now):
                if not cloud.execute(order, now):
                    policy.record_no_stock(order, now)
    served, urgent = work.shares()
    return Result(cost, served, urgent, cloud.orders, cloud.reversals, price)


def main() -> None:
    """Print the table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print(
        "| Demand | Decision | Server-seconds | Price a second at the end | Served "
        "| Urgent served | Orders | Reversed within a boot |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for case in CASES:
        for name in POLICIES:
            result = simulate(case, name)
            print(
                f"| {case.name} | {name} | {result.server_seconds:.0f} "
                f"| {result.last_price:.1f} "
                f"| {result.served:.2%} | {result.served_urgent:.2%} "
                f"| {result.orders} | {result.reversals} |"
            )


if __name__ == "__main__":
    main()
