"""Health of an upstream, judged by the outcomes of recent attempts on it.

Guards against an upstream that has crashed, hangs or fails part of its requests while
it is still registered as ready. Each entry sees only a part of these failures.
"""

import math

SUSPEND_MIN_S = 0.4
SUSPEND_MAX_S = 3.0
FAILURES_BEFORE_SUSPEND = 3
FULL_BACKOFF_S = 0.15
REPLACED_SUSPEND_S = 2.0
# Bound on the backoff that an upstream may request.
BACKOFF_MAX_S = 300.0
FAILURE_WEIGHT = 0.2
FAILURE_DECAY_S = 4.0


class UpstreamHealth:
    """Failure history of one upstream; times are seconds on the entry's clock."""

    def __init__(self):
        self._consecutive_unreachable = 0
        self._consecutive_failures = 0
        self._failure_rate = 0.0
        self._recorded_at_s = 0.0
        self._suspended_until_s = 0.0
        self._full_until_s = 0.0
        self._backoff_until_s = 0.0

    def record_success(self, now_s: float) -> None:
        """Record a successful attempt."""
        self._consecutive_unreachable = 0
        self._consecutive_failures = 0
        self._update_failure_rate(0.0, now_s)

    def record_failure(self, now_s: float) -> bool:
        """Record an interrupted attempt; True where this suspends the upstream."""
        self._consecutive_failures += 1
        self._update_failure_rate(1.0, now_s)
        if self._consecutive_failures < FAILURES_BEFORE_SUSPEND:
            return False
        self._suspend(now_s, self._consecutive_failures - FAILURES_BEFORE_SUSPEND)
        return True

    def record_unreachable(self, now_s: float) -> bool:
        """Record an attempt that got no response at all, and suspend the upstream."""
        self._suspend(now_s, self._consecutive_unreachable)
        self._consecutive_unreachable += 1
        return True

    def record_overload(self, now_s: float) -> None:
        """Record that the upstream declined a request because it is at capacity."""
        self._consecutive_unreachable = 0
        self._full_until_s = now_s + FULL_BACKOFF_S

    def record_backoff(self, now_s: float, backoff_s: float) -> None:
        """Record that the upstream requested a backoff."""
        backoff_s = min(BACKOFF_MAX_S, max(0.0, backoff_s))
        self._backoff_until_s = max(self._backoff_until_s, now_s + backoff_s)

    def record_replaced(self, now_s: float) -> None:
        """Record that another instance responds at the upstream's address."""
        self._suspended_until_s = max(
            self._suspended_until_s, now_s + REPLACED_SUSPEND_S
        )

    def _suspend(self, now_s: float, doublings: int) -> None:
        delay_s = min(SUSPEND_MAX_S, SUSPEND_MIN_S * 2 ** min(doublings, 8))
        self._suspended_until_s = max(self._suspended_until_s, now_s + delay_s)

    def _update_failure_rate(self, failed: float, now_s: float) -> None:
        decayed = self.failure_rate(now_s)
        self._failure_rate = decayed + FAILURE_WEIGHT * (failed - decayed)
        self._recorded_at_s = now_s

    def failure_rate(self, now_s: float) -> float:
        """Return the share of recent attempts that failed; it decays with time."""
        if not self._failure_rate:
            return 0.0
        age_s = max(0.0, now_s - self._recorded_at_s)
        return self._failure_rate * math.exp(-age_s / FAILURE_DECAY_S)

    def is_suspended(self, now_s: float) -> bool:
        """Whether the upstream is avoided while others can take the work."""
        return now_s < self._suspended_until_s

    @property
    def is_unresponsive(self) -> bool:
        """Whether the upstream has answered nothing since an attempt went unanswered.

        It may be tried again, but isn't counted as capacity.
        """
        return self._consecutive_unreachable > 0

    def is_in_backoff(self, now_s: float) -> bool:
        """Whether a backoff that the upstream requested is in effect."""
        return now_s < self._backoff_until_s

    def backoff_left_s(self, now_s: float) -> float:
        """Return the remaining backoff in seconds; 0 where there is none."""
        return max(0.0, self._backoff_until_s - now_s)

    def is_overloaded(self, now_s: float) -> bool:
        """Whether the upstream has just declined a request at capacity."""
        return now_s < self._full_until_s
