"""Replay of plain calls, one scheduler and simulated upstreams in virtual time."""

import math
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from unittest import mock

import curio

from extras.replay.virtual_time import VirtualTime
from wisteriaarch.connection.scheduling_server import PlacedAttempt
from wisteriaarch.errors import RequestError
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.fleet_estimates import FleetEstimates
from wisteriaarch.process.upstream_loads import ReportedLoad
from wisteriaarch.process.upstream_signals import UpstreamSignals
from wisteriaarch.process.upstreams import Upstream, UpstreamRegistry
from wisteriaarch.request.attempt_failures import AttemptFailed, FailureReason
from wisteriaarch.request.attempt_outcome import (
    ABANDONED,
    ANSWERED,
    AttemptOutcome,
    AttemptStage,
)
from wisteriaarch.request.estimate_updater import EstimateUpdater
from wisteriaarch.request.placement import place_service_call
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.request.scheduler import Scheduler, SchedulingParts
from wisteriaarch.request.shared_retry_budget import SharedRetryBudget
from wisteriaarch.request.stage_plan import StagePlan
from wisteriaarch.version.route_table import CallKind, Route
from wisteriaarch.wire import Address

SERVICE = "app"
ZONES = ("z1", "z2", "z3")
SLOTS = 6
QUEUE_MAX = 24
WAVE_S = 15.0
WAVE_AMPLITUDE = 0.55
PLACEMENTS_MAX = 4
CALLER_TRIES_MAX = 3
RETURN_SHARE = 1 / 3


@dataclass(frozen=True)
class Load:
    """Demand and upstreams of a replay; ``speeds`` and ``demand`` are by zone.

    ``demand`` is relative to the mean capacity of a zone's upstreams, ``amplitude``
    that of its waves. Ends are known after ``report_s`` up to ``report_max_s``.
    """

    service_s: float
    speeds: dict[str, tuple[float, ...]]
    demand: dict[str, float]
    amplitude: float = WAVE_AMPLITUDE
    priorities: tuple[int, ...] = (1,)
    length_s: float = 20.0
    objective_s: float = 0.6
    deadline_s: float = 2.0
    report_s: float = 0.003
    report_max_s: float = 0.006
    other_zone_s: float = 0.0014
    # Entries of each zone that place their own calls; 0 for one scheduler of all.
    entries_by_zone: int = 0

    @property
    def capacity(self) -> float:
        """Calls a second that the upstreams of all zones serve."""
        speeds = [speed for items in self.speeds.values() for speed in items]
        return SLOTS * sum(speeds) / self.service_s

    def rate(self, zone: str, at_s: float) -> float:
        """Return the calls a second from a zone."""
        phase = 2 * math.pi * ZONES.index(zone) / len(self.demand)
        wave = 1 + self.amplitude * math.sin(2 * math.pi * at_s / WAVE_S + phase)
        return self.demand[zone] * wave * self.capacity / len(self.demand)


@dataclass
class Result:
    """What callers got; ``sent`` counts (second, caller's zone, upstream's zone)."""

    ends: Counter = field(default_factory=Counter)
    by_priority: dict[int, Counter] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    attempts: int = 0
    declined: int = 0
    sent: Counter = field(default_factory=Counter)
    refused_after_s: list[float] = field(default_factory=list)

    def share(self, end: str, priority: int | None = None) -> float:
        """Return the share of requests with an end; retries are the same request."""
        ends = self.ends if priority is None else self.by_priority[priority]
        return ends[end] / max(1, sum(ends.values()))

    @property
    def declined_share(self) -> float:
        """Share of attempts that upstreams declined."""
        return self.declined / max(1, self.attempts)


class DirectScheduler(Scheduler):
    """Baseline: calls go to the cheapest upstream at once, however full it is."""

    async def _plan(self, call, on_wait):
        candidates = await self.parts.finder.find(call)
        return StagePlan(None, place_service_call(candidates, call.zone))


@dataclass(frozen=True)
class Entry:
    """Entry that places calls: its own, or those of all entries."""

    scheduler: Scheduler
    updater: EstimateUpdater


class SimulatedServer:
    """Upstream with a few slots and a short queue; it declines what is beyond."""

    def __init__(self, upstream: Upstream, speed: float, service_s: float, rng):
        self.upstream = upstream
        self._speed, self._service_s, self._rng = speed, service_s, rng
        self._slots = curio.Semaphore(SLOTS)
        self._requests = 0

    def load(self) -> ReportedLoad:
        """Return the load that the upstream reports."""
        waiting = max(0, self._requests - SLOTS)
        return ReportedLoad(self._requests - waiting, waiting, SLOTS)

    async def serve(self) -> None:
        """Serve one call; raises AttemptFailed if the queue is full."""
        if self._requests >= SLOTS + QUEUE_MAX:
            raise AttemptFailed(FailureReason.DECLINED, "full")
        self._requests += 1
        try:
            async with self._slots:
                factor = self._rng.lognormvariate(-0.045, 0.3)
                await curio.sleep(self._service_s * factor / self._speed)
        finally:
            self._requests -= 1


class ServiceReplay:
    """One replay of a load; ``configure`` may change the scheduler's components."""

    def __init__(self, load: Load, seed=1, scheduler=Scheduler, configure=None):
        self.load = load
        self._rng = random.Random(seed)
        self._scheduler_class = scheduler
        self._configure = configure or (lambda _parts: None)
        self.result = Result()

    def run(self) -> Result:
        """Play the load."""
        VirtualTime().run(self._main)
        return self.result

    def _entry(self):
        log = mock.Mock()
        registry = UpstreamRegistry(lambda: None, log)
        estimates = FleetEstimates.from_registry(registry)
        registry.update(item.upstream for item in self._servers.values())
        parts = SchedulingParts.from_estimates(estimates, lambda: None, log)
        self._configure(parts)
        retries = SharedRetryBudget(0.2, 50.0, 10.0, lambda: 1)
        return Entry(
            self._scheduler_class(parts, retries), EstimateUpdater(estimates, log)
        )

    async def _main(self):
        self._servers = {
            item.upstream.upstream_id: item for item in self._build_servers()
        }
        if self.load.entries_by_zone:
            entries = {
                zone: [self._entry() for _ in range(self.load.entries_by_zone)]
                for zone in self.load.demand
            }
        else:
            entries = dict.fromkeys(self.load.demand, [self._entry()])
        self._entries = entries
        started_at_s = now_s()
        async with curio.TaskGroup() as group:
            for at_s, zone in self._arrivals():
                await curio.sleep(max(0.0, started_at_s + at_s - now_s()))
                await group.spawn(self._ask, zone, int(at_s))

    def _build_servers(self):
        for zone, speeds in self.load.speeds.items():
            for number, speed in enumerate(speeds):
                address = Address("10.0.0.1", 1 + number)
                upstream = Upstream(f"{zone}-{number}", SERVICE, address, zone, SLOTS)
                yield SimulatedServer(upstream, speed, self.load.service_s, self._rng)

    def _arrivals(self):
        arrivals = []
        for zone in self.load.demand:
            peak = max(self.load.rate(zone, number / 10) for number in range(150)) or 1
            at_s = 0.0
            while (at_s := at_s + self._rng.expovariate(peak)) < self.load.length_s:
                if self._rng.random() < self.load.rate(zone, at_s) / peak:
                    arrivals.append((at_s, zone))
        return sorted(arrivals)

    async def _ask(self, zone, second):
        priority = self._rng.choice(self.load.priorities)
        asked_at_s = now_s()
        deadline_at_s = asked_at_s + self.load.deadline_s
        for _ in range(CALLER_TRIES_MAX):
            call = self._call(zone, priority, deadline_at_s)
            entry = self._rng.choice(self._entries[zone])
            end, back_s = await self._run(entry, call, asked_at_s, second)
            if back_s is None or back_s > RETURN_SHARE * (deadline_at_s - now_s()):
                break
            await curio.sleep(back_s)
        self.result.ends[end] += 1
        self.result.by_priority[priority][end] += 1

    async def _run(self, entry, call, asked_at_s, second):
        came_at_s = now_s()
        try:
            async with curio.timeout_after(call.remaining_s()):
                await self._attempts(entry, call, second)
            is_on_time = now_s() - asked_at_s <= self.load.objective_s
            return ("in time" if is_on_time else "late"), None
        except RequestError as exc:
            self.result.refused_after_s.append(now_s() - came_at_s)
            return "refused", exc.retry_after_s or 0.0
        except AttemptFailed:
            return "refused", 0.3
        except curio.TaskTimeout:
            return "missed", None

    async def _attempts(self, entry, call, second):
        while True:
            choice = (await entry.scheduler.place(call)).decode
            call.placements += 1
            try:
                await self._attempt(entry, call, choice, second)
                return
            except AttemptFailed:
                call.tried_upstreams.add(choice.candidate.upstream.upstream_id)
                if call.placements >= PLACEMENTS_MAX:
                    raise

    async def _attempt(self, entry, call, choice, second):
        placed = PlacedAttempt(call, choice, AttemptStage.RUN, True)
        placed.begin(entry.scheduler, entry.updater)
        upstream = choice.candidate.upstream
        self.result.attempts += 1
        self.result.sent[second, call.zone, upstream.zone] += 1
        started_at_s, cause = now_s(), ABANDONED
        crossing_s = self.load.other_zone_s if upstream.zone != call.zone else 0.0
        try:
            await curio.sleep(crossing_s)
            await self._servers[upstream.upstream_id].serve()
            cause = ANSWERED
        except AttemptFailed as exc:
            cause = exc.reason.value
            self.result.declined += 1
            raise
        finally:
            elapsed_s = now_s() - started_at_s
            outcome = AttemptOutcome(
                cause, elapsed_s, elapsed_s if cause == ANSWERED else None
            )
            if self.load.entries_by_zone:
                load = self._servers[upstream.upstream_id].load()
                outcome = replace(outcome, signals=UpstreamSignals(load=load))
            await curio.spawn(self._report, entry, placed, outcome, daemon=True)

    async def _report(self, entry, placed, outcome):
        delay_s = self._rng.uniform(self.load.report_s, self.load.report_max_s)
        await curio.sleep(delay_s)
        upstream_id = placed.choice.candidate.upstream.upstream_id
        entry.updater.observe_signals(upstream_id, outcome.signals, 0.0)
        placed.end()
        in_flight_s = now_s() - placed.placed_at_s
        entry.updater.observe_report_delay(placed.call, in_flight_s, outcome)
        entry.updater.observe_outcome(
            placed.call, placed.choice, AttemptStage.RUN, outcome
        )

    def _call(self, zone, priority, deadline_at_s):
        load = self.load
        route = Route(
            f"r{priority}",
            "h",
            "/",
            CallKind.IDEMPOTENT,
            (),
            load.deadline_s,
            load.objective_s,
            priority=priority,
            attempts_max=3,
        )
        now, ident = now_s(), f"c{self._rng.random()}"
        return RoutedCall(
            ident,
            route,
            SERVICE,
            "GET",
            "/",
            [],
            b"",
            now,
            deadline_at_s,
            zone=zone,
        )
