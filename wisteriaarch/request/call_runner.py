"""Runs a routed call to its final answer: placement, attempts and retries.

Serves an entry on a platform (``gateway``); ``request_runner`` serves an ``Entry``.
"""

from collections.abc import Awaitable, Callable
from functools import partial

import curio

from ..connection.upstream_pool import UpstreamPool
from ..errors import ErrorKind, Ran, RequestError
from ..event_log import EventLog
from ..events import Event
from ..process.fleet_estimates import FleetEstimates
from ..process.metrics import Metrics
from .answer_relay import AnswerRelay, CallSink
from .attempt_failures import AttemptFailed, FailureReason, combine_ran
from .attempt_outcome import AttemptStage
from .attempt_recorder import AttemptRecorder
from .attempt_timeouts import answer_timeout_s
from .block_quarantine import BlockQuarantine, TrialPolicy
from .call_metrics import SERVER_ERROR_STATUS, CallMetrics
from .crash_history import CrashHistory
from .estimate_updater import EstimateUpdater
from .exchange import Exchange
from .kv_cache_releaser import KvCacheReleaser
from .placer import Placer
from .prefill_client import PrefillClient
from .routed_call import RoutedCall
from .run_counter import RunCounter
from .scheduler import RETRY_AFTER_S
from .size_fairness import SizeFairness
from .stage_plan import StagePlan
from .tracked_attempt import TrackedAttempt
from .upstream_protocol import (
    AttemptOptions,
    KvCacheHandle,
    UpstreamProtocol,
)
from .urgency import run_urgency

PLACEMENTS_MAX = 4
RETRY_MIN_REMAINING_S = 0.05


def _admit_all(_call: RoutedCall) -> None:
    """Admit a call of a deployment without customers."""


class CallRunner:
    """Runs routed calls; one instance serves the whole entry.

    ``check_key`` raises RequestError for a call whose API key was removed meanwhile.
    """

    def __init__(
        self,
        protocol: UpstreamProtocol,
        estimates: FleetEstimates,
        pool: UpstreamPool,
        placer: Placer,
        fairness: SizeFairness,
        trials: TrialPolicy,
        announce_crashes: Callable[[], Awaitable[None]],
        metrics: Metrics,
        log: EventLog,
        check_key: Callable[[RoutedCall], None] = _admit_all,
    ):
        self._protocol = protocol
        self._pool = pool
        self._placer = placer
        self._fairness = fairness
        self._log = log
        self.crashes = CrashHistory()
        self.runs = RunCounter()
        self.blocks = BlockQuarantine(log, ErrorKind.CRASHES_UPSTREAMS, trials)
        self._metrics = CallMetrics(metrics)
        self._recorder = AttemptRecorder(
            estimates,
            self.crashes,
            self.blocks,
            announce_crashes,
            self._metrics,
            log,
            pool,
            check_key,
        )
        self._prefill_client = PrefillClient(pool, protocol, estimates, self._recorder)
        self._kv_cache_releaser = KvCacheReleaser(
            pool, protocol, self._recorder.estimate_updater, log
        )

    @property
    def estimate_updater(self) -> EstimateUpdater:
        """Updater of the fleet estimates, fed with the outcome of each attempt."""
        return self._recorder.estimate_updater

    async def run(self, call: RoutedCall, sink: CallSink) -> None:
        """Answer the call; raises RequestError with the error to send to the caller."""
        relay = AnswerRelay(call, sink)
        relay.on_first_events = partial(self.runs.count_stream, call)
        with self._metrics.measure(call, relay), self._fairness.track(call, relay):
            try:
                async with curio.timeout_after(max(0.001, call.remaining_s())):
                    await self._run_attempts(call, relay)
            except curio.TaskTimeout as exc:
                raise _deadline_error(call) from exc

    async def _run_attempts(self, call: RoutedCall, relay: AnswerRelay) -> None:
        placements = 0
        while True:
            placements += 1
            try:
                self._recorder.check_crashes(call)
                await self._run_attempt(call, relay)
                return
            except RequestError as exc:
                if call.ran is Ran.NO:
                    raise
                raise _final_error(call, exc.detail) from exc
            except AttemptFailed as exc:
                call.ran = combine_ran(call.ran, exc.ran)
                self._log.write(
                    Event.ATTEMPT_FAILED,
                    request=call.call_id,
                    attempt=placements,
                    reason=exc.reason.value,
                    detail=exc.detail,
                    ran=call.ran.value,
                )
                self._check_retry(call, relay, exc, placements)

    def _check_retry(
        self, call: RoutedCall, relay: AnswerRelay, exc: AttemptFailed, placements: int
    ) -> None:
        """Raise the call's final error unless it may be retried."""
        if call.ran is not Ran.NO and not call.route.retryable:
            raise _final_error(call, "the upstream broke off")
        if relay.started and not relay.can_resume:
            raise _final_error(call, "the stream was cut")
        if placements >= PLACEMENTS_MAX or call.attempts >= call.route.attempts_max:
            raise _final_error(call, str(exc))
        if call.remaining_s() < RETRY_MIN_REMAINING_S:
            raise _final_error(call, "no time is left for another attempt")

    async def _run_attempt(self, call: RoutedCall, relay: AnswerRelay) -> None:
        placement = await self._placer.place(call)
        call.placements += 1
        plan = placement.plan
        _keep_software(call, plan)
        if plan.prefill is not None:
            kv_cache = await self._prefill_client.prefill(
                call, plan.prefill, placement.ticket
            )
            try:
                await self._decode_prefilled(call, kv_cache, relay)
            finally:
                await self._kv_cache_releaser.release_unused(call, kv_cache)
            return
        options = AttemptOptions(
            fetch_from=plan.decode.fetch_from,
            resume_after=relay.resume_after,
            urgency=run_urgency(call),
        )
        async with self._recorder.track_attempt(
            call, plan.decode, AttemptStage.RUN, placement.ticket
        ) as attempt:
            await self._send_and_relay(attempt, relay, options)

    async def _decode_prefilled(
        self, call: RoutedCall, kv_cache: KvCacheHandle, relay: AnswerRelay
    ) -> None:
        placement = await self._placer.place_decode(call, kv_cache.upstream)
        options = AttemptOptions(
            kv_cache, resume_after=relay.resume_after, urgency=run_urgency(call)
        )
        async with self._recorder.track_attempt(
            call,
            placement.choice,
            AttemptStage.RUN,
            placement.ticket,
            includes_prefill=False,
        ) as attempt:
            await self._send_and_relay(attempt, relay, options)

    async def _send_and_relay(
        self, attempt: TrackedAttempt, relay: AnswerRelay, options: AttemptOptions
    ) -> None:
        call, upstream = attempt.call, attempt.upstream
        async with Exchange(self._pool, self._protocol, call, upstream) as exchange:
            try:
                req = self._protocol.run_request(call, upstream, options)
                self._log_resumption(attempt, relay)
                call.send_started = True
                timeout_s = answer_timeout_s(call)
                with self.runs.count_plain(call):
                    head = await self._recorder.send(attempt, exchange, req, timeout_s)
                call.attempts += 1
                call.ran = Ran.YES
                self._raise_if_retryable(call, head, relay)
                await relay.relay(head, exchange)
            except AttemptFailed as exc:
                if exc.ran is Ran.UNKNOWN and call.ran is Ran.NO:
                    call.attempts += 1
                if relay.started:
                    call.software = upstream.software
                raise
        await self._recorder.record_answer(attempt, relay)

    def _log_resumption(self, attempt: TrackedAttempt, relay: AnswerRelay) -> None:
        """Log an attempt that goes on with a stream that began in another one."""
        call = attempt.call
        after = relay.resume_after or call.resume_after
        if after is None:
            return
        self._log.write(
            Event.STREAM_RESUMED,
            request=call.call_id,
            resumes=call.resumes or call.call_id,
            after=after,
            upstream=attempt.upstream.upstream_id,
            software=attempt.upstream.software,
        )

    def _raise_if_retryable(self, call: RoutedCall, head, relay: AnswerRelay) -> None:
        """Raise AttemptFailed for a server error if the call may be retried."""
        may_retry = (
            call.route.retryable
            and call.attempts < call.route.attempts_max
            and call.retries_left > 0
            and call.remaining_s() > RETRY_MIN_REMAINING_S
        )
        if head.status >= SERVER_ERROR_STATUS and may_retry:
            raise AttemptFailed(FailureReason.FAILED, f"answered {head.status}")


def _keep_software(call: RoutedCall, plan: StagePlan) -> None:
    """Keep a resumed stream, and retries, on the version of the first placement."""
    if not call.route.resumable:
        return
    software = (plan.prefill or plan.decode).candidate.upstream.software
    call.preferred_software = software
    if call.resume_after is not None:
        call.software = software


def _deadline_error(call: RoutedCall) -> RequestError:
    if call.known_ran is Ran.NO:
        return RequestError(
            ErrorKind.UPSTREAM_OVERLOADED, "the deadline has passed", ran=Ran.NO
        )
    return RequestError(
        ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed", ran=Ran.UNKNOWN
    )


def _final_error(call: RoutedCall, detail: str) -> RequestError:
    if call.ran is Ran.NO:
        return RequestError(
            ErrorKind.UPSTREAM_OVERLOADED, detail, retry_after_s=RETRY_AFTER_S
        )
    return RequestError(ErrorKind.UPSTREAM_FAILED, detail, ran=call.ran)
