"""Which history of the platform's store this entry knows of.

The store may come back from a copy that is some seconds old. What was acknowledged
since is gone then, and nothing that followed from it holds any longer: tenures, checks
of row versions, outcomes of writes.
"""

from collections.abc import Callable

from .clock import now_s


class StoreEra:
    """Newest era that was seen; ``since_s`` is when, on this process's clock."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self.known = 0
        self.since_s = float("-inf")
        self._clock = clock
        self._followers: list[Callable[[], None]] = []

    def follow(self, on_change: Callable[[], None]) -> None:
        """Have ``on_change`` called after each rise of the era."""
        self._followers.append(on_change)

    def note(self, era: int) -> bool:
        """Take in the era of an answer; False where a newer one is known."""
        if era <= self.known:
            return era == self.known
        self.known = era
        self.since_s = self._clock()
        for on_change in self._followers:
            on_change()
        return True
