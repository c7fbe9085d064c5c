"""How busy each stage is with reading prompts, estimated without asking any engine.

Load pattern: the mix swings within seconds, for one service and not for another, and
reports of the engines describe the time before. The entry that schedules a service sums
up the reading that it places for all entries.
"""

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from .clock import now_s
from .upstreams import Stage

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
    """Share of their time that a service's engines of each stage read prompts."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._reading: dict[tuple[str, Stage], DecayingSum] = defaultdict(DecayingSum)

    def note(self, service: str, stage: Stage, reading_s: float) -> None:
        """Take in that a prompt was placed which takes ``reading_s`` to read."""
        self._reading[service, stage].add(reading_s, self._clock())

    def share(self, service: str, stage: Stage, engines: int) -> float:
        """Return the share of time, from 0 to ``BUSY_MAX``, of a stage's engines."""
        return min(BUSY_MAX, self.engines_needed(service, stage) / max(1, engines))

    def engines_needed(self, service: str, stage: Stage) -> float:
        """Return how many engines are kept reading by what is placed here."""
        reading = self._reading.get((service, stage))
        return reading.read(self._clock()) / REMEMBERED_S if reading else 0.0
