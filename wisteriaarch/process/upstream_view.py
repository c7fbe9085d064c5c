"""An entry's view of one upstream: load reports corrected by work sent since."""

import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from ..http_client import HttpClientConnection
from .clock import now_s
from .engine_speeds import RoleSpeeds, SpeedEstimates
from .load_reports import LoadReport, ReportReader
from .member import NEVER_S
from .sent_request import RecentPrefixes, SentRequest
from .store import Instance

MAX_REPORT_AGE_S = 5.0
TRUSTED_MAX_AGE_S = 1.0
PEER_WORK_MAX_AGE_S = 2.0
PREFILL_MEAN_STEPS = 40
DEFAULT_ROLE = "mixed"


@dataclass(slots=True)
class LoadEstimate:
    """Load expected on an engine now: prompt tokens to prefill, and requests."""

    prefill_tokens: float = 0.0
    requests: float = 0.0


@dataclass
class PeerWork:
    """Work in flight on an upstream as last reported by one peer."""

    requests: int
    prefill_tokens: int
    received_at_s: float


@dataclass
class UpstreamView:
    """State of one upstream as seen by this entry.

    ``name`` is its instance id; ``name_hash`` is equal at every entry. The upstream has
    asked to get no requests until ``backoff_until_s``.
    """

    instance: Instance
    report: LoadReport | None = None
    corrects_reports: bool = True
    speeds: SpeedEstimates = field(default_factory=SpeedEstimates)
    sent: list[SentRequest] = field(default_factory=list)
    peer_work: dict[str, PeerWork] = field(default_factory=dict)
    prefixes: RecentPrefixes = field(default_factory=RecentPrefixes)
    report_reader: ReportReader = field(default_factory=ReportReader)
    poll_conn: HttpClientConnection | None = None
    prefill_tokens_per_step: float = 0.0
    report_valid_s: float = MAX_REPORT_AGE_S
    last_sent_s: float = NEVER_S
    poll_started_at_s: float = NEVER_S
    backoff_until_s: float = NEVER_S
    name: str = field(init=False)
    name_hash: int = field(init=False)
    _own_load_at_sample: LoadEstimate = field(default_factory=LoadEstimate)
    _own_load_at_last_report: LoadEstimate = field(default_factory=LoadEstimate)

    def __post_init__(self):
        self.name = self.instance.instance_id
        self.name_hash = zlib.crc32(self.name.encode())

    @property
    def in_flight(self) -> int:
        """Number of this entry's requests in flight here."""
        return len(self.sent)

    @property
    def role_speeds(self) -> RoleSpeeds:
        """Speeds learned for the role that this engine last reported."""
        return self.speeds.role(self.report.role if self.report else DEFAULT_ROLE)

    @property
    def backoff_left_s(self) -> float:
        """Remaining time of a requested backoff, 0 if there is none."""
        return max(0.0, self.backoff_until_s - now_s())

    def fresh_report(self) -> LoadReport | None:
        """Return the last report; None where it is missing or too old."""
        if self.report is None:
            return None
        if now_s() - self.report.received_at_s > self.report_valid_s:
            return None
        return self.report

    def loaded_version(self, model: str) -> str | None:
        """Return the version of a model that the engine reports, if any."""
        report = self.fresh_report()
        return report.models.get(model) if report else None

    @property
    def software(self) -> str | None:
        """Software version that the engine reports; None without a fresh report."""
        report = self.fresh_report()
        return report.software if report else None

    @contextmanager
    def sending(self, request: SentRequest | None = None) -> Iterator[SentRequest]:
        """Count one request as in flight, and learn from its times."""
        request = request or SentRequest()
        self.sent.append(request)
        self.last_sent_s = now_s()
        self.prefixes.insert(request.prefixes)
        try:
            yield request
            request.report_length()
        finally:
            self.sent.remove(request)
            self._learn_from_request(request)

    def _learn_from_request(self, request: SentRequest) -> None:
        if not request.streamed or not request.predicted_first_token_s:
            return
        # A missing first token counts only once it is overdue.
        ratio = request.first_token_elapsed_s() / request.predicted_first_token_s
        if request.received_tokens or ratio > 1.0:
            self.role_speeds.observe_first_token(ratio)
        if request.received_tokens:
            self.role_speeds.observe_request(
                request.uncached_tokens, request.received_tokens
            )

    def apply_report(self, report: LoadReport) -> None:
        """Store a new report, with this entry's load at its sampling time.

        The sample is assumed to date from the arrival of the previous report.
        """
        before = self.report
        self.report = report
        self._own_load_at_sample = self._own_load_at_last_report
        self._own_load_at_last_report = self.own_load()
        if before is None:
            return
        if report.incarnation != before.incarnation:
            self.prefixes.clear()
        elif report.role == before.role:
            self._learn_speeds(before, report)

    def _learn_speeds(self, before: LoadReport, after: LoadReport) -> None:
        steps = after.steps - before.steps
        self.role_speeds.observe_reports(before, after)
        if steps > 0:
            tokens = (after.prefilled_tokens - before.prefilled_tokens) / steps
            weight = min(1.0, steps / PREFILL_MEAN_STEPS)
            self.prefill_tokens_per_step += weight * (
                tokens - self.prefill_tokens_per_step
            )

    def own_load(self, priority: int = 0) -> LoadEstimate:
        """Return this entry's load in flight.

        It counts the requests of all priorities, and the prefill tokens of those with
        ``priority`` or a greater number, which is more urgent.
        """
        prefill = 0
        for item in self.sent:
            if not item.received_tokens and item.priority >= priority:
                prefill += item.uncached_tokens
        return LoadEstimate(prefill, len(self.sent))

    def estimate(self, priority: int = 0) -> LoadEstimate:
        """Return the load expected now, for a request of a priority."""
        report = self.report
        if not self.corrects_reports:
            if report is None:
                return LoadEstimate(0, len(self.sent))
            return LoadEstimate(report.prefill_tokens_left, report.requests)
        own = self.own_load(priority)
        prefill, requests = self._peer_load()
        if report is not None and report.excess_age_s < TRUSTED_MAX_AGE_S:
            others = self._reported_load_of_others(report)
            prefill = max(prefill, others.prefill_tokens)
            requests = max(requests, others.requests)
        return LoadEstimate(own.prefill_tokens + prefill, own.requests + requests)

    def _reported_load_of_others(self, report: LoadReport) -> LoadEstimate:
        """Return the reported load less this entry's own work at that time."""
        trust = 1.0 - report.excess_age_s / TRUSTED_MAX_AGE_S
        own_load = self._own_load_at_sample
        requests = trust * (report.requests - own_load.requests)
        prefill_tokens = trust * (report.prefill_tokens_left - own_load.prefill_tokens)
        if prefill_tokens > 0:
            prefill_tokens -= (now_s() - report.received_at_s) / self._prefill_token_s()
        return LoadEstimate(prefill_tokens, requests)

    def _prefill_token_s(self) -> float:
        speeds = self.role_speeds
        running = self.report.running
        return (
            speeds.step_time.predict_s(running, speeds.chunk_tokens)
            / speeds.chunk_tokens
        )

    def _peer_load(self) -> tuple[float, float]:
        if not self.peer_work:
            return 0.0, 0.0
        oldest_s = now_s() - PEER_WORK_MAX_AGE_S
        fresh = [
            work for work in self.peer_work.values() if work.received_at_s > oldest_s
        ]
        return (
            sum(work.prefill_tokens for work in fresh),
            sum(work.requests for work in fresh),
        )
