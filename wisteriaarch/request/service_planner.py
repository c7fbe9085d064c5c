"""Places plain calls on the upstreams of their service, and lets them wait.

Meant for many short calls on upstreams with few slots and different speeds, also while
more of them arrive than the upstreams serve.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass, replace
from functools import partial

from ..errors import ErrorKind, RequestError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.service_times import ServiceTimes
from ..version.route_table import CallKind
from .candidate import Candidate, Choice
from .candidate_finder import CandidateFinder
from .fair_queue import Turn, customer_fields
from .placement import place_service_call
from .routed_call import RoutedCall
from .service_queue import POLL_INTERVAL_S, ServiceQueue, WaitingCall
from .shared_prefill import OnWait, ignore_wait
from .zone_cost import TransferCost, ZoneCosts, zone_loads

RETRY_AFTER_MIN_S = 0.3
# A call meets its objective if it starts this many service times before.
ON_TIME_MARGIN = 1.5


@dataclass(frozen=True)
class Refusal:
    """Decision on a call that can't meet its deadline."""

    wait_s: float


def turn_of(call: RoutedCall) -> Turn:
    """Return the place of a call in the order; without customers they share one."""
    return Turn(call.priority, call.customer, call.arrived_at_s)


class ServicePlanner:
    """Places plain calls; one instance serves the whole entry."""

    def __init__(
        self,
        finder: CandidateFinder,
        times: ServiceTimes,
        log: EventLog,
        zone_costs: ZoneCosts,
    ):
        self._zone_costs = zone_costs
        self._finder = finder
        self._times = times
        self._log = log
        self._queues: dict[str, ServiceQueue[Choice | Refusal]] = defaultdict(
            ServiceQueue
        )

    def queue_length(self, service: str) -> int:
        """Return how many calls of a service wait."""
        return len(self._queues[service])

    def waiting(self, service: str) -> list[Turn]:
        """Return the turns of the calls of a service that wait."""
        return self._queues[service].waiting()

    async def plan(
        self,
        call: RoutedCall,
        candidates: list[Candidate],
        on_wait: OnWait = ignore_wait,
    ) -> Choice:
        """Return the upstream to send a call to now; the call may wait first.

        ``candidates`` are the current ones, ``on_wait`` is called before a wait. Raises
        RequestError if the call can't be answered before its deadline.
        """
        queue = self._queues[call.service]
        turn, work_s = turn_of(call), self._service_s(call)
        on_time_within_s = self._on_time_within_s(call, work_s)
        if call.placements == 0:
            self._zone_costs.record_demand(call, work_s)
        choice = self._decide(call, candidates)
        is_free = choice is not None
        if is_free and self._is_behind_others(call, choice):
            choice = None
        wait_s = 0.0
        if choice is None:
            wait_s = queue.expected_wait_s(
                turn, on_time_within_s, capacity_of(candidates)
            )
        is_served_in_order = wait_s + work_s <= call.remaining_s()
        if not is_served_in_order and not is_free:
            raise self._refuse(call, wait_s)
        if on_time_within_s >= 0 and is_served_in_order:
            queue.record_accepted(call.priority, work_s)
        if choice is None:
            await on_wait()
            choice = await self._wait(call, candidates, work_s)
        queue.record_dispatched(turn, work_s)
        return choice

    def _is_behind_others(self, call: RoutedCall, choice: Choice) -> bool:
        """Whether a call would overtake calls that wait for the same upstreams."""
        group = self._group(call)
        if group and choice.candidate.upstream.zone != group:
            return False
        ahead_s = self._queues[call.service].work_ahead_s(turn_of(call), group)
        return ahead_s > 0

    def _group(self, call: RoutedCall) -> str:
        """Return the zone whose upstreams a call waits for; empty for all zones."""
        return "" if self._zone_costs.price is None else call.zone

    async def _wait(
        self, call: RoutedCall, candidates: list[Candidate], work_s: float
    ) -> Choice:
        queue, waits_from_s = self._queues[call.service], now_s()
        capacity = capacity_of(candidates)
        find = partial(self._finder.current, call)

        def refuse() -> Refusal:
            turn = replace(turn_of(call), arrived_at_s=now_s())
            return Refusal(queue.expected_wait_s(turn, 0.0, capacity_of(find())))

        decision = await queue.wait(
            WaitingCall(
                call.priority,
                call.arrived_at_s,
                on_time_until_s=waits_from_s + self._on_time_within_s(call, work_s),
                unservable_at_s=waits_from_s + call.remaining_s() - work_s,
                work_s=work_s,
                capacity=capacity,
                decide=lambda: self._decide(call, find(), own_work_s=work_s),
                refuse=refuse,
                group=self._group(call),
                customer=call.customer,
                choices=_choices(call),
            )
        )
        is_refused = isinstance(decision, Refusal)
        self._log.write(
            Event.CALL_QUEUED,
            request=call.call_id,
            seconds=now_s() - waits_from_s,
            reason="deadline" if is_refused else "free slot",
            **customer_fields(call, self._finder.has_customers()),
        )
        if is_refused:
            raise self._refuse(call, decision.wait_s)
        return decision

    def _refuse(self, call: RoutedCall, wait_s: float) -> RequestError:
        """Return the error of a call that can't meet its deadline."""
        self._queues[call.service].record_refused(turn_of(call))
        return _refusal_error(call, wait_s)

    def _decide(
        self,
        call: RoutedCall,
        candidates: Sequence[Candidate],
        own_work_s: float = 0.0,
    ) -> Choice | Refusal | None:
        """Return the upstream for a call; None while it should wait for one.

        Refuses the call if there are no candidates. ``own_work_s`` is its work in the
        queue, 0 if it doesn't wait yet.
        """
        if not candidates:
            return Refusal(RETRY_AFTER_MIN_S)
        service_s = self._service_s(call)
        is_full = self._fullness(call, service_s)
        regular = [item for item in candidates if not item.is_suspended]
        if regular and all(is_full(item) for item in regular):
            return None
        if self._zone_costs.price is not None:
            usable = [
                item
                for item in regular or candidates
                if item.upstream.zone == call.zone or not is_full(item)
            ]
            transfer = self._transfer_cost(call, usable, service_s, own_work_s)
            choice = place_service_call(usable, call.zone, service_s, transfer)
            return None if regular and is_full(choice.candidate) else choice
        free = [item for item in candidates if not is_full(item)]
        return place_service_call(free or candidates, call.zone, service_s)

    def _transfer_cost(
        self,
        call: RoutedCall,
        candidates: Sequence[Candidate],
        service_s: float,
        own_work_s: float,
    ) -> TransferCost:
        """Return the cost of a call by zone, with the waits there.

        A call that leaves a queue shortens the wait of all behind it by as much as its
        own, so that all calls of a zone's queue count, whatever its place.
        """
        costs, queue = self._zone_costs, self._queues[call.service]

        def waiting_s(zone: str) -> float:
            own_s = own_work_s if zone == call.zone else 0.0
            return max(0.0, queue.group_work_s(zone) - own_s)

        loads = zone_loads(
            candidates,
            service_s,
            self._times.report_delay_s(call.service),
            lambda zone: costs.demand(call.service, zone),
            waiting_s,
        )
        return costs.for_plain_call(call, loads)

    def _fullness(
        self, call: RoutedCall, service_s: float
    ) -> Callable[[Candidate], bool]:
        """Return the predicate of upstreams that can't begin another call soon.

        An upstream is sent a few calls in advance, as many as it ends until the next
        one can arrive there.
        """
        lead_s = POLL_INTERVAL_S + self._times.report_delay_s(call.service)

        def is_full(item: Candidate) -> bool:
            slots = max(1, item.upstream.slots)
            ended = slots * lead_s / (service_s * item.slowdown)
            return item.upstream.slots > 0 and item.occupied >= slots + math.ceil(ended)

        return is_full

    def _service_s(self, call: RoutedCall) -> float:
        return self._times.service_s(call.service, call.route.name)

    def _on_time_within_s(self, call: RoutedCall, work_s: float) -> float:
        """Return within how many seconds a call must start to meet its objective.

        That of a stream is for its first event, which comes long before its end.
        """
        elapsed_s = now_s() - call.arrived_at_s
        margin_s = self._times.report_delay_s(call.service)
        if call.route.kind is not CallKind.STREAM:
            margin_s += ON_TIME_MARGIN * work_s
        return call.route.objective_s - elapsed_s - margin_s


def _choices(call: RoutedCall) -> Hashable:
    """Return what limits the upstreams that may run a call."""
    return frozenset(call.tried_upstreams), call.software, call.usable_software


def capacity_of(candidates: Sequence[Candidate]) -> float:
    """Return the work of the upstreams, in seconds of average speed a second."""
    usable = [item for item in candidates if not item.is_suspended] or candidates
    return sum(max(1, item.upstream.slots) / item.slowdown for item in usable)


def _refusal_error(call: RoutedCall, wait_s: float) -> RequestError:
    """Return the error of a call that can't meet its deadline."""
    return RequestError(
        ErrorKind.UPSTREAM_OVERLOADED,
        f"the call would wait {wait_s:.1f} s for an upstream",
        ran=call.ran,
        retry_after_s=max(RETRY_AFTER_MIN_S, min(wait_s, call.route.timeout_s)),
    )
