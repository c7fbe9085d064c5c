"""Quarantine of requests that were in flight when upstreams crashed.

A request in flight at one crash is a suspect. After a second crash it is quarantined:
every entry that has received the record refuses it immediately, until the record
expires. A request is not quarantined while another one was in flight at all of its
crashes and at more, since that one is presumed the cause; if this becomes known only
later, the quarantined request is released. See ``crash_rows`` for the exact rule.

This applies to the calls of ``RequestRunner``; ``crash_history`` has the rules for
those of ``CallRunner``.
"""

from dataclasses import dataclass, field

import curio

from ..errors import ErrorKind, Ran, RequestError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.digest import CrashRecord
from ..steps import Step, reach_step
from .call import Call
from .crash_rows import CrashRows, is_explained_by_another, is_presumed_cause

RETENTION_S = 600.0
RECHECK_DELAY_S = 0.3
RECONSIDER_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 10.0
EXPORTED_MAX = 32


@dataclass
class SuspectRecord:
    """State of one request fingerprint.

    ``may_have_row`` is true if the table may have a row for it. ``released`` is true
    from its release until it is in flight at another crash at this entry.
    """

    fingerprint: str
    updated_at_s: float
    crash_ids: set[str] = field(default_factory=set)
    crash_count: int = 0
    cleared: bool = False
    quarantined: bool = False
    released: bool = False
    may_have_row: bool = False
    reconsidered_at_s: float = 0.0


class Quarantine:
    """Suspects and quarantined requests; ``run`` removes expired records."""

    def __init__(
        self, rows: CrashRows, log: EventLog, retention_s: float = RETENTION_S
    ):
        self._rows = rows
        self._log = log
        self._retention_s = retention_s
        self._records: dict[str, SuspectRecord] = {}

    async def run(self) -> None:
        """Remove expired records forever."""
        while True:
            await curio.sleep(EXPIRY_INTERVAL_S)
            for record in list(self._records.values()):
                await self._remove_if_expired(record)

    def check(self, call: Call, ran: Ran = Ran.NO) -> None:
        """Raise RequestError if the call is quarantined."""
        record = self._active_record(call)
        if record is not None and record.quarantined:
            raise RequestError(
                ErrorKind.QUARANTINED,
                "the request was in flight at several crashes of upstreams",
                ran=ran,
            )

    def is_suspect(self, call: Call) -> bool:
        """Whether the call was in flight at a crash and has not completed since."""
        record = self._active_record(call)
        return record is not None and not record.cleared

    async def record_crash(self, call: Call, crash_id: str) -> None:
        """Record in memory and in the table that the call was in flight at a crash."""
        await reach_step(Step.CRASH_SEEN)
        fingerprint = call.fingerprint()
        record = self._records.get(fingerprint)
        if record is None:
            record = SuspectRecord(fingerprint, now_s())
            self._records[fingerprint] = record
        record.cleared = False
        record.released = False
        record.may_have_row = True
        record.updated_at_s = now_s()
        record.crash_ids.add(crash_id)
        record.crash_ids |= await self._rows.add(fingerprint, record.crash_ids)
        record.crash_count = max(record.crash_count, len(record.crash_ids))
        record.quarantined = await self._should_quarantine(record, RECHECK_DELAY_S)
        event = (
            Event.REQUEST_QUARANTINED if record.quarantined else Event.CRASH_RECORDED
        )
        self._log.write(
            event,
            request=call.request_id,
            fingerprint=fingerprint,
            crash=crash_id,
            crashes=record.crash_count,
        )
        await reach_step(Step.CRASH_RECORDED)

    async def _should_quarantine(self, record: SuspectRecord, wait_s: float) -> bool:
        """Whether the request must be quarantined.

        The table is read again after ``wait_s``, since other entries that detected the
        same crash may record it slightly later.
        """
        for delay_s in (0.0, wait_s):
            if not is_presumed_cause(record.crash_ids, []):
                return False
            await curio.sleep(delay_s)
            others = await self._rows.read_others(record.fingerprint)
            if others is None:
                return True
            if not is_presumed_cause(record.crash_ids, others):
                return False
        return True

    async def reconsider(self, call: Call) -> None:
        """Release the call if another request is now the presumed cause."""
        record = self._active_record(call)
        if record is None or not record.quarantined:
            return
        if now_s() - record.reconsidered_at_s < RECONSIDER_INTERVAL_S:
            return
        record.reconsidered_at_s = now_s()
        crash_ids = await self._rows.find(record.fingerprint)
        others = await self._rows.read_others(record.fingerprint)
        if crash_ids is None or others is None:
            return
        if not is_explained_by_another(crash_ids, others):
            return
        record.quarantined = False
        record.released = True
        record.may_have_row = True
        self._log.write(
            Event.REQUEST_RELEASED,
            request=call.request_id,
            fingerprint=record.fingerprint,
            crashes=len(crash_ids),
        )

    async def refresh(self, call: Call, ran: Ran) -> None:
        """Read the crashes that other entries recorded; raises as ``check`` does."""
        record = self._active_record(call)
        if record is not None:
            record.crash_ids |= await self._rows.read(record.fingerprint)
            record.crash_count = max(record.crash_count, len(record.crash_ids))
            record.quarantined = record.quarantined or await self._should_quarantine(
                record, 0.0
            )
        self.check(call, ran)

    async def clear(self, call: Call) -> None:
        """Clear a suspect that has completed."""
        record = self._active_record(call)
        if record is None or record.cleared:
            return
        record.cleared = True
        self._log.write(Event.SUSPECT_CLEARED, request=call.request_id)
        if record.released or len(record.crash_ids) > 1:
            await self._rows.clear_crashes(record.fingerprint)
        else:
            await self._rows.remove(record.fingerprint)
        record.crash_ids.clear()
        record.crash_count = 0

    def export(self) -> tuple[CrashRecord, ...]:
        """Return the newest records to be sent to peers, quarantined ones first."""
        records = [
            record
            for record in self._records.values()
            if not record.cleared and self._is_active(record)
        ]
        records.sort(key=lambda record: (not record.quarantined, -record.updated_at_s))
        return tuple(
            CrashRecord(record.fingerprint, record.crash_count, record.quarantined)
            for record in records[:EXPORTED_MAX]
        )

    def merge(self, records: tuple[CrashRecord, ...]) -> None:
        """Merge the records of a peer.

        Known records are not renewed, so that records which entries send back and
        forth still expire.
        """
        for received in records:
            known = self._records.get(received.fingerprint)
            if known is None:
                known = SuspectRecord(received.fingerprint, now_s())
                self._records[received.fingerprint] = known
            self._merge_record(known, received)

    def _merge_record(self, record: SuspectRecord, received: CrashRecord) -> None:
        newly_quarantined = received.quarantined and not record.quarantined
        if record.released or (record.cleared and not received.quarantined):
            return
        if received.crashes <= record.crash_count and not newly_quarantined:
            return
        if newly_quarantined:
            self._log.write(
                Event.REQUEST_QUARANTINED,
                fingerprint=record.fingerprint,
                crashes=received.crashes,
                heard=True,
            )
        record.quarantined = record.quarantined or received.quarantined
        record.crash_count = max(record.crash_count, received.crashes)
        record.updated_at_s = now_s()
        record.cleared = False

    def _active_record(self, call: Call) -> SuspectRecord | None:
        if not self._records:
            return None
        record = self._records.get(call.fingerprint())
        if record is None or not self._is_active(record):
            return None
        return record

    def _is_active(self, record: SuspectRecord) -> bool:
        return now_s() - record.updated_at_s < self._retention_s

    async def _remove_if_expired(self, record: SuspectRecord) -> None:
        age_s = now_s() - record.updated_at_s
        if age_s >= self._retention_s and record.may_have_row:
            record.may_have_row = False
            record.crash_ids.clear()
            await self._rows.remove(record.fingerprint)
        if age_s >= 2 * self._retention_s:
            del self._records[record.fingerprint]
