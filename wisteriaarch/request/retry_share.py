"""Share of one entry in the repeats that all entries together may send.

Load pattern: a service fails or is full, callers come back at once, and every entry
would like to repeat at the same moment. Each entry counts only its own requests and
repeats, so that no call to the store or to a peer is needed for each.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..process.clock import now_s

SAFETY = 0.85


@dataclass
class ServiceWindow:
    """Times of the requests for one service and of their repeats."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def drop_before(self, at_s: float) -> None:
        """Forget what lies before a time."""
        for times in (self.requests, self.repeats):
            while times and times[0] < at_s:
                times.popleft()


class RetryShare:
    """Repeats by service; ``entries`` returns how many entries share the slack."""

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        entries: Callable[[], int],
        clock: Callable[[], float] = now_s,
    ):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._entries = entries
        self._clock = clock
        self._services: dict[str, ServiceWindow] = {}

    def configure(self, ratio: float, slack: float, window_s: float) -> None:
        """Take over changed bounds."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._window(service).requests.append(self._clock())

    def take(self, service: str) -> bool:
        """Spend one repeat, where there is one left."""
        window = self._window(service)
        if len(window.repeats) + 1 > self._allowed(window):
            return False
        window.repeats.append(self._clock())
        return True

    def take_for_reading(self, service: str, prompts_read: int) -> bool:
        """Spend a repeat for reading a call's prompt apart once more, if there is one.

        The first prompt that is read for a call is free; each later one is an arrival
        of its own beside the run that follows it.
        """
        return prompts_read == 0 or self.take(service)

    def left(self, service: str) -> int:
        """Return how many repeats are left now."""
        window = self._window(service)
        return max(0, int(self._allowed(window) - len(window.repeats)))

    def _allowed(self, window: ServiceWindow) -> float:
        slack = self._slack / max(1, self._entries())
        return SAFETY * (self._ratio * len(window.requests) + slack)

    def _window(self, service: str) -> ServiceWindow:
        window = self._services.setdefault(service, ServiceWindow())
        window.drop_before(self._clock() - self._window_s)
        return window
