"""Whether an upstream is fit to take work, judged by the last attempts on it.

Load pattern: an upstream dies, turns silent or fails part of its requests while its
registration still says that it is ready, and each entry sees a small part of this.
"""

import math

SUSPEND_MIN_S = 0.4
SUSPEND_MAX_S = 3.0
FAILURES_BEFORE_SUSPEND = 3
FULL_FOR_S = 0.15
GONE_FOR_S = 2.0
# Bound on how long an upstream may ask to be left alone.
WAIT_MAX_S = 300.0
FAILURE_WEIGHT = 0.2
FAILURE_FADES_S = 4.0


class UpstreamHealth:
    """Failures of one upstream; times are seconds on the entry's clock."""

    def __init__(self):
        self._unreached = 0
        self._failures = 0
        self._failure_share = 0.0
        self._noted_at_s = 0.0
        self._until_s = 0.0
        self._full_until_s = 0.0
        self._wait_until_s = 0.0

    def note_success(self, now_s: float) -> None:
        """Take in an answer."""
        self._unreached = 0
        self._failures = 0
        self._weigh(0.0, now_s)

    def note_failure(self, now_s: float) -> bool:
        """Take in an attempt that broke off; True where the upstream is suspended."""
        self._failures += 1
        self._weigh(1.0, now_s)
        if self._failures < FAILURES_BEFORE_SUSPEND:
            return False
        self._suspend(now_s, self._failures - FAILURES_BEFORE_SUSPEND)
        return True

    def note_unreached(self, now_s: float) -> bool:
        """Take in an attempt that the upstream did not respond to at all."""
        self._suspend(now_s, self._unreached)
        self._unreached += 1
        return True

    def note_full(self, now_s: float) -> None:
        """Take in that the upstream declined a request for want of room."""
        self._full_until_s = now_s + FULL_FOR_S

    def note_wait(self, now_s: float, wait_s: float) -> None:
        """Take in that the upstream asked to be left alone for some time."""
        wait_s = min(WAIT_MAX_S, max(0.0, wait_s))
        self._wait_until_s = max(self._wait_until_s, now_s + wait_s)

    def note_replaced(self, now_s: float) -> None:
        """Take in that another instance answers at the upstream's address."""
        self._until_s = max(self._until_s, now_s + GONE_FOR_S)

    def _suspend(self, now_s: float, times: int) -> None:
        delay_s = min(SUSPEND_MAX_S, SUSPEND_MIN_S * 2 ** min(times, 8))
        self._until_s = max(self._until_s, now_s + delay_s)

    def _weigh(self, failed: float, now_s: float) -> None:
        faded = self.failure_share(now_s)
        self._failure_share = faded + FAILURE_WEIGHT * (failed - faded)
        self._noted_at_s = now_s

    def failure_share(self, now_s: float) -> float:
        """Return the share of recent attempts that failed; it fades with time."""
        if not self._failure_share:
            return 0.0
        age_s = max(0.0, now_s - self._noted_at_s)
        return self._failure_share * math.exp(-age_s / FAILURE_FADES_S)

    def is_suspended(self, now_s: float) -> bool:
        """Whether the upstream is left out while others can take the work."""
        return now_s < self._until_s

    def must_wait(self, now_s: float) -> bool:
        """Whether the upstream takes nothing now, by its own word."""
        return now_s < self._wait_until_s

    def wait_left_s(self, now_s: float) -> float:
        """Return how much longer the upstream wants nothing; 0 where it takes work."""
        return max(0.0, self._wait_until_s - now_s)

    def is_full(self, now_s: float) -> bool:
        """Whether the upstream has just declined a request."""
        return now_s < self._full_until_s
