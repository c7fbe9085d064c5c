"""Runs a call on a route to its final answer: placement, attempts and repeats."""

from collections.abc import Callable

import curio

from ..connection.pool import UpstreamPool
from ..errors import ErrorKind, Ran, RequestError
from ..events import Event, EventLog
from ..process.clock import now_s
from ..process.fleet_knowledge import FleetKnowledge
from ..process.metrics import Metrics
from ..process.upstreams import Stage
from ..version.route_table import RouteTable
from .answer_relay import AnswerRelay, CallSink
from .attempt_notes import AttemptNotes, AttemptStage
from .call_metrics import SERVER_ERROR_STATUS, CallMetrics
from .candidate import Choice, can_run
from .candidate_finder import CandidateFinder
from .crash_ledger import CrashLedger
from .exchange import Exchange
from .memory_keeper import MemoryKeeper
from .outcomes import AttemptFailed, FailureReason, worse
from .patience import silent_after_s
from .placement import DIRECT_SLOWDOWN, place_decode, place_service_call
from .planner import CompletionPlanner
from .prompt_reader import Announce, PromptReader
from .reading_turn import LONG_READING_TOKENS
from .retry_share import RetryShare
from .routed_call import RoutedCall
from .size_shares import SizeShares
from .upstream_protocol import (
    PromptMemory,
    RunOptions,
    UpstreamProtocol,
)

PLACEMENTS_MAX = 4
REPEAT_WORTH_S = 0.05
RETRY_AFTER_S = 0.3


class CallRunner:
    """Runs calls; one instance serves the whole entry."""

    def __init__(
        self,
        zone: str,
        protocol: UpstreamProtocol,
        knowledge: FleetKnowledge,
        routes: Callable[[], RouteTable | None],
        pool: UpstreamPool,
        retries: RetryShare,
        announce: Announce,
        metrics: Metrics,
        log: EventLog,
    ):
        self._zone = zone
        self._protocol = protocol
        self._loads = knowledge.loads
        self._pool = pool
        self._retries = retries
        self._log = log
        self._cache = knowledge.cache
        self.crashes = CrashLedger()
        self._announce = announce
        self._finder = CandidateFinder(knowledge, routes)
        self._metrics = CallMetrics(metrics)
        self._notes = AttemptNotes(
            knowledge, self.crashes, announce, self._metrics, log
        )
        self._reader = PromptReader(
            pool, protocol, self._loads, self._notes, retries, announce
        )
        self._busyness = knowledge.busyness
        self._sizes = SizeShares()
        self._planner = CompletionPlanner(
            zone,
            self._finder,
            self._busyness,
            self._sizes,
            self._reader.rate_of,
            log,
        )
        self._memories = MemoryKeeper(pool, protocol, log)

    async def run(self, call: RoutedCall, sink: CallSink) -> None:
        """Answer the call; raises RequestError with what the caller must be told."""
        self._retries.note_request(call.service)
        relay = AnswerRelay(call, sink)
        with self._metrics.measure(call, relay), self._sizes.watch(call, relay):
            try:
                async with curio.timeout_after(max(0.001, call.remaining_s())):
                    await self._run_attempts(call, relay)
            except curio.TaskTimeout as exc:
                raise _out_of_time(call) from exc

    async def _run_attempts(self, call: RoutedCall, relay: AnswerRelay) -> None:
        placements = 0
        while True:
            placements += 1
            try:
                self.crashes.check(call)
                await self._attempt(call, relay)
                return
            except RequestError as exc:
                if call.ran is Ran.NO:
                    raise
                raise _failed(call, exc.detail) from exc
            except AttemptFailed as exc:
                call.ran = worse(call.ran, exc.ran)
                self._log.write(
                    Event.CALL_FAILED_ATTEMPT,
                    request=call.call_id,
                    attempt=placements,
                    reason=exc.reason.value,
                    detail=exc.detail,
                    ran=call.ran.value,
                )
                self._check_repeat(call, relay, exc, placements)

    def _check_repeat(
        self, call: RoutedCall, relay: AnswerRelay, exc: AttemptFailed, placements: int
    ) -> None:
        """Raise the call's final error unless it is to be placed once more."""
        if call.ran is not Ran.NO and not call.route.repeatable:
            raise _failed(call, "the upstream broke off")
        if relay.started and not relay.can_resume:
            raise _failed(call, "the stream was cut")
        if placements >= PLACEMENTS_MAX or call.attempts >= call.route.attempts_max:
            raise _failed(call, str(exc))
        if call.remaining_s() < REPEAT_WORTH_S:
            raise _failed(call, "no time is left for another attempt")
        if not self._retries.take(call.service):
            raise _failed(call, "too many requests are being repeated")

    async def _attempt(self, call: RoutedCall, relay: AnswerRelay) -> None:
        candidates = await self._finder.find(call)
        if not any(can_run(item) for item in candidates):
            raise RequestError(
                ErrorKind.NO_UPSTREAM,
                "no upstream of the service is left",
                ran=call.ran,
                retry_after_s=RETRY_AFTER_S,
            )
        if call.prompt is None or self._finder.engine_of(call.service) is None:
            choice = place_service_call(candidates, self._zone)
            await self._run_on(call, choice, relay, RunOptions())
            return
        await self._run_completion(call, relay)

    async def _run_completion(self, call: RoutedCall, relay: AnswerRelay) -> None:
        plan = await self._planner.plan(call)
        if plan.prefill is None and plan.decode is None:
            raise AttemptFailed(FailureReason.NOTHING_SENT, "no engine is left")
        reads_apart = plan.prefill is not None and self._retries.take_for_reading(
            call.service, call.prompts_read
        )
        if not reads_apart:
            tokens = plan.decode.tokens
            self._note_reading(call, plan.decode, Stage.DECODE, tokens)
            options = RunOptions(
                fetch_from=plan.decode.fetch_from, resume_after=relay.resume_after
            )
            await self._run_on(call, plan.decode, relay, options, tokens)
            return
        tokens = plan.prefill.tokens
        self._note_reading(call, plan.prefill, Stage.PREFILL, tokens)
        memory = await self._reader.read(call, plan.prefill, tokens)
        self._notes.part_placed(call, memory.upstream, 0, ready=True)
        if tokens >= LONG_READING_TOKENS:
            await self._announce()
        try:
            await self._run_with_memory(call, memory, relay)
        finally:
            await self._memories.release_unused(call, memory)

    def _note_reading(
        self, call: RoutedCall, choice: Choice, stage: Stage, tokens: int
    ) -> None:
        slowdown = DIRECT_SLOWDOWN if stage is Stage.DECODE else 1.0
        reading_s = slowdown * tokens / self._reader.rate_of(call.service)
        self._busyness.note(call.service, stage, reading_s)
        upstream = choice.candidate.upstream
        self._notes.part_placed(call, upstream, tokens, ready=False)

    async def _run_with_memory(
        self, call: RoutedCall, memory: PromptMemory, relay: AnswerRelay
    ) -> None:
        decodes = [
            item
            for item in self._finder.now(call)
            if item.upstream.stage is not memory.upstream.stage
        ]
        rate = self._reader.rate_of(call.service)
        choice = place_decode(decodes, call.prompt, rate, memory.upstream.zone)
        if choice is None:
            raise AttemptFailed(FailureReason.NOTHING_SENT, "no engine runs prompts")
        moved = call.prompt.own_tokens
        if not choice.candidate.holds_shared:
            moved += call.prompt.shared_tokens
        upstream = choice.candidate.upstream
        self._notes.part_placed(call, upstream, moved, ready=False)
        options = RunOptions(memory, resume_after=relay.resume_after)
        await self._run_on(call, choice, relay, options)

    async def _run_on(
        self,
        call: RoutedCall,
        choice: Choice,
        relay: AnswerRelay,
        options: RunOptions,
        prompt_tokens: int = 0,
    ) -> None:
        upstream = choice.candidate.upstream
        self._notes.placed(call, choice, AttemptStage.RUN)
        started_at_s = now_s()
        with self._loads.sending(upstream.upstream_id, prompt_tokens):
            if prompt_tokens >= LONG_READING_TOKENS:
                await self._announce()
            async with Exchange(self._pool, self._protocol, call, upstream) as exchange:
                try:
                    req = self._protocol.run_request(call, upstream, options)
                    call.offered = True
                    head = await self._notes.send(exchange, req, silent_after_s(call))
                    call.attempts += 1
                    call.ran = Ran.YES
                    self._check_failed(call, head, relay)
                    await relay.relay(head, exchange)
                except AttemptFailed as exc:
                    if exc.ran is Ran.UNKNOWN and call.ran is Ran.NO:
                        call.attempts += 1
                    self._notes.failed(
                        call, upstream, AttemptStage.RUN, exc, started_at_s
                    )
                    await self._notes.crashed_if_down(call, upstream, exc)
                    raise
        self._notes.answered(call, upstream, relay, options, started_at_s)

    def _check_failed(self, call: RoutedCall, head, relay: AnswerRelay) -> None:
        """Raise AttemptFailed for an upstream's error that a repeat may mend."""
        may_repeat = (
            call.route.repeatable
            and call.attempts < call.route.attempts_max
            and self._retries.left(call.service) > 0
            and call.remaining_s() > REPEAT_WORTH_S
        )
        if head.status >= SERVER_ERROR_STATUS and may_repeat:
            raise AttemptFailed(FailureReason.FAILED, f"answered {head.status}")


def _out_of_time(call: RoutedCall) -> RequestError:
    if call.ran is Ran.NO and not call.offered:
        return RequestError(
            ErrorKind.UPSTREAM_OVERLOADED, "the deadline has passed", ran=Ran.NO
        )
    return RequestError(
        ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed", ran=Ran.UNKNOWN
    )


def _failed(call: RoutedCall, detail: str) -> RequestError:
    if call.ran is Ran.NO:
        return RequestError(
            ErrorKind.UPSTREAM_OVERLOADED, detail, retry_after_s=RETRY_AFTER_S
        )
    return RequestError(ErrorKind.UPSTREAM_FAILED, detail, ran=call.ran)
