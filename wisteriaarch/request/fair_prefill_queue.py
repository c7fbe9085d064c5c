"""Queue of long prompts that is ordered by priority and fair between customers.

Load: more long prompts arrive than the engines can prefill, most of them from one
customer or of one kind. Prompts are dispatched and refused in the order of
``fair_queue``: the expected wait of each counts what goes before it, so the burst of a
large customer is refused before the calls of others. The order decides between calls
that want the same engine: a call whose engine is free never waits for more urgent ones
that wait for another. Short prompts for the prefill stage wait, too, if their customer
is ahead of its share: many of them would take the engines from other customers.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator

from ..process.clock import now_s
from ..process.stage_utilization import DECAY_S, DecayingSum
from ..process.upstreams import Stage
from .fair_queue import FairOrder, Turn
from .prefill_dispatch import LONG_PREFILL_TOKENS, UNSERVABLE_FACTOR
from .prefill_queue import (
    EVALUATED_MAX,
    SPARE_SHARE_MIN,
    Decision,
    PrefillQueue,
    QueuedCall,
)
from .routed_call import RoutedCall


class FairPrefillQueue(PrefillQueue[Decision]):
    """Queued calls of one service of a deployment with customers."""

    def __init__(self, clock: Callable[[], float] = now_s):
        super().__init__(clock)
        self._order = FairOrder()
        self._on_time_by_priority: dict[int, DecayingSum] = defaultdict(DecayingSum)

    def order_of(self, call: RoutedCall) -> Turn:
        """Return the turn of a call that may be queued."""
        return Turn(call.priority, call.customer, call.arrived_at_s, call.prioritized)

    def must_wait(self, call: RoutedCall) -> bool:
        """Whether even a short prompt must not overtake those that are queued.

        Its customer has had more than its share by one long prompt.
        """
        return self._order.lead(self.order_of(call), self._calls) > LONG_PREFILL_TOKENS

    def waiting(self) -> list[Turn]:
        """Return the turns of the queued calls."""
        return [call.turn for call in self._calls]

    def record_dispatched(self, call: RoutedCall, tokens: int) -> None:
        """Record a call that is dispatched, whether it was queued or not."""
        self._order.charge(self.order_of(call), tokens, self._calls, self._clock())

    def record_refused(self, call: RoutedCall) -> None:
        """Record a call that is refused, whether it was queued or not."""
        self._order.refuse(self.order_of(call), self._clock())

    def record_accepted(
        self,
        tokens: int,
        on_time_within_s: float,
        fleet_rate: float,
        priority: int = 0,
    ) -> None:
        """Record a call that is accepted, whether it is queued or not."""
        if on_time_within_s >= 0:
            work_s = tokens / fleet_rate
            self._on_time_by_priority[priority].add(work_s, self._clock())

    def tokens_ahead(self, order: Turn) -> float:
        """Return how many tokens are queued ahead of a call with this turn."""
        return self._order.cost_ahead(order, self._calls, self._clock())

    def expected_wait_s(
        self, order: Turn, on_time_within_s: float, fleet_rate: float
    ) -> float:
        """Return how long a call that arrives now would be queued.

        More urgent calls and those before it use a part of the capacity.
        """
        now = self._clock()
        ahead = self._order.cost_ahead(order, self._calls, now)
        wait_s = ahead / (fleet_rate * self._share_left(order.priority - 1))
        if wait_s <= on_time_within_s:
            return wait_s
        ahead = self._order.cost_ahead(order, self._calls, now, is_overdue=True)
        return ahead / (fleet_rate * self._share_left(order.priority))

    def _share_left(self, priority: int) -> float:
        """Return the share of capacity left by calls on time up to a priority."""
        now = self._clock()
        work_s = sum(
            item.value_at(now)
            for level, item in self._on_time_by_priority.items()
            if level <= priority
        )
        return max(SPARE_SHARE_MIN, 1 - work_s / DECAY_S)

    async def wait(self, call: QueuedCall[Decision]) -> Decision:
        """Queue a call and return the decision on it."""
        self._order.enter(call.turn)
        return await super().wait(call)

    def poll(self) -> Iterator[QueuedCall[Decision]]:
        """Yield the calls that are decided, after removing them from the queue.

        A call doesn't start while one that goes before it waits for the same engines:
        more urgent ones, and within a priority, those that can meet their objective.
        """
        now = self._clock()
        yield from self._refuse(
            [call for call in self._calls if now > call.unservable_at_s]
        )
        wanted: set[Stage] = set()
        for calls in self._groups(now):
            yield from self._dispatch_group(
                [call for call in calls if call.stage not in wanted]
            )
            wanted.update(
                call.stage
                for call in calls
                if call.stage is not None and call in self._calls
            )
        yield from self._refuse(self._find_unservable(now))

    def _groups(self, now: float) -> list[list[QueuedCall[Decision]]]:
        """Return the calls by priority, of each those on time and the overdue ones."""
        groups: dict[tuple[int, bool], list[QueuedCall[Decision]]] = defaultdict(list)
        for call in self._order.sort(self._calls, now):
            groups[call.priority, now > call.on_time_until_s].append(call)
        return list(groups.values())

    def _dispatch_group(
        self, calls: list[QueuedCall[Decision]]
    ) -> Iterator[QueuedCall[Decision]]:
        """Yield the calls of a group for which an engine is free, in their order.

        Those behind the first ones that wait want the same engines.
        """
        held = 0
        for call in calls:
            if call not in self._calls:
                continue
            call.decision = call.decide()
            if call.decision is not None:
                self._calls.remove(call)
                yield call
                continue
            held += 1
            if held >= EVALUATED_MAX:
                return

    def _find_unservable(self, now: float) -> list[QueuedCall[Decision]]:
        """Return the calls that can't start before their deadline in this order."""
        unservable = []
        tokens = 0.0
        for call in self._order.sort(self._calls, now):
            is_overdue = now > call.on_time_until_s
            share = self._share_left(call.priority - (not is_overdue))
            starts_in_s = tokens / (call.fleet_rate * share) / UNSERVABLE_FACTOR
            if now + starts_in_s > call.unservable_at_s:
                unservable.append(call)
            else:
                tokens += call.tokens
        return unservable
