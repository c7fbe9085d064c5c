"""Lease of an upstream group, kept in the platform's table.

The row ``leases/{group}`` names the holder and counts its renewals. The row
``epochs/{group}`` changes with each takeover alone, so that a transaction can depend on
the holder's authority without a conflict with its renewals.

A holder counts the term from before it sends a renewal. A contender takes a lease only
after it has itself seen the same renewal count for the whole term and the drift margin.

The store may come back from an older copy, and a takeover may be lost with what it has
forgotten. So every tenure ends with the store's era, epochs of a later era are greater,
and what is on record from an earlier one counts as held by another until a term has
passed since the return.
"""

from collections.abc import Callable, Iterable

import curio

from ..errors import LeaseLost, PlatformError, WriteConflict
from ..events import Event, EventLog
from ..steps import Step, reach
from .clock import now_s
from .lease_record import Contender, LeaseRecord, Tenure, rank_of
from .lease_rows import EPOCH_TABLE, LeaseRows
from .lease_watch import LeaseWatch
from .settings_models import LeaseSettings
from .store import Check, Row, RowStore
from .store_era import StoreEra

CONTENDERS_MAX = 8


class Lease:
    """Competes for one group's lease and keeps it.

    ``candidates`` returns the ids of the entries that compete; rendezvous hashing over
    them decides who tries first, or ``is_first`` where the caller has chosen one.
    ``era`` is that of the table, where it may come back from an older copy.
    """

    def __init__(
        self,
        group: str,
        contender: Contender,
        table: RowStore,
        settings: LeaseSettings,
        candidates: Callable[[], Iterable[str]],
        log: EventLog,
        is_first: Callable[[], bool] | None = None,
        era: StoreEra | None = None,
    ):
        self.group = group
        self._tenure: Tenure | None = None
        self._era = era or StoreEra()
        self._contender = contender
        self._rows = LeaseRows(group, contender, settings.term_s, table)
        self._settings = settings
        self._candidates = candidates
        self._log = log
        self._is_first = is_first
        self._watch = LeaseWatch(settings, self._era)
        self._looked_for: frozenset[str] = frozenset()
        self._look_from_s = float("-inf")
        self._orders_from_s = 0.0
        self._changing = curio.Lock()

    @property
    def drift_margin_s(self) -> float:
        """Bound on how far two instances' clocks drift apart within a term."""
        return self._settings.drift_margin_s

    @property
    def term_s(self) -> float:
        """Time for which a renewal keeps the lease."""
        return self._settings.term_s

    @property
    def renew_every_s(self) -> float:
        """Time between two tries to take or renew the lease."""
        return self._settings.renew_every_s

    @property
    def tenure(self) -> Tenure | None:
        """Time of this entry as holder, lapsed or not; None before and after it."""
        if self._tenure is not None and self._tenure.era != self._era.known:
            self._log.write(
                Event.LEASE_LOST,
                group=self.group,
                epoch=self._tenure.epoch,
                era=self._era.known,
            )
            self._tenure = None
        return self._tenure

    @property
    def rank(self) -> int:
        """How many other entries are to try before this one."""
        if self._is_first is not None and self._is_first():
            return 0
        return rank_of(self.group, self._contender.entry_id, self._candidates())

    def is_held(self) -> bool:
        """Whether this process holds the lease now."""
        return self.has_left(0.0)

    def has_left(self, share: float) -> bool:
        """Whether the lease is held, with more than a share of its term left."""
        tenure = self.tenure
        if tenure is None:
            return False
        return tenure.expires_at_s - now_s() > share * self._settings.term_s

    def may_order(self) -> bool:
        """Whether the lease is held and no former holder's orders are too recent."""
        return self.is_held() and now_s() >= self.tenure.orders_from_s

    def require(self, left_s: float) -> Tenure:
        """Return the tenure if more than ``left_s`` of it is left; raises LeaseLost."""
        tenure = self.tenure
        if tenure is None:
            raise LeaseLost(f"the lease of group {self.group!r} is not held")
        remaining_s = tenure.expires_at_s - now_s()
        if remaining_s <= left_s:
            raise LeaseLost(
                f"the lease of group {self.group!r} has {remaining_s:.3f} s left; "
                f"more than {left_s:.3f} s are needed"
            )
        return tenure

    def epoch_check(self) -> Check:
        """Return the condition that nobody else has taken over; raises LeaseLost."""
        tenure = self.require(0.0)
        return Check(EPOCH_TABLE, self.group, tenure.epoch_row_version)

    def drop(self) -> None:
        """Act on the lease no more until it is renewed or taken again."""
        self._tenure = None

    async def raise_epoch(self, above: int) -> None:
        """Make the epoch greater than ``above``, that of another group's order.

        A new tenure begins with the next renewal. Raises LeaseLost or a PlatformError.
        """
        if self.require(0.0).epoch > above:
            return
        async with self._changing:
            era = self.require(0.0).era
            row = await self._rows.read_epoch()
            if not self._rows.is_own_epoch(row) or row.era != era:
                raise LeaseLost(f"the lease of group {self.group!r} was taken over")
            # The next renewal reads the epoch; until then nothing can be ordered.
            self._tenure = None
            if row.value["epoch"] <= above:
                await self._rows.raise_epoch(row, above + 1)
        self._log.write(Event.EPOCH_RAISED, group=self.group, epoch=above + 1)

    async def run(self) -> None:
        """Compete for the lease or renew it, for ever."""
        while True:
            async with self._changing:
                await self.advance()
            await curio.sleep(self._settings.renew_every_s)

    async def advance(self) -> None:
        """Make one try to take or renew the lease; a failed one changes nothing.

        Entries beyond the first CONTENDERS_MAX do not even read the row.
        """
        if self.tenure is None and self.rank >= CONTENDERS_MAX:
            return
        try:
            row = await self._rows.read_lease()
            record = LeaseRecord.from_row(row)
            self._watch.see(record, now_s())
            await reach(Step.LEASE_READ)
            if record.belongs_to(self._contender) and record.is_of(row.era):
                await self._renew(row, record)
                return
            self._lose(record)
            if self._watch.may_take(self.rank, row.era, now_s()):
                await self._take(row)
        except WriteConflict:
            return
        except PlatformError as exc:
            self._log.write(Event.LEASE_WRITE_FAILED, group=self.group, error=str(exc))

    async def look(self) -> None:
        """Read who holds the lease, where entries came or went since the last look.

        The term of a holder that is gone has then passed before the lease is wanted.
        """
        candidates = frozenset(self._candidates())
        if candidates == self._looked_for or now_s() < self._look_from_s:
            return
        self._looked_for = candidates
        if self.rank >= CONTENDERS_MAX:
            return
        try:
            row = await self._rows.read_lease()
            self._watch.see(LeaseRecord.from_row(row), now_s())
        except PlatformError as exc:
            self._looked_for = frozenset()
            self._look_from_s = now_s() + self._settings.term_s
            self._log.write(Event.LEASE_READ_FAILED, group=self.group, error=str(exc))

    async def _renew(self, row: Row, record: LeaseRecord) -> None:
        sent_at_s = now_s()
        await reach(Step.LEASE_WRITE)
        await self._rows.renew(row, record)
        await self._extend(sent_at_s, row.era)
        await reach(Step.LEASE_RENEWED)

    async def _take(self, row: Row) -> None:
        epoch_row = await self._rows.read_epoch()
        if epoch_row.era != row.era:
            return
        now = now_s()
        quiet_s = self._watch.quiet_s(self._contender.entry_id, row.era, now)
        self._orders_from_s = now + quiet_s
        sent_at_s = now_s()
        await reach(Step.LEASE_WRITE)
        await self._rows.take(row, epoch_row)
        await self._extend(sent_at_s, row.era)
        await reach(Step.LEASE_RENEWED)

    async def _extend(self, sent_at_s: float, era: int) -> None:
        """Count the term from ``sent_at_s``, on taking it over read the epoch."""
        expires_at_s = sent_at_s + self._settings.term_s
        tenure = self.tenure
        if tenure is not None:
            tenure.expires_at_s = expires_at_s
            return
        row = await self._rows.read_epoch()
        if not self._rows.is_own_epoch(row):
            return
        if row.era != era:
            # Written before the store came back; the next try takes the lease anew.
            return
        self._tenure = Tenure(
            row.value["epoch"],
            row.version,
            now_s(),
            expires_at_s,
            self._orders_from_s,
            era,
        )
        self._log.write(
            Event.LEASE_TAKEN,
            group=self.group,
            epoch=self._tenure.epoch,
            rank=self.rank,
        )

    def _lose(self, record: LeaseRecord) -> None:
        tenure = self.tenure
        if tenure is None:
            return
        self._log.write(
            Event.LEASE_LOST,
            group=self.group,
            epoch=tenure.epoch,
            holder=record.holder,
        )
        self._tenure = None

    async def release(self) -> None:
        """Give the lease up, so that another entry needn't wait for its end.

        The caller has ended the task of ``run``. Where orders follow ``may_order``, it
        has given none for a term. A failed release leaves the lease to lapse.
        """
        self._tenure = None
        try:
            row = await self._rows.read_lease()
            record = LeaseRecord.from_row(row)
            if not (record.belongs_to(self._contender) and record.is_of(row.era)):
                return
            await self._rows.release(row)
        except PlatformError as exc:
            self._log.write(Event.LEASE_WRITE_FAILED, group=self.group, error=str(exc))
            return
        self._log.write(Event.LEASE_RELEASED, group=self.group)
