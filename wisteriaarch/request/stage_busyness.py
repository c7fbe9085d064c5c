"""How busy each stage is with reading prompts, estimated without asking anyone.

Load pattern: the mix swings within seconds, and reports of the engines describe the
time before. Callers choose entries at random, so that what one entry places, times the
number of entries, is what the fleet gets.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from ..process.clock import now_s
from ..process.upstreams import Stage

REMEMBERED_S = 1.0
BUSY_MAX = 0.85


@dataclass
class DecayingSum:
    """Sum whose parts fade with a time constant of ``REMEMBERED_S``."""

    value: float = 0.0
    at_s: float = 0.0

    def add(self, amount: float, at_s: float) -> None:
        """Add an amount at a time."""
        self.value = self.read(at_s) + amount
        self.at_s = at_s

    def read(self, at_s: float) -> float:
        """Return what is left of the sum."""
        return self.value * math.exp(-max(0.0, at_s - self.at_s) / REMEMBERED_S)


class StageBusyness:
    """Share of their time that the engines of each stage read prompts."""

    def __init__(self, entries: Callable[[], int], clock: Callable[[], float] = now_s):
        self._entries = entries
        self._clock = clock
        self._reading = {stage: DecayingSum() for stage in Stage}

    def note(self, stage: Stage, reading_s: float) -> None:
        """Take in that a prompt was placed which takes ``reading_s`` to read."""
        self._reading[stage].add(reading_s, self._clock())

    def share(self, stage: Stage, engines: int) -> float:
        """Return the share of time, from 0 to ``BUSY_MAX``, of a stage's engines."""
        placed = self._reading[stage].read(self._clock()) / REMEMBERED_S
        share = placed * max(1, self._entries()) / max(1, engines)
        return min(BUSY_MAX, share)
