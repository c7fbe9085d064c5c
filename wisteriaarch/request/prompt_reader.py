"""Has prompts read apart, by engines of the stage that does nothing else."""

from collections import defaultdict
from collections.abc import Awaitable, Callable

from ..connection.pool import UpstreamPool
from ..errors import WireError
from ..process.clock import now_s
from ..process.upstream_loads import UpstreamLoads
from .attempt_notes import AttemptNotes, AttemptStage
from .candidate import Choice
from .exchange import Exchange
from .outcomes import AttemptFailed, FailureReason
from .patience import reading_silent_after_s
from .prefill_rate import PrefillRate
from .reading_turn import LONG_READING_TOKENS
from .retry_share import RetryShare
from .routed_call import RoutedCall
from .upstream_protocol import PromptMemory, RunOptions, UpstreamProtocol
from .urgency import urgency_of

Announce = Callable[[], Awaitable[None]]

PREFILL_OVERHEAD_S = 0.03
SUCCESS_STATUS = 200


class PromptReader:
    """Runs prefill calls, and learns the engines' speed from them."""

    def __init__(
        self,
        pool: UpstreamPool,
        protocol: UpstreamProtocol,
        loads: UpstreamLoads,
        notes: AttemptNotes,
        retries: RetryShare,
        announce: Announce,
    ):
        self._pool = pool
        self._protocol = protocol
        self._loads = loads
        self._notes = notes
        self._retries = retries
        self._announce = announce
        self._rates: dict[str, PrefillRate] = defaultdict(PrefillRate)

    def rate_of(self, service: str) -> float:
        """Return how many tokens an engine of a service reads in a second."""
        return self._rates[service].value

    async def read(
        self, call: RoutedCall, choice: Choice, tokens_read: int
    ) -> PromptMemory:
        """Return the memory of a prompt; raises AttemptFailed, always for "not run".

        ``tokens_read`` is how many tokens the engine is expected to read.
        """
        upstream = choice.candidate.upstream
        self._notes.placed(call, choice, AttemptStage.PREFILL)
        started_at_s = now_s()
        try:
            with self._loads.sending(upstream.upstream_id, tokens_read):
                if tokens_read >= LONG_READING_TOKENS:
                    await self._announce()
                memory = await self._exchange(call, choice, tokens_read)
        except AttemptFailed as exc:
            self._notes.failed(call, upstream, AttemptStage.PREFILL, exc, started_at_s)
            # The prompt was read at most; the request itself has not run.
            raise AttemptFailed(FailureReason.DECLINED, str(exc)) from exc
        call.prompts_read += 1
        self._notes.read(started_at_s)
        self._note_time(call, choice, now_s() - started_at_s)
        return memory

    async def _exchange(
        self, call: RoutedCall, choice: Choice, tokens_read: int
    ) -> PromptMemory:
        upstream = choice.candidate.upstream
        urgency = urgency_of(call.prompt.own_tokens, call.favoured)
        options = RunOptions(fetch_from=choice.fetch_from, urgency=urgency)
        req = self._protocol.prefill_request(call, upstream, options)
        async with Exchange(self._pool, self._protocol, call, upstream) as exchange:
            patience_s = self._patience_s(call, choice, tokens_read)
            head = await self._notes.send(exchange, req, patience_s)
            body = await exchange.read_body()
            if head.status != SUCCESS_STATUS:
                raise AttemptFailed(FailureReason.DECLINED, f"answered {head.status}")
            try:
                return self._protocol.read_memory(upstream, body)
            except WireError as exc:
                raise AttemptFailed(FailureReason.MALFORMED, str(exc)) from exc

    def _patience_s(self, call: RoutedCall, choice: Choice, tokens_read: int) -> float:
        candidate = choice.candidate
        tokens = candidate.prompt_tokens + tokens_read
        predicted_s = PREFILL_OVERHEAD_S + candidate.pace * tokens / self.rate_of(
            call.service
        )
        left = self._retries.left(call.service)
        return reading_silent_after_s(call, predicted_s, left)

    def _note_time(self, call: RoutedCall, choice: Choice, elapsed_s: float) -> None:
        load = self._loads.of(choice.candidate.upstream.upstream_id)
        load.health.note_success(now_s())
        # Whether shared parts were in memory isn't known: slow is only what takes
        # longer than reading all of the prompt.
        queued_tokens = choice.candidate.prompt_tokens
        tokens = queued_tokens + call.prompt.input_tokens
        whole_s = PREFILL_OVERHEAD_S + tokens / self.rate_of(call.service)
        load.pace.note(max(elapsed_s, whole_s), whole_s, now_s())
        self._rates[call.service].note(call.prompt, queued_tokens, elapsed_s)
