"""Runs a call on a route to its final answer: placement, attempts and repeats."""

from collections.abc import Awaitable, Callable

import curio

from ..connection.pool import UpstreamPool
from ..errors import ErrorKind, Ran, RequestError
from ..events import Event, EventLog
from ..process.fleet_knowledge import FleetKnowledge
from ..process.metrics import Metrics
from .answer_relay import AnswerRelay, CallSink
from .attempt_notes import Attempt, AttemptNotes
from .attempt_outcome import AttemptStage
from .call_metrics import SERVER_ERROR_STATUS, CallMetrics
from .crash_ledger import CrashLedger
from .exchange import Exchange
from .learner import Learner
from .memory_keeper import MemoryKeeper
from .outcomes import AttemptFailed, FailureReason, worse
from .patience import silent_after_s
from .placer import Placer
from .prompt_reader import PromptReader
from .routed_call import RoutedCall
from .scheduler import RETRY_AFTER_S
from .size_shares import SizeShares
from .upstream_protocol import (
    PromptMemory,
    RunOptions,
    UpstreamProtocol,
)

PLACEMENTS_MAX = 4
REPEAT_WORTH_S = 0.05


class CallRunner:
    """Runs calls; one instance serves the whole entry."""

    def __init__(
        self,
        protocol: UpstreamProtocol,
        knowledge: FleetKnowledge,
        pool: UpstreamPool,
        placer: Placer,
        sizes: SizeShares,
        announce_crashes: Callable[[], Awaitable[None]],
        metrics: Metrics,
        log: EventLog,
    ):
        self._protocol = protocol
        self._pool = pool
        self._placer = placer
        self._sizes = sizes
        self._log = log
        self.crashes = CrashLedger()
        self._metrics = CallMetrics(metrics)
        self._notes = AttemptNotes(
            knowledge, self.crashes, announce_crashes, self._metrics, log
        )
        self._reader = PromptReader(pool, protocol, knowledge, self._notes)
        self._memories = MemoryKeeper(pool, protocol, log)

    @property
    def learner(self) -> Learner:
        """What learns of upstreams from the attempts."""
        return self._notes.learner

    async def run(self, call: RoutedCall, sink: CallSink) -> None:
        """Answer the call; raises RequestError with what the caller must be told."""
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

    async def _attempt(self, call: RoutedCall, relay: AnswerRelay) -> None:
        placement = await self._placer.place(call)
        call.placements += 1
        plan = placement.plan
        if plan.prefill is not None:
            memory = await self._reader.read(call, plan.prefill, placement.ticket)
            try:
                await self._run_with_memory(call, memory, relay)
            finally:
                await self._memories.release_unused(call, memory)
            return
        options = RunOptions(
            fetch_from=plan.decode.fetch_from, resume_after=relay.resume_after
        )
        async with self._notes.attempt(
            call, plan.decode, AttemptStage.RUN, placement.ticket
        ) as attempt:
            await self._run(attempt, relay, options)

    async def _run_with_memory(
        self, call: RoutedCall, memory: PromptMemory, relay: AnswerRelay
    ) -> None:
        placed = await self._placer.place_run(call, memory.upstream)
        options = RunOptions(memory, resume_after=relay.resume_after)
        async with self._notes.attempt(
            call, placed.choice, AttemptStage.RUN, placed.ticket, reads_here=False
        ) as attempt:
            await self._run(attempt, relay, options)

    async def _run(
        self, attempt: Attempt, relay: AnswerRelay, options: RunOptions
    ) -> None:
        call, upstream = attempt.call, attempt.upstream
        async with Exchange(self._pool, self._protocol, call, upstream) as exchange:
            try:
                req = self._protocol.run_request(call, upstream, options)
                call.offered = True
                silent_s = silent_after_s(call)
                head = await self._notes.send(attempt, exchange, req, silent_s)
                call.attempts += 1
                call.ran = Ran.YES
                self._check_failed(call, head, relay)
                await relay.relay(head, exchange)
            except AttemptFailed as exc:
                if exc.ran is Ran.UNKNOWN and call.ran is Ran.NO:
                    call.attempts += 1
                raise
        self._notes.answered(attempt, relay)

    def _check_failed(self, call: RoutedCall, head, relay: AnswerRelay) -> None:
        """Raise AttemptFailed for an upstream's error that a repeat may mend."""
        may_repeat = (
            call.route.repeatable
            and call.attempts < call.route.attempts_max
            and call.repeats_left > 0
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
