"""Selection of the upstreams to poll next, with a bound on polls a second."""

from collections.abc import Iterable
from dataclasses import dataclass, field

ACTIVE_WEIGHT = 8.0
REPORT_VALID_INTERVALS = 3.0


@dataclass(frozen=True)
class PollCandidate:
    """Upstream that may be polled; ``active`` if this entry sends requests to it."""

    name: str
    active: bool


@dataclass
class PollSchedule:
    """Shares a budget of polls among upstreams.

    While the budget allows it, all are polled in each round. Beyond that the most
    overdue come first, where the wait of an active upstream counts ACTIVE_WEIGHT times.
    An upstream that was never polled is polled at once.
    """

    round_interval_s: float
    polls_per_s: float
    interval_s: float = 0.0
    _allowance: float = 0.0
    _polled_at_s: dict[str, float] = field(default_factory=dict)

    def choose(self, candidates: Iterable[PollCandidate], now_s: float) -> list[str]:
        """Return the upstreams to poll in this round."""
        weights = {
            item.name: ACTIVE_WEIGHT if item.active else 1.0 for item in candidates
        }
        self._discard_others(weights)
        self.interval_s = max(
            self.round_interval_s, sum(weights.values()) / self.polls_per_s
        )
        chosen = self._most_overdue(weights, now_s)
        for name in chosen:
            self._polled_at_s[name] = now_s
        return chosen

    def _discard_others(self, names: Iterable[str]) -> None:
        for name in self._polled_at_s.keys() - names:
            del self._polled_at_s[name]

    def _most_overdue(self, weights: dict[str, float], now_s: float) -> list[str]:
        per_round = self.polls_per_s * self.round_interval_s
        if len(weights) <= per_round:
            return list(weights)
        new = [name for name in weights if name not in self._polled_at_s]
        if new:
            return new
        self._allowance = min(self._allowance, 1.0) + per_round
        count = int(self._allowance)
        self._allowance -= count
        due = sorted(
            weights, key=lambda name: (self._polled_at_s[name] - now_s) * weights[name]
        )
        return due[:count]

    def report_valid_s(self, min_valid_s: float) -> float:
        """Return the validity of a report, given the longest poll interval."""
        return max(min_valid_s, REPORT_VALID_INTERVALS * self.interval_s)
