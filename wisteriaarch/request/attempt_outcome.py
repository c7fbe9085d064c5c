"""Outcome of an attempt on an upstream, as reported to the scheduler."""

from dataclasses import dataclass
from enum import StrEnum

from ..errors import Ran
from ..process.upstream_signals import NO_SIGNALS, UpstreamSignals
from .attempt_failures import RAN_BY_REASON, FailureReason

ANSWERED = "answered"
# The caller disconnected, or the call's deadline passed.
ABANDONED = "left"
CAUSES = frozenset((ANSWERED, ABANDONED, *(reason.value for reason in FailureReason)))
NOT_RUN_CAUSES = frozenset(
    reason.value for reason, ran in RAN_BY_REASON.items() if ran is Ran.NO
)


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
    ``transferred_bytes`` is the size of the request and its answer, 0 if not known.
    """

    cause: str
    elapsed_s: float
    first_event_s: float | None = None
    is_overloaded: bool = False
    is_down: bool = False
    signals: UpstreamSignals = NO_SIGNALS
    transferred_bytes: int = 0

    @property
    def has_not_begun(self) -> bool:
        """Whether the upstream certainly didn't answer the attempt.

        One that was abandoned without any time was never made.
        """
        if self.cause == ABANDONED:
            return self.elapsed_s == 0.0
        return self.cause in NOT_RUN_CAUSES
