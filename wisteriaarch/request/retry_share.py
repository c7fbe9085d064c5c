"""Repeats that all entries together may send, as a scheduler or one entry shares them.

Load pattern: a service fails or is full, callers come back at once, and every entry
would like to repeat at the same moment. The entry that schedules the service counts the
requests and repeats of all of them; one that reaches no scheduler counts its own and
has its share of the slack.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..process.clock import now_s

SAFETY = 0.85
# Parts of the bound that a service's scheduler gives out, and that the entries may
# use by themselves where they have reached it lately.
SHARED_PART = 0.65
OWN_PART = 0.2
# Part of the slack that a new scheduler gives out; with the two parts above all of it.
START_PART = 0.15


@dataclass
class ServiceWindow:
    """Times of the requests for one service and of their repeats.

    ``since_s`` is when they began to be counted here.
    """

    since_s: float = 0.0
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def drop_before(self, at_s: float) -> None:
        """Forget what lies before a time."""
        for times in (self.requests, self.repeats):
            while times and times[0] < at_s:
                times.popleft()


class RetryShare:
    """Repeats by service; ``entries`` returns how many entries share the slack.

    ``part`` returns the part of the bound that is given out here. With ``ramps`` the
    slack grows from ``START_PART`` of it over a window: what another scheduler gave out
    before isn't known.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        entries: Callable[[], int],
        clock: Callable[[], float] = now_s,
        part: Callable[[], float] = lambda: SAFETY,
        ramps: bool = False,
    ):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._entries = entries
        self._clock = clock
        self._part = part
        self._ramps = ramps
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
        part = slack_part = self._part()
        if self._ramps:
            served_s = self._clock() - window.since_s
            ramp = min(1.0, served_s / self._window_s)
            slack_part = START_PART + (part - START_PART) * ramp
        slack = slack_part * self._slack / max(1, self._entries())
        return part * self._ratio * len(window.requests) + slack

    def _window(self, service: str) -> ServiceWindow:
        window = self._services.get(service)
        if window is None:
            window = self._services[service] = ServiceWindow(self._clock())
        window.drop_before(self._clock() - self._window_s)
        return window
