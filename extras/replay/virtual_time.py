"""Clock for replays: it jumps to the next timer while nothing else can run."""

import selectors
import time
from collections.abc import Callable
from unittest import mock

import curio

START_S = 1000.0
# Smaller steps could be lost in rounding, and the timer never reached.
STEP_MIN_S = 1e-9


class VirtualTime:
    """Runs a coroutine so that waiting takes no time; ``now_s`` is its clock."""

    def __init__(self):
        self.now_s = START_S

    def run(self, main: Callable, *args):
        """Return what ``main(*args)`` returns; its sleeps end at once."""
        patches = (
            mock.patch.object(time, "monotonic", lambda: self.now_s),
            mock.patch.object(time, "clock_gettime", lambda _clock: self.now_s),
        )
        with patches[0], patches[1]:
            return curio.run(main, *args, selector=_JumpingSelector(self))


class _JumpingSelector(selectors.DefaultSelector):
    def __init__(self, clock: VirtualTime):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self._clock.now_s += max(STEP_MIN_S, timeout)
        return []
