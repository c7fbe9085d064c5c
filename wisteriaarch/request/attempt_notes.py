"""What an attempt on an upstream teaches: log lines, metrics, health and crashes."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

from ..events import Event, EventLog
from ..process.clock import now_s
from ..process.fleet_knowledge import FleetKnowledge
from ..process.upstreams import Upstream
from .answer_relay import AnswerRelay
from .attempt_outcome import ANSWERED, LEFT, AttemptOutcome, AttemptStage
from .call_metrics import SERVER_ERROR_STATUS, CallMetrics
from .candidate import Choice
from .crash_ledger import CrashLedger
from .exchange import Exchange, is_down
from .learner import Learner
from .outcomes import AttemptFailed, FailureReason
from .placer import Ticket
from .routed_call import RoutedCall
from .upstream_protocol import OutgoingRequest, UpstreamHead

UNREADABLE_KEPT = 1024
BROKEN_OFF = frozenset((FailureReason.CLOSED, FailureReason.MALFORMED))


@dataclass
class Attempt:
    """One attempt under way; ``reads_here`` where the engine reads the prompt itself.

    ``head`` is that of the upstream's answer, once it has come.
    """

    call: RoutedCall
    choice: Choice
    stage: AttemptStage
    ticket: Ticket
    reads_here: bool = True
    head: UpstreamHead | None = None
    started_at_s: float = field(default_factory=now_s)
    _cause: str = LEFT
    _first_event_s: float | None = None
    _is_busy: bool = False
    _is_down: bool = False

    @property
    def upstream(self) -> Upstream:
        """Where it goes."""
        return self.choice.candidate.upstream

    def answered(self, first_at_s: float | None = None, failed: bool = False) -> None:
        """Take in a whole answer; ``failed`` where it tells of an upstream's error."""
        self._cause = FailureReason.FAILED.value if failed else ANSWERED
        if first_at_s is not None:
            self._first_event_s = first_at_s - self.started_at_s

    def failed(self, reason: FailureReason, is_busy: bool, is_down: bool) -> None:
        """Take in that it ended without a usable answer."""
        self._cause = reason.value
        self._is_busy = is_busy
        self._is_down = is_down

    def outcome(self) -> AttemptOutcome:
        """Return how it ended; as left where nothing was taken in."""
        head = self.head
        return AttemptOutcome(
            self._cause,
            now_s() - self.started_at_s,
            self._first_event_s,
            self._is_busy,
            self._is_down,
            wait_s=head.wait_s if head else 0.0,
            is_leaving=head.is_leaving if head else False,
            load=head.load if head else None,
        )


class AttemptNotes:
    """Sends the requests of attempts and notes how they went."""

    def __init__(
        self,
        knowledge: FleetKnowledge,
        crashes: CrashLedger,
        announce_crashes: Callable[[], Awaitable[None]],
        metrics: CallMetrics,
        log: EventLog,
    ):
        self._loads = knowledge.loads
        self._learner = Learner(knowledge, log)
        self._crashes = crashes
        self._announce_crashes = announce_crashes
        self._metrics = metrics
        self._log = log
        self._unreadable: dict[tuple[str, str], None] = {}

    @property
    def learner(self) -> Learner:
        """What learns from the attempts."""
        return self._learner

    @contextlib.asynccontextmanager
    async def attempt(
        self,
        call: RoutedCall,
        choice: Choice,
        stage: AttemptStage,
        ticket: Ticket,
        reads_here: bool = True,
    ) -> AsyncIterator[Attempt]:
        """Count an attempt as in flight, and have its end told to all who learn."""
        attempt = Attempt(call, choice, stage, ticket, reads_here)
        tokens = choice.tokens if reads_here else 0
        self._log_placed(attempt)
        if reads_here:
            self._learner.placed(call, choice, stage)
        else:
            self._learner.memory_placed(call, choice)
        try:
            with self._loads.sending(attempt.upstream.upstream_id, tokens):
                yield attempt
        except AttemptFailed as exc:
            await self._fail(attempt, exc)
            raise
        finally:
            outcome = attempt.outcome()
            self._learner.ended(call, choice, stage, outcome, reads_here)
            await ticket.ended(outcome)

    def _log_placed(self, attempt: Attempt) -> None:
        call, choice = attempt.call, attempt.choice
        candidate = choice.candidate
        self._log.write(
            Event.CALL_PLACED,
            request=call.call_id,
            route=call.route.name,
            stage=attempt.stage.value,
            upstream=candidate.upstream.upstream_id,
            cost_s=choice.cost_s,
            requests=candidate.requests,
            prompt_tokens=candidate.prompt_tokens,
            left_s=call.remaining_s(),
            input_tokens=call.prompt.input_tokens if call.prompt else 0,
            own_tokens=call.prompt.own_tokens if call.prompt else 0,
            favoured=call.favoured,
            holding=candidate.holding.name.lower(),
            copied_from=choice.fetch_from.upstream_id if choice.fetch_from else None,
        )

    async def send(
        self,
        attempt: Attempt,
        exchange: Exchange,
        req: OutgoingRequest,
        silent_after_s: float,
    ) -> UpstreamHead:
        """Return the head of a wanted answer; raises AttemptFailed."""
        attempt.head = head = await exchange.send(req, silent_after_s)
        self._loads.of(attempt.upstream.upstream_id).heard_at_s = now_s()
        self._log_unreadable(attempt.upstream.upstream_id, head)
        check_declined(head)
        return head

    def _log_unreadable(self, upstream_id: str, head: UpstreamHead) -> None:
        """Log each unreadable header of an upstream once."""
        for name in head.unreadable:
            if (upstream_id, name) not in self._unreadable:
                self._unreadable[upstream_id, name] = None
                self._log.write(
                    Event.UPSTREAM_HEADER_UNREADABLE, upstream=upstream_id, name=name
                )
            while len(self._unreadable) > UNREADABLE_KEPT:
                del self._unreadable[next(iter(self._unreadable))]

    async def _fail(self, attempt: Attempt, exc: AttemptFailed) -> None:
        call, reason = attempt.call, exc.reason
        started_at_s = attempt.started_at_s
        self._metrics.attempt_ended(attempt.stage.value, reason.value, started_at_s)
        upstream_id = attempt.upstream.upstream_id
        call.tried.add(upstream_id)
        heard_at_s = self._loads.of(upstream_id).heard_at_s
        is_busy = reason is FailureReason.SILENT and heard_at_s > started_at_s
        has_crashed = (
            attempt.stage is AttemptStage.RUN
            and reason in BROKEN_OFF
            and await is_down(attempt.upstream)
        )
        attempt.failed(reason, is_busy, has_crashed)
        if has_crashed:
            await self._note_crash(attempt)

    async def _note_crash(self, attempt: Attempt) -> None:
        upstream_id = attempt.upstream.upstream_id
        crashes = self._crashes.note_crash(attempt.call, upstream_id)
        self._log.write(
            Event.CRASH_NOTED,
            request=attempt.call.call_id,
            upstream=upstream_id,
            crashes=crashes,
        )
        await self._announce_crashes()

    def read(self, attempt: Attempt) -> None:
        """Take in that a prompt was read apart."""
        attempt.answered()
        self._metrics.attempt_ended(
            AttemptStage.PREFILL.value, ANSWERED, attempt.started_at_s
        )

    def answered(self, attempt: Attempt, relay: AnswerRelay) -> None:
        """Take in an answer that was passed on."""
        call = attempt.call
        failed = relay.status >= SERVER_ERROR_STATUS
        attempt.answered(relay.first_at_s, failed)
        self._metrics.attempt_ended(
            AttemptStage.RUN.value, ANSWERED, attempt.started_at_s
        )
        if not failed:
            self._crashes.note_success(call)
        self._log.write(
            Event.CALL_ANSWERED,
            request=call.call_id,
            upstream=attempt.upstream.upstream_id,
            status=relay.status,
            seconds=now_s() - call.arrived_at_s,
            first_s=(relay.first_at_s or now_s()) - call.arrived_at_s,
            longest_pause_s=relay.longest_pause_s,
        )


def check_declined(head: UpstreamHead) -> None:
    """Raise AttemptFailed where the upstream says that it has not run the request."""
    if head.wrong_instance:
        raise AttemptFailed(FailureReason.WRONG_INSTANCE, f"answered {head.status}")
    if head.not_run:
        raise AttemptFailed(FailureReason.DECLINED, f"answered {head.status}")
