"""Refuses calls that this entry may not be able to answer before its process ends.

An entry that stops goes on serving callers that cached its address. A call that
outlasts the process is cut, and may not be repeated. How long answers took so far
doesn't bound the next one, since upstreams may turn slow; only a call's deadline does.
"""

from collections import defaultdict
from collections.abc import Callable

from ..errors import ErrorKind, RequestError
from ..process.clock import now_s
from ..process.stop_schedule import StopSchedule
from .decaying_peak import DecayingPeak
from .routed_call import RoutedCall

DURATION_HALF_LIFE_S = 60.0
# Answers may take longer than those before them.
DURATION_FACTOR = 1.3
# Until then after the signal, calls that may be repeated are admitted by their likely
# duration: most callers haven't heard yet that this entry leaves.
LIKELY_ADMISSION_S = 2.5


class StopAdmission:
    """Knows when this process ends, and how long the calls of each route take."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._schedule: StopSchedule | None = None
        self._durations_s: dict[str, DecayingPeak] = defaultdict(
            lambda: DecayingPeak(DURATION_HALF_LIFE_S)
        )

    def begin(self, schedule: StopSchedule) -> None:
        """Refuse calls from now on that may last beyond the cut of a stop."""
        self._schedule = schedule

    def left_s(self) -> float:
        """Return how long a request that arrives now may take; unbounded as a rule."""
        if self._schedule is None:
            return float("inf")
        return self._schedule.left_s(self._clock())

    def observe(self, call: RoutedCall, duration_s: float) -> None:
        """Observe how long a call took to be answered completely."""
        self._durations_s[call.route.name].observe(duration_s)

    def check(self, call: RoutedCall) -> None:
        """Raise RequestError if the call may outlast this process."""
        left_s = self.left_s()
        if call.remaining_s() <= left_s:
            return
        if self._admits_likely(call) and self._expected_s(call) <= left_s:
            return
        raise RequestError(
            ErrorKind.STOPPING, "this entry may stop before the call ends"
        )

    def _admits_likely(self, call: RoutedCall) -> bool:
        since_signal_s = self._clock() - self._schedule.signalled_at_s
        return call.route.retryable and since_signal_s <= LIKELY_ADMISSION_S

    def _expected_s(self, call: RoutedCall) -> float:
        """Return how long a call may take; unbounded if none of its kind was seen."""
        durations = self._durations_s.get(call.route.name)
        if durations is None:
            return float("inf")
        return DURATION_FACTOR * durations.value()
