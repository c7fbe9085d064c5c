"""Requests disaggregated prefill from the engines of the prefill stage."""

from ..connection.upstream_pool import UpstreamPool
from ..errors import WireError
from ..process.fleet_estimates import FleetEstimates
from .attempt_failures import AttemptFailed, FailureReason
from .attempt_outcome import AttemptStage
from .attempt_recorder import AttemptRecorder
from .attempt_timeouts import prefill_timeout_s
from .candidate import Choice
from .estimate_updater import PREFILL_OVERHEAD_S
from .exchange import CONTROL_ANSWER_MAX_BYTES, Exchange
from .placer import Ticket
from .routed_call import RoutedCall
from .tracked_attempt import TrackedAttempt
from .upstream_protocol import AttemptOptions, KvCacheHandle, UpstreamProtocol
from .urgency import prefill_urgency

SUCCESS_STATUS = 200


class PrefillClient:
    """Sends prefill requests."""

    def __init__(
        self,
        pool: UpstreamPool,
        protocol: UpstreamProtocol,
        estimates: FleetEstimates,
        recorder: AttemptRecorder,
    ):
        self._pool = pool
        self._protocol = protocol
        self._estimates = estimates
        self._recorder = recorder

    async def prefill(
        self, call: RoutedCall, choice: Choice, ticket: Ticket
    ) -> KvCacheHandle:
        """Prefill a prompt and return the handle of its KV cache.

        Raises AttemptFailed, always with a reason that means "not run".
        """
        try:
            async with self._recorder.track_attempt(
                call, choice, AttemptStage.PREFILL, ticket
            ) as attempt:
                kv_cache = await self._exchange(attempt)
                call.prefills += 1
                self._recorder.record_prefill(attempt)
                return kv_cache
        except AttemptFailed as exc:
            # At most the prompt was prefilled; the request itself has not run.
            raise AttemptFailed(FailureReason.DECLINED, str(exc)) from exc

    async def _exchange(self, attempt: TrackedAttempt) -> KvCacheHandle:
        call, upstream = attempt.call, attempt.upstream
        options = AttemptOptions(
            fetch_from=attempt.choice.fetch_from, urgency=prefill_urgency(call)
        )
        req = self._protocol.prefill_request(call, upstream, options)
        async with Exchange(self._pool, self._protocol, call, upstream) as exchange:
            timeout_s = self._timeout_s(call, attempt.choice)
            head = await self._recorder.send(attempt, exchange, req, timeout_s)
            body = await exchange.read_body(CONTROL_ANSWER_MAX_BYTES)
            if head.status != SUCCESS_STATUS:
                raise AttemptFailed(FailureReason.DECLINED, f"answered {head.status}")
            try:
                return self._protocol.read_kv_cache_handle(upstream, body)
            except WireError as exc:
                raise AttemptFailed(FailureReason.MALFORMED, str(exc)) from exc

    def _timeout_s(self, call: RoutedCall, choice: Choice) -> float:
        candidate = choice.candidate
        tokens = candidate.prompt_tokens + choice.prefill_tokens
        rate = self._estimates.prefill_rate(call.service)
        predicted_s = PREFILL_OVERHEAD_S + candidate.slowdown * tokens / rate
        return prefill_timeout_s(call, predicted_s, call.retries_left)
