"""Outcome of each request, and totals over a pattern."""

from dataclasses import dataclass, field
from enum import StrEnum

from hdrh.histogram import HdrHistogram

DURATION_MAX_US = 120_000_000
PERCENTILES = (50.0, 95.0, 99.0)


class Ending(StrEnum):
    """How a request ended for its caller."""

    ON_TIME = "in_time"
    OVERDUE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass
class Outcome:
    """Ending of one request, with durations in seconds, and its retry, if any."""

    class_name: str
    caller: str
    ending: Ending
    first_token_s: float | None = None
    intervals_s: list[float] = field(default_factory=list)
    retry_after_s: float | None = None
    retry: "Outcome | None" = None


@dataclass
class PatternResult:
    """Outcomes of one pattern in one run, with the engines' counters for it."""

    site: str
    policy: str
    pattern: str
    seed: int
    outcomes: list[Outcome]
    role_changes: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0

    @property
    def offered_requests(self) -> int:
        """Return the number of offered requests, without retries."""
        return len(self.outcomes)

    def count(self, ending: Ending) -> int:
        """Return the number of first attempts with this ending."""
        return sum(first_attempt.ending is ending for first_attempt in self.outcomes)

    @property
    def goodput(self) -> float:
        """Return the share of requests answered by their deadline without a retry."""
        return self.count(Ending.ON_TIME) / max(1, self.offered_requests)

    @property
    def goodput_with_retries(self) -> float:
        """Return the share of requests answered on time, at first or on retry."""
        retries_on_time = sum(retry.ending is Ending.ON_TIME for retry in self.retries)
        return self.goodput + retries_on_time / max(1, self.offered_requests)

    @property
    def retries(self) -> list[Outcome]:
        """Return the outcomes of all retries."""
        return [item.retry for item in self.outcomes if item.retry is not None]

    @property
    def retries_after_refusal(self) -> list[Outcome]:
        """Return the outcomes of retries of requests that were refused at first."""
        return [
            item.retry
            for item in self.outcomes
            if item.retry is not None and item.ending is Ending.REFUSED
        ]


def percentiles_ms(values_s: list[float]) -> list[float]:
    """Return the 50th, 95th and 99th percentiles in milliseconds."""
    histogram = HdrHistogram(1, DURATION_MAX_US, 3)
    for value_s in values_s:
        histogram.record_value(max(1, int(value_s * 1e6)))
    return [
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    ]
