"""Learnt sizes of requests and answers, which decide what leaving a zone costs."""

from collections import defaultdict

from .service_times import LearntMean


class TransferSizes:
    """Mean size of a request with its answer in bytes, by service and route."""

    def __init__(self):
        self._means: dict[tuple[str, str], LearntMean] = defaultdict(LearntMean)

    def observe(self, service: str, route: str, size: int) -> None:
        """Record the size of a request and its answer."""
        self._means[service, route].observe(size)

    def size(self, service: str, route: str) -> float:
        """Return the expected size of a request with its answer; 0 before the first."""
        mean = self._means.get((service, route))
        return mean.value if mean else 0.0
