"""Time until an engine decodes a prompt that another engine has prefilled.

Copying the KV cache of a prompt takes a millisecond in one deployment and thirty in
another, and longer while decode engines also prefill. A handoff that fails counts as a
long one: a copy that is never made would otherwise leave the estimate as it was.
"""

import math
from collections.abc import Callable

from .clock import now_s

INITIAL_S = 0.035
OBSERVATION_WEIGHT = 0.08
OBSERVATION_MAX_S = 1.0
# Without handoffs, a longer time than the initial one is forgotten with this constant,
# so that a service which avoids them tries again.
DECAY_S = 4.0


class HandoffTime:
    """Moving average of the time from a prompt's handoff to its first event."""

    def __init__(
        self, initial_s: float = INITIAL_S, clock: Callable[[], float] = now_s
    ):
        self._initial_s = initial_s
        self._clock = clock
        self._value_s = initial_s
        self._observed_at_s = clock()

    @property
    def value_s(self) -> float:
        """Return the average in seconds as of now."""
        excess_s = self._value_s - self._initial_s
        if excess_s <= 0:
            return self._value_s
        age_s = max(0.0, self._clock() - self._observed_at_s)
        return self._initial_s + excess_s * math.exp(-age_s / DECAY_S)

    def observe(self, first_event_s: float) -> None:
        """Record one time, capped at ``OBSERVATION_MAX_S``."""
        value_s = self.value_s
        self._value_s = value_s + OBSERVATION_WEIGHT * (
            min(OBSERVATION_MAX_S, first_event_s) - value_s
        )
        self._observed_at_s = self._clock()

    def observe_failure(self) -> None:
        """Record a handoff that never led to an answer."""
        self.observe(OBSERVATION_MAX_S)
