"""Follows one table of the platform's store and never goes back to an older state.

A store that comes back from an older copy begins a new era: all rows are read again.
"""

import random
from collections.abc import Awaitable, Callable

import curio

from ..errors import HistoryLost, StoreUnavailable
from ..events import Event, EventLog
from .backoff import Backoff
from .clock import now_s
from .row_copy import RowCopy
from .rows import RowSource, RowsRead, RowTable, StoredRow, StorePosition
from .table_news import TableNews

RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.6
START_JITTER_S = 0.1
# How often an entry that follows others looks whether it must watch by itself.
OFF_DUTY_POLL_S = 0.2
# A watch that was confirmed this much longer ago than its wait has lost the store.
CONFIRMED_MARGIN_S = 0.3
RETURN_TOLD_FOR_S = 3.0


async def _ignore_news(_news: TableNews) -> None:
    """Do nothing with what was seen at the store."""


def _always() -> bool:
    return True


class RowWatch:
    """Last known rows of a table; ``on_change`` is called after each change of them.

    ``version`` is the store's version up to which changes are known, and
    ``changed_version`` that of the newest change seen in this table, both of the
    store's ``era``.
    ``confirmed_at_s`` is when the store was last asked successfully, ``regained_at_s``
    when it answered again after it had not. ``on_seen`` is called with changes that
    this entry has seen at the store itself; it asks only while ``is_due``, and once in
    the beginning.
    """

    def __init__(
        self,
        source: RowSource,
        table: RowTable,
        wait_s: float,
        log: EventLog,
        on_change: Callable[[], None],
        seed: int | None = None,
        is_due: Callable[[], bool] = _always,
    ):
        self._is_due = is_due
        self.on_seen: Callable[[TableNews], Awaitable[None]] = _ignore_news
        self._source = source
        self._table = table
        self._wait_s = wait_s
        self._log = log
        self._on_change = on_change
        self._rng = random.Random(seed)
        self._backoff = Backoff(RETRY_MIN_S, RETRY_MAX_S, self._rng)
        self._following = False
        self._available = True
        self._answered_at_s = float("-inf")
        self.rows: dict[str, StoredRow] = {}
        self.era = 0
        self.version = 0
        self.changed_version = 0
        self.confirmed_at_s: float | None = None
        self.regained_at_s: float | None = None

    async def run(self) -> None:
        """Follow the table for ever."""
        await curio.sleep(self._rng.uniform(0, START_JITTER_S))
        while True:
            if self.version and not self._is_due():
                await curio.sleep(OFF_DUTY_POLL_S)
            elif not await self._step():
                await curio.sleep(self._backoff.next_s(False))

    async def _step(self) -> bool:
        asked_at_s = now_s()
        try:
            if self._following:
                await self._take_changes()
            else:
                await self._take_all()
        except HistoryLost:
            self._following = False
            self._log.write(Event.WATCH_RESTARTED, table=self._table.value)
            return True
        except StoreUnavailable as exc:
            self._note_unavailable(exc)
            return False
        self.confirmed_at_s = asked_at_s
        self._answered_at_s = now_s()
        self._backoff.next_s(True)
        return True

    @property
    def position(self) -> StorePosition:
        """Point in the store's history up to which changes are known."""
        return StorePosition(self.era, self.version)

    @property
    def changed_position(self) -> StorePosition:
        """Point of the newest change seen in this table."""
        return StorePosition(self.era, self.changed_version)

    def has_contact(self, age_s: float) -> bool:
        """Whether the store answers, and did so within the last ``age_s``."""
        if not self._available:
            return False
        return self.confirmed_at_s is not None and now_s() - self.confirmed_at_s < age_s

    async def refresh(self) -> None:
        """Read all rows once more, beside the watch; failures are left to the watch."""
        try:
            await self._take_all()
        except StoreUnavailable as exc:
            self._log.write(
                Event.STORE_UNAVAILABLE, table=self._table.value, error=str(exc)
            )

    async def _take_all(self) -> None:
        read = await self._source.read_all(self._table)
        if read.position < self.position:
            raise StoreUnavailable(
                f"the answer is of {read.position}, older than {self.position}"
            )
        known_before = self.changed_position
        self._note_available()
        self._enter_era(read.era)
        rows = {row.key: row for row in read.rows}
        self._following = True
        self.version = read.version
        self._install(rows)
        if self.changed_position > known_before:
            await self.on_seen(self._news(self.changed_version))

    async def _take_changes(self) -> None:
        after, known_before = self.position, self.changed_version
        read = await self._source.wait_for_changes(
            self._table, after.version, self._wait_s
        )
        if read.era != after.era or read.version < after.version:
            raise HistoryLost(f"the store went from {after} to {read.position}")
        self._note_available()
        if read.position < self.position:
            # Another entry told of later changes meanwhile.
            return
        self._merge(read)
        if read.rows:
            await self.on_seen(self._news(known_before, read.rows))

    def _news(self, changed_before: int, rows: tuple[StoredRow, ...] = ()) -> TableNews:
        now = now_s()
        returned_at_s = self.regained_at_s
        returned_age_s = None if returned_at_s is None else now - returned_at_s
        if returned_age_s is not None and returned_age_s > RETURN_TOLD_FOR_S:
            returned_age_s = None
        confirmed_at_s = now if self.confirmed_at_s is None else self.confirmed_at_s
        return TableNews(
            self._table,
            changed_before,
            self.version,
            rows,
            now - confirmed_at_s,
            returned_age_s,
            self.era,
        )

    def confirmed_news(self) -> TableNews | None:
        """Return that nothing has changed since; None where the store is out of reach.

        Only for what this entry asks by itself.
        """
        silent_s = now_s() - self._answered_at_s
        if not self._available or silent_s > self._wait_s + CONFIRMED_MARGIN_S:
            return None
        return self._news(self.changed_version)

    def take_news(self, news: TableNews) -> bool:
        """Take in what a watcher tells; False where changes before it are missing.

        News of an older era says nothing.
        """
        if news.era < self.era:
            return True
        if news.returned_age_s is not None:
            returned_at_s = now_s() - news.returned_age_s
            if self.regained_at_s is None or returned_at_s > self.regained_at_s:
                self.regained_at_s = returned_at_s
        if news.era > self.era or self.version < news.changed_before:
            return False
        if news.version >= self.version:
            self._merge(RowsRead(news.rows, news.version))
            self._following = True
        told_at_s = now_s() - news.confirmed_age_s
        self.confirmed_at_s = max(self.confirmed_at_s or told_at_s, told_at_s)
        return True

    def _merge(self, read: RowsRead) -> None:
        rows = dict(self.rows)
        for row in read.rows:
            known = rows.get(row.key)
            if known is not None and known.version > row.version:
                continue
            self.changed_version = max(self.changed_version, row.version)
            if row.deleted:
                rows.pop(row.key, None)
            else:
                rows[row.key] = row
        self.version = max(self.version, read.version)
        self._install(rows)

    def copy(self) -> RowCopy:
        """Return the rows as a peer can take them over."""
        return RowCopy(
            tuple(self.rows.values()), self.version, self.changed_version, self.era
        )

    def install_copy(self, copy: RowCopy) -> None:
        """Take over a peer's rows where they are newer than what is known."""
        if copy.position <= self.position:
            return
        self._enter_era(copy.era)
        self.version = copy.version
        self.changed_version = max(self.changed_version, copy.changed_version)
        self._following = False
        self._install({row.key: row for row in copy.rows})

    def _install(self, rows: dict[str, StoredRow]) -> None:
        newest = max((row.version for row in rows.values()), default=0)
        self.changed_version = max(self.changed_version, newest)
        if rows == self.rows:
            return
        self.rows = rows
        self._on_change()

    def _enter_era(self, era: int) -> None:
        """Count versions anew where the store has come back from an older copy.

        Registrations that it has forgotten are about to be written again.
        """
        if era == self.era:
            return
        self.era = era
        self.changed_version = 0
        self.regained_at_s = now_s()

    def _note_unavailable(self, exc: StoreUnavailable) -> None:
        if self._available:
            self._log.write(
                Event.STORE_UNAVAILABLE, table=self._table.value, error=str(exc)
            )
        self._available = False

    def _note_available(self) -> None:
        """Note the store's return, before its rows are taken: some may have lapsed."""
        if self._available:
            return
        self._available = True
        self.regained_at_s = now_s()
        self._log.write(Event.STORE_AVAILABLE, table=self._table.value)
