"""Era of the platform's store, as known to this entry.

The store may be restored from a snapshot that is some seconds old, and its era is then
incremented. Writes acknowledged since the snapshot are lost, which invalidates
everything derived from them: lease terms, checks of row versions, outcomes of writes.
"""

from collections.abc import Callable

from .clock import now_s


class StoreEra:
    """Newest observed era; ``observed_at_s`` is its time, on this process's clock."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self.current = 0
        self.observed_at_s = float("-inf")
        self._clock = clock
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Register ``on_change``, called after each rise of the era."""
        self._subscribers.append(on_change)

    def observe(self, era: int) -> bool:
        """Observe the era of a response; returns False if a newer one is known."""
        if era <= self.current:
            return era == self.current
        self.current = era
        self.observed_at_s = self._clock()
        for on_change in self._subscribers:
            on_change()
        return True
