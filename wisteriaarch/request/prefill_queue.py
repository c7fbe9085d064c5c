"""Queue of long prompts that wait for a free prefill engine.

In an overload of tens of seconds more long prompts arrive than the engines can prefill.
If all were sent to the engines, each would be overdue there; so the queues of the
engines are kept short, and the prompts are queued here in order of arrival, prioritized
ones first. All of them want the same engines, and one is busy with a prompt until its
end. So prompts that can still meet their objective go before overdue ones, which use
the remaining capacity; an overdue one that can't start before its deadline is
refused at once. Hundreds may be queued at the entry that schedules them, and only the
first few are evaluated at a time.
"""

from collections.abc import Callable, Generator, Iterable, Iterator
from dataclasses import dataclass, field
from functools import cached_property
from typing import Generic, TypeVar

import curio

from ..process.clock import now_s
from ..process.stage_utilization import DECAY_S, DecayingSum
from ..process.upstreams import Stage
from .fair_queue import Turn
from .prefill_dispatch import UNSERVABLE_FACTOR
from .routed_call import RoutedCall

POLL_INTERVAL_S = 0.01
EVALUATED_MAX = 4
# Minimum share of the engines' prefill capacity assumed for overdue calls.
SPARE_SHARE_MIN = 0.1

Decision = TypeVar("Decision")


@dataclass(eq=False)
class QueuedCall(Generic[Decision]):
    """One call in the queue.

    ``decide`` returns None while no engine can accept the call, ``refuse`` returns the
    decision on an unservable call. A call meets its objective if it starts by
    ``on_time_until_s``, and its deadline if it starts by ``unservable_at_s``.
    ``tokens`` are to be prefilled by engines with a combined rate of ``fleet_rate``
    tokens a second. ``priority`` and ``customer`` count only in a queue that is fair
    between customers, and ``stage``: the engines that the call waits for, None if it
    needs no other engine than those that are free.
    """

    arrived_at_s: float
    on_time_until_s: float
    unservable_at_s: float
    prioritized: bool
    tokens: int
    fleet_rate: float
    decide: Callable[[], Decision | None]
    refuse: Callable[[], Decision]
    priority: int = 0
    customer: str = ""
    stage: Stage | None = None
    decision: Decision | None = None
    decided: curio.Event = field(default_factory=curio.Event)

    @property
    def order(self) -> tuple[bool, float]:
        """Sort key: prioritized calls first, then by arrival."""
        return (not self.prioritized, self.arrived_at_s)

    @cached_property
    def turn(self) -> Turn:
        """Place in a queue that is fair between customers."""
        return Turn(self.priority, self.customer, self.arrived_at_s, self.prioritized)

    @property
    def cost(self) -> float:
        """Expected work, in tokens to prefill."""
        return self.tokens


class PrefillQueue(Generic[Decision]):
    """Queued calls of one service; a task polls them while there are any."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._on_time_work = DecayingSum()
        self._calls: list[QueuedCall[Decision]] = []
        self._is_polling = False

    def __len__(self) -> int:
        return len(self._calls)

    def order_of(self, call: RoutedCall) -> tuple[bool, float]:
        """Return the sort key of a call that may be queued."""
        return (not call.prioritized, call.arrived_at_s)

    def must_wait(self, call: RoutedCall) -> bool:
        """Whether even a short prompt must not overtake those that are queued."""
        return False

    def record_dispatched(self, call: RoutedCall, tokens: int) -> None:
        """Record a call that is dispatched, whether it was queued or not."""

    def record_refused(self, call: RoutedCall) -> None:
        """Record a call that is refused, whether it was queued or not."""

    def tokens_ahead(self, order: tuple[bool, float]) -> int:
        """Return how many tokens are queued ahead of a call with this sort key."""
        return sum(item.tokens for item in self._calls if item.order < order)

    @property
    def _spare_share(self) -> float:
        """Share of prefill capacity not used by calls that can meet their objective."""
        on_time_share = self._on_time_work.value_at(self._clock()) / DECAY_S
        return max(SPARE_SHARE_MIN, 1 - on_time_share)

    def record_accepted(
        self,
        tokens: int,
        on_time_within_s: float,
        fleet_rate: float,
        priority: int = 0,
    ) -> None:
        """Record a call that is accepted, whether it is queued or not.

        It meets its objective if it starts within ``on_time_within_s``. Refused calls
        use no engine time, however often their callers retry them, so they aren't
        recorded.
        """
        if on_time_within_s >= 0:
            self._on_time_work.add(tokens / fleet_rate, self._clock())

    def expected_wait_s(
        self, order: tuple[bool, float], on_time_within_s: float, fleet_rate: float
    ) -> float:
        """Return how long a call that arrives now would be queued.

        A call that can't meet its objective is queued behind all others and uses the
        remaining capacity.
        """
        now = self._clock()
        on_time_tokens = sum(
            item.tokens
            for item in self._calls
            if item.order < order and now <= item.on_time_until_s
        )
        if on_time_tokens / fleet_rate <= on_time_within_s:
            return on_time_tokens / fleet_rate
        tokens = sum(item.tokens for item in self._calls)
        return tokens / (fleet_rate * self._spare_share)

    async def wait(self, call: QueuedCall[Decision]) -> Decision:
        """Queue a call and return the decision on it."""
        self._calls.append(call)
        try:
            if not self._is_polling:
                self._is_polling = True
                await curio.spawn(self._poll_until_empty, daemon=True)
            await call.decided.wait()
            return call.decision
        finally:
            if call in self._calls:
                self._calls.remove(call)

    async def _poll_until_empty(self) -> None:
        try:
            while self._calls:
                for call in self.poll():
                    await call.decided.set()
                    # Let it be dispatched, so that the next decision sees its load.
                    await curio.sleep(0)
                await curio.sleep(POLL_INTERVAL_S)
        finally:
            self._is_polling = False

    def poll(self) -> Iterator[QueuedCall[Decision]]:
        """Yield the calls that are decided, after removing them from the queue.

        A yielded call may change the engines' load before the next one is decided, and
        other calls may be removed meanwhile.
        """
        now = self._clock()
        ordered = sorted(self._calls, key=lambda call: call.order)
        on_time = [call for call in ordered if now <= call.on_time_until_s]
        overdue = [call for call in ordered if now > call.on_time_until_s]
        yield from self._refuse(self._find_unservable(on_time, overdue, now))
        if (yield from self._dispatch_first(on_time)):
            yield from self._dispatch_first(overdue)

    def _refuse(
        self, calls: Iterable[QueuedCall[Decision]]
    ) -> Iterator[QueuedCall[Decision]]:
        """Yield the calls that are refused, after removing them from the queue."""
        for call in calls:
            if call in self._calls:
                call.decision = call.refuse()
                self._calls.remove(call)
                yield call

    def _find_unservable(
        self,
        on_time: list[QueuedCall[Decision]],
        overdue: list[QueuedCall[Decision]],
        now: float,
    ) -> list[QueuedCall[Decision]]:
        """Return the overdue calls that can't start before their deadline."""
        unservable = []
        spare_share = self._spare_share
        tokens = sum(call.tokens for call in on_time)
        for call in overdue:
            rate = call.fleet_rate * spare_share
            starts_at_s = now + tokens / rate / UNSERVABLE_FACTOR
            if starts_at_s > call.unservable_at_s:
                unservable.append(call)
            else:
                tokens += call.tokens
        return unservable

    def _dispatch_first(
        self, calls: list[QueuedCall[Decision]]
    ) -> Generator[QueuedCall[Decision], None, bool]:
        """Yield the dispatched ones of the first few calls; return whether all were."""
        for call in calls[:EVALUATED_MAX]:
            if call not in self._calls:
                continue
            call.decision = call.decide()
            if call.decision is not None:
                self._calls.remove(call)
                yield call
        return not any(call in self._calls for call in calls)
