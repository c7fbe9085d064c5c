"""Background writes of the outcomes of claimed calls to the table."""

import random
from dataclasses import dataclass, field, replace

import curio

from ..errors import (
    ErrorKind,
    PlatformError,
    Ran,
    RequestError,
    StoreUnavailable,
    WriteConflict,
)
from ..event_log import EventLog
from ..events import Event
from ..process.backoff import Backoff
from ..process.clock import now_s
from ..process.group_commit import GroupCommit
from ..process.store import NO_VERSION, ObjectStore, Put, TableStore
from ..steps import Step, reach_step
from .answer import AnswerRecord, AnswerSink
from .call import Call
from .claim_epochs import ClaimEpochs
from .claims import CLAIMS_TABLE, Claim, ClaimState, StoredAnswer, answer_object_name

ROW_BODY_BYTES = 8 * 1024
BATCH_SIZE = 64
RETRY_DELAY_S = 0.2
RETRY_DELAY_MAX_S = 5.0
PENDING_BYTES_MAX = 32 * 1024 * 1024


def _new_backoff() -> Backoff:
    return Backoff(RETRY_DELAY_S, RETRY_DELAY_MAX_S, random.Random())


@dataclass(eq=False)
class PendingOutcome:
    """Outcome of one claim that has not yet been written to the table."""

    key: str
    outcome: Claim
    record: AnswerRecord
    body_bytes: int = 0
    retry_at_s: float = 0.0
    backoff: Backoff = field(default_factory=_new_backoff)


class OutcomeWriter:
    """Writes outcomes in the background while the table is available.

    The number of pending outcomes is bounded by the claims that were running or being
    written when the table became unavailable, since no call is claimed without the
    table. If only the object store is unavailable, ``is_full`` bounds their bytes.
    """

    def __init__(
        self,
        table: TableStore,
        objects: ObjectStore,
        commit: GroupCommit,
        epochs: ClaimEpochs,
        log: EventLog,
    ):
        self._table = table
        self._objects = objects
        self._commit = commit
        self._epochs = epochs
        self._log = log
        self._pending: dict[str, PendingOutcome] = {}
        self._pending_bytes = 0
        self._added = curio.Event()

    def __len__(self) -> int:
        return len(self._pending)

    async def add(self, key: str, outcome: Claim, record: AnswerRecord) -> None:
        """Enqueue an outcome to be written."""
        size = sum(len(block) for block in record.blocks)
        self._pending[outcome.claim_id] = PendingOutcome(key, outcome, record, size)
        self._pending_bytes += size
        await self._added.set()

    @property
    def is_full(self) -> bool:
        """Whether the pending bytes are so many that no further call may be claimed."""
        return self._pending_bytes >= PENDING_BYTES_MAX

    def find_pending_answer(self, key: str) -> PendingOutcome | None:
        """Return the pending outcome with an answer for ``key``, if any."""
        for pending in self._pending.values():
            finished = pending.outcome.state is ClaimState.FINISHED
            if finished and pending.key == key:
                return pending
        return None

    def has_pending_outcome(self, claim_id: str) -> bool:
        """Whether a claim has a pending outcome other than its release."""
        pending = self._pending.get(claim_id)
        return pending is not None and pending.outcome.state is not ClaimState.RELEASED

    async def run(self) -> None:
        """Write outcomes forever."""
        while True:
            batch = await self._next_batch()
            await self._commit.wait_available()
            async with curio.TaskGroup() as tasks:
                for pending in batch:
                    await tasks.spawn(self._try_to_write, pending)

    async def _next_batch(self) -> list[PendingOutcome]:
        """Wait for outcomes that are due; failed writes are retried with backoff."""
        while True:
            now = now_s()
            due = [item for item in self._pending.values() if item.retry_at_s <= now]
            if due:
                return due[:BATCH_SIZE]
            self._added.clear()
            if not self._pending:
                await self._added.wait()
                continue
            async with curio.ignore_after(RETRY_DELAY_S):
                await self._added.wait()

    async def _try_to_write(self, pending: PendingOutcome) -> None:
        try:
            await self._write_outcome(pending)
        except PlatformError as exc:
            self._log.write(
                Event.CLAIM_OUTCOME_WRITE_FAILED,
                claim=pending.outcome.claim_id,
                error=str(exc),
            )
            pending.retry_at_s = now_s() + pending.backoff.next_delay_s(False)
            return
        del self._pending[pending.outcome.claim_id]
        self._pending_bytes -= pending.body_bytes

    async def _write_outcome(self, pending: PendingOutcome) -> None:
        outcome = pending.outcome
        row = await self._table.read(CLAIMS_TABLE, pending.key)
        recorded = Claim.from_row(row)
        if recorded is not None and recorded.claim_id != outcome.claim_id:
            return
        if recorded is None and outcome.state is not ClaimState.RELEASED:
            return
        if outcome.state is ClaimState.FINISHED:
            outcome = replace(outcome, answer=await self._store_answer(pending))
        outcome = replace(outcome, epoch=await self._epochs.current_epoch())
        await reach_step(Step.CLAIM_RESULT)
        expected = NO_VERSION if recorded is None else row.version
        put = Put(CLAIMS_TABLE, pending.key, outcome.to_value(), expected)
        try:
            await self._commit.put(put, urgent=False)
        except WriteConflict:
            await self._write_outcome(pending)
            return
        self._log.write(
            Event.CLAIM_OUTCOME_WRITTEN,
            claim=outcome.claim_id,
            state=outcome.state.value,
        )

    async def _store_answer(self, pending: PendingOutcome) -> StoredAnswer:
        record = pending.record
        answer = StoredAnswer(record.status, record.headers, record.streamed)
        body = record.body
        if len(body) <= ROW_BODY_BYTES:
            return replace(answer, body=body)
        name = answer_object_name(pending.outcome.claim_id)
        await self._objects.put(name, body)
        return replace(answer, object_name=name)

    async def replay_answer(self, claim: Claim, call: Call, sink: AnswerSink) -> None:
        """Send the recorded answer of a claim.

        Raises RequestError if there is none or it can't be read.
        """
        if claim.answer is None:
            raise outcome_unknown_error()
        answer = claim.answer
        body = answer.body
        if body is None:
            body = await self._read_body(answer, call)
        if not answer.streamed:
            await sink.send_complete(answer.status, answer.headers, body)
            return
        await sink.start_stream(answer.headers)
        await sink.send_block(body)
        await sink.end_stream()

    async def _read_body(self, answer: StoredAnswer, call: Call) -> bytes:
        try:
            async with curio.timeout_after(max(0.0, call.remaining_s())):
                return await self._objects.get(answer.object_name)
        except (StoreUnavailable, curio.TaskTimeout) as exc:
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE,
                "the request has run, but its answer can't be read now",
                ran=Ran.YES,
                retry_after_s=RETRY_DELAY_S,
            ) from exc


def outcome_unknown_error() -> RequestError:
    """Return the error for a call that may or may not have run."""
    return RequestError(
        ErrorKind.OUTCOME_UNKNOWN,
        "the request with this key broke off; it is not run again",
        ran=Ran.UNKNOWN,
    )
