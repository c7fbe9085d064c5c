"""Which log lines are written while more of them come up than may be written.

Load pattern: a burst of requests, or a fault that fails many of them at once, makes
more lines than the reader of the log wants to store. Lines that tell of ordinary
progress are left out first, then those of refused and failed requests, and last those
that change what the process believes.
"""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

# A burst may take what is allowed for this long.
BURST_S = 1.0
REPORT_EVERY_S = 1.0


class Importance(IntEnum):
    """How long lines are kept; the least important ones are left out first."""

    PROGRESS = 0
    FAILURE = 1
    STATE = 2


# Share of a burst that is kept for more important lines.
RESERVED_SHARES = {
    Importance.PROGRESS: 0.5,
    Importance.FAILURE: 0.1,
    Importance.STATE: 0.0,
}


@dataclass
class Allowance:
    """What may be written, filled up at a rate; it may become negative."""

    per_s: float
    left: float
    at_s: float

    @classmethod
    def full(cls, per_s: float, at_s: float) -> "Allowance":
        """Return one that allows a burst at once."""
        return cls(per_s, per_s * BURST_S, at_s)

    def has_left(self, reserved_share: float, at_s: float) -> bool:
        """Whether more than a share of a burst is left at a time."""
        burst = self.per_s * BURST_S
        self.left = min(burst, self.left + (at_s - self.at_s) * self.per_s)
        self.at_s = at_s
        return self.left > reserved_share * burst


class LogBudget:
    """Bounds the lines and bytes a second; counts what is left out by event."""

    def __init__(
        self,
        lines_per_s: float,
        bytes_per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._clock = clock
        self._lines = Allowance.full(lines_per_s, clock())
        self._bytes = Allowance.full(bytes_per_s, clock())
        self._left_out: Counter[int] = Counter()
        self._reported_at_s = clock()
        self.total_left_out = 0

    def admits(self, importance: Importance, event: int) -> bool:
        """Whether a line may be written now; one that may not is counted."""
        reserved_share = RESERVED_SHARES[importance]
        now = self._clock()
        has_lines = self._lines.has_left(reserved_share, now)
        has_bytes = self._bytes.has_left(reserved_share, now)
        if has_lines and has_bytes:
            return True
        self._left_out[event] += 1
        self.total_left_out += 1
        return False

    def spend(self, size: int) -> None:
        """Take in that a line of ``size`` bytes was written."""
        self._lines.left -= 1
        self._bytes.left -= size

    def take_left_out(self) -> dict[int, int] | None:
        """Return the lines left out by event; None for none, or within a second."""
        now = self._clock()
        if not self._left_out or now - self._reported_at_s < REPORT_EVERY_S:
            return None
        left_out = dict(sorted(self._left_out.items()))
        self._left_out.clear()
        self._reported_at_s = now
        return left_out
