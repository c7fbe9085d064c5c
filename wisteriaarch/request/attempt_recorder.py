"""Records attempts on upstreams: log lines, metrics, health and crashes."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from ..connection.upstream_pool import UpstreamPool
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.fleet_estimates import FleetEstimates
from ..process.upstream_signals import UpstreamSignals
from .answer_relay import AnswerRelay
from .attempt_failures import AttemptFailed, FailureReason
from .attempt_outcome import (
    ANSWERED,
    AttemptStage,
    runs_long_stream,
)
from .block_quarantine import BlockQuarantine
from .call_metrics import SERVER_ERROR_STATUS, CallMetrics
from .candidate import Choice
from .crash_history import CrashHistory, request_fingerprint
from .estimate_updater import EstimateUpdater
from .exchange import Exchange, is_down
from .invalid_header_log import InvalidHeaderLog
from .placer import Ticket
from .routed_call import RoutedCall
from .tracked_attempt import TrackedAttempt
from .upstream_protocol import OutgoingRequest, UpstreamHead

SUCCESS_STATUSES = range(200, 300)
LINK_REASONS = frozenset(
    (FailureReason.NOT_CONNECTED, FailureReason.CLOSED, FailureReason.SILENT)
)
BROKEN_ANSWER_REASONS = frozenset((FailureReason.CLOSED, FailureReason.MALFORMED))


class AttemptRecorder:
    """Sends the requests of attempts and records their outcomes."""

    def __init__(
        self,
        estimates: FleetEstimates,
        crashes: CrashHistory,
        blocks: BlockQuarantine,
        announce_crashes: Callable[[], Awaitable[None]],
        metrics: CallMetrics,
        log: EventLog,
        pool: UpstreamPool,
        check_key: Callable[[RoutedCall], None],
    ):
        self._pool = pool
        self._check_key = check_key
        self._loads = estimates.loads
        self._estimate_updater = EstimateUpdater(estimates, log)
        self._crashes = crashes
        self._blocks = blocks
        self._announce_crashes = announce_crashes
        self._metrics = metrics
        self._log = log
        self._invalid_headers = InvalidHeaderLog(log)

    @property
    def estimate_updater(self) -> EstimateUpdater:
        """Updater of the fleet estimates, fed with the outcome of each attempt."""
        return self._estimate_updater

    @contextlib.asynccontextmanager
    async def track_attempt(
        self,
        call: RoutedCall,
        choice: Choice,
        stage: AttemptStage,
        ticket: Ticket,
        includes_prefill: bool = True,
    ) -> AsyncIterator[TrackedAttempt]:
        """Count an attempt as in flight and report its outcome when the block ends.

        Raises RequestError for a call that crashes upstreams or whose key was removed:
        it may have waited for its placement meanwhile.
        """
        attempt = TrackedAttempt(call, choice, stage, ticket, includes_prefill)
        tokens = choice.prefill_tokens if includes_prefill else 0
        self._log_placement(attempt)
        if includes_prefill:
            self._estimate_updater.observe_placement(call, choice, stage)
        else:
            self._estimate_updater.observe_decode_placement(call, choice)
        try:
            self._check_key(call)
            self.check_crashes(call)
            with self._loads.sending(
                attempt.upstream.upstream_id, tokens, runs_long_stream(call, stage)
            ):
                yield attempt
        except AttemptFailed as exc:
            await self._record_failure(attempt, exc)
            raise
        finally:
            outcome = attempt.outcome()
            self._estimate_updater.observe_outcome(
                call, choice, stage, outcome, includes_prefill
            )
            await ticket.observe_outcome(outcome)

    def check_crashes(self, call: RoutedCall) -> None:
        """Raise RequestError if the call, or a block of its prompt, is quarantined."""
        self._crashes.check(call)
        self._blocks.check(call.block_keys, call.block_trial, call.ran)

    def _log_placement(self, attempt: TrackedAttempt) -> None:
        call, choice = attempt.call, attempt.choice
        candidate = choice.candidate
        self._metrics.record_zone(
            attempt.stage.value, call.zone, candidate.upstream.zone
        )
        self._log.write(
            Event.ATTEMPT_PLACED,
            request=call.call_id,
            route=call.route.name,
            stage=attempt.stage.value,
            upstream=candidate.upstream.upstream_id,
            software=candidate.upstream.software,
            cost_s=choice.cost_s,
            requests=candidate.requests,
            prompt_tokens=candidate.prompt_tokens,
            left_s=call.remaining_s(),
            input_tokens=call.prompt.input_tokens if call.prompt else 0,
            own_tokens=call.prompt.own_tokens if call.prompt else 0,
            output_tokens=call.prompt.output_tokens_max if call.prompt else 0,
            long_streams=candidate.long_streams,
            favoured=call.prioritized,
            holding=candidate.cache_state.name.lower(),
            copied_from=choice.fetch_from.upstream_id if choice.fetch_from else None,
        )

    async def send(
        self,
        attempt: TrackedAttempt,
        exchange: Exchange,
        req: OutgoingRequest,
        timeout_s: float,
    ) -> UpstreamHead:
        """Send a request and return the head of its answer; raises AttemptFailed."""
        head = await exchange.send(req, timeout_s)
        upstream_id = attempt.upstream.upstream_id
        self._loads.of(upstream_id).last_seen_at_s = now_s()
        self._invalid_headers.write(upstream_id, head.unreadable_headers)
        await self._observe_signals(attempt, head.signals)
        check_declined(head)
        return head

    async def _observe_signals(
        self, attempt: TrackedAttempt, signals: UpstreamSignals
    ) -> None:
        """Apply the signals of an answer, and report urgent ones to the scheduler.

        The attempt itself may last as long as a stream.
        """
        self._estimate_updater.observe_signals(
            attempt.upstream.upstream_id, signals, attempt.started_at_s
        )
        if signals.is_urgent:
            await attempt.ticket.observe_signals(signals)
        else:
            attempt.unreported_signals = signals

    async def _record_failure(
        self, attempt: TrackedAttempt, exc: AttemptFailed
    ) -> None:
        call, reason = attempt.call, exc.reason
        started_at_s = attempt.started_at_s
        self._metrics.record_attempt(attempt.stage.value, reason.value, started_at_s)
        upstream_id = attempt.upstream.upstream_id
        call.tried_upstreams.add(upstream_id)
        last_seen_at_s = self._loads.of(upstream_id).last_seen_at_s
        is_overloaded = reason is FailureReason.SILENT and last_seen_at_s > started_at_s
        has_crashed = (
            attempt.stage is AttemptStage.RUN
            and reason in BROKEN_ANSWER_REASONS
            and await is_down(attempt.upstream, self._pool.connector)
        )
        if has_crashed or not self._may_be_own_fault(reason):
            attempt.record_failure(reason, is_overloaded, has_crashed)
        if has_crashed:
            await self._record_crash(attempt)

    def _may_be_own_fault(self, reason: FailureReason) -> bool:
        """Whether an attempt failed since this entry has lost its links."""
        return self._pool.connector.paths.is_cut_off and reason in LINK_REASONS

    async def _record_crash(self, attempt: TrackedAttempt) -> None:
        call, crash_id = attempt.call, attempt.upstream.incarnation_id
        fingerprint = request_fingerprint(call)
        crashes = self._crashes.record_crash(call, crash_id)
        self._blocks.record_crash(fingerprint, call.block_keys, crash_id)
        call.block_trial.is_granted = False
        self._log.write(
            Event.CRASH_RECORDED,
            request=call.call_id,
            customer=call.customer,
            fingerprint=fingerprint,
            upstream=attempt.upstream.upstream_id,
            started_at_ms=attempt.upstream.started_at_ms,
            crashes=crashes,
            blocks=call.block_keys,
        )
        await self._announce_crashes()

    def _clear_suspect(self, call: RoutedCall) -> None:
        crashes = self._crashes.record_success(call)
        if crashes:
            self._log.write(
                Event.SUSPECT_CLEARED,
                request=call.call_id,
                customer=call.customer,
                fingerprint=request_fingerprint(call),
                crashes=crashes,
            )

    def record_prefill(self, attempt: TrackedAttempt) -> None:
        """Record a prompt's disaggregated prefill."""
        attempt.record_answer()
        self._metrics.record_attempt(
            AttemptStage.PREFILL.value, ANSWERED, attempt.started_at_s
        )

    async def record_answer(self, attempt: TrackedAttempt, relay: AnswerRelay) -> None:
        """Record an answer that was relayed to the caller."""
        call = attempt.call
        failed = relay.status >= SERVER_ERROR_STATUS
        attempt.record_answer(
            relay.first_event_at_s, failed, relay.body_bytes, relay.event_interval_s
        )
        self._metrics.record_attempt(
            AttemptStage.RUN.value, ANSWERED, attempt.started_at_s
        )
        if not failed:
            self._clear_suspect(call)
        if relay.status in SUCCESS_STATUSES and self._blocks.record_answer(
            call.block_keys
        ):
            await self._announce_crashes()
        self._log.write(
            Event.CALL_ANSWERED,
            request=call.call_id,
            upstream=attempt.upstream.upstream_id,
            status=relay.status,
            seconds=now_s() - call.arrived_at_s,
            first_s=(relay.first_event_at_s or now_s()) - call.arrived_at_s,
            longest_pause_s=relay.longest_pause_s,
        )


def check_declined(head: UpstreamHead) -> None:
    """Raise AttemptFailed if the upstream states that it has not run the request."""
    if head.wrong_instance:
        raise AttemptFailed(FailureReason.WRONG_INSTANCE, f"answered {head.status}")
    if head.not_run:
        raise AttemptFailed(FailureReason.DECLINED, f"answered {head.status}")
