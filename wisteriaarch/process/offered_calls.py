"""Calls that the scheduler of a service was asked to place, and those refused.

Placed work alone never exceeds the upstreams that exist, so the refused share tells by
how much demand does.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from .clock import now_s

# Longer than a burst of 2.8 s, shorter than a wave of 15 s.
DECAY_S = 5.0
URGENT_SHARE_MIN = 0.02


@dataclass
class _DecayingCounts:
    offered: Counter[int] = field(default_factory=Counter)
    refused: float = 0.0
    updated_at_s: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.updated_at_s) / DECAY_S)
        self.updated_at_s = now
        self.refused *= factor
        for priority in self.offered:
            self.offered[priority] *= factor


class OfferedCalls:
    """Decaying counts by service; calls are weighted by their work."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._counts: dict[str, _DecayingCounts] = defaultdict(_DecayingCounts)

    def record(self, service: str, priority: int, work: float) -> None:
        """Count a call that is to be placed; ``priority`` 0 is the most urgent."""
        self._current(service).offered[priority] += work

    def record_refused(self, service: str, work: float) -> None:
        """Count a call that was refused, or declined by its upstream."""
        self._current(service).refused += work

    def urgent_share(self, service: str) -> float:
        """Return the share of the most urgent priority; 1 without calls.

        Priorities with hardly any calls count along with the next one.
        """
        offered = self._current(service).offered
        total, urgent = offered.total(), 0.0
        for priority in sorted(offered):
            urgent += offered[priority]
            if urgent > URGENT_SHARE_MIN * total:
                return urgent / total
        return 1.0

    def refused_share(self, service: str) -> float:
        """Return the share of work that was refused or declined; 0 without calls."""
        counts = self._current(service)
        total = counts.offered.total()
        return min(1.0, counts.refused / total) if total > 0 else 0.0

    def _current(self, service: str) -> _DecayingCounts:
        counts = self._counts[service]
        counts.decay(self._clock())
        return counts
