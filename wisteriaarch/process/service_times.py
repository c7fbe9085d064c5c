"""Learnt times of plain calls: service times, and how late their ends are reported.

Services differ: a plain call takes 20 ms on one and 70 ms on another. The entry that
schedules a service learns both within a few answers.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

INITIAL_SERVICE_S = 0.02
# Least weight of an answer: a plain mean of up to 20, then a moving average.
WEIGHT_MIN = 0.05
# Bounds of the time from an end at an upstream until its next call may arrive there:
# two messages between entries at least; a slow caller delays reports of single ends.
REPORT_DELAY_MIN_S = 0.005
REPORT_DELAY_MAX_S = 0.1


@dataclass
class LearntMean:
    """Mean of the first observations, and a moving average afterwards."""

    value: float = 0.0
    count: int = 0
    weight_min: float = WEIGHT_MIN

    def observe(self, value: float) -> None:
        """Record an observation."""
        self.count += 1
        self.value += max(self.weight_min, 1 / self.count) * (value - self.value)


class ServiceTimes:
    """Times of the plain calls of all services; the work of a call is its route."""

    def __init__(self):
        self._by_work = _means()
        self._by_service = _means()
        self._report_delays = _means()

    def observe(self, service: str, work: str, service_s: float) -> None:
        """Record how long an upstream of average speed took for a call."""
        self._by_work[service, work].observe(service_s)
        self._by_service[service, ""].observe(service_s)

    def service_s(self, service: str, work: str) -> float:
        """Return the expected service time on an upstream of average speed."""
        for means, key in ((self._by_work, work), (self._by_service, "")):
            mean = means.get((service, key))
            if mean is not None:
                return mean.value
        return INITIAL_SERVICE_S

    def observe_report_delay(self, service: str, delay_s: float) -> None:
        """Record how much longer a call was in flight here than at its upstream."""
        self._report_delays[service, ""].observe(min(REPORT_DELAY_MAX_S, delay_s))

    def report_delay_s(self, service: str) -> float:
        """Return the expected time from an end until the next call may arrive."""
        mean = self._report_delays.get((service, ""))
        return max(REPORT_DELAY_MIN_S, mean.value if mean else 0.0)


def _means() -> defaultdict[tuple[str, str], LearntMean]:
    factory: Callable[[], LearntMean] = LearntMean
    return defaultdict(factory)
