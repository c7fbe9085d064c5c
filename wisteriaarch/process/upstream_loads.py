"""Requests in flight on each upstream, as far as this entry sends or schedules them."""

import contextlib
import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from .clock import now_s
from .reported_slowdown import ReportedSlowdown
from .service_times import LearntMean
from .upstream_health import UpstreamHealth

REPORT_RETENTION_S = 0.4
SLOWDOWN_WEIGHT = 0.3
SLOWDOWN_DECAY_S = 3.0
SLOWDOWN_MIN = 0.5
SLOWDOWN_MAX = 10.0
TYPICAL_TIME_WEIGHT = 0.05
EVENT_INTERVAL_WEIGHT = 0.1
PREFILLED_SHARE_MAX = 0.9
# Single service times vary by a third: the mean of 50 is off by 5%.
SLOWDOWN_MEAN_WEIGHT = 0.02
SLOWDOWN_ANSWERS_MIN = 50


@dataclass
class Slowdown:
    """Ratio of observed to expected time on an upstream; 1 without observations."""

    ratio: float = 1.0
    observed_at_s: float = 0.0

    def observe(self, observed_s: float, expected_s: float, at_s: float) -> None:
        """Record the observed and the expected time of a piece of work."""
        observed = min(
            SLOWDOWN_MAX, max(SLOWDOWN_MIN, observed_s / max(expected_s, 1e-4))
        )
        current = self.at(at_s)
        self.ratio = current + SLOWDOWN_WEIGHT * (observed - current)
        self.observed_at_s = at_s

    def at(self, at_s: float) -> float:
        """Return the ratio; it decays towards 1 without new observations."""
        if self.ratio == 1.0:
            return 1.0
        age_s = max(0.0, at_s - self.observed_at_s)
        return 1 + (self.ratio - 1) * math.exp(-age_s / SLOWDOWN_DECAY_S)


@dataclass(frozen=True)
class ReportedLoad:
    """Load as reported by an upstream, some milliseconds old.

    ``slowdown`` is the ratio of the time that work takes there now to the usual time;
    None if the upstream doesn't state it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None

    @property
    def requests(self) -> int:
        """Requests running or waiting there, from all senders."""
        return self.running + self.waiting


def _slowdown_mean() -> LearntMean:
    return LearntMean(weight_min=SLOWDOWN_MEAN_WEIGHT)


@dataclass
class UpstreamLoad:
    """Requests of this entry in flight on one upstream, and observations of it.

    ``sent`` counts the requests that this entry itself has sent there.
    ``prefills`` are the token counts of the prompts in prefill there; the first of them
    started at ``prefill_started_at_s``. ``last_seen_at_s`` is the time of the last
    response received here. ``untracked_requests`` is the number of requests that the
    upstream reported at ``reported_at_s`` beyond those tracked here,
    ``reported_requests`` that of all requests reported there, and
    ``begun_since_report`` counts the requests tracked here since then.
    ``long_streams`` counts the requests with long outputs among ``requests``,
    ``event_interval_s`` is the usual time between a stream's events, 0 if unknown.
    """

    requests: int = 0
    sent: int = 0
    prompt_tokens: int = 0
    prefills: list[int] = field(default_factory=list)
    long_streams: int = 0
    event_interval_s: float = 0.0
    prefill_started_at_s: float = 0.0
    last_seen_at_s: float = 0.0
    untracked_requests: int = 0
    reported_at_s: float = 0.0
    reported_requests: int = 0
    begun_since_report: int = 0
    health: UpstreamHealth = field(default_factory=UpstreamHealth)
    slowdown: Slowdown = field(default_factory=Slowdown)
    reported_slowdown: ReportedSlowdown = field(default_factory=ReportedSlowdown)
    slowdown_mean: LearntMean = field(default_factory=_slowdown_mean)

    def begin(self, prompt_tokens: int, is_long_stream: bool = False) -> None:
        """Count a request as in flight; ``end`` must be called once for it."""
        self.requests += 1
        self.long_streams += is_long_stream
        self.begun_since_report += 1
        self.prompt_tokens += prompt_tokens
        if prompt_tokens:
            if not self.prefills:
                self.prefill_started_at_s = now_s()
            self.prefills.append(prompt_tokens)

    def end(self, prompt_tokens: int, is_long_stream: bool = False) -> None:
        """Remove one request that is no longer in flight."""
        self.requests -= 1
        self.long_streams -= is_long_stream
        self.prompt_tokens -= prompt_tokens
        if prompt_tokens:
            self.prefills.remove(prompt_tokens)
            self.prefill_started_at_s = now_s()

    def observe_event_interval(self, interval_s: float) -> None:
        """Record the mean time between the events of one stream."""
        if not self.event_interval_s:
            self.event_interval_s = interval_s
        change_s = interval_s - self.event_interval_s
        self.event_interval_s += EVENT_INTERVAL_WEIGHT * change_s

    def prefill_tokens_left(self, at_s: float, tokens_per_s: float) -> int:
        """Return the tokens left to prefill, at ``tokens_per_s`` tokens a second.

        A prompt in prefill for longer than expected still counts with a remainder.
        """
        if not self.prefills:
            return 0
        prefilled = tokens_per_s * max(0.0, at_s - self.prefill_started_at_s)
        return int(
            self.prompt_tokens - min(prefilled, PREFILLED_SHARE_MAX * self.prefills[0])
        )

    def untracked_requests_at(self, at_s: float) -> int:
        """Return the untracked requests of the last report; 0 once it has expired."""
        return (
            self.untracked_requests
            if at_s - self.reported_at_s < REPORT_RETENTION_S
            else 0
        )

    def occupied_at(self, at_s: float) -> int:
        """Return an upper bound of the requests that the upstream itself has.

        An attempt stays in flight here until its answer has been relayed, which a slow
        caller may delay; the upstream's report doesn't include it then.
        """
        requests = self.requests + self.untracked_requests_at(at_s)
        if at_s - self.reported_at_s >= REPORT_RETENTION_S:
            return requests
        return min(requests, self.reported_requests + self.begun_since_report)

    def slowdown_at(self, at_s: float) -> float:
        """Return the ratio of the expected time of work there to the usual time."""
        return self.slowdown.at(at_s) * self.reported_slowdown.at(at_s)

    @property
    def usual_slowdown(self) -> float:
        """Mean ratio of observed to expected time; 1 until it is reliable."""
        mean = self.slowdown_mean
        return mean.value if mean.count >= SLOWDOWN_ANSWERS_MIN else 1.0

    def forget(self) -> None:
        """Forget what was learnt; the requests in flight stay counted."""
        self.event_interval_s = 0.0
        self.untracked_requests = 0
        self.reported_at_s = 0.0
        self.health = UpstreamHealth()
        self.slowdown = Slowdown()
        self.reported_slowdown = ReportedSlowdown()
        self.slowdown_mean = _slowdown_mean()


@dataclass
class TypicalTime:
    """Moving average of the duration of one kind of work, in seconds."""

    value_s: float | None = None

    def observe(self, observed_s: float) -> float:
        """Record a duration and return the average before it."""
        if self.value_s is None:
            self.value_s = observed_s
        before_s = self.value_s
        self.value_s += TYPICAL_TIME_WEIGHT * (observed_s - self.value_s)
        return before_s


class UpstreamLoads:
    """Loads of all upstreams by id."""

    def __init__(self):
        self._loads: dict[str, UpstreamLoad] = defaultdict(UpstreamLoad)
        self._typical_times: dict[str, TypicalTime] = defaultdict(TypicalTime)

    def of(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of one upstream."""
        return self._loads[upstream_id]

    @contextlib.contextmanager
    def sending(
        self, upstream_id: str, prompt_tokens: int = 0, is_long_stream: bool = False
    ) -> Iterator[None]:
        """Count one request, with its prompt tokens to prefill, as in flight."""
        load = self.begin(upstream_id, prompt_tokens, is_long_stream)
        load.sent += 1
        try:
            yield
        finally:
            load.end(prompt_tokens, is_long_stream)

    def begin(
        self, upstream_id: str, prompt_tokens: int, is_long_stream: bool = False
    ) -> UpstreamLoad:
        """Count one request as in flight; ``end`` must be called once for it."""
        load = self._loads[upstream_id]
        load.begin(prompt_tokens, is_long_stream)
        return load

    def record_report(self, upstream_id: str, report: ReportedLoad) -> None:
        """Record an upstream's own report; it is valid for ``REPORT_RETENTION_S``."""
        load = self._loads[upstream_id]
        load.untracked_requests = max(0, report.requests - load.requests)
        load.reported_at_s = now_s()
        load.reported_requests, load.begun_since_report = report.requests, 0
        if report.slowdown is not None:
            load.reported_slowdown.record(report.slowdown, now_s())

    def is_suspended(self, upstream_id: str) -> bool:
        """Whether an upstream is avoided while others can take the work."""
        load = self._loads.get(upstream_id)
        return load is not None and load.health.is_suspended(now_s())

    def is_responsive(self, upstream_id: str) -> bool:
        """Whether an upstream counts as capacity: neither suspended nor silent."""
        load = self._loads.get(upstream_id)
        return load is None or not (
            load.health.is_unresponsive or load.health.is_suspended(now_s())
        )

    def is_in_backoff(self, upstream_id: str) -> bool:
        """Whether a backoff that an upstream requested is in effect."""
        load = self._loads.get(upstream_id)
        return load is not None and load.health.is_in_backoff(now_s())

    def observe_time(self, upstream_id: str, work: str, observed_s: float) -> None:
        """Compare the duration of a kind of work with the average of all upstreams.

        What the upstream itself stated as its present speed is taken out of it.
        """
        load = self._loads[upstream_id]
        usual_s = observed_s / load.reported_slowdown.at(now_s())
        expected_s = self._typical_times[work].observe(usual_s)
        load.slowdown.observe(usual_s, expected_s, now_s())

    def requests(self, upstream_id: str) -> int:
        """Return the requests in flight, including reported ones of other senders."""
        load = self._loads[upstream_id]
        return load.requests + load.untracked_requests_at(now_s())

    def sent(self, upstream_id: str) -> int:
        """Return how many requests this entry itself has sent."""
        return self._loads[upstream_id].sent

    def prompt_tokens(self, upstream_id: str) -> int:
        """Return the prompt tokens in prefill."""
        return self._loads[upstream_id].prompt_tokens

    def discard(self, upstream_id: str) -> None:
        """Discard the data of an upstream; requests in flight there stay counted."""
        load = self._loads.get(upstream_id)
        if load is None:
            return
        if load.requests:
            load.forget()
        else:
            del self._loads[upstream_id]
