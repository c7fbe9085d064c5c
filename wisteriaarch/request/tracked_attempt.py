"""One attempt on an upstream while it is in progress."""

from dataclasses import dataclass, field

from ..process.clock import now_s
from ..process.upstream_signals import NO_SIGNALS, UpstreamSignals
from ..process.upstreams import Upstream
from .attempt_failures import FailureReason
from .attempt_outcome import ABANDONED, ANSWERED, AttemptOutcome, AttemptStage
from .candidate import Choice
from .placer import Ticket
from .routed_call import RoutedCall


@dataclass
class TrackedAttempt:
    """An attempt in progress.

    With ``includes_prefill`` the engine prefills the prompt itself.
    ``unreported_signals`` are those of the answer that the scheduler learns at the end.
    """

    call: RoutedCall
    choice: Choice
    stage: AttemptStage
    ticket: Ticket
    includes_prefill: bool = True
    unreported_signals: UpstreamSignals = NO_SIGNALS
    started_at_s: float = field(default_factory=now_s)
    _cause: str = ABANDONED
    _first_event_s: float | None = None
    _event_interval_s: float | None = None
    _is_overloaded: bool = False
    _is_down: bool = False
    _transferred_bytes: int = 0

    @property
    def upstream(self) -> Upstream:
        """Upstream that the request is sent to."""
        return self.choice.candidate.upstream

    def record_answer(
        self,
        first_event_at_s: float | None = None,
        failed: bool = False,
        answer_bytes: int = 0,
        event_interval_s: float | None = None,
    ) -> None:
        """Record a complete answer; ``failed`` if it reports an upstream's error."""
        self._transferred_bytes = len(self.call.body) + answer_bytes
        self._event_interval_s = event_interval_s
        self._cause = FailureReason.FAILED.value if failed else ANSWERED
        if first_event_at_s is not None:
            self._first_event_s = first_event_at_s - self.started_at_s

    def record_failure(
        self, reason: FailureReason, is_overloaded: bool, is_down: bool
    ) -> None:
        """Record that the attempt ended without a usable answer."""
        self._cause = reason.value
        self._is_overloaded = is_overloaded
        self._is_down = is_down

    def outcome(self) -> AttemptOutcome:
        """Return the outcome; abandoned if neither answer nor failure was recorded."""
        return AttemptOutcome(
            self._cause,
            now_s() - self.started_at_s,
            self._first_event_s,
            self._is_overloaded,
            self._is_down,
            self.unreported_signals,
            self._transferred_bytes,
            self._event_interval_s,
        )
