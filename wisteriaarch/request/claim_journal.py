"""Journal of claims, which ensures that a non-idempotent call runs at most once.

A call is claimed in the table under its caller and key before its first byte is sent
upstream. Only the incarnation that wrote a claim may run it or change its row, so
correctness doesn't depend on clocks or on failure detection.
"""

import uuid
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import curio

from ..errors import (
    ErrorKind,
    PlatformError,
    Ran,
    RequestError,
    StoreUnavailable,
    WisteriaError,
    WriteConflict,
)
from ..event_log import EventLog
from ..events import Event
from ..process.group_commit import GroupCommit
from ..process.store import NO_VERSION, ObjectStore, Put, Row, TableStore
from ..steps import Step, reach_step
from .answer import AnswerRecord, AnswerSink
from .call import Call
from .claim_epochs import ClaimEpochs
from .claims import CLAIMS_TABLE, Claim, ClaimState, claim_key
from .duplicates import (
    DuplicateResponder,
    check_fingerprint,
    duplicate_in_progress_error,
)
from .outcome_writer import ROW_BODY_BYTES, OutcomeWriter, outcome_unknown_error
from .owner_probe import OwnerProbe

CLAIM_WRITE_ATTEMPTS = 8
FINISHED_RUNS_MAX = 1024
CLOSE_POLL_S = 0.05
OUTCOME_WRITE_TIMEOUT_S = 5.0

ExecuteCall = Callable[[Call, AnswerSink], Awaitable[None]]


class ClaimedElsewhere(WisteriaError):
    """Another entry, or an earlier incarnation, holds the claim."""

    def __init__(self, row: Row):
        super().__init__(f"claim {row.key} is held elsewhere")
        self.row = row


@dataclass(eq=False)
class ClaimedRun:
    """Claim of this incarnation and the record of its answer."""

    key: str
    claim: Claim
    record: AnswerRecord = field(default_factory=AnswerRecord)


class ClaimJournal:
    """Runs non-idempotent calls at most once; ``run`` must be running."""

    def __init__(
        self,
        entry_id: str,
        incarnation: int,
        table: TableStore,
        objects: ObjectStore,
        commit: GroupCommit,
        epochs: ClaimEpochs,
        owners: OwnerProbe,
        log: EventLog,
    ):
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._table = table
        self._commit = commit
        self._epochs = epochs
        self._log = log
        self._outcome_writer = OutcomeWriter(table, objects, commit, epochs, log)
        self._duplicates = DuplicateResponder(table, self._outcome_writer, owners)
        self._running: dict[str, ClaimedRun] = {}
        self._finished: OrderedDict[str, ClaimedRun] = OrderedDict()

    async def run(self) -> None:
        """Write outcomes to the table forever."""
        await self._outcome_writer.run()

    async def close(self) -> None:
        """Wait for all runs to end, then for their outcomes to be written.

        The second wait is limited to ``OUTCOME_WRITE_TIMEOUT_S``.
        """
        while self._running:
            await curio.sleep(CLOSE_POLL_S)
        await self._commit.treat_all_as_urgent()
        async with curio.ignore_after(OUTCOME_WRITE_TIMEOUT_S):
            while len(self._outcome_writer):
                await curio.sleep(CLOSE_POLL_S)

    async def run_once(
        self, call: Call, sink: AnswerSink, execute: ExecuteCall
    ) -> None:
        """Answer the call, calling ``execute`` unless it has run or is running.

        The run continues if the caller disconnects, so that a retry finds its answer.
        Raises RequestError with the error to be returned to the caller.
        """
        key = claim_key(call)
        earlier = self._find_earlier_run(key)
        try:
            if earlier is None:
                run = await self._start(key, call, execute)
                await run.record.relay_to(sink)
            else:
                await self._relay_earlier_run(call, earlier, sink)
        except ClaimedElsewhere as exc:
            if not await self._duplicates.answer(exc.row, call, sink):
                await self.run_once(call, sink, execute)

    def _find_earlier_run(self, key: str) -> ClaimedRun | None:
        run = self._running.get(key) or self._finished.get(key)
        if run is not None:
            return run
        pending = self._outcome_writer.find_pending_answer(key)
        if pending is None:
            return None
        return ClaimedRun(key, pending.outcome, pending.record)

    async def _relay_earlier_run(self, call: Call, run: ClaimedRun, sink) -> None:
        check_fingerprint(call, run.claim)
        if run.key in self._finished and not run.record.complete:
            raise outcome_unknown_error()
        try:
            async with curio.timeout_after(max(0.0, call.remaining_s())):
                await run.record.relay_to(sink)
        except curio.TaskTimeout as exc:
            raise duplicate_in_progress_error() from exc

    async def _start(self, key: str, call: Call, execute: ExecuteCall) -> ClaimedRun:
        claim = Claim(
            claim_id=uuid.uuid4().hex,
            fingerprint=call.fingerprint(),
            entry_id=self._entry_id,
            incarnation=self._incarnation,
        )
        run = ClaimedRun(key, claim)
        self._running[key] = run
        await curio.spawn(self._run_claimed, run, call, execute, daemon=True)
        return run

    async def _run_claimed(self, run: ClaimedRun, call: Call, execute) -> None:
        try:
            await self._claim(run, call)
        except (RequestError, ClaimedElsewhere) as exc:
            del self._running[run.key]
            await run.record.fail(exc)
            return
        error: RequestError | None = outcome_unknown_error()
        try:
            await reach_step(Step.CLAIM_WRITTEN)
            await execute(call, run.record)
            error = None
        except RequestError as exc:
            error = exc
        finally:
            await self._finish(run, error)

    async def _finish(self, run: ClaimedRun, error: RequestError | None) -> None:
        outcome = _outcome_of(run, error)
        await self._outcome_writer.add(run.key, outcome, run.record)
        if outcome.state is not ClaimState.RELEASED:
            self._cache_finished(run)
        del self._running[run.key]
        if error is not None:
            await run.record.fail(error)

    def _cache_finished(self, run: ClaimedRun) -> None:
        if len(run.record.body) > ROW_BODY_BYTES:
            return
        self._finished[run.key] = run
        if len(self._finished) > FINISHED_RUNS_MAX:
            self._finished.popitem(last=False)

    async def _claim(self, run: ClaimedRun, call: Call) -> None:
        if self._outcome_writer.is_full:
            raise _store_unavailable("too many answers wait for the object store")
        write_result_known = False
        try:
            async with curio.timeout_after(max(0.0, call.remaining_s())):
                await self._write_claim(run)
            write_result_known = True
        except (StoreUnavailable, WriteConflict) as exc:
            write_result_known = True
            raise _store_unavailable(exc) from exc
        except PlatformError as exc:
            raise _store_unavailable(exc) from exc
        except ClaimedElsewhere:
            write_result_known = True
            raise
        except curio.TaskTimeout as exc:
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED,
                "the call could not be claimed in time",
            ) from exc
        finally:
            if not write_result_known:
                await self._release_unconfirmed(run)

    async def _release_unconfirmed(self, run: ClaimedRun) -> None:
        """Release a claim whose write has an unknown result; the call is not run."""
        self._log.write(Event.CLAIM_WRITE_UNKNOWN, claim=run.claim.claim_id)
        outcome = replace(run.claim, state=ClaimState.RELEASED)
        await self._outcome_writer.add(run.key, outcome, run.record)

    async def _write_claim(self, run: ClaimedRun) -> None:
        expected = NO_VERSION
        for _ in range(CLAIM_WRITE_ATTEMPTS):
            await reach_step(Step.CLAIM_WRITE)
            self._commit.require_available()
            claim = replace(run.claim, epoch=await self._epochs.current_epoch())
            put = Put(CLAIMS_TABLE, run.key, claim.to_value(), expected)
            try:
                await self._commit.put(put)
                self._log.write(Event.CLAIM_WRITTEN, claim=run.claim.claim_id)
                return
            except WriteConflict:
                row = await self._table.read(CLAIMS_TABLE, run.key)
            if not self._may_claim(Claim.from_row(row)):
                raise ClaimedElsewhere(row)
            expected = row.version
        raise StoreUnavailable("the claim changed too often")

    def _may_claim(self, recorded: Claim | None) -> bool:
        """Whether a recorded claim did not run and never will.

        That also applies to a row of this incarnation in state CLAIMED: running claims
        and those with a pending outcome are in memory, so this one is neither.
        """
        if recorded is None or recorded.state is ClaimState.RELEASED:
            return True
        return (
            recorded.state is ClaimState.CLAIMED
            and recorded.entry_id == self._entry_id
            and recorded.incarnation == self._incarnation
            and not self._outcome_writer.has_pending_outcome(recorded.claim_id)
        )


def _outcome_of(run: ClaimedRun, error: RequestError | None) -> Claim:
    if run.record.complete:
        return replace(run.claim, state=ClaimState.FINISHED)
    if error is not None and error.ran is Ran.NO:
        return replace(run.claim, state=ClaimState.RELEASED)
    return replace(run.claim, state=ClaimState.UNRESOLVED)


def _store_unavailable(reason: PlatformError | str) -> RequestError:
    return RequestError(
        ErrorKind.STORE_UNAVAILABLE,
        f"the call can't be claimed, so this request was not run: {reason}",
    )
