"""Prefill utilization of each stage, estimated without requests to engines.

The mix of one service can change within seconds, and engine reports lag behind. The
entry that schedules a service sums up the prefill that it places for all entries.
"""

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from .clock import now_s
from .upstreams import Stage

DECAY_S = 1.0
UTILIZATION_MAX = 0.85


@dataclass
class DecayingSum:
    """Sum with exponential decay at a time constant of ``DECAY_S``."""

    value: float = 0.0
    updated_at_s: float = 0.0

    def add(self, amount: float, at_s: float) -> None:
        """Add an amount at a time."""
        self.value = self.value_at(at_s) + amount
        self.updated_at_s = at_s

    def value_at(self, at_s: float) -> float:
        """Return the decayed sum at a time."""
        return self.value * math.exp(-max(0.0, at_s - self.updated_at_s) / DECAY_S)


class StageUtilization:
    """Share of time that a service's engines of each stage spend on prefill."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._prefill_s: dict[tuple[str, Stage], DecayingSum] = defaultdict(DecayingSum)

    def record_prefill(self, service: str, stage: Stage, prefill_s: float) -> None:
        """Record a placed prompt with its expected prefill time in seconds."""
        self._prefill_s[service, stage].add(prefill_s, self._clock())

    def utilization(self, service: str, stage: Stage, engines: int) -> float:
        """Return a stage's utilization, from 0 to ``UTILIZATION_MAX``."""
        return min(
            UTILIZATION_MAX, self.engines_needed(service, stage) / max(1, engines)
        )

    def engines_needed(self, service: str, stage: Stage) -> float:
        """Return the number of engines kept busy by placed prefill."""
        prefill_s = self._prefill_s.get((service, stage))
        return prefill_s.value_at(self._clock()) / DECAY_S if prefill_s else 0.0
