"""Stored record of a duty: who called last, and whether a call may still arrive."""

from dataclasses import asdict, dataclass
from typing import Any

from .store import Check, Put, Row, RowStore, Transaction

DUTY_TABLE = "duties"


@dataclass(frozen=True)
class DutyRecord:
    """Last call of a duty; it is written before the call is sent.

    With ``unsettled`` the call may not have been executed yet. ``note`` is the holder's
    own JSON value, for its successor.
    """

    holder: str = ""
    token: int = 0
    unsettled: bool = False
    note: Any = None
    era: int = 0


class DutyRows:
    """Record of one duty and subject.

    Each write is conditional on the row's version, so that a delayed write has no
    effect after a newer one, and on the writer's lease. Methods raise WriteConflict or
    another PlatformError.
    """

    def __init__(self, key: str, table: RowStore):
        self._key = key
        self._table = table
        self._version: int | None = None
        self.record = DutyRecord()

    async def read(self) -> DutyRecord:
        """Read the record; a missing one has no holder."""
        row = await self._table.read(DUTY_TABLE, self._key)
        self._version = row.version
        self.record = DutyRecord(**row.value) if row.exists else DutyRecord()
        return self.record

    async def write(
        self, record: DutyRecord, check: Check, puts: tuple[Put, ...] = ()
    ) -> None:
        """Write the record, and ``puts`` with it, while the lease ``check`` holds.

        After a failed write, whose outcome may be unknown, the next one first reads the
        row's version.
        """
        if self._version is None:
            await self.read()
        version, self._version = self._version, None
        put = Put(DUTY_TABLE, self._key, asdict(record), version)
        await self._table.write(Transaction((put, *puts), (check,), record.era))
        self.record = record

    async def read_row(self, table: str, key: str) -> Row:
        """Read another row of the duty."""
        return await self._table.read(table, key)
