"""Times of one entry's calls for a duty: until when they matter to its successors."""

from .clock import now_s


class CallTimes:
    """Times on this process's clock, in seconds.

    A call without an answer may still be executed for ``late_call_s``. For ``quiet_s``
    after its last call an entry doesn't take the duty over from another one. A former
    process of the entry may have called until the start.
    """

    def __init__(self, late_call_s: float, quiet_s: float):
        self.late_call_s = late_call_s
        self._quiet_s = quiet_s
        # Until when an unanswered call may be executed.
        self.unsettled_until_s = float("-inf")
        self.quiet_until_s = now_s() + late_call_s + quiet_s

    @property
    def may_be_unsettled(self) -> bool:
        """Whether an unanswered call may still be executed."""
        return now_s() < self.unsettled_until_s

    @property
    def must_be_quiet(self) -> bool:
        """Whether the last call is too recent to follow one of another entry."""
        return now_s() < self.quiet_until_s

    def record_sent(self) -> None:
        """Record that a call is sent now."""
        self.unsettled_until_s = now_s() + self.late_call_s
        self.quiet_until_s = self.unsettled_until_s + self._quiet_s

    def record_answered(self, former_unsettled_until_s: float) -> None:
        """Record that the last call has its answer.

        ``former_unsettled_until_s`` is ``unsettled_until_s`` before it was sent: an
        earlier call may still be executed.
        """
        self.unsettled_until_s = former_unsettled_until_s
        self.quiet_until_s = max(now_s(), former_unsettled_until_s) + self._quiet_s

    def record_unsettled(self, until_s: float) -> None:
        """Record that a call of a former holder may be executed until then."""
        self.unsettled_until_s = max(self.unsettled_until_s, until_s)
