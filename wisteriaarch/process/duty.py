"""Duty of one entry at a time: who may call the cloud's address now, and until when.

The load is one call every few seconds per duty and subject, while holders are killed,
paused or cut off and a call without an answer may be executed seconds later. The lease
of the duty excludes two holders. Before each call its holder records in the store, on
condition of the lease, that the call may arrive. A successor that finds such a record
waits until the call can't arrive any more; otherwise it may call at once.

No two entries call in the order A, B, A within a lease term: an entry that takes the
duty over waits for a term after its own last call, if another one has called since.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import curio

from ..errors import LeaseLost, PlatformError
from ..events import Event
from .call_times import CallTimes
from .clock import now_s
from .duty_context import DutyContext, always
from .duty_messages import DutyAuthority
from .duty_record import DutyRecord, DutyRows
from .duty_settings import AUTOSCALE_DUTY, USAGE_DUTY
from .lease import Lease
from .lease_record import LeaseTerm
from .note_recovery import NoteRecovery
from .store import Put

# Entries that read the lease row; it bounds the duty's calls to the store.
CONTENDERS_MAX = 2
CONTENDER_POLL_S = 1.5
# A contender reads more often while the holder's renewal is overdue.
OVERDUE_POLL_S = 0.4
IDLE_POLL_S = 0.2
# A call is sent only with more of the term left than this share.
SEND_SHARE = 0.5
# Time in which a call without an answer may still be executed, by duty.
LATE_CALL_S = {USAGE_DUTY: 6.0, AUTOSCALE_DUTY: 12.0}


class Duty:
    """Competes for one subject of a duty while ``is_wanted``, and guards its calls.

    ``recovery`` decides on the note of the record after the store was restored;
    ``times`` are those of this entry's calls.
    """

    def __init__(
        self,
        name: str,
        subject: str,
        context: DutyContext,
        lease: Lease,
        rows: DutyRows,
        is_wanted: Callable[[], bool] = always,
    ):
        self.key = _key(name, subject)
        self.name = name
        self.subject = subject
        self.call_lock = curio.Lock()
        self._context = context
        self._lease = lease
        self._rows = rows
        self._is_wanted = is_wanted
        self.times = CallTimes(
            LATE_CALL_S[name], quiet_s=lease.term_s + lease.drift_margin_s
        )
        self.recovery = NoteRecovery(lease, context.era, self._note_of)
        # Epoch of the lease term for which the record was read.
        self._read_epoch: int | None = None
        self._allowed_from_s = float("inf")
        self._polled_at_s = float("-inf")

    @classmethod
    def from_config(
        cls,
        context: DutyContext,
        name: str,
        subject: str = "",
        is_wanted: Callable[[], bool] = always,
        is_preferred: Callable[[], bool] | None = None,
    ) -> "Duty":
        """Return a duty with its own lease and record.

        ``is_preferred`` tells whether this entry should hold it; without it,
        rendezvous hashing over the candidates decides.
        """
        key = _key(name, subject)
        lease = Lease(
            key,
            context.contender,
            context.table,
            context.lease,
            context.candidates,
            context.log,
            is_preferred,
            context.era,
        )
        rows = DutyRows(key, context.table)
        return cls(name, subject, context, lease, rows, is_wanted)

    @property
    def is_held(self) -> bool:
        """Whether this entry holds the duty's lease now, possibly not yet to call."""
        return self._lease.is_held()

    @property
    def holder_id(self) -> str:
        """Entry that holds the duty, as far as this one knows; empty if unknown."""
        if self.is_held:
            return self._context.contender.entry_id
        return self._lease.observer.holder

    @property
    def note(self) -> Any:
        """The note in the record, as last read or written by this entry."""
        return self._rows.record.note

    @property
    def rows(self) -> DutyRows:
        """Rows of the duty in the store."""
        return self._rows

    def authority(self) -> DutyAuthority:
        """Return the right to call now.

        Raises LeaseLost if the duty isn't held for long enough, or if a call of a
        former holder may still arrive.
        """
        term = self._lease.require_remaining(SEND_SHARE * self._lease.term_s)
        wait_s = self._allowed_from_s - now_s()
        if term.epoch != self._read_epoch or wait_s > 0:
            raise LeaseLost(
                f"the duty {self.name!r} was taken over; its calls aren't allowed yet"
            )
        return DutyAuthority(self._context.holder, term.epoch)

    def require_token(self, token: int) -> None:
        """Check that a call with this token may be sent now; raises LeaseLost."""
        if self.authority().token != token:
            raise LeaseLost(f"the token {token} of the duty {self.name!r} is outdated")

    async def run(self) -> None:
        """Compete for the duty while it is wanted; never returns."""
        while True:
            await self.step()
            await curio.sleep(IDLE_POLL_S)

    async def step(self) -> None:
        """Take, renew or release the lease as due."""
        try:
            if self._lease.lease_term is None and not self._is_wanted():
                return
            await self._settle_late_call()
            if self._is_wanted() or not self._is_settled:
                await self._compete()
            elif not self.call_lock.locked():
                await self.release()
        except (LeaseLost, PlatformError) as exc:
            self._log(Event.DUTY_RECORD_FAILED, error=str(exc))

    async def release(self) -> None:
        """Release the lease; an unsettled call stays recorded for the successor."""
        if self._lease.lease_term is not None:
            self._read_epoch = None
            await self._lease.release()

    @property
    def _is_settled(self) -> bool:
        return self._read_epoch is None or not self._rows.record.unsettled

    async def _compete(self) -> None:
        if now_s() - self._polled_at_s >= self._poll_interval_s():
            self._polled_at_s = now_s()
            if self._lease.lease_term is not None or await self._may_contend():
                await self._lease.acquire_or_renew()
        await self._read_record()

    def _poll_interval_s(self) -> float:
        if self._lease.lease_term is not None:
            return self._lease.renew_every_s - IDLE_POLL_S / 2
        if self._lease.observer.unchanged_since_s < self._polled_at_s:
            return OVERDUE_POLL_S
        return CONTENDER_POLL_S

    async def _may_contend(self) -> bool:
        return self._lease.rank < CONTENDERS_MAX and not await self._must_stay_quiet()

    async def _must_stay_quiet(self) -> bool:
        """Whether another entry has called and this one called too recently."""
        if not self.times.must_be_quiet:
            return False
        return self._was_called_by_another(await self._rows.read())

    def _was_called_by_another(self, record: DutyRecord) -> bool:
        return record.holder not in ("", self._context.contender.entry_id)

    async def _read_record(self) -> None:
        """Read the record of a lease term that has begun."""
        term = self._lease.lease_term
        if term is None or term.epoch == self._read_epoch:
            return
        record = await self._rows.read()
        self._allowed_from_s = self._first_call_at_s(record, term)
        if record.era != term.era:
            self._recover_note(record, term)
        self._read_epoch = term.epoch
        if record.unsettled:
            self.times.record_unsettled(self._allowed_from_s)
        self._log(
            Event.DUTY_TAKEN,
            token=term.epoch,
            era=term.era,
            record_era=record.era,
            former_holder=record.holder,
            waits_s=max(0.0, self._allowed_from_s - now_s()),
        )

    def _first_call_at_s(self, record: DutyRecord, term: LeaseTerm) -> float:
        """Return when no call of a former holder can arrive any more."""
        at_s = self.times.unsettled_until_s
        if self._was_called_by_another(record):
            at_s = max(at_s, self.times.quiet_until_s)
        if record.unsettled or record.era != term.era:
            at_s = max(at_s, self._last_sent_s(term) + self.times.late_call_s)
        return at_s

    def _last_sent_s(self, term: LeaseTerm) -> float:
        """Return when the former holder sent its last call at the latest.

        It sent it with at least SEND_SHARE of its term left.
        """
        return term.former_ended_at_s - SEND_SHARE * self._lease.term_s

    def _note_of(self, epoch: int) -> Any | None:
        """Return the note of a term; None if its record wasn't read."""
        return self.note if epoch == self._read_epoch else None

    def _recover_note(self, record: DutyRecord, term: LeaseTerm) -> None:
        note = self.recovery.note_after(record, self._last_sent_s(term))
        self._rows.record = replace(record, note=note)
        self._log(
            Event.DUTY_RECORDS_LOST, record_era=record.era, era=term.era, note=note
        )

    async def begin_call(self, token: int, note: Any, puts: tuple[Put, ...]) -> None:
        """Record that a call may arrive; ``puts`` are written with the record.

        Raises LeaseLost or a PlatformError; the call must not be sent then.
        """
        self.require_token(token)
        term = self._lease.require_remaining(0.0)
        holder = self._context.contender.entry_id
        record = DutyRecord(holder, token, True, note, term.era)
        await self._rows.write(record, self._lease.epoch_check(), puts)

    async def end_call(self, former_unsettled_until_s: float, note: Any) -> None:
        """Record that a call has its answer, unless an earlier one may still arrive.

        ``former_unsettled_until_s`` is the value of ``times.unsettled_until_s`` before
        this call was sent.
        """
        self.times.record_answered(former_unsettled_until_s)
        try:
            await self._write_settled(note)
        except (LeaseLost, PlatformError) as exc:
            self._log(Event.DUTY_RECORD_FAILED, error=str(exc))

    async def replace_token(self, token: int) -> None:
        """Get a token above one that the address has refused."""
        try:
            await self._lease.raise_epoch(token)
        except (LeaseLost, PlatformError) as exc:
            self._lease.discard_term()
            self._log(Event.DUTY_RECORD_FAILED, error=str(exc))
            return
        await self._lease.acquire_or_renew()

    async def _settle_late_call(self) -> None:
        """Record that an unanswered call can't be executed any more."""
        is_due = self.is_held and not self.times.may_be_unsettled
        if is_due and not self._is_settled and not self.call_lock.locked():
            await self._write_settled(self.note)

    async def _write_settled(self, note: Any) -> None:
        unsettled = self.times.may_be_unsettled
        era = self._lease.require_remaining(0.0).era
        record = replace(self._rows.record, unsettled=unsettled, note=note, era=era)
        await self._rows.write(record, self._lease.epoch_check())

    def _log(self, event: Event, **fields: Any) -> None:
        self._context.log.write(event, duty=self.name, subject=self.subject, **fields)


def _key(name: str, subject: str) -> str:
    return f"duty-{name}-{subject}" if subject else f"duty-{name}"
