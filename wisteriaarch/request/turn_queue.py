"""Queue of long prompts that wait until engines can read them.

Load pattern: for tens of seconds more long prompts come than engines can read, and
hundreds wait at the entry that schedules them. Looking at each of them every few
milliseconds would take more than a core; so a few are looked at a time, first those
that must start soonest to be answered at all.
"""

import random
from collections.abc import Callable
from typing import Generic, TypeVar

import curio

TICK_S = 0.015
# Looked at in a tick: those with the least time left, and others drawn at random.
URGENT_MAX = 3
DRAWN_MAX = 1

Decision = TypeVar("Decision")


class Waiter(Generic[Decision]):
    """One call in the queue; ``decide`` returns None while it is to wait on."""

    def __init__(self, decide: Callable[[], Decision | None], must_start_at_s: float):
        self.decide = decide
        self.must_start_at_s = must_start_at_s
        self.decision: Decision | None = None
        self.decided = curio.Event()


class TurnQueue(Generic[Decision]):
    """Calls that wait; looked at by a task that runs while there are any."""

    def __init__(self, rng: random.Random | None = None):
        self._waiters: list[Waiter[Decision]] = []
        self._rng = rng or random.Random()
        self._is_looking = False

    def __len__(self) -> int:
        return len(self._waiters)

    async def wait(
        self, decide: Callable[[], Decision | None], must_start_at_s: float
    ) -> Decision:
        """Return the decision on a call, once there is one.

        ``must_start_at_s`` orders the calls; it is when this one is too late to wait.
        """
        waiter = Waiter(decide, must_start_at_s)
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
                await self.look_once()
                await curio.sleep(TICK_S)
        finally:
            self._is_looking = False

    async def look_once(self) -> None:
        """Decide on the calls whose turn it is to be looked at."""
        for waiter in self._chosen():
            waiter.decision = waiter.decide()
            if waiter.decision is not None:
                self._waiters.remove(waiter)
                await waiter.decided.set()

    def _chosen(self) -> list[Waiter[Decision]]:
        ordered = sorted(self._waiters, key=lambda waiter: waiter.must_start_at_s)
        urgent, rest = ordered[:URGENT_MAX], ordered[URGENT_MAX:]
        return urgent + self._rng.sample(rest, min(DRAWN_MAX, len(rest)))
