"""Counters and histograms of calls on routes and of their attempts."""

import contextlib
from collections.abc import Iterator
from enum import StrEnum

from ..errors import Ran, RequestError
from ..process.clock import now_s
from ..process.metrics import Count, Duration, Metrics
from .answer_relay import AnswerRelay
from .routed_call import RoutedCall

SERVER_ERROR_STATUS = 500
ANSWERED = "answered"
# Bounds the values of a label; greater numbers are counted as this one.
PRIORITY_LABEL_MAX = 9


def priority_label(priority: int) -> str:
    """Return the label of a priority; configurations may have thousands."""
    return str(min(priority, PRIORITY_LABEL_MAX))


class CallOutcome(StrEnum):
    """How a call ended for its caller.

    An answer is compared with the route's objective. REFUSED is an error of a call that
    did not run; a CALLER_DISCONNECTED call ended before its answer was complete.
    """

    WITHIN_OBJECTIVE = "in_time"
    AFTER_OBJECTIVE = "late"
    UPSTREAM_ERROR = "upstream_error"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_DISCONNECTED = "left"


class CallMetrics:
    """Records calls and attempts; one instance serves the whole entry."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    @contextlib.contextmanager
    def measure(self, call: RoutedCall, relay: AnswerRelay) -> Iterator[None]:
        """Record a call and its outcome when the block ends."""
        try:
            yield
        except RequestError as exc:
            outcome = CallOutcome.REFUSED if exc.ran is Ran.NO else CallOutcome.FAILED
            self._record_call(call, relay, outcome, exc.kind.value)
            raise
        except BaseException as exc:
            self._record_call(
                call, relay, CallOutcome.CALLER_DISCONNECTED, type(exc).__name__
            )
            raise
        else:
            self._record_call(call, relay, _outcome_of(call, relay), str(relay.status))

    def record_attempt(self, stage: str, cause: str, started_at_s: float) -> None:
        """Record an attempt; ``cause`` is a failure reason or ``ANSWERED``."""
        self._metrics.count(Count.ATTEMPTS, stage, cause)
        elapsed_s = now_s() - started_at_s
        self._metrics.observe(Duration.ATTEMPT, elapsed_s, stage, cause)

    def record_zone(self, stage: str, zone: str, upstream_zone: str) -> None:
        """Record the placement of an attempt if it leaves the zone of its entry."""
        if upstream_zone != zone:
            self._metrics.count(Count.ATTEMPTS_OUTSIDE_ZONE, stage, zone, upstream_zone)

    def _record_call(
        self, call: RoutedCall, relay: AnswerRelay, outcome: CallOutcome, cause: str
    ) -> None:
        kind = call.route.kind.value
        self._metrics.count(Count.CALLS, kind, outcome.value, cause)
        elapsed_s = now_s() - call.arrived_at_s
        self._metrics.observe(Duration.CALL, elapsed_s, kind, outcome.value)
        if relay.first_event_at_s is not None:
            first_event_s = relay.first_event_at_s - call.arrived_at_s
            self._metrics.observe(
                Duration.CALL_FIRST_EVENT, first_event_s, kind, outcome.value
            )
        if call.urgencies is not None:
            self._record_priority(call, relay, outcome)

    def _record_priority(
        self, call: RoutedCall, relay: AnswerRelay, outcome: CallOutcome
    ) -> None:
        """Record a call of a deployment with customers by its priority."""
        label = priority_label(call.priority)
        self._metrics.count(Count.PRIORITY_CALLS, label, outcome.value)
        if relay.first_event_at_s is not None:
            first_event_s = relay.first_event_at_s - call.arrived_at_s
            self._metrics.observe(Duration.PRIORITY_FIRST_EVENT, first_event_s, label)


def _outcome_of(call: RoutedCall, relay: AnswerRelay) -> CallOutcome:
    if relay.status >= SERVER_ERROR_STATUS:
        return CallOutcome.UPSTREAM_ERROR
    first_at_s = now_s() if relay.first_event_at_s is None else relay.first_event_at_s
    if first_at_s - call.arrived_at_s > call.route.objective_s:
        return CallOutcome.AFTER_OBJECTIVE
    return CallOutcome.WITHIN_OBJECTIVE
