"""Counters and latency histograms of an entry, in the Prometheus text format."""

from collections import Counter
from enum import Enum

from hdrh.histogram import HdrHistogram

HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
QUANTILES = (0.5, 0.95, 0.99)
PREFIX = "wisteriaarch_"


class Count(Enum):
    """Counters; the value is the help text."""

    REQUESTS_ANSWERED = "Requests answered, by status"
    REQUESTS_REFUSED = "Requests answered with an error, by kind"
    REQUESTS_CANCELLED = "Requests whose caller closed the connection"
    TOKENS_RELAYED = "Events of streamed answers relayed to callers"


class Duration(Enum):
    """Histograms; the value is the help text."""

    FIRST_TOKEN = "Seconds from a request's arrival to its first token"
    BETWEEN_TOKENS = "Seconds between tokens of a streamed answer"
    WHOLE_ANSWER = "Seconds from a request's arrival to the end of its answer"


class Gauge(Enum):
    """Values as of now; the value is the help text."""

    CONFIGURATION_VERSION = "Version of the configuration in force; 0 for none"
    CONFIGURATION_AGE_SECONDS = "Seconds since the store confirmed it; -1 for never"
    ENTRIES = "Entries known, this one included"
    RETRIES_LEFT = "Repeats that this entry may still send, by service"
    REQUESTS_IN_FLIGHT = "Requests of all entries in flight, by upstream"
    PROMPT_TOKENS_IN_FLIGHT = "Prompt tokens being read for all entries, by upstream"


class DurationRecorder:
    """Histogram of durations with their sum."""

    __slots__ = ("histogram", "sum_s")

    def __init__(self):
        self.histogram = HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.sum_s = 0.0

    def record(self, duration_s: float, amount: int = 1) -> None:
        """Record a duration, ``amount`` times."""
        value_us = int(duration_s * US_PER_S) or 1
        if value_us > HIGHEST_US:
            value_us = HIGHEST_US
        self.histogram.record_value(value_us, amount)
        self.sum_s += duration_s * amount


class Metrics:
    """All counters and histograms of one entry."""

    def __init__(self):
        self._counts: Counter[tuple[Count, str]] = Counter()
        self._recorders = {duration: DurationRecorder() for duration in Duration}

    def count(self, name: Count, label: str = "", amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[name, label] += amount

    def recorder(self, name: Duration) -> DurationRecorder:
        """Return the recorder of a histogram, for callers that record often."""
        return self._recorders[name]

    def observe(self, name: Duration, duration_s: float) -> None:
        """Record a duration."""
        self._recorders[name].record(duration_s)

    def quantile_s(self, name: Duration, quantile: float) -> float:
        """Return a quantile of a histogram in seconds."""
        histogram = self._recorders[name].histogram
        return histogram.get_value_at_percentile(quantile * 100) / US_PER_S

    def render(self, gauges: dict[Gauge, dict[str, float]] | None = None) -> str:
        """Return everything in the Prometheus text format.

        ``gauges`` are values as of now by their label.
        """
        lines = []
        for count in Count:
            lines += self._render_count(count)
        for duration in Duration:
            lines += self._render_duration(duration)
        for gauge, values in (gauges or {}).items():
            lines += _render_gauge(gauge, values)
        return "\n".join(lines) + "\n"

    def _render_count(self, count: Count) -> list[str]:
        name = f"{PREFIX}{count.name.lower()}_total"
        lines = [f"# HELP {name} {count.value}", f"# TYPE {name} counter"]
        for (counted, label), value in sorted(
            self._counts.items(), key=lambda item: item[0][1]
        ):
            if counted is count:
                labels = f'{{label="{label}"}}' if label else ""
                lines.append(f"{name}{labels} {value}")
        return lines

    def _render_duration(self, duration: Duration) -> list[str]:
        name = f"{PREFIX}{duration.name.lower()}_seconds"
        lines = [f"# HELP {name} {duration.value}", f"# TYPE {name} summary"]
        for quantile in QUANTILES:
            value = self.quantile_s(duration, quantile)
            lines.append(f'{name}{{quantile="{quantile}"}} {value:.6f}')
        recorder = self._recorders[duration]
        lines.append(f"{name}_sum {recorder.sum_s:.6f}")
        total = recorder.histogram.get_total_count()
        lines.append(f"{name}_count {total}")
        return lines


def _render_gauge(gauge: Gauge, values: dict[str, float]) -> list[str]:
    name = f"{PREFIX}{gauge.name.lower()}"
    lines = [f"# HELP {name} {gauge.value}", f"# TYPE {name} gauge"]
    for label, value in sorted(values.items()):
        labels = f'{{label="{label}"}}' if label else ""
        lines.append(f"{name}{labels} {value:g}")
    return lines
