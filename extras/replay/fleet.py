"""Replay of callers, one scheduler and simulated engines in virtual time."""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import curio

from wisteriaarch.connection.placed_attempt import PlacedAttempt
from wisteriaarch.errors import RequestError
from wisteriaarch.event_log import EventLog
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.fleet_estimates import FleetEstimates
from wisteriaarch.process.upstreams import Stage, Upstream, UpstreamRegistry
from wisteriaarch.request.attempt_failures import AttemptFailed
from wisteriaarch.request.attempt_outcome import (
    ABANDONED,
    ANSWERED,
    AttemptOutcome,
    AttemptStage,
)
from wisteriaarch.request.candidate import Choice
from wisteriaarch.request.estimate_updater import EstimateUpdater
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.request.scheduler import Scheduler, SchedulingParts
from wisteriaarch.request.shared_retry_budget import SharedRetryBudget
from wisteriaarch.request.urgency import prefill_urgency, urgency_range
from wisteriaarch.version.customers import CustomerDirectory
from wisteriaarch.version.route_table import (
    CallKind,
    EngineSpec,
    Route,
    RoutedService,
    RouteTable,
    WeightedService,
)
from wisteriaarch.wire import Address

from .engines import EngineFault, PrefilledTokens, SimulatedEngine
from .load import ZONES, Arrival, Deployment, KindSpec, arrivals
from .virtual_time import VirtualTime

SERVICE = "llm"
NETWORK_S = 0.004
PAUSE_S = 0.15
TRIES_MAX = 2
# Callers come back for up to this share of the time that they have left.
RETURN_SHARE = 1 / 3
LEAVE_MIN_S = 2.0
LEAVE_OBJECTIVES = 4.0


@dataclass
class KindResult:
    """Results of the requests of one kind; waits are until the first event."""

    kind: KindSpec
    ends: Counter = field(default_factory=Counter)
    first_event_s: list[float] = field(default_factory=list)
    refused_after_s: list[float] = field(default_factory=list)

    @property
    def asked(self) -> int:
        """Number of requests; a caller's retry is the same request."""
        return sum(self.ends.values())

    @property
    def worth(self) -> float:
        """Earned share of the worth of all requests."""
        kind = self.kind
        earned = kind.worth * self.ends["in time"] + kind.late_worth * self.ends["late"]
        return earned / max(1.0, kind.worth * self.asked)


@dataclass
class ReplayResult:
    """Results of a replay; ``queued`` is (second, queued prompts).

    ``requests`` are all requests with their ends.
    """

    kinds: dict[str, KindResult]
    read_tokens: PrefilledTokens
    rate: float = 0.0
    queued: list[tuple[float, int]] = field(default_factory=list)
    requests: list[tuple[Arrival, str]] = field(default_factory=list)

    @property
    def worth(self) -> float:
        """Earned share of the worth of all requests, over all kinds."""
        owed = sum(item.kind.worth * item.asked for item in self.kinds.values())
        earned = sum(
            item.worth * item.kind.worth * item.asked for item in self.kinds.values()
        )
        return earned / owed if owed else 1.0


class FleetReplay:
    """One replay of a deployment."""

    def __init__(
        self, deployment: Deployment, seed: int, faults: dict[str, EngineFault]
    ):
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._faults = faults
        self._tokens = PrefilledTokens()
        self._result = ReplayResult(
            {item.name: KindResult(item) for item in deployment.kinds}, self._tokens
        )

    def run(self) -> ReplayResult:
        """Play all arrivals and return the results."""
        VirtualTime().run(self._main)
        return self._result

    async def _main(self) -> None:
        log = EventLog("replay")
        registry = UpstreamRegistry(lambda: None, log)
        self._estimates = FleetEstimates.from_registry(registry)
        self._engines = {
            item.upstream.upstream_id: item for item in self._build_engines()
        }
        registry.update(item.upstream for item in self._engines.values())
        table = self._table = _table_of(self._deployment)
        parts = SchedulingParts.from_estimates(self._estimates, lambda: table, log)
        retries = SharedRetryBudget(0.2, 56.0, 10.0, lambda: 1)
        self._scheduler = Scheduler(parts, retries)
        self._estimate_updater = EstimateUpdater(self._estimates, log)
        self._routes = {route.name: route for route in table.routes}
        await self._play()

    async def _play(self) -> None:
        started_at_s = now_s()
        async with curio.TaskGroup() as group:
            for arrival in arrivals(self._deployment, self._rng):
                await curio.sleep(max(0.0, started_at_s + arrival.at_s - now_s()))
                await group.spawn(self._send_request, arrival)
                self._note_queue(arrival.at_s)
        self._result.rate = self._estimates.prefill_rate(SERVICE)

    def _note_queue(self, at_s: float) -> None:
        queued = self._result.queued
        if not queued or at_s - queued[-1][0] >= 1.0:
            queue = self._scheduler.parts.planner.queue_length(SERVICE)
            queued.append((at_s, queue))

    def _build_engines(self) -> Iterable[SimulatedEngine]:
        deployment = self._deployment
        stages = [Stage.PREFILL] * deployment.prefills
        stages += [Stage.DECODE] * deployment.decodes
        for number, stage in enumerate(stages):
            name = f"{stage.value}-{number}"
            upstream = Upstream(
                name,
                SERVICE,
                Address("10.0.0.1", 1 + number),
                ZONES[number % len(ZONES)],
                deployment.costs.slots,
                stage=stage,
            )
            fault = self._faults.get(name)
            faults = (fault,) if fault else ()
            yield SimulatedEngine(
                upstream, deployment.costs, self._tokens, self._rng, faults
            )

    async def _send_request(self, arrival: Arrival) -> None:
        result = self._result.kinds[arrival.kind.name]
        asked_at_s = now_s()
        deadline_at_s = asked_at_s + arrival.kind.deadline_s
        for number in range(TRIES_MAX):
            call = self._call(arrival, number, deadline_at_s)
            came_at_s = now_s()
            end, back_after_s = await self._try(call, arrival, asked_at_s, result)
            if end == "refused":
                result.refused_after_s.append(now_s() - came_at_s)
            left_s = deadline_at_s - now_s()
            if back_after_s is None or back_after_s > RETURN_SHARE * left_s:
                break
            await curio.sleep(back_after_s)
        result.ends[end] += 1
        self._result.requests.append((arrival, end))

    async def _try(
        self,
        call: RoutedCall,
        arrival: Arrival,
        asked_at_s: float,
        result: KindResult,
    ) -> tuple[str, float | None]:
        """Return the outcome of a try, and the delay of the caller's retry, if any."""
        kind = arrival.kind
        leave_s = max(LEAVE_MIN_S, LEAVE_OBJECTIVES * kind.aim_s)
        try:
            async with curio.timeout_after(min(leave_s, call.remaining_s())):
                await curio.sleep(NETWORK_S)
                first_at_s, choice = await self._serve(call)
            first_s = first_at_s - asked_at_s
            result.first_event_s.append(first_s)
            engine = self._engines[choice.candidate.upstream.upstream_id]
            await engine.run(arrival.output_tokens)
            return ("in time" if first_s <= kind.aim_s else "late"), None
        except RequestError as exc:
            return "refused", exc.retry_after_s or 0.0
        except AttemptFailed:
            return "failed", None
        except curio.TaskTimeout:
            return "left", None

    async def _serve(self, call: RoutedCall) -> tuple[float, Choice]:
        """Return the time of the first event, and the engine that continues."""
        plan = await self._scheduler.place(call)
        call.placements += 1
        if plan.prefill is None:
            return await self._attempt(call, plan.decode, AttemptStage.RUN)
        await self._attempt(call, plan.prefill, AttemptStage.PREFILL)
        reader = plan.prefill.candidate.upstream
        choice = await self._scheduler.place_decode(call, reader)
        return await self._attempt(call, choice, AttemptStage.RUN, prefills_here=False)

    async def _attempt(
        self,
        call: RoutedCall,
        choice: Choice,
        stage: AttemptStage,
        prefills_here: bool = True,
    ) -> tuple[float, Choice]:
        grant = PlacedAttempt(call, choice, stage, prefills_here)
        grant.begin(self._scheduler, self._estimate_updater)
        started_at_s = now_s()
        cause = ABANDONED
        try:
            await curio.sleep(NETWORK_S)
            await self._work(call, choice, prefills_here)
            cause = ANSWERED
            return now_s(), choice
        finally:
            grant.end()
            elapsed_s = now_s() - started_at_s
            first_s = elapsed_s if cause == ANSWERED else None
            outcome = AttemptOutcome(cause, elapsed_s, first_s)
            self._estimate_updater.observe_outcome(
                call, choice, stage, outcome, prefills_here
            )

    async def _work(
        self, call: RoutedCall, choice: Choice, prefills_here: bool
    ) -> None:
        engine = self._engines[choice.candidate.upstream.upstream_id]
        if not prefills_here:
            await engine.take_over(call.prompt)
            return
        source = choice.fetch_from
        source_engine = self._engines[source.upstream_id] if source else None
        await engine.read(call.prompt, source_engine, prefill_urgency(call))

    def _call(self, arrival: Arrival, number: int, deadline_at_s: float) -> RoutedCall:
        call = RoutedCall(
            f"{arrival.number}-{number}",
            self._routes[arrival.kind.name],
            SERVICE,
            "POST",
            "/",
            [],
            b"",
            now_s(),
            deadline_at_s,
            prompt=arrival.prompt,
            zone=arrival.zone,
            customer=arrival.customer,
        )
        if self._table.customers is not None:
            call.urgencies = urgency_range(call.priority, self._table.priorities)
        return call


def _table_of(deployment: Deployment) -> RouteTable:
    routes = tuple(
        Route(
            kind.name,
            "host",
            f"/{kind.name}/",
            CallKind.STREAM,
            (WeightedService(SERVICE, 1.0),),
            kind.deadline_s,
            kind.aim_s,
            kind.priority,
            attempts_max=2,
            pause_s=PAUSE_S,
        )
        for kind in deployment.kinds
    )
    costs = deployment.costs
    engine = EngineSpec(costs.slots, costs.cache_tokens)
    services = {SERVICE: RoutedService(SERVICE, 100, engine)}
    customers = CustomerDirectory() if deployment.customers else None
    return RouteTable(1, routes, services, customers)
