"""How an attempt on an upstream ended, as whoever places calls needs to know."""

from dataclasses import dataclass
from enum import StrEnum

from ..process.upstream_loads import ReportedLoad
from .outcomes import FailureReason

ANSWERED = "answered"
# The caller left, or the call's time was over.
LEFT = "left"
CAUSES = frozenset((ANSWERED, LEFT, *(reason.value for reason in FailureReason)))


class AttemptStage(StrEnum):
    """What an attempt is for: to read a prompt apart, or to run the call."""

    PREFILL = "prefill"
    RUN = "run"


@dataclass(frozen=True)
class AttemptOutcome:
    """End of one attempt.

    ``cause`` is one of ``CAUSES``. ``is_busy`` marks an upstream that was silent here
    and answered others, ``is_down`` one that takes no connection any more. ``wait_s``
    is how long the upstream asked to be left alone, ``is_leaving`` its word that it
    takes no new work, ``load`` its own report.
    """

    cause: str
    elapsed_s: float
    first_event_s: float | None = None
    is_busy: bool = False
    is_down: bool = False
    wait_s: float = 0.0
    is_leaving: bool = False
    load: ReportedLoad | None = None
