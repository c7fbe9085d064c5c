"""Updates the fleet estimates from attempts of this entry and reports of others.

Each of hundreds of entries may send an upstream only one request a minute, too few to
notice that it has failed, slowed down or started draining. The entry that schedules the
service collects the outcomes of all entries, so that a few attempts suffice.
"""

from collections.abc import Iterable

from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.digest import LimitRecord
from ..process.fleet_estimates import FleetEstimates
from ..process.prefix_cache_index import BLOCK_MIN_TOKENS
from ..process.upstream_signals import UpstreamSignals
from ..process.upstreams import Stage, Upstream
from ..version.route_table import CallKind
from .attempt_failures import FailureReason
from .attempt_outcome import ABANDONED, ANSWERED, AttemptOutcome, AttemptStage
from .candidate import Candidate, Choice
from .limit_log import log_limit
from .placement import DIRECT_SLOWDOWN
from .routed_call import RoutedCall

PREFILL_OVERHEAD_S = 0.03
# Above this ratio of queued to prompt tokens, the queue estimate (itself derived from
# the prefill rate) dominates, and the measured time isn't used to update the rate.
RELIABLE_QUEUE_SHARE = 1.0

UNREACHABLE_REASONS = frozenset((FailureReason.NOT_CONNECTED, FailureReason.SILENT))
DECLINED_REASONS = frozenset((FailureReason.DECLINED, FailureReason.KV_CACHE_NOT_FOUND))


class EstimateUpdater:
    """Updates the estimates about upstreams; one instance serves the whole entry."""

    def __init__(self, estimates: FleetEstimates, log: EventLog):
        self._estimates = estimates
        self._loads = estimates.loads
        self._log = log

    def observe_placement(
        self, call: RoutedCall, choice: Choice, stage: AttemptStage
    ) -> None:
        """Record that a call's prompt is sent to an engine for prefill."""
        if call.prompt is None:
            return
        if not call.demand_recorded:
            self._observe_demand(call, choice, stage)
        call.demand_recorded = False
        self._observe_prefix(call, choice, choice.prefill_tokens, ready=False)

    def _observe_demand(
        self, call: RoutedCall, choice: Choice, stage: AttemptStage
    ) -> None:
        is_disaggregated = stage is AttemptStage.PREFILL
        slowdown = 1.0 if is_disaggregated else DIRECT_SLOWDOWN
        prefill_s = (
            slowdown
            * choice.prefill_tokens
            / self._estimates.prefill_rate(call.service)
        )
        engine_stage = Stage.PREFILL if is_disaggregated else Stage.DECODE
        self._estimates.utilization.record_prefill(
            call.service, engine_stage, prefill_s
        )

    def observe_decode_placement(self, call: RoutedCall, choice: Choice) -> None:
        """Record that an engine decodes a prompt that another engine has prefilled."""
        prompt = call.prompt
        copied_tokens = prompt.input_tokens - choice.candidate.cached_tokens(prompt)
        self._observe_prefix(call, choice, copied_tokens, ready=False)

    def _observe_prefix(
        self, call: RoutedCall, choice: Choice, tokens: int, ready: bool
    ) -> None:
        prompt = call.prompt
        if prompt is None or prompt.shared_tokens < BLOCK_MIN_TOKENS:
            return
        upstream_id = choice.candidate.upstream.upstream_id
        block_ids = [block.block_id for block in prompt.shared_blocks]
        self._estimates.prefix_cache.record_use(upstream_id, block_ids, tokens, ready)

    def observe_outcome(
        self,
        call: RoutedCall,
        choice: Choice,
        stage: AttemptStage,
        outcome: AttemptOutcome,
        includes_prefill: bool = True,
    ) -> None:
        """Record the outcome of an attempt.

        Without ``includes_prefill`` another engine had prefilled the prompt. What an
        earlier incarnation of the upstream did says nothing about the present one.
        """
        upstream_id = choice.candidate.upstream.upstream_id
        if outcome.cause == ABANDONED or self._has_restarted(choice.candidate.upstream):
            return
        if outcome.cause != ANSWERED:
            self._observe_failure(upstream_id, outcome)
            if outcome.is_overloaded or outcome.cause == FailureReason.DECLINED:
                self._estimates.offered.record_refused(call.service, call.work)
            if not includes_prefill and _is_failed_handoff(choice, outcome):
                self._estimates.observe_failed_handoff(call.service)
        elif stage is AttemptStage.PREFILL:
            self._observe_prefill(call, choice, outcome.elapsed_s)
        else:
            self._observe_answer(call, choice, outcome, includes_prefill)

    def _has_restarted(self, upstream: Upstream) -> bool:
        current = self._estimates.registry.get(upstream.upstream_id)
        return current is not None and current.started_at_ms != upstream.started_at_ms

    def observe_signals(
        self, upstream_id: str, signals: UpstreamSignals, sent_at_s: float
    ) -> None:
        """Record what an answer says of its upstream.

        ``sent_at_s`` is when the answer's request was sent, or an earlier time.
        """
        if signals.load is not None:
            self._loads.record_report(upstream_id, signals.load)
        if signals.backoff_s > 0:
            health = self._loads.of(upstream_id).health
            health.record_backoff(now_s(), signals.backoff_s)
            self._log.write(
                Event.UPSTREAM_BACKOFF_REQUESTED,
                upstream=upstream_id,
                seconds=signals.backoff_s,
            )
        if signals.is_draining and self._estimates.registry.record_draining(
            upstream_id, sent_at_s
        ):
            self._log.write(Event.UPSTREAM_DRAINING, upstream=upstream_id)
        if signals.limit_per_s is not None:
            self._apply_limit(upstream_id, signals.limit_per_s, sent_at_s)

    def merge_limits(self, records: Iterable[LimitRecord]) -> None:
        """Record request limits that another entry knows."""
        for upstream_id in self._estimates.limits.merge(records):
            per_s = self._estimates.limits.per_s(upstream_id)
            log_limit(self._log, upstream_id, per_s, source="entry")

    def _apply_limit(self, upstream_id: str, per_s: float, sent_at_s: float) -> None:
        if self._estimates.limits.observe(upstream_id, per_s, sent_at_s):
            log_limit(self._log, upstream_id, per_s, source="answer")

    def _observe_failure(self, upstream_id: str, outcome: AttemptOutcome) -> None:
        health = self._loads.of(upstream_id).health
        reason = FailureReason(outcome.cause)
        suspended = False
        if outcome.is_down:
            suspended = health.record_unreachable(now_s())
        elif outcome.is_overloaded or reason in DECLINED_REASONS:
            health.record_overload(now_s())
        elif reason is FailureReason.WRONG_INSTANCE:
            health.record_replaced(now_s())
        elif reason in UNREACHABLE_REASONS:
            suspended = health.record_unreachable(now_s())
        elif reason is not FailureReason.NOTHING_SENT:
            suspended = health.record_failure(now_s())
        if suspended:
            self._log.write(
                Event.UPSTREAM_SUSPENDED, upstream=upstream_id, reason=reason.value
            )

    def _observe_prefill(
        self, call: RoutedCall, choice: Choice, elapsed_s: float
    ) -> None:
        load = self._loads.of(choice.candidate.upstream.upstream_id)
        load.health.record_success(now_s())
        # Whether the shared prefix was cached isn't known, so an engine counts as slow
        # only if it takes longer than prefilling the complete prompt.
        queued_tokens = choice.candidate.prompt_tokens
        input_tokens = call.prompt.input_tokens
        rate = self._estimates.prefill_rate(call.service)
        full_prefill_s = PREFILL_OVERHEAD_S + (queued_tokens + input_tokens) / rate
        usual_s = elapsed_s / load.reported_slowdown.at(now_s())
        load.slowdown.observe(max(usual_s, full_prefill_s), full_prefill_s, now_s())
        is_reliable = queued_tokens <= RELIABLE_QUEUE_SHARE * choice.prefill_tokens
        if is_reliable:
            self._estimates.observe_prefill(
                call.service, queued_tokens + choice.prefill_tokens, elapsed_s
            )
        self._observe_prefix(call, choice, 0, ready=True)

    def _observe_answer(
        self,
        call: RoutedCall,
        choice: Choice,
        outcome: AttemptOutcome,
        includes_prefill: bool,
    ) -> None:
        upstream_id = choice.candidate.upstream.upstream_id
        self._loads.of(upstream_id).health.record_success(now_s())
        self._observe_prefix(call, choice, 0, ready=True)
        if outcome.transferred_bytes:
            self._estimates.transfer_sizes.observe(
                call.service, call.route.name, outcome.transferred_bytes
            )
        if outcome.first_event_s is not None:
            if not includes_prefill:
                self._estimates.observe_handoff(call.service, outcome.first_event_s)
            work = f"{call.route.name} {'direct' if includes_prefill else 'apart'}"
            self._loads.observe_time(upstream_id, work, outcome.first_event_s)
        if outcome.event_interval_s is not None:
            load = self._loads.of(upstream_id)
            load.observe_event_interval(outcome.event_interval_s)
        if call.prompt is None:
            self._observe_service_time(call, choice.candidate, outcome)

    def _observe_service_time(
        self, call: RoutedCall, candidate: Candidate, outcome: AttemptOutcome
    ) -> None:
        """Record a plain call's time, without its share of waiting for a slot."""
        occupied_s = occupied_time_s(call, outcome)
        if occupied_s is None:
            return
        upstream = candidate.upstream
        load = self._loads.of(upstream.upstream_id)
        times = self._estimates.service_times
        # Ends are reported late: a part of the requests had ended at the placement.
        held_s = occupied_s + times.report_delay_s(call.service)
        requests = candidate.requests * occupied_s / held_s + 1
        crowding = max(1.0, requests / max(1, upstream.slots))
        usual_s = occupied_s / load.reported_slowdown.at(now_s()) / crowding
        times.observe(call.service, call.route.name, usual_s)
        ratio = usual_s / times.service_s(call.service, call.route.name)
        load.slowdown_mean.observe(ratio)

    def observe_report_delay(
        self, call: RoutedCall, in_flight_s: float, outcome: AttemptOutcome
    ) -> None:
        """Record how late the end of another entry's attempt is reported here."""
        occupied_s = occupied_time_s(call, outcome)
        if call.prompt is None and occupied_s is not None:
            self._estimates.service_times.observe_report_delay(
                call.service, max(0.0, in_flight_s - occupied_s)
            )


def occupied_time_s(call: RoutedCall, outcome: AttemptOutcome) -> float | None:
    """Return how long a plain call occupied its upstream; None if it didn't end there.

    An answer is read as a whole before its caller gets it, unless it is a stream.
    """
    if outcome.cause != ANSWERED or outcome.first_event_s is None:
        return None
    is_stream = call.route.kind is CallKind.STREAM
    return outcome.elapsed_s if is_stream else outcome.first_event_s


def _is_failed_handoff(choice: Choice, outcome: AttemptOutcome) -> bool:
    """Whether an engine with a free slot didn't take over a prefilled prompt."""
    candidate = choice.candidate
    has_slot = candidate.requests < candidate.upstream.slots
    reasons = DECLINED_REASONS | {FailureReason.SILENT}
    return has_slot and not outcome.is_down and outcome.cause in reasons
