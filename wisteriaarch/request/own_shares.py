"""Shares of fleet-wide budgets that an entry may use without asking a scheduler."""

from collections.abc import Callable
from dataclasses import dataclass

from ..process.clock import now_s
from .request_limiter import entry_share
from .shared_retry_budget import ENTRY_SHARE, SAFETY_FACTOR


@dataclass(frozen=True)
class OwnShares:
    """Shares of one entry; they are smaller while schedulers answer it.

    ``entries`` returns the number of entries, ``scheduler_answered_at_s`` when one has
    last answered here. It counts as answering for ``window_s`` seconds.
    """

    entries: Callable[[], int]
    scheduler_answered_at_s: Callable[[], float]
    window_s: Callable[[], float]

    def retry_share(self) -> float:
        """Return the share of the retry budget for calls that this entry places."""
        return ENTRY_SHARE if self._has_scheduler() else SAFETY_FACTOR

    def limit_share(self) -> float:
        """Return the share of a request limit for calls that this entry places."""
        return entry_share(self.entries(), self._has_scheduler())

    def _has_scheduler(self) -> bool:
        return now_s() - self.scheduler_answered_at_s() < self.window_s()
