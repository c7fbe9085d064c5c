"""Moments of a graceful stop, within the grace that the platform gives."""

from dataclasses import dataclass
from typing import Self

# Shares of the grace, counted from the signal.
CUT_SHARE = 7 / 8
# Answers that are complete this long before the cut still reach their callers.
END_MARGIN_S = 0.3
# Connections get their last answers, and the log is written, after the cut.
CUT_TIME_SHARE = 1 / 32
LISTEN_SHARE = 3 / 4


@dataclass(frozen=True)
class StopSchedule:
    """Moments of a graceful stop, on the clock of ``now_s``.

    Until ``serve_until_s`` callers are served as before. Then connections are closed
    once they are idle, and at ``listen_until_s`` callers can't connect any more. At
    ``cut_at_s`` the requests that are still open are ended, within ``cut_time_s``.
    """

    signalled_at_s: float
    serve_until_s: float
    listen_until_s: float
    cut_at_s: float
    cut_time_s: float

    @classmethod
    def from_grace(cls, signalled_at_s: float, grace_s: float, serve_s: float) -> Self:
        """Return the schedule of a process that is killed ``grace_s`` after a signal.

        ``serve_s`` is how long callers that know this entry's address are served.
        """
        return cls(
            signalled_at_s,
            signalled_at_s + min(serve_s, LISTEN_SHARE * grace_s),
            signalled_at_s + LISTEN_SHARE * grace_s,
            signalled_at_s + CUT_SHARE * grace_s,
            CUT_TIME_SHARE * grace_s,
        )

    def left_s(self, now_s: float) -> float:
        """Return the time within which a request must end so as not to be cut."""
        return max(0.0, self.cut_at_s - END_MARGIN_S - now_s)
