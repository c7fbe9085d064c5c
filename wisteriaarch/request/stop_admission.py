"""Refuses calls that this entry can't answer before its process ends.

An entry that stops goes on serving callers that cached its address. A call that is
passed on too late is cut at the end, and may not be repeated. So calls are refused from
the time on at which they are likely to outlast the process.
"""

from collections import defaultdict
from collections.abc import Callable

from ..errors import ErrorKind, RequestError
from ..process.clock import now_s
from .decaying_peak import DecayingPeak
from .routed_call import RoutedCall

DURATION_HALF_LIFE_S = 60.0
# Answers may take longer than those before them.
DURATION_FACTOR = 1.3
END_MARGIN_S = 0.3


class StopAdmission:
    """Knows how long the calls of each route take, and when this process ends."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._ends_at_s: float | None = None
        self._durations_s: dict[str, DecayingPeak] = defaultdict(
            lambda: DecayingPeak(DURATION_HALF_LIFE_S)
        )

    def begin(self, ends_at_s: float) -> None:
        """Refuse calls from now on that would last beyond a time."""
        self._ends_at_s = ends_at_s

    def observe(self, call: RoutedCall, duration_s: float) -> None:
        """Observe how long a call took to be answered completely."""
        self._durations_s[call.route.name].observe(duration_s)

    def check(self, call: RoutedCall) -> None:
        """Raise RequestError if the call isn't likely to end before this process."""
        if self._ends_at_s is None:
            return
        left_s = self._ends_at_s - self._clock() - END_MARGIN_S
        if min(self._expected_s(call), call.remaining_s()) > left_s:
            raise RequestError(
                ErrorKind.STOPPING, "this entry stops before the call would end"
            )

    def _expected_s(self, call: RoutedCall) -> float:
        """Return how long a call may take; unbounded if none of its kind was seen."""
        durations = self._durations_s.get(call.route.name)
        if durations is None:
            return float("inf")
        return DURATION_FACTOR * durations.value()
