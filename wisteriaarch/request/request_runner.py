"""Runs a call to its final answer, with admission, attempts and retries.

Serves an ``Entry``; ``call_runner`` serves an entry on a platform (``gateway``).
"""

from collections.abc import Callable

import curio

from ..connection.upstream_pool import UpstreamPool
from ..errors import (
    ErrorKind,
    Ran,
    RequestError,
    UpstreamDisconnected,
    UpstreamError,
    UpstreamRefused,
)
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.upstream_view import UpstreamView
from ..version.publication import ActiveManifest
from .admission import Admission
from .answer import AnswerSink
from .attempt import Attempt, CallProgress
from .block_quarantine import BlockQuarantine
from .call import Call
from .claim_journal import ClaimJournal
from .crash_probe import CrashProbe
from .isolation import Isolation
from .quarantine import Quarantine
from .request_limiter import RequestLimiter
from .retry import ExcludedUpstreams, RetryBudget, may_retry
from .routing import Router
from .signal_reader import SignalReader

RETRY_AFTER_S = 1.0
UPSTREAM_WAIT_S = 5.0
UPSTREAM_POLL_S = 0.1
REPORT_WAIT_S = 1.0


class RequestRunner:
    """Runs calls parsed by ``request_parsing``; one instance per entry."""

    def __init__(
        self,
        active_manifest: Callable[[], ActiveManifest],
        router: Router,
        admission: Admission,
        pool: UpstreamPool,
        journal: ClaimJournal,
        quarantine: Quarantine,
        blocks: BlockQuarantine,
        isolation: Isolation,
        limiter: RequestLimiter,
        signal_reader: SignalReader,
        log: EventLog,
    ):
        self._active_manifest = active_manifest
        self._router = router
        self._admission = admission
        self._pool = pool
        self._journal = journal
        self._quarantine = quarantine
        self._blocks = blocks
        self._isolation = isolation
        self._limiter = limiter
        self._signal_reader = signal_reader
        self._log = log
        self._retry_budget = RetryBudget()
        self._crash_probe = CrashProbe(pool.connector)

    async def run(self, call: Call, sink: AnswerSink) -> None:
        """Answer the call; raises RequestError with the error for the caller."""
        if call.non_idempotent:
            await self._journal.run_once(call, sink, self._execute)
        else:
            await self._execute(call, sink)

    async def _execute(self, call: Call, sink: AnswerSink) -> None:
        progress = CallProgress()
        with self._admission.admit(call):
            try:
                async with curio.timeout_after(max(0.0, call.remaining_s())):
                    await self._run_attempts(call, sink, progress)
            except curio.TaskTimeout as exc:
                if progress.complete:
                    return
                raise RequestError(
                    ErrorKind.DEADLINE_EXCEEDED,
                    "the deadline has passed",
                    ran=progress.ran,
                    retry_after_s=_retry_after_s(call),
                ) from exc

    async def _run_attempts(self, call, sink, progress: CallProgress) -> None:
        excluded = ExcludedUpstreams()
        retrying = False
        failed_attempts = 0
        while failed_attempts < call.attempts_max:
            await self._quarantine.reconsider(call)
            self._check_quarantines(call, progress)
            try:
                view, failure = await self._attempt(call, sink, progress, excluded)
            except RequestError as exc:
                raise _final_error(exc, call, progress, retrying) from exc
            if failure is None:
                self._retry_budget.record_success(call.caller.name, view.name)
                self._blocks.record_answer(call.block_keys)
                return
            self._log.write(
                Event.REQUEST_RETRIED,
                request=call.request_id,
                upstream=view.name,
                error=str(failure),
            )
            failed_attempts += not isinstance(failure, UpstreamRefused)
            self._check_retry(call, view, failure, progress)
            excluded.add(view.name)
            retrying = True
        raise _attempts_failed_error(call, progress, "every attempt failed")

    def _check_quarantines(self, call: Call, progress: CallProgress) -> None:
        """Raise RequestError if the call, or a prefix of its prompt, is quarantined."""
        self._quarantine.check(call, progress.ran)
        if self._blocks.has_evidence:
            self._blocks.check(call.block_keys, call.block_trial, progress.ran)

    async def _attempt(
        self, call, sink, progress, excluded
    ) -> tuple[UpstreamView, UpstreamError | None]:
        wait_s = UPSTREAM_WAIT_S if progress.ran is not Ran.NO else 0.0
        if not self._quarantine.is_suspect(call):
            view = await self._choose(call, excluded, wait_s)
            return view, await self._send(call, view, sink, progress)

        def choose(held: set[str]) -> UpstreamView:
            excluded_names = excluded.names() | held
            return self._router.choose(call, self._active_manifest(), excluded_names)

        async with self._isolation.hold(call, choose, wait_s) as view:
            await self._quarantine.refresh(call, progress.ran)
            self._check_quarantines(call, progress)
            failure = await self._check_crashed(call, view)
            if failure is None:
                failure = await self._send(call, view, sink, progress)
        if failure is None:
            await self._quarantine.clear(call)
        return view, failure

    async def _check_crashed(
        self, call: Call, view: UpstreamView
    ) -> UpstreamError | None:
        """Return a refusal if the upstream crashed before the suspect was sent.

        Without this check, the connection failures that follow the crash would be
        attributed to the suspect.
        """
        incarnation = view.report.incarnation if view.report else None
        if await self._crash_probe.find_crash(call, view, incarnation) is None:
            return None
        return UpstreamRefused(f"{view.name} crashed before the request was sent")

    async def _choose(
        self, call: Call, excluded: ExcludedUpstreams, wait_s: float
    ) -> UpstreamView:
        """Choose an upstream, waiting if one may become available soon.

        It waits up to ``wait_s`` for a call that may have run already, and briefly
        while the load reports of this entry are older than its configuration.
        """
        started_at_s = now_s()
        while True:
            active_manifest = self._active_manifest()
            try:
                return self._router.choose(call, active_manifest, excluded.names())
            except RequestError:
                awaits_report = self._router.awaits_load_report(call, active_manifest)
                wait_limit_s = max(wait_s, REPORT_WAIT_S if awaits_report else 0.0)
                if now_s() - started_at_s >= wait_limit_s:
                    raise
            await curio.sleep(UPSTREAM_POLL_S)

    async def _send(self, call, view, sink, progress) -> UpstreamError | None:
        wait_s = self._limiter.acquire(view.name)
        if wait_s > 0:
            await curio.sleep(wait_s)
        incarnation = view.report.incarnation if view.report else None
        try:
            await Attempt(call, view, self._pool, self._signal_reader).run(
                sink, progress
            )
        except UpstreamDisconnected as exc:
            crash_id = await self._crash_probe.find_crash(call, view, incarnation)
            if crash_id is not None:
                self._blocks.record_crash(call.fingerprint(), call.block_keys, crash_id)
                call.block_trial.is_granted = False
                await self._quarantine.record_crash(call, crash_id)
            return exc
        except UpstreamError as exc:
            return exc
        return None

    def _check_retry(self, call, view, failure, progress: CallProgress) -> None:
        if progress.ran is not Ran.NO and not may_retry(call):
            raise RequestError(
                ErrorKind.OUTCOME_UNKNOWN,
                "the upstream broke off",
                ran=Ran.UNKNOWN,
            )
        self._quarantine.check(call, progress.ran)
        if isinstance(failure, UpstreamRefused):
            return
        if not self._retry_budget.try_spend(call.caller.name, view.name):
            raise _attempts_failed_error(
                call, progress, "too many requests are being retried"
            )


def _final_error(
    exc: RequestError, call: Call, progress: CallProgress, retrying: bool
) -> RequestError:
    if retrying and exc.kind is ErrorKind.NO_UPSTREAM:
        return _attempts_failed_error(call, progress, exc.detail)
    exc.ran = progress.ran
    return exc


def _attempts_failed_error(
    call: Call, progress: CallProgress, detail: str
) -> RequestError:
    started = progress.started
    kind = ErrorKind.ANSWER_INCOMPLETE if started else ErrorKind.UPSTREAM_FAILED
    return RequestError(
        kind, detail, ran=progress.ran, retry_after_s=_retry_after_s(call)
    )


def _retry_after_s(call: Call) -> float | None:
    """Return the delay for a retry by the caller, None if a retry is not safe."""
    return RETRY_AFTER_S if may_retry(call) else None
