"""Queue of plain calls that wait until an upstream of their service has a free slot.

For seconds or tens of seconds 1.1 to 2.4 times as many calls may arrive as the
upstreams serve. An upstream with few slots and a short queue of its own would decline
the excess, each time at the cost of an attempt; so calls wait here, in an order that
the upstreams don't know. More urgent priorities go first. Within a priority, calls that
can still meet their objective go before overdue ones, in order of arrival. A call that
can't meet its deadline is refused as soon as that is known.

Between customers the order of ``fair_queue`` holds; without customers that is the order
of arrival.

Work is counted in seconds on an upstream of average speed, and the capacity of a
service in such seconds a second.
"""

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass, field
from functools import cached_property
from typing import Generic, TypeVar

import curio

from ..process.clock import now_s
from ..process.stage_utilization import DECAY_S, DecayingSum
from .fair_queue import FairOrder, Turn

POLL_INTERVAL_S = 0.005
# Calls with the same choices that are evaluated although those before them must wait.
EVALUATED_MAX = 2
# Minimum share of the capacity assumed for calls that others go before.
SHARE_MIN = 0.1
# A waiting call is refused only if the prediction is exceeded by this factor.
REFUSAL_MARGIN = 1.3

Decision = TypeVar("Decision")


@dataclass(eq=False)
class WaitingCall(Generic[Decision]):
    """One call in the queue.

    ``priority`` 0 is the most urgent. The call meets its objective if it starts by
    ``on_time_until_s``, and its deadline if it starts by ``unservable_at_s``. Calls of
    one ``group`` wait for the upstreams of one zone; those with the same ``choices``
    may use the same ones of them. ``capacity`` is that of its service.
    ``decide`` returns None while no upstream can take the call, ``refuse`` the decision
    on a call that can't meet its deadline.
    """

    priority: int
    arrived_at_s: float
    on_time_until_s: float
    unservable_at_s: float
    work_s: float
    capacity: float
    decide: Callable[[], Decision | None]
    refuse: Callable[[], Decision]
    group: str = ""
    customer: str = ""
    choices: Hashable = None
    decision: Decision | None = None
    decided: curio.Event = field(default_factory=curio.Event)

    @cached_property
    def turn(self) -> Turn:
        """Place in the order."""
        return Turn(self.priority, self.customer, self.arrived_at_s)

    @property
    def cost(self) -> float:
        """Expected work."""
        return self.work_s


class ServiceQueue(Generic[Decision]):
    """Waiting calls of one service; a task polls them while there are any."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._calls: list[WaitingCall[Decision]] = []
        self._on_time_work: dict[int, DecayingSum] = defaultdict(DecayingSum)
        self._order = FairOrder()
        self._is_polling = False

    def __len__(self) -> int:
        return len(self._calls)

    def group_work_s(self, group: str) -> float:
        """Return the waiting work of a group."""
        return sum(item.work_s for item in self._calls if item.group == group)

    def waiting(self) -> list[Turn]:
        """Return the turns of the calls that wait."""
        return [item.turn for item in self._calls]

    def work_ahead_s(self, turn: Turn, group: str | None = None) -> float:
        """Return the waiting work before a call that can still meet its objective.

        With ``group`` only calls of that group count.
        """
        calls = [item for item in self._calls if group in (None, item.group)]
        return self._order.cost_ahead(turn, calls, self._clock())

    def record_dispatched(self, turn: Turn, work_s: float) -> None:
        """Record a call that is sent to an upstream, whether it waited or not."""
        self._order.charge(turn, work_s, self._calls, self._clock())

    def record_refused(self, turn: Turn) -> None:
        """Record a call that is refused, whether it waited or not."""
        self._order.refuse(turn, self._clock())

    def record_accepted(self, priority: int, work_s: float) -> None:
        """Record a call that can meet its objective, whether it waits or not."""
        self._on_time_work[priority].add(work_s, self._clock())

    def _share_left(self, priority: int, capacity: float) -> float:
        """Return the share of capacity left by calls on time up to a priority."""
        now = self._clock()
        work_s = sum(
            item.value_at(now)
            for level, item in self._on_time_work.items()
            if level <= priority
        )
        return max(SHARE_MIN, 1 - work_s / DECAY_S / max(capacity, 1e-9))

    def expected_wait_s(
        self, turn: Turn, on_time_within_s: float, capacity: float
    ) -> float:
        """Return how long a call would wait that arrives now.

        It is on time if it starts within ``on_time_within_s``. A call that can't be
        waits behind those of its priority that can, and uses what they leave.
        """
        if capacity <= 0:
            return float("inf")
        share = self._share_left(turn.priority - 1, capacity)
        wait_s = self.work_ahead_s(turn) / (capacity * share)
        if wait_s <= on_time_within_s:
            return wait_s
        work_s = self._order.cost_ahead(turn, self._calls, self._clock(), True)
        return work_s / (capacity * self._share_left(turn.priority, capacity))

    async def wait(self, call: WaitingCall[Decision]) -> Decision:
        """Queue a call and return the decision on it."""
        self._order.enter(call.turn)
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
                    # Let it be placed, so that the next decision sees its load.
                    await curio.sleep(0)
                await curio.sleep(POLL_INTERVAL_S)
        finally:
            self._is_polling = False

    def poll(self) -> Iterator[WaitingCall[Decision]]:
        """Yield the calls that are decided, after removing them from the queue.

        A yielded call may change the upstreams' load before the next one is decided,
        and other calls may be removed meanwhile.
        """
        now = self._clock()
        yield from self._refuse(
            [call for call in self._calls if now > call.unservable_at_s]
        )
        yield from self._dispatch(now)
        yield from self._refuse(self._find_unservable(now))

    def _dispatch(self, now: float) -> Iterator[WaitingCall[Decision]]:
        """Yield the calls for which an upstream is free, in their order."""
        undecided: dict[tuple[str, Hashable], int] = defaultdict(int)
        for call in self._order.sort(self._calls, now):
            wants = (call.group, call.choices)
            if undecided[wants] >= EVALUATED_MAX or call not in self._calls:
                continue
            call.decision = call.decide()
            if call.decision is None:
                undecided[wants] += 1
                continue
            self._calls.remove(call)
            yield call

    def _refuse(
        self, calls: Iterable[WaitingCall[Decision]]
    ) -> Iterator[WaitingCall[Decision]]:
        """Yield the calls that are refused, after removing them from the queue."""
        for call in calls:
            if call in self._calls:
                call.decision = call.refuse()
                self._calls.remove(call)
                yield call

    def _find_unservable(self, now: float) -> list[WaitingCall[Decision]]:
        """Return the calls that can't start before their deadline in this order."""
        unservable = []
        work_s = 0.0
        for call in self._order.sort(self._calls, now):
            is_overdue = now > call.on_time_until_s
            share = self._share_left(call.priority, call.capacity) if is_overdue else 1
            starts_in_s = work_s / max(1e-9, call.capacity * share) / REFUSAL_MARGIN
            if now + starts_in_s > call.unservable_at_s:
                unservable.append(call)
            else:
                work_s += call.work_s
        return unservable
