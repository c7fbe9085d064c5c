"""Exponentially decaying peak of recent values."""

import math

from ..process.clock import now_s


class DecayingPeak:
    """Keeps the highest value observed; it halves every ``half_life_s`` seconds."""

    def __init__(self, half_life_s: float):
        self._half_life_s = half_life_s
        self._peak = 0.0
        self._peak_at_s = now_s()

    def observe(self, value: float) -> None:
        """Observe a value."""
        if value >= self.value():
            self._peak = value
            self._peak_at_s = now_s()

    def value(self) -> float:
        """Return the peak, decayed to the current time."""
        age_s = now_s() - self._peak_at_s
        return self._peak * math.exp2(-age_s / self._half_life_s)
