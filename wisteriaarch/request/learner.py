"""Learns of upstreams from attempts: those of this entry, and those told by others.

Load pattern: an upstream dies, turns slow or leaves, and each of hundreds of entries
sends it a request a minute. The entry that schedules the service learns from all of
them, so that a handful of attempts is enough for everyone.
"""

from ..events import Event, EventLog
from ..process.cache_belief import PART_MIN_TOKENS
from ..process.clock import now_s
from ..process.fleet_knowledge import FleetKnowledge
from ..process.upstreams import Stage
from .attempt_outcome import ANSWERED, LEFT, AttemptOutcome, AttemptStage
from .candidate import Choice
from .outcomes import FailureReason
from .placement import DIRECT_SLOWDOWN
from .routed_call import RoutedCall

PREFILL_OVERHEAD_S = 0.03
# A longer queue than this share of a prompt is itself a prediction by the speed and
# does not teach it.
SURE_QUEUE_SHARE = 1.0

UNREACHED = frozenset((FailureReason.NOT_CONNECTED, FailureReason.SILENT))
DECLINED = frozenset((FailureReason.DECLINED, FailureReason.MEMORY_GONE))


class Learner:
    """Updates what is known of upstreams; one instance serves the whole entry."""

    def __init__(self, knowledge: FleetKnowledge, log: EventLog):
        self._knowledge = knowledge
        self._loads = knowledge.loads
        self._log = log

    def placed(self, call: RoutedCall, choice: Choice, stage: AttemptStage) -> None:
        """Take in that a call's prompt goes to an engine."""
        if call.prompt is None:
            return
        if not call.demand_noted:
            self._note_demand(call, choice, stage)
        call.demand_noted = False
        self._part_placed(call, choice, choice.tokens, ready=False)

    def _note_demand(
        self, call: RoutedCall, choice: Choice, stage: AttemptStage
    ) -> None:
        reads_apart = stage is AttemptStage.PREFILL
        slowdown = 1.0 if reads_apart else DIRECT_SLOWDOWN
        reading_s = slowdown * choice.tokens / self._knowledge.rate_of(call.service)
        engine_stage = Stage.PREFILL if reads_apart else Stage.DECODE
        self._knowledge.busyness.note(call.service, engine_stage, reading_s)

    def memory_placed(self, call: RoutedCall, choice: Choice) -> None:
        """Take in that an engine takes over a prompt that another has read."""
        prompt = call.prompt
        moved = prompt.input_tokens - choice.candidate.tokens_held(prompt)
        self._part_placed(call, choice, moved, ready=False)

    def _part_placed(
        self, call: RoutedCall, choice: Choice, tokens: int, ready: bool
    ) -> None:
        prompt = call.prompt
        if prompt is None or prompt.shared_tokens < PART_MIN_TOKENS:
            return
        upstream_id = choice.candidate.upstream.upstream_id
        part_ids = [part.part_id for part in prompt.shared_parts]
        self._knowledge.cache.note(upstream_id, part_ids, tokens, ready)

    def ended(
        self,
        call: RoutedCall,
        choice: Choice,
        stage: AttemptStage,
        outcome: AttemptOutcome,
        reads_here: bool = True,
    ) -> None:
        """Take in the end of an attempt; without ``reads_here`` the prompt was read."""
        upstream_id = choice.candidate.upstream.upstream_id
        self._take_signals(upstream_id, outcome)
        if outcome.cause == LEFT:
            return
        if outcome.cause != ANSWERED:
            self._failed(upstream_id, outcome)
        elif stage is AttemptStage.PREFILL:
            self._read(call, choice, outcome.elapsed_s)
        else:
            self._answered(call, choice, outcome, reads_here)

    def _take_signals(self, upstream_id: str, outcome: AttemptOutcome) -> None:
        if outcome.load is not None:
            self._loads.note_report(upstream_id, outcome.load)
        if outcome.wait_s > 0:
            health = self._loads.of(upstream_id).health
            health.note_wait(now_s(), outcome.wait_s)
            self._log.write(
                Event.UPSTREAM_TOLD_TO_WAIT,
                upstream=upstream_id,
                seconds=outcome.wait_s,
            )
        if outcome.is_leaving and self._knowledge.registry.note_leaving(upstream_id):
            self._log.write(Event.UPSTREAM_SAID_LEAVING, upstream=upstream_id)

    def _failed(self, upstream_id: str, outcome: AttemptOutcome) -> None:
        health = self._loads.of(upstream_id).health
        reason = FailureReason(outcome.cause)
        suspended = False
        if outcome.is_down:
            suspended = health.note_unreached(now_s())
        elif outcome.is_busy or reason in DECLINED:
            health.note_full(now_s())
        elif reason is FailureReason.WRONG_INSTANCE:
            health.note_replaced(now_s())
        elif reason in UNREACHED:
            suspended = health.note_unreached(now_s())
        elif reason is not FailureReason.NOTHING_SENT:
            suspended = health.note_failure(now_s())
        if suspended:
            self._log.write(
                Event.UPSTREAM_SUSPENDED, upstream=upstream_id, reason=reason.value
            )

    def _read(self, call: RoutedCall, choice: Choice, elapsed_s: float) -> None:
        load = self._loads.of(choice.candidate.upstream.upstream_id)
        load.health.note_success(now_s())
        # Whether shared parts were in memory isn't known: slow is only what takes
        # longer than reading all of the prompt.
        queued_tokens = choice.candidate.prompt_tokens
        input_tokens = call.prompt.input_tokens
        rate = self._knowledge.rate_of(call.service)
        whole_s = PREFILL_OVERHEAD_S + (queued_tokens + input_tokens) / rate
        load.pace.note(max(elapsed_s, whole_s), whole_s, now_s())
        is_sure = queued_tokens <= SURE_QUEUE_SHARE * choice.tokens
        if is_sure:
            self._knowledge.note_reading(
                call.service, queued_tokens + choice.tokens, elapsed_s
            )
        self._part_placed(call, choice, 0, ready=True)

    def _answered(
        self,
        call: RoutedCall,
        choice: Choice,
        outcome: AttemptOutcome,
        reads_here: bool,
    ) -> None:
        upstream_id = choice.candidate.upstream.upstream_id
        self._loads.of(upstream_id).health.note_success(now_s())
        self._part_placed(call, choice, 0, ready=True)
        if outcome.first_event_s is not None:
            if not reads_here:
                self._knowledge.note_takeover(call.service, outcome.first_event_s)
            work = f"{call.route.name} {'direct' if reads_here else 'apart'}"
            self._loads.note_time(upstream_id, work, outcome.first_event_s)
