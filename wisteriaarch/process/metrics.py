"""Counters and latency histograms of an entry, in the Prometheus text format."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from hdrh.histogram import HdrHistogram

DURATION_MAX_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
QUANTILES = (0.5, 0.95, 0.99)
METRIC_PREFIX = "wisteriaarch_"


Labels = tuple[str, ...]


@dataclass(frozen=True)
class Metric:
    """Help text of a metric and the names of its labels."""

    help: str
    labels: Labels = ()


class Count(Enum):
    """Counters."""

    REQUESTS_ANSWERED = Metric("Requests answered", ("status",))
    REQUESTS_REFUSED = Metric("Requests answered with an error", ("kind",))
    REQUESTS_CANCELLED = Metric("Requests whose caller closed the connection")
    CLIENT_LIMITS_REACHED = Metric("Times that a limit on clients acted", ("limit",))
    TOKENS_RELAYED = Metric("Events of streamed answers relayed to callers")
    CALLS = Metric("Calls on routes that ended", ("kind", "outcome", "cause"))
    PRIORITY_CALLS = Metric(
        "Calls that ended where there are customers; priority 9 is 9 or above",
        ("priority", "outcome"),
    )
    KEYS_REFUSED = Metric("Calls refused for their API key", ("reason",))
    ATTEMPTS = Metric("Attempts on upstreams that ended", ("stage", "cause"))
    ATTEMPTS_OUTSIDE_ZONE = Metric(
        "Attempts placed in another zone than that of their entry",
        ("stage", "zone", "upstream_zone"),
    )
    USAGE_REPORTS = Metric("Usage reports sent", ("result",))
    USAGE_REPORTS_LATE = Metric("Usage reports accepted too late")


class Duration(Enum):
    """Histograms."""

    FIRST_TOKEN = Metric("Seconds from a request's arrival to its first token")
    BETWEEN_TOKENS = Metric("Seconds between tokens of a streamed answer")
    WHOLE_ANSWER = Metric("Seconds from a request's arrival to the end of its answer")
    CALL_FIRST_EVENT = Metric(
        "Seconds from a call's arrival to the first byte of its answer",
        ("kind", "outcome"),
    )
    PRIORITY_FIRST_EVENT = Metric(
        "Seconds from a call's arrival to the first byte where there are customers",
        ("priority",),
    )
    CALL = Metric("Seconds from a call's arrival to its end", ("kind", "outcome"))
    ATTEMPT = Metric("Seconds that an attempt took", ("stage", "cause"))


class Gauge(Enum):
    """Present values."""

    CONFIGURATION_VERSION = Metric("Version of the configuration in force; 0 for none")
    CONFIGURATION_AGE_SECONDS = Metric(
        "Seconds since the store confirmed it; -1 for never"
    )
    UPSTREAMS_AGE_SECONDS = Metric(
        "Seconds since the store confirmed the registrations; -1 for never"
    )
    PEER_AGE_SECONDS = Metric("Seconds since an entry certainly lived", ("peer",))
    ENTRIES = Metric("Entries known, this one included")
    UPSTREAMS_REACHABLE = Metric("0 where this entry can't reach any upstream")
    LEASE_HELD = Metric("1 where this entry holds the lease of a service", ("service",))
    DUTY_HELD = Metric("1 where this entry holds a duty", ("duty",))
    SERVERS_WANTED = Metric(
        "Servers of a scaled service that its scheduler wants now",
        ("service", "zone", "kind"),
    )
    SERVERS_PRESENT = Metric(
        "Servers of a scaled service that are registered and don't drain",
        ("service", "zone", "kind"),
    )
    RETRIES_LEFT = Metric("Repeats that this entry may still send", ("service",))
    PRIORITY_CALLS_WAITING = Metric(
        "Calls that wait here where there are customers", ("service", "priority")
    )
    CUSTOMERS_WAITING = Metric("Customers with calls that wait here", ("service",))
    CALLS_WAITING = Metric("Plain calls that wait here for an upstream", ("service",))
    STAGE_ENGINES = Metric("Engines that respond", ("service", "stage"))
    READING_DEMAND = Metric(
        "Engines that prompts placed by all entries keep reading",
        ("service", "stage"),
    )
    REQUESTS_IN_FLIGHT = Metric("Requests of all entries in flight", ("upstream",))
    PROMPT_TOKENS_IN_FLIGHT = Metric(
        "Prompt tokens being read for all entries", ("upstream",)
    )
    UPSTREAM_PACE = Metric(
        "How much longer than expected an upstream takes", ("upstream",)
    )
    UPSTREAM_SUSPENDED = Metric("1 where an upstream is out of use", ("upstream",))
    UPSTREAM_REQUEST_LIMIT = Metric(
        "Requests a second that an upstream accepts from all entries; -1 for no limit",
        ("upstream",),
    )
    REQUESTS_SENT = Metric(
        "Requests that this entry has sent since the upstream registered",
        ("upstream",),
    )


class DurationRecorder:
    """Histogram of durations with their sum."""

    __slots__ = ("histogram", "sum_s")

    def __init__(self):
        self.histogram = HdrHistogram(1, DURATION_MAX_US, SIGNIFICANT_DIGITS)
        self.sum_s = 0.0

    def record(self, duration_s: float, amount: int = 1) -> None:
        """Record a duration, ``amount`` times."""
        value_us = int(duration_s * US_PER_S) or 1
        if value_us > DURATION_MAX_US:
            value_us = DURATION_MAX_US
        self.histogram.record_value(value_us, amount)
        self.sum_s += duration_s * amount

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile in seconds."""
        return self.histogram.get_value_at_percentile(quantile * 100) / US_PER_S


class Metrics:
    """Counters and histograms of one entry; labels are given in their order."""

    def __init__(self):
        self._counts: Counter[tuple[Count, Labels]] = Counter()
        self._recorders: dict[tuple[Duration, Labels], DurationRecorder] = {
            (duration, ()): DurationRecorder()
            for duration in Duration
            if not duration.value.labels
        }

    def count(self, name: Count, *labels: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[name, labels] += amount

    def recorder(self, name: Duration, *labels: str) -> DurationRecorder:
        """Return the recorder of a histogram, for callers that record often."""
        recorder = self._recorders.get((name, labels))
        if recorder is None:
            recorder = self._recorders[name, labels] = DurationRecorder()
        return recorder

    def observe(self, name: Duration, duration_s: float, *labels: str) -> None:
        """Record a duration."""
        self.recorder(name, *labels).record(duration_s)

    def quantile_s(self, name: Duration, quantile: float, *labels: str) -> float:
        """Return a quantile of a histogram in seconds."""
        return self.recorder(name, *labels).quantile_s(quantile)

    def render(self, gauges: dict[Gauge, dict[Labels, float]] | None = None) -> str:
        """Return all metrics in the Prometheus text format.

        ``gauges`` are present values by their labels.
        """
        lines = []
        for count in Count:
            lines += self._render_count(count)
        for duration in Duration:
            lines += self._render_duration(duration)
        for gauge, values in (gauges or {}).items():
            name = f"{METRIC_PREFIX}{gauge.name.lower()}"
            lines += _header_lines(name, gauge.value, "gauge")
            for labels, value in sorted(values.items()):
                lines.append(f"{name}{_format_labels(gauge.value, labels)} {value:g}")
        return "\n".join(lines) + "\n"

    def _render_count(self, count: Count) -> list[str]:
        name = f"{METRIC_PREFIX}{count.name.lower()}_total"
        lines = _header_lines(name, count.value, "counter")
        for (counted, labels), value in sorted(
            self._counts.items(), key=lambda item: item[0][1]
        ):
            if counted is count:
                lines.append(f"{name}{_format_labels(count.value, labels)} {value}")
        return lines

    def _render_duration(self, duration: Duration) -> list[str]:
        name = f"{METRIC_PREFIX}{duration.name.lower()}_seconds"
        lines = _header_lines(name, duration.value, "summary")
        for (recorded, labels), recorder in sorted(
            self._recorders.items(), key=lambda item: item[0][1]
        ):
            if recorded is duration:
                lines += _summary_lines(name, duration.value, labels, recorder)
        return lines


def _header_lines(name: str, metric: Metric, kind: str) -> list[str]:
    return [f"# HELP {name} {metric.help}", f"# TYPE {name} {kind}"]


def _summary_lines(
    name: str, metric: Metric, labels: Labels, recorder: DurationRecorder
) -> list[str]:
    lines = []
    for quantile in QUANTILES:
        label_text = _format_labels(metric, labels, ("quantile", str(quantile)))
        lines.append(f"{name}{label_text} {recorder.quantile_s(quantile):.6f}")
    label_text = _format_labels(metric, labels)
    lines.append(f"{name}_sum{label_text} {recorder.sum_s:.6f}")
    lines.append(f"{name}_count{label_text} {recorder.histogram.get_total_count()}")
    return lines


def _format_labels(metric: Metric, values: Labels, *more: tuple[str, str]) -> str:
    pairs = [*zip(metric.labels, values, strict=True), *more]
    if not pairs:
        return ""
    return (
        "{"
        + ",".join(f'{name}="{_escape_label_value(text)}"' for name, text in pairs)
        + "}"
    )


def _escape_label_value(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
