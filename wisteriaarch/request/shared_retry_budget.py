"""Budget of retries that all entries together may send to a service.

If a service fails or is overloaded, callers send their requests again at once, and all
entries would retry at the same time. The entry that schedules the service counts the
requests and retries of all entries; an entry that reaches no scheduler counts its own
and uses its share of the slack.

The bound on the retries within a window is ``ratio`` times the requests in the window,
plus the slack: a fixed number of retries that is allowed even without requests.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..process.clock import now_s

SAFETY_FACTOR = 0.85
# Shares of the bound: granted by a service's scheduler, and usable by the entries
# themselves if they have reached the scheduler recently.
SCHEDULER_SHARE = 0.65
ENTRY_SHARE = 0.2
# Share of the slack that a new scheduler grants; the three shares add up to 1.
START_SHARE = 0.15


@dataclass
class ServiceWindow:
    """Times of the requests for one service and of their retries.

    ``since_s`` is the time at which counting started.
    """

    since_s: float = 0.0
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def drop_before(self, at_s: float) -> None:
        """Remove the times before ``at_s``."""
        for times in (self.requests, self.retries):
            while times and times[0] < at_s:
                times.popleft()


class SharedRetryBudget:
    """Retry budget by service; ``entries`` returns how many entries share the slack.

    ``share`` returns the share of the bound that is granted here. With ``ramps_up`` the
    granted share of the slack grows from ``START_SHARE`` over one window, since the
    retries that a previous scheduler granted aren't known.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        entries: Callable[[], int],
        clock: Callable[[], float] = now_s,
        share: Callable[[], float] = lambda: SAFETY_FACTOR,
        ramps_up: bool = False,
    ):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._entries = entries
        self._clock = clock
        self._share = share
        self._ramps_up = ramps_up
        self._services: dict[str, ServiceWindow] = {}

    def configure(self, ratio: float, slack: float, window_s: float) -> None:
        """Apply changed bounds."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._window(service).requests.append(self._clock())

    def try_acquire(self, service: str) -> bool:
        """Use one retry; False if none is left."""
        window = self._window(service)
        if len(window.retries) + 1 > self._allowed(window):
            return False
        window.retries.append(self._clock())
        return True

    def try_acquire_prefill(self, service: str, prefills: int) -> bool:
        """Use a retry for a repeated disaggregated prefill; False if none is left.

        The first prefill of a call is free; each later one adds a request beside the
        run that follows it.
        """
        return prefills == 0 or self.try_acquire(service)

    def remaining(self, service: str) -> int:
        """Return how many retries are left now."""
        window = self._window(service)
        return max(0, int(self._allowed(window) - len(window.retries)))

    def _allowed(self, window: ServiceWindow) -> float:
        share = slack_share = self._share()
        if self._ramps_up:
            served_s = self._clock() - window.since_s
            ramp = min(1.0, served_s / self._window_s)
            slack_share = START_SHARE + (share - START_SHARE) * ramp
        slack = slack_share * self._slack / max(1, self._entries())
        return share * self._ratio * len(window.requests) + slack

    def _window(self, service: str) -> ServiceWindow:
        window = self._services.get(service)
        if window is None:
            window = self._services[service] = ServiceWindow(self._clock())
        window.drop_before(self._clock() - self._window_s)
        return window
