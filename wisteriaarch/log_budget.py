"""Rate limit for log lines by importance.

A burst of requests, or a fault that fails many of them at once, produces more lines
than the reader of the log accepts. Lines about ordinary progress are suppressed first,
then those about refused and failed requests, and last those about changes of the
process's state.
"""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

# Bucket capacity, as the time in which it is refilled.
BURST_S = 1.0
REPORT_EVERY_S = 1.0


class Importance(IntEnum):
    """Importance of a line; the least important ones are suppressed first.

    Lines that are REQUIRED are never suppressed.
    """

    PROGRESS = 0
    FAILURE = 1
    STATE = 2
    REQUIRED = 3


# Share of the bucket that is reserved for more important lines.
RESERVED_SHARES = {
    Importance.PROGRESS: 0.5,
    Importance.FAILURE: 0.1,
    Importance.STATE: 0.0,
}


@dataclass
class TokenBucket:
    """Token bucket; the number of tokens may become negative."""

    refill_per_s: float
    tokens: float
    refilled_at_s: float

    @classmethod
    def full(cls, refill_per_s: float, now_s: float) -> "TokenBucket":
        """Return a full bucket."""
        return cls(refill_per_s, refill_per_s * BURST_S, now_s)

    def has_tokens(self, reserved_share: float, now_s: float) -> bool:
        """Refill the bucket; returns whether it is above a share of its capacity."""
        burst = self.refill_per_s * BURST_S
        self.tokens = min(
            burst, self.tokens + (now_s - self.refilled_at_s) * self.refill_per_s
        )
        self.refilled_at_s = now_s
        return self.tokens > reserved_share * burst


class LogBudget:
    """Limits lines and bytes per second; counts the suppressed lines by event."""

    def __init__(
        self,
        lines_per_s: float,
        bytes_per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._clock = clock
        self._lines = TokenBucket.full(lines_per_s, clock())
        self._bytes = TokenBucket.full(bytes_per_s, clock())
        self._suppressed: Counter[int] = Counter()
        self._reported_at_s = clock()
        self.total_suppressed = 0

    def admits(self, importance: Importance, event: int) -> bool:
        """Return whether a line may be written now; counts it as suppressed if not."""
        if importance is Importance.REQUIRED:
            return True
        reserved_share = RESERVED_SHARES[importance]
        now = self._clock()
        has_lines = self._lines.has_tokens(reserved_share, now)
        has_bytes = self._bytes.has_tokens(reserved_share, now)
        if has_lines and has_bytes:
            return True
        self._suppressed[event] += 1
        self.total_suppressed += 1
        return False

    def record_written(self, size: int) -> None:
        """Charge a written line of ``size`` bytes to the budget."""
        self._lines.tokens -= 1
        self._bytes.tokens -= size

    def take_suppressed(self) -> dict[int, int] | None:
        """Return and reset the counts of suppressed lines by event.

        Returns None if there are none or the last report is less than
        REPORT_EVERY_S old.
        """
        now = self._clock()
        if not self._suppressed or now - self._reported_at_s < REPORT_EVERY_S:
            return None
        suppressed = dict(sorted(self._suppressed.items()))
        self._suppressed.clear()
        self._reported_at_s = now
        return suppressed
