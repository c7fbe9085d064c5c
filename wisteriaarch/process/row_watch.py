"""Follows one table of the platform's store without going back to an older state.

A store restored from an older snapshot begins a new era, and all rows are read again.
"""

import random
from collections.abc import Awaitable, Callable

import curio

from ..errors import HistoryUnavailable, StoreUnavailable
from ..event_log import EventLog
from ..events import Event
from .backoff import Backoff
from .clock import now_s
from .row_copy import RowCopy
from .rows import RowSource, RowsRead, RowTable, StoredRow, StorePosition
from .table_update import TableUpdate

RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.6
START_JITTER_S = 0.1
# Interval at which a follower checks whether it must watch the store itself.
FOLLOWER_POLL_INTERVAL_S = 0.2
# The store is unreachable if a watch exceeds its wait time by this margin.
CONFIRMATION_MARGIN_S = 0.3
RECOVERY_REPORTED_FOR_S = 3.0


async def _ignore_update(_update: TableUpdate) -> None:
    """Discard an update."""


def _always() -> bool:
    return True


class RowWatch:
    """Last known rows of a table; ``on_change`` is called after each change of them.

    ``version`` is the store version up to which changes are known, and
    ``changed_version`` the version of the newest change of this table, both within the
    store's ``era``. ``confirmed_at_s`` is when the last successful request to the store
    began, and ``recovered_at_s`` when the store became available after an outage.
    ``on_update`` is called with changes that this entry read from the store itself. The
    store is polled once at the start, and then only while ``should_watch`` returns
    True.
    """

    def __init__(
        self,
        source: RowSource,
        table: RowTable,
        wait_s: float,
        log: EventLog,
        on_change: Callable[[], None],
        seed: int | None = None,
        should_watch: Callable[[], bool] = _always,
    ):
        self._should_watch = should_watch
        self.on_update: Callable[[TableUpdate], Awaitable[None]] = _ignore_update
        self._source = source
        self._table = table
        self._wait_s = wait_s
        self._log = log
        self._on_change = on_change
        self._rng = random.Random(seed)
        self._backoff = Backoff(RETRY_MIN_S, RETRY_MAX_S, self._rng)
        self._can_follow_changes = False
        self._available = True
        self._last_answer_at_s = float("-inf")
        self.rows: dict[str, StoredRow] = {}
        self.era = 0
        self.version = 0
        self.changed_version = 0
        self.confirmed_at_s: float | None = None
        self.recovered_at_s: float | None = None

    async def run(self) -> None:
        """Follow the table; never returns."""
        await curio.sleep(self._rng.uniform(0, START_JITTER_S))
        while True:
            if self.version and not self._should_watch():
                await curio.sleep(FOLLOWER_POLL_INTERVAL_S)
            elif not await self._poll():
                await curio.sleep(self._backoff.next_delay_s(False))

    async def _poll(self) -> bool:
        asked_at_s = now_s()
        try:
            if self._can_follow_changes:
                await self._read_changes()
            else:
                await self._read_all()
        except HistoryUnavailable:
            self._can_follow_changes = False
            self._log.write(Event.WATCH_RESTARTED, table=self._table.value)
            return True
        except StoreUnavailable as exc:
            self._mark_unavailable(exc)
            return False
        self.confirmed_at_s = asked_at_s
        self._last_answer_at_s = now_s()
        self._backoff.next_delay_s(True)
        return True

    @property
    def position(self) -> StorePosition:
        """Point in the store's history up to which changes are known."""
        return StorePosition(self.era, self.version)

    @property
    def changed_position(self) -> StorePosition:
        """Point of the newest known change of this table."""
        return StorePosition(self.era, self.changed_version)

    def has_contact(self, age_s: float) -> bool:
        """Whether the store is available and answered within the last ``age_s``."""
        if not self._available:
            return False
        return self.confirmed_at_s is not None and now_s() - self.confirmed_at_s < age_s

    async def refresh(self) -> None:
        """Read all rows once, independently of the watch.

        A failure is logged and otherwise left to the watch.
        """
        try:
            await self._read_all()
        except StoreUnavailable as exc:
            self._log.write(
                Event.STORE_UNAVAILABLE, table=self._table.value, error=str(exc)
            )

    async def _read_all(self) -> None:
        read = await self._source.read_all(self._table)
        if read.position < self.position:
            raise StoreUnavailable(
                f"response is at {read.position}, older than {self.position}"
            )
        previous_change = self.changed_position
        self._mark_available()
        self._enter_era(read.era)
        rows = {row.key: row for row in read.rows}
        self._can_follow_changes = True
        self.version = read.version
        self._replace_rows(rows)
        if self.changed_position > previous_change:
            await self.on_update(self._make_update(self.changed_version))

    async def _read_changes(self) -> None:
        after, previous_change = self.position, self.changed_version
        read = await self._source.wait_for_changes(
            self._table, after.version, self._wait_s
        )
        if read.era != after.era or read.version < after.version:
            raise HistoryUnavailable(
                f"store position changed from {after} to {read.position}"
            )
        self._mark_available()
        if read.position < self.position:
            # Later changes were received from another entry in the meantime.
            return
        self._merge(read)
        if read.rows:
            await self.on_update(self._make_update(previous_change, read.rows))

    def _make_update(
        self, previous_changed_version: int, rows: tuple[StoredRow, ...] = ()
    ) -> TableUpdate:
        now = now_s()
        recovered_at_s = self.recovered_at_s
        recovery_age_s = None if recovered_at_s is None else now - recovered_at_s
        if recovery_age_s is not None and recovery_age_s > RECOVERY_REPORTED_FOR_S:
            recovery_age_s = None
        confirmed_at_s = now if self.confirmed_at_s is None else self.confirmed_at_s
        return TableUpdate(
            self._table,
            previous_changed_version,
            self.version,
            rows,
            now - confirmed_at_s,
            recovery_age_s,
            self.era,
        )

    def confirmation_update(self) -> TableUpdate | None:
        """Return an update without changes; None if the store is unreachable.

        Valid only while this entry polls the store itself.
        """
        idle_s = now_s() - self._last_answer_at_s
        if not self._available or idle_s > self._wait_s + CONFIRMATION_MARGIN_S:
            return None
        return self._make_update(self.changed_version)

    def apply_update(self, update: TableUpdate) -> bool:
        """Apply an update from a watcher; returns False if earlier changes are missing.

        An update of an older era is ignored.
        """
        if update.era < self.era:
            return True
        if update.recovery_age_s is not None:
            recovered_at_s = now_s() - update.recovery_age_s
            if self.recovered_at_s is None or recovered_at_s > self.recovered_at_s:
                self.recovered_at_s = recovered_at_s
        if update.era > self.era or self.version < update.previous_changed_version:
            return False
        if update.version >= self.version:
            self._merge(RowsRead(update.rows, update.version))
            self._can_follow_changes = True
        reported_at_s = now_s() - update.confirmed_age_s
        self.confirmed_at_s = max(self.confirmed_at_s or reported_at_s, reported_at_s)
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
        self._replace_rows(rows)

    def make_copy(self) -> RowCopy:
        """Return a copy of the rows for a peer."""
        return RowCopy(
            tuple(self.rows.values()), self.version, self.changed_version, self.era
        )

    def install_copy(self, copy: RowCopy) -> None:
        """Replace the rows by a peer's copy if it is newer."""
        if copy.position <= self.position:
            return
        self._enter_era(copy.era)
        self.version = copy.version
        self.changed_version = max(self.changed_version, copy.changed_version)
        self._can_follow_changes = False
        self._replace_rows({row.key: row for row in copy.rows})

    def _replace_rows(self, rows: dict[str, StoredRow]) -> None:
        newest = max((row.version for row in rows.values()), default=0)
        self.changed_version = max(self.changed_version, newest)
        if rows == self.rows:
            return
        self.rows = rows
        self._on_change()

    def _enter_era(self, era: int) -> None:
        """Reset the change version if the store was restored from an older snapshot.

        Registrations that the store lost are about to be written again.
        """
        if era == self.era:
            return
        self.era = era
        self.changed_version = 0
        self.recovered_at_s = now_s()

    def _mark_unavailable(self, exc: StoreUnavailable) -> None:
        if self._available:
            self._log.write(
                Event.STORE_UNAVAILABLE, table=self._table.value, error=str(exc)
            )
        self._available = False

    def _mark_available(self) -> None:
        """Record the store's recovery before its rows are applied.

        Rows may have expired during the outage.
        """
        if self._available:
            return
        self._available = True
        self.recovered_at_s = now_s()
        self._log.write(Event.STORE_AVAILABLE, table=self._table.value)
