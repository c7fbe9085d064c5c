"""Places calls on the upstreams of a service, using this entry's estimates.

The entry that schedules a service tracks all of its calls in flight and places calls
for every entry. Another entry that reaches no scheduler makes the same decisions from
its own estimates.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import curio

from ..errors import ErrorKind, RequestError
from ..event_log import EventLog
from ..process.clock import now_s
from ..process.fleet_estimates import FleetEstimates
from ..process.upstreams import Upstream
from ..version.route_table import RouteTable
from .attempt_failures import AttemptFailed, FailureReason
from .candidate import Choice, can_run
from .candidate_finder import CandidateFinder
from .placement import place_decode
from .planner import CompletionPlanner
from .request_limiter import SCHEDULER_IDLE_S, RequestLimiter, entry_share
from .routed_call import RoutedCall
from .service_planner import ServicePlanner
from .shared_prefill import OnWait, ignore_wait
from .shared_retry_budget import SharedRetryBudget
from .size_fairness import SizeFairness
from .stage_plan import StagePlan
from .stream_software import AnySoftware, StreamSoftware
from .zone_cost import ZoneCosts
from .zone_log import ZoneLog

RETRY_AFTER_S = 0.3


@dataclass(frozen=True)
class SchedulingParts:
    """Components shared by the schedulers of one entry."""

    estimates: FleetEstimates
    finder: CandidateFinder
    planner: CompletionPlanner
    service_planner: ServicePlanner
    fairness: SizeFairness
    limiter: RequestLimiter
    stream_software: StreamSoftware
    zone_costs: ZoneCosts
    zone_log: ZoneLog

    @classmethod
    def from_estimates(
        cls,
        estimates: FleetEstimates,
        routes: Callable[[], RouteTable | None],
        log: EventLog,
        limit_share: Callable[[], float] = lambda: entry_share(1, has_scheduler=False),
        rng: random.Random | None = None,
        stream_software: StreamSoftware | None = None,
    ) -> "SchedulingParts":
        """Create the components from an entry's estimates.

        ``limit_share`` returns the share of an upstream's request limit that this entry
        may use for calls that it places for itself only. Without ``stream_software``,
        all upstreams of a service are taken to have one software version.
        """
        limiter = RequestLimiter(estimates.limits, limit_share, rng or random.Random())
        finder = CandidateFinder(estimates, routes, limiter)
        fairness = SizeFairness()
        zone_costs = ZoneCosts(estimates.transfer_sizes)
        planner = CompletionPlanner(
            finder,
            estimates.utilization,
            fairness,
            estimates.prefill_rate,
            estimates.handoff_s,
            log,
            zone_costs,
        )
        return cls(
            estimates,
            finder,
            planner,
            ServicePlanner(finder, estimates.service_times, log, zone_costs),
            fairness,
            limiter,
            stream_software or AnySoftware(),
            zone_costs,
            ZoneLog(zone_costs, estimates, log),
        )


class Scheduler:
    """Places calls, and retries of calls within the budget ``retries``.

    With ``serves_fleet`` it places the calls of all entries.
    """

    def __init__(
        self,
        parts: SchedulingParts,
        retries: SharedRetryBudget,
        serves_fleet: bool = False,
    ):
        self._parts = parts
        self._serves_fleet = serves_fleet
        self._placed_at_s: dict[str, float] = {}
        self.retries = retries

    @property
    def parts(self) -> SchedulingParts:
        """Components that this scheduler shares with others of the same entry."""
        return self._parts

    async def place(self, call: RoutedCall, on_wait: OnWait = ignore_wait) -> StagePlan:
        """Return which engines prefill and run a call now; the call may be queued.

        Raises RequestError if the call is refused, AttemptFailed if no upstream is
        available now.
        """
        if not self._serves_fleet:
            return await self._place(call, on_wait)
        self._parts.limiter.record_scheduled_call(call.service)
        offered, work = self._parts.estimates.offered, call.work
        offered.record(call.service, call.priority, work)
        try:
            return await self._place(call, on_wait)
        except (RequestError, AttemptFailed):
            offered.record_refused(call.service, work)
            raise

    async def _place(self, call: RoutedCall, on_wait: OnWait) -> StagePlan:
        self._count_call(call)
        self._restart_warm_up_after_gap(call.service)
        await self._parts.stream_software.admit(call)
        plan = await self._plan(call, on_wait)
        first_choice = plan.prefill or plan.decode
        self._parts.zone_log.write(call, first_choice)
        software = first_choice.candidate.upstream.software
        await self._acquire_permit(first_choice, on_wait)
        self._parts.stream_software.record(call, software)
        return plan

    async def _plan(self, call: RoutedCall, on_wait: OnWait) -> StagePlan:
        candidates = await self._parts.finder.find(call)
        if not any(can_run(item) for item in candidates):
            raise self._no_upstream_error(call)
        call.retries_left = self.retries.remaining(call.service)
        if call.prompt is None or self._parts.finder.engine_spec(call.service) is None:
            choice = await self._parts.service_planner.plan(call, candidates, on_wait)
            return StagePlan(None, choice)
        plan = await self._parts.planner.plan(call, candidates, on_wait)
        if plan.prefill is None and plan.decode is None:
            raise AttemptFailed(FailureReason.NOTHING_SENT, "no engine is left")
        if plan.prefill is not None and not self.retries.try_acquire_prefill(
            call.service, call.prefills
        ):
            return replace(plan, prefill=None)
        return plan

    def _restart_warm_up_after_gap(self, service: str) -> None:
        """Restart the index's warm-up if another entry may have scheduled the service.

        The index has no record of what that entry placed.
        """
        now = now_s()
        placed_at_s = self._placed_at_s.get(service, float("-inf"))
        self._placed_at_s[service] = now
        if now - placed_at_s > SCHEDULER_IDLE_S:
            self._parts.estimates.prefix_cache.restart_warm_up()

    def _count_call(self, call: RoutedCall) -> None:
        """Count a call, or use one retry of the budget; raises RequestError."""
        if call.placements == 0:
            self.retries.record_request(call.service)
        elif not self.retries.try_acquire(call.service):
            raise RequestError(
                ErrorKind.UPSTREAM_OVERLOADED,
                "too many requests are being repeated",
                ran=call.ran,
                retry_after_s=RETRY_AFTER_S,
            )

    def _no_upstream_error(self, call: RoutedCall) -> RequestError:
        return RequestError(
            ErrorKind.NO_UPSTREAM,
            "no upstream of the service is left",
            ran=call.ran,
            retry_after_s=max(RETRY_AFTER_S, self._shortest_wait_s(call.service)),
        )

    def _shortest_wait_s(self, service: str) -> float:
        """Return after what time an upstream may be asked again, 0 if it may be now.

        It has requested a backoff, or states a request limit.
        """
        estimates = self._parts.estimates
        names = [item.upstream_id for item in estimates.registry.usable(service)]
        limits = self._parts.limiter.limited_rates(names, service)
        waits = (
            max(
                estimates.loads.of(name).health.backoff_left_s(now_s()),
                limits[name].wait_s if name in limits else 0.0,
            )
            for name in names
        )
        return min((wait_s for wait_s in waits if wait_s > 0), default=0.0)

    async def _acquire_permit(self, choice: Choice, on_wait: OnWait) -> None:
        """Wait for a permit to send a request to an upstream with a request limit.

        Raises AttemptFailed if the upstream accepts no new work any more by then.
        """
        upstream = choice.candidate.upstream
        wait_s = self._parts.limiter.acquire(upstream.upstream_id, upstream.service)
        if wait_s <= 0:
            return
        await on_wait()
        await curio.sleep(wait_s)
        if self._parts.estimates.registry.get_usable(upstream.upstream_id) is None:
            raise AttemptFailed.nothing_sent("the upstream left while the call waited")

    async def place_decode(
        self,
        call: RoutedCall,
        prefill_engine: Upstream,
        on_wait: OnWait = ignore_wait,
    ) -> Choice:
        """Return the engine that decodes what ``prefill_engine`` has prefilled.

        It has the same software version. Raises AttemptFailed if there is none.
        """
        engines = [
            item
            for item in self._parts.finder.current(
                call, excluded_stage=prefill_engine.stage
            )
            if item.upstream.software == prefill_engine.software
        ]
        rate = self._parts.estimates.prefill_rate(call.service)
        transfer = self._parts.zone_costs.for_decode(call, prefill_engine)
        choice = place_decode(engines, call.prompt, rate, prefill_engine.zone, transfer)
        if choice is None:
            raise AttemptFailed(
                FailureReason.NOTHING_SENT,
                "no engine runs prompts",
            )
        await self._acquire_permit(choice, on_wait)
        return choice
