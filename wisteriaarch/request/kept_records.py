"""Row of the store that keeps what all entries know beyond their restarts.

Entries tell each other what they observe, and all of it is lost where all of them end
at once. One entry writes what it knows with each change, and anew after the store was
restored from an older copy; an entry that starts reads it.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, ClassVar

import curio

from ..errors import PlatformError
from ..event_log import EventLog
from ..events import Event
from ..process.store import Put, RowStore, Transaction
from ..process.store_era import StoreEra

KEY = "all"
CHECK_EVERY_S = 0.1
RETRY_S = 0.5


class KeptRecords(ABC):
    """Reads the row at the start, and keeps it up to date while ``is_writer``.

    ``write_interval_s`` is the least time between two writes of this entry. ``era`` is
    the era of the store, needed if it may be restored from an older copy.
    """

    table: ClassVar[str]
    write_interval_s: ClassVar[float] = CHECK_EVERY_S

    def __init__(
        self,
        store: RowStore,
        is_writer: Callable[[], bool],
        log: EventLog,
        era: StoreEra | None = None,
    ):
        self._store = store
        self._is_writer = is_writer
        self._log = log
        self._era = era or StoreEra()
        self._written = (0, 0)

    async def run(self) -> None:
        """Read the row once, then write each change, forever."""
        while not await self._read():
            await curio.sleep(RETRY_S)
        while True:
            await curio.sleep(await self._write_if_due())

    @abstractmethod
    def version(self) -> int:
        """Return a number that changes with what is to be written."""

    @abstractmethod
    def encode(self) -> Any:
        """Return the content of the row as JSON values."""

    @abstractmethod
    def merge(self, value: Any) -> int:
        """Add the content of a row; returns the number of records in it.

        Content of another form counts as none.
        """

    def _state(self) -> tuple[int, int]:
        return self.version(), self._era.current

    async def _read(self) -> bool:
        try:
            row = await self._store.read(self.table, KEY)
        except PlatformError:
            return False
        is_unchanged = self.version() == self._written[0]
        count = self.merge(row.value)
        if is_unchanged:
            self._written = self._state()
        if count:
            self._log.write(Event.RECORDS_READ, table=self.table, records=count)
        return True

    async def _write_if_due(self) -> float:
        """Write the row if it has changed; returns when to look again, in seconds."""
        if self._state() == self._written or not self._is_writer():
            return CHECK_EVERY_S
        state = self._state()
        put = Put(self.table, KEY, self.encode(), None)
        try:
            await self._store.write(Transaction((put,)))
        except PlatformError:
            return RETRY_S
        self._written = state
        return self.write_interval_s
