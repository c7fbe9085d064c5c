"""Outcome of an attempt on an upstream, as reported to the scheduler."""

from dataclasses import dataclass
from enum import StrEnum

from ..process.upstream_signals import NO_SIGNALS, UpstreamSignals
from .attempt_failures import FailureReason

ANSWERED = "answered"
# The caller disconnected, or the call's deadline passed.
ABANDONED = "left"
CAUSES = frozenset((ANSWERED, ABANDONED, *(reason.value for reason in FailureReason)))


class AttemptStage(StrEnum):
    """Purpose of an attempt: disaggregated prefill, or running the call."""

    PREFILL = "prefill"
    RUN = "run"


@dataclass(frozen=True)
class AttemptOutcome:
    """End of one attempt.

    ``cause`` is one of ``CAUSES``. ``is_overloaded`` marks an upstream that timed out
    here while it answered other requests, ``is_down`` one that no longer accepts
    connections. ``signals`` are those of its answer that weren't reported before.
    """

    cause: str
    elapsed_s: float
    first_event_s: float | None = None
    is_overloaded: bool = False
    is_down: bool = False
    signals: UpstreamSignals = NO_SIGNALS
