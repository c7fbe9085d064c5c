"""Polling interval for the engines of a group without changes."""

from dataclasses import dataclass

from ..process.clock import now_s

INTERVAL_GROWTH = 2.0


@dataclass
class PollBackoff:
    """Doubles the interval up to ``max_interval_s`` while nothing changes."""

    min_interval_s: float
    max_interval_s: float
    _interval_s: float = 0.0
    _due_at_s: float = 0.0

    def reset(self) -> None:
        """Make the next poll due at once, since something is changing."""
        self._interval_s = 0.0
        self._due_at_s = 0.0

    def extend(self) -> None:
        """Schedule the next poll after a longer interval, since nothing has changed."""
        grown_s = max(self.min_interval_s, INTERVAL_GROWTH * self._interval_s)
        self._interval_s = min(self.max_interval_s, grown_s)
        self._due_at_s = now_s() + self._interval_s

    def is_due(self) -> bool:
        """Whether the next poll is due."""
        return now_s() >= self._due_at_s
