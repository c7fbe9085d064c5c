"""Jittered delay between polls of a service that may be unavailable."""

import random

JITTER = 0.2
GROWTH_FACTOR = 2.0


class Backoff:
    """Constant delay while polls succeed, exponentially growing delay while they fail.

    Every delay is randomized, so that instances that failed at the same time don't
    retry at the same time.
    """

    def __init__(self, interval_s: float, max_s: float, rng: random.Random):
        self._interval_s = interval_s
        self._max_s = max(interval_s, max_s)
        self._rng = rng
        self._delay_bound_s = interval_s

    def next_delay_s(self, succeeded: bool) -> float:
        """Return the delay before the next poll."""
        if succeeded:
            self._delay_bound_s = self._interval_s
            return self._interval_s * self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._delay_bound_s = min(self._max_s, self._delay_bound_s * GROWTH_FACTOR)
        return self._rng.uniform(self._interval_s, self._delay_bound_s)
