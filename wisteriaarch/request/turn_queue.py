"""Queue of long prompts that wait until engines can read them.

Load pattern: for tens of seconds more long prompts come than engines can read. Were
they all sent to the engines, each would be late there; so the engines are kept with
little to read, and the prompts wait here, in the order in which they came, those of a
size that starves first. Prompts that can still be in time go before late ones, which
are read by what these leave; a late one whose turn won't come is refused at once.
Hundreds may wait at the entry that schedules them, and only a few are looked at a time.
"""

from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import curio

from ..process.clock import now_s
from ..process.stage_busyness import REMEMBERED_S, DecayingSum
from .reading_turn import HOPELESS_FACTOR

TICK_S = 0.01
LOOKED_AT_MAX = 4
# Late calls count on at least this share of the engines' reading.
SPARE_SHARE_MIN = 0.1

Decision = TypeVar("Decision")


@dataclass(eq=False)
class Waiter(Generic[Decision]):
    """One call in the queue.

    ``decide`` returns None while no engine can take the call, ``refuse`` what becomes
    of it once its time is over. A call can be in time until ``timely_until_s``, and is
    answered at all if it starts until ``hopeless_at_s``. ``tokens`` are to be read, by
    engines that together read ``fleet_rate`` tokens a second.
    """

    arrived_at_s: float
    timely_until_s: float
    hopeless_at_s: float
    favoured: bool
    tokens: int
    fleet_rate: float
    decide: Callable[[], Decision | None]
    refuse: Callable[[], Decision]
    decision: Decision | None = None
    decided: curio.Event = field(default_factory=curio.Event)

    @property
    def order(self) -> tuple[bool, float]:
        """Key by which calls are looked at."""
        return (not self.favoured, self.arrived_at_s)


class TurnQueue(Generic[Decision]):
    """Calls of one service that wait; a task looks at them while there are any."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._timely_reading = DecayingSum()
        self._waiters: list[Waiter[Decision]] = []
        self._is_looking = False

    def __len__(self) -> int:
        return len(self._waiters)

    def tokens_before(self, order: tuple[bool, float]) -> int:
        """Return how many tokens are to be read for the calls before one."""
        return sum(item.tokens for item in self._waiters if item.order < order)

    @property
    def _spare_share(self) -> float:
        """Share of the engines' reading that calls which can be in time leave."""
        offered = self._timely_reading.read(self._clock()) / REMEMBERED_S
        return max(SPARE_SHARE_MIN, 1 - offered)

    def note_taken(self, tokens: int, timely_for_s: float, fleet_rate: float) -> None:
        """Take in a call that comes and isn't refused, whether it will wait or not.

        It is in time if it starts within ``timely_for_s``. Calls that are refused take
        no time of engines, however often their callers repeat them.
        """
        if timely_for_s >= 0:
            self._timely_reading.add(tokens / fleet_rate, self._clock())

    def wait_s(
        self, order: tuple[bool, float], timely_for_s: float, fleet_rate: float
    ) -> float:
        """Return how long a call that comes now would wait for its turn.

        Where it can't be in time it waits for what others leave, behind all that wait.
        """
        now = self._clock()
        timely_tokens = sum(
            item.tokens
            for item in self._waiters
            if item.order < order and now <= item.timely_until_s
        )
        if timely_tokens / fleet_rate <= timely_for_s:
            return timely_tokens / fleet_rate
        tokens = sum(item.tokens for item in self._waiters)
        return tokens / (fleet_rate * self._spare_share)

    async def wait(self, waiter: Waiter[Decision]) -> Decision:
        """Return the decision on a call, once there is one."""
        self._waiters.append(waiter)
        try:
            if not self._is_looking:
                self._is_looking = True
                await curio.spawn(self._look, daemon=True)
            await waiter.decided.wait()
            return waiter.decision
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    async def _look(self) -> None:
        try:
            while self._waiters:
                for waiter in self.look():
                    await waiter.decided.set()
                    # It goes now, so that the next one sees an engine with its prompt.
                    await curio.sleep(0)
                await curio.sleep(TICK_S)
        finally:
            self._is_looking = False

    def look(self) -> Iterator[Waiter[Decision]]:
        """Yield the calls whose turn it is, each with its decision; they wait no more.

        What is yielded may change the engines' load before the next one is decided on,
        and others may leave meanwhile.
        """
        now = self._clock()
        ordered = sorted(self._waiters, key=lambda waiter: waiter.order)
        timely = [waiter for waiter in ordered if now <= waiter.timely_until_s]
        late = [waiter for waiter in ordered if now > waiter.timely_until_s]
        for waiter in self._hopeless(timely, late, now):
            late.remove(waiter)
            if waiter in self._waiters:
                waiter.decision = waiter.refuse()
                self._waiters.remove(waiter)
                yield waiter
        if (yield from self._place_in_turn(timely)):
            yield from self._place_in_turn(late)

    def _hopeless(
        self, timely: list[Waiter[Decision]], late: list[Waiter[Decision]], now: float
    ) -> list[Waiter[Decision]]:
        """Return the late calls whose time is over before their turn comes."""
        hopeless = []
        spare_share = self._spare_share
        tokens = sum(waiter.tokens for waiter in timely)
        for waiter in late:
            rate = waiter.fleet_rate * spare_share
            starts_at_s = now + tokens / rate / HOPELESS_FACTOR
            if starts_at_s > waiter.hopeless_at_s:
                hopeless.append(waiter)
            else:
                tokens += waiter.tokens
        return hopeless

    def _place_in_turn(
        self, waiters: list[Waiter[Decision]]
    ) -> Generator[Waiter[Decision], None, bool]:
        """Yield those of the first few that are placed; True where all have gone."""
        for waiter in waiters[:LOOKED_AT_MAX]:
            if waiter not in self._waiters:
                continue
            waiter.decision = waiter.decide()
            if waiter.decision is not None:
                self._waiters.remove(waiter)
                yield waiter
        return not any(waiter in self._waiters for waiter in waiters)
