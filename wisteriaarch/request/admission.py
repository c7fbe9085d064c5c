"""Admission control: in-flight limits, deadline feasibility and caller shares."""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..errors import ErrorKind, RequestError
from ..event_log import EventLog
from ..events import Event
from ..process.demand import DemandMeter
from ..version.manifest import CallerSpec
from .admission_probes import AdmissionProbes
from .call import Call, CompletionCall
from .decaying_peak import DecayingPeak
from .retry_reservations import RetryReservations
from .scoring import DEADLINE_MARGIN, Candidate

SHARE_FACTOR_MIN = 0.5
RETRY_AFTER_MIN_S = 0.1

PRESSURE_THRESHOLD = 0.7
PRESSURE_HALF_LIFE_S = 1.0

ScoreUpstreams = Callable[[CompletionCall], list[Candidate]]


class Admission:
    """Admits calls that can meet their deadline and refuses all others at once.

    ``score_upstreams`` returns the scored upstreams for a call, best first; without it
    only the number of calls in flight is limited. When callers within their share come
    close to missing their deadlines, a caller that exceeds its share of the work in
    flight is allowed a smaller part of its remaining time. Unused shares are available
    to every caller.
    """

    def __init__(
        self,
        requests_in_flight: int,
        score_upstreams: ScoreUpstreams | None = None,
        log: EventLog | None = None,
        *,
        shares: bool = True,
        demand: DemandMeter | None = None,
    ):
        self._limit = requests_in_flight
        self._score_upstreams = score_upstreams
        self._log = log
        self._enforces_shares = shares
        self._demand = demand or DemandMeter()
        self._in_flight_by_caller: Counter[str] = Counter()
        self._work_in_flight_s: Counter[str] = Counter()
        self._share_by_caller: dict[str, float] = {}
        self._reservations = RetryReservations()
        self._probes = AdmissionProbes()
        self._pressure = DecayingPeak(PRESSURE_HALF_LIFE_S)

    @property
    def in_flight(self) -> int:
        """Total number of calls in flight."""
        return self._in_flight_by_caller.total()

    @contextmanager
    def admit(self, call: Call) -> Iterator[None]:
        """Count the call as in flight; raises RequestError if it is refused."""
        self._check_limits(call)
        work_s = 0.0
        if isinstance(call, CompletionCall):
            work_s = self._check_completion(call)
        name = call.caller.name
        self._in_flight_by_caller[name] += 1
        self._work_in_flight_s[name] += work_s
        self._share_by_caller[name] = call.caller.share
        try:
            yield
        finally:
            self._in_flight_by_caller[name] -= 1
            self._work_in_flight_s[name] -= work_s

    def _check_limits(self, call: Call) -> None:
        if (
            self.in_flight >= self._limit
            or self._in_flight_by_caller[call.caller.name]
            >= call.caller.requests_in_flight
        ):
            raise RequestError(
                ErrorKind.OVERLOADED, "too many requests of the caller are in flight"
            )

    def _check_completion(self, call: CompletionCall) -> float:
        candidates = (
            self._score_upstreams(call) if self._score_upstreams is not None else []
        )
        if not candidates:
            self._demand.record_call(call.prompt_tokens, call.max_tokens)
            return 0.0
        best = min(candidates, key=lambda candidate: candidate.completion_s)
        self._demand.record_call(best.uncached_tokens, best.output_tokens)
        return self._check_deadline(call, best, len(candidates))

    def _check_deadline(
        self, call: CompletionCall, best: Candidate, engines: int
    ) -> float:
        """Return the call's expected work in engine seconds.

        Raises RequestError if the call is unlikely to meet its deadline.
        """
        fingerprint = call.fingerprint()
        factor = 1.0
        expected_s = best.completion_s
        if not self._reservations.consume(fingerprint):
            time_fraction = best.completion_s / max(call.remaining_s(), 1e-3)
            factor = self._share_factor(call.caller, time_fraction)
            expected_s += (
                self._reservations.reserved_work_s(call.remaining_s()) / engines
            )
        allowed_s = call.remaining_s() * DEADLINE_MARGIN * factor
        if expected_s <= allowed_s or self._probes.is_due(call):
            self._probes.record_admission(call)
            self._reservations.record_admission(best.work_s)
            return best.work_s
        wait_s = self._reservations.reserve(
            fingerprint,
            max(RETRY_AFTER_MIN_S, best.completion_s - allowed_s),
            best.work_s,
        )
        raise self._refusal_error(call, best.completion_s, allowed_s, factor, wait_s)

    def _share_factor(self, caller: CallerSpec, time_fraction: float) -> float:
        """Return the factor on the caller's allowed time, 1.0 if not restricted.

        It is below 1.0 for a caller that exceeds its share while the others come close
        to missing their deadlines. ``time_fraction`` is the expected duration of the
        call as a fraction of the time left until its deadline.
        """
        relative_usage = self._relative_usage(caller)
        if not self._enforces_shares or relative_usage <= 1.0:
            self._pressure.observe(time_fraction)
            return 1.0
        if self._pressure.value() < PRESSURE_THRESHOLD:
            return 1.0
        return max(SHARE_FACTOR_MIN, 1.0 / relative_usage)

    def _relative_usage(self, caller: CallerSpec) -> float:
        """Return the caller's fraction of the work in flight over its fair share."""
        total_s = self._work_in_flight_s.total()
        if total_s <= 0:
            return 0.0
        active_shares = {
            name: share
            for name, share in self._share_by_caller.items()
            if self._in_flight_by_caller[name]
        }
        active_shares[caller.name] = caller.share
        fair_share = caller.share / sum(active_shares.values())
        return self._work_in_flight_s[caller.name] / total_s / fair_share

    def _refusal_error(
        self, call, expected_s, allowed_s, factor, wait_s
    ) -> RequestError:
        over_share = factor < 1.0 and expected_s <= allowed_s / factor
        kind = ErrorKind.OVERLOADED if over_share else ErrorKind.DEADLINE_UNREACHABLE
        if self._log is not None:
            self._log.write(
                Event.ADMISSION_REFUSED,
                request=call.request_id,
                caller=call.caller.name,
                kind=kind.value,
                expected_s=expected_s,
                allowed_s=allowed_s,
                share_factor=factor,
                retry_after_s=wait_s,
            )
        return RequestError(
            kind,
            f"expected to take {expected_s:.2f} s, {allowed_s:.2f} s are left",
            retry_after_s=round(wait_s, 3),
        )
