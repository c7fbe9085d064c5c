"""Plans a completion: which engines prefill and decode it, and when."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..errors import ErrorKind, RequestError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.stage_utilization import StageUtilization
from ..process.upstreams import Stage
from .candidate import Candidate, Choice
from .candidate_finder import CandidateFinder
from .fair_queue import customer_fields
from .prefill_dispatch import (
    LONG_PREFILL_TOKENS,
    Dispatch,
    PrefillForecast,
    caller_timeout_s,
    choose_dispatch,
)
from .prefill_queue import QueuedCall
from .prefill_queues import PrefillQueues
from .routed_call import RoutedCall
from .shared_prefill import OnWait, ignore_wait, wait_for_prefix
from .size_fairness import SizeFairness
from .stage_plan import (
    FleetLoad,
    StagePlan,
    StageTransfers,
    fleet_prefill_rate,
    plan_stages,
)
from .urgency import queue_ahead_s
from .zone_cost import ZoneCosts

UNSERVABLE_RETRY_MIN_S = 0.3


@dataclass(frozen=True)
class DispatchPlan:
    """Plan of a completion, and whether to dispatch it now."""

    plan: StagePlan
    dispatch: Dispatch


class CompletionPlanner:
    """Plans completions; one instance serves the whole entry."""

    def __init__(
        self,
        finder: CandidateFinder,
        utilization: StageUtilization,
        fairness: SizeFairness,
        prefill_rate: Callable[[str], float],
        handoff_s: Callable[[str], float],
        log: EventLog,
        zone_costs: ZoneCosts,
    ):
        self._finder = finder
        self._utilization = utilization
        self._fairness = fairness
        self._prefill_rate = prefill_rate
        self._handoff_s = handoff_s
        self._log = log
        self._zone_costs = zone_costs
        self._queues = PrefillQueues(finder.has_customers)

    async def plan(
        self,
        call: RoutedCall,
        candidates: list[Candidate],
        on_wait: OnWait = ignore_wait,
    ) -> StagePlan:
        """Return the plan to execute now; long prompts may be queued first.

        ``candidates`` are the current ones, ``on_wait`` is called before the first
        wait. Raises RequestError if the call can't be answered before its caller
        disconnects.
        """
        call.prioritized = self._fairness.is_prioritized(
            call.call_id, call.route.name, call.prompt.own_tokens
        )
        find = partial(self._finder.current, call)
        decision = self._decide(call, candidates, is_new=True)
        if decision.dispatch is not Dispatch.UNSERVABLE:
            decision = await self._wait_for_prefix(
                call, decision, candidates, find, on_wait
            )
        if decision.dispatch is Dispatch.QUEUE or self._is_behind_others(
            call, decision
        ):
            await on_wait()
            decision = await self._wait_in_queue(call, decision.plan, find)
        if decision.dispatch is Dispatch.UNSERVABLE:
            self._queues.of(call.service).record_refused(call)
            raise self._unservable_error(call, decision.plan)
        self._record_dispatched(call, decision.plan)
        return decision.plan

    async def _wait_for_prefix(
        self,
        call: RoutedCall,
        decision: DispatchPlan,
        candidates: list[Candidate],
        find: Callable[[], list[Candidate]],
        on_wait: OnWait,
    ) -> DispatchPlan:
        """Return the decision once no prefix in prefill is worth waiting for."""
        rate = self._prefill_rate(call.service)
        refreshed = await wait_for_prefix(
            call, candidates, find, rate, self._log, on_wait
        )
        return decision if refreshed is candidates else self._decide(call, refreshed)

    @property
    def queues(self) -> PrefillQueues:
        """Queues of all services."""
        return self._queues

    def queue_length(self, service: str) -> int:
        """Return how many prompts of a service are queued."""
        return len(self._queues.of(service))

    def _is_behind_others(self, call: RoutedCall, decision: DispatchPlan) -> bool:
        """Whether queued prompts go before a call that wants the same engines.

        A call that is prefilled where it runs wants none of the prefill stage.
        """
        queue, plan = self._queues.of(call.service), decision.plan
        if not queue or plan.prefill is None:
            return False
        if decision.dispatch is Dispatch.UNSERVABLE:
            return False
        return _is_queueable(plan) or queue.must_wait(call)

    async def _wait_in_queue(
        self, call: RoutedCall, plan: StagePlan, find: Callable[[], list[Candidate]]
    ) -> DispatchPlan:
        queued_at_s = now_s()

        def decide() -> DispatchPlan | None:
            decision = self._decide(call, find())
            return None if decision.dispatch is Dispatch.QUEUE else decision

        choice = plan.first
        if plan.prefill is not None:
            self._record_demand(call, choice)
        forecast = self._forecast(call, choice)
        earliest_s = forecast.prefill_s + forecast.handoff_s
        queued_call = QueuedCall(
            call.arrived_at_s,
            on_time_until_s=queued_at_s + forecast.objective_left_s - earliest_s,
            unservable_at_s=queued_at_s + forecast.deadline_left_s - earliest_s,
            prioritized=call.prioritized,
            tokens=choice.prefill_tokens,
            fleet_rate=self._fleet_rate(call.service, find(), choice.prefill_tokens),
            decide=decide,
            refuse=lambda: DispatchPlan(plan, Dispatch.UNSERVABLE),
            priority=call.priority,
            customer=call.customer,
            stage=None if plan.prefill is None else Stage.PREFILL,
        )
        decision = await self._queues.of(call.service).wait(queued_call)
        self._log.write(
            Event.CALL_QUEUED,
            request=call.call_id,
            seconds=now_s() - queued_at_s,
            reason=decision.dispatch.value,
            **customer_fields(call, self._finder.has_customers()),
        )
        return decision

    def _queue_wait_s(
        self, call: RoutedCall, choice: Choice, candidates: list[Candidate]
    ) -> float:
        """Return the expected time in the queue of a prompt that arrives now."""
        queue = self._queues.of(call.service)
        return queue.expected_wait_s(
            queue.order_of(call),
            self._on_time_within_s(call, choice),
            self._fleet_rate(call.service, candidates, choice.prefill_tokens),
        )

    def _on_time_within_s(self, call: RoutedCall, choice: Choice) -> float:
        """Return within how many seconds a call must start to meet its objective."""
        forecast = self._forecast(call, choice)
        return forecast.objective_left_s - forecast.prefill_s - forecast.handoff_s

    def _fleet_rate(
        self, service: str, candidates: list[Candidate], tokens: int
    ) -> float:
        return fleet_prefill_rate(candidates, self._prefill_rate(service), tokens)

    def _record_demand(self, call: RoutedCall, choice: Choice) -> None:
        """Record the demand of a queued prompt.

        Engines are assigned to the stages by recorded demand.
        """
        prefill_s = choice.prefill_tokens / self._prefill_rate(call.service)
        self._utilization.record_prefill(call.service, Stage.PREFILL, prefill_s)
        call.demand_recorded = True

    def _unservable_error(self, call: RoutedCall, plan: StagePlan) -> RequestError:
        """Return the error of an unservable call; a later retry may find less load."""
        choice = plan.first
        queue_wait_s = self._queue_wait_s(call, choice, self._finder.current(call))
        forecast = self._forecast(call, choice, queue_wait_s)
        return RequestError(
            ErrorKind.UPSTREAM_OVERLOADED,
            f"the first event would take {forecast.first_event_s:.1f} s",
            ran=call.ran,
            retry_after_s=max(
                UNSERVABLE_RETRY_MIN_S, forecast.queue_wait_s + forecast.engine_queue_s
            ),
        )

    def _decide(
        self, call: RoutedCall, candidates: list[Candidate], is_new: bool = False
    ) -> DispatchPlan:
        """Return the decision on a call.

        The forecast for a call that ``is_new`` includes its expected time behind queued
        calls. If such a call isn't unservable, it is recorded as accepted.
        """
        plan = plan_stages(
            candidates,
            call.prompt,
            self._fleet_load(call, candidates),
            call.zone,
            call.route.pause_s,
            StageTransfers(
                self._zone_costs.for_prefill(call), self._zone_costs.for_direct(call)
            ),
        )
        if not _is_queueable(plan):
            return DispatchPlan(plan, Dispatch.ON_TIME)
        choice = plan.prefill
        queue_wait_s = self._queue_wait_s(call, choice, candidates) if is_new else 0.0
        has_queue = self.queue_length(call.service) > 0
        dispatch = choose_dispatch(
            self._forecast(call, choice, queue_wait_s), has_queue
        )
        if is_new and dispatch is not Dispatch.UNSERVABLE:
            self._record_accepted(call, choice, candidates)
        return DispatchPlan(plan, dispatch)

    def _record_accepted(
        self, call: RoutedCall, choice: Choice, candidates: list[Candidate]
    ) -> None:
        """Record a newly arrived call that is accepted, whether it is queued or not."""
        self._queues.of(call.service).record_accepted(
            choice.prefill_tokens,
            self._on_time_within_s(call, choice),
            self._fleet_rate(call.service, candidates, choice.prefill_tokens),
            call.priority,
        )

    def _record_dispatched(self, call: RoutedCall, plan: StagePlan) -> None:
        if plan.first is not None:
            queue = self._queues.of(call.service)
            queue.record_dispatched(call, plan.first.prefill_tokens)

    def _fleet_load(self, call: RoutedCall, candidates: list[Candidate]) -> FleetLoad:
        service = call.service
        rate = self._prefill_rate(service)
        queue = self._queues.of(service)
        queued_tokens = queue.tokens_ahead(queue.order_of(call))
        prefills = sum(item.upstream.stage is Stage.PREFILL for item in candidates)
        decodes = len(candidates) - prefills
        return FleetLoad(
            rate,
            self._utilization.utilization(service, Stage.PREFILL, prefills),
            self._utilization.utilization(service, Stage.DECODE, decodes),
            queued_tokens / (max(1, prefills) * rate),
            self._handoff_s(service),
        )

    def _forecast(
        self, call: RoutedCall, choice: Choice, queue_wait_s: float = 0.0
    ) -> PrefillForecast:
        candidate = choice.candidate
        rate = self._prefill_rate(call.service) / candidate.slowdown
        elapsed_s = now_s() - call.arrived_at_s
        return PrefillForecast(
            engine_queue_s=candidate.limit_wait_s
            + queue_ahead_s(candidate.prompt_tokens / rate, call.prioritized),
            prefill_s=choice.prefill_tokens / rate,
            handoff_s=self._handoff_s(call.service),
            objective_left_s=call.route.objective_s - elapsed_s,
            deadline_left_s=min(
                call.remaining_s(), caller_timeout_s(call.route) - elapsed_s
            ),
            queue_wait_s=queue_wait_s,
        )


def _is_queueable(plan: StagePlan) -> bool:
    """Whether a plan has a long prompt prefilled, which may wait for an engine."""
    choice = plan.prefill
    return choice is not None and choice.prefill_tokens >= LONG_PREFILL_TOKENS
