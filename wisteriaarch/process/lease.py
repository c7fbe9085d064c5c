"""Lease of an upstream group, stored in the platform's table.

The row ``leases/{group}`` names the holder and counts its renewals. The row
``epochs/{group}`` changes only when the lease is taken over, so that a transaction can
depend on the holder's authority without conflicting with its renewals.

A holder counts the term from before it sends a renewal. A contender takes a lease only
after it has observed the same renewal count for the full term plus the drift margin.

The store may be restored from an older snapshot, which can lose a takeover. Therefore
every lease term ends when the store era rises, epochs of a later era are greater, and a
record of an earlier era counts as held by another entry until a term has passed since
the restoration.
"""

from collections.abc import Callable, Iterable
from typing import Any

import curio

from ..errors import LeaseLost, PlatformError, WriteConflict
from ..event_log import EventLog
from ..events import Event
from ..steps import Step, reach_step
from .clock import now_s
from .lease_observer import LeaseObserver
from .lease_record import Contender, LeaseRecord, LeaseTerm, rendezvous_rank
from .lease_rows import EPOCH_TABLE, LeaseRows
from .settings_models import LeaseSettings
from .store import Check, Row, RowStore
from .store_era import StoreEra

CONTENDERS_MAX = 8


class Lease:
    """Competes for one group's lease and renews it.

    ``candidates`` returns the ids of the competing entries. Rendezvous hashing over
    them decides which one tries first, unless ``is_preferred`` returns True for this
    entry. ``era`` is the era of the table's store, needed if it may be restored from an
    older snapshot.
    """

    def __init__(
        self,
        group: str,
        contender: Contender,
        table: RowStore,
        settings: LeaseSettings,
        candidates: Callable[[], Iterable[str]],
        log: EventLog,
        is_preferred: Callable[[], bool] | None = None,
        era: StoreEra | None = None,
    ):
        self.group = group
        self._lease_term: LeaseTerm | None = None
        self._era = era or StoreEra()
        self._contender = contender
        self._rows = LeaseRows(group, contender, settings.term_s, table)
        self._settings = settings
        self._candidates = candidates
        self._event_log = log
        self._is_preferred = is_preferred
        self.observer = LeaseObserver(settings, self._era)
        self._observed_candidates: frozenset[str] = frozenset()
        self._next_observation_at_s = float("-inf")
        self._orders_allowed_from_s = self._former_ended_at_s = 0.0
        self._update_lock = curio.Lock()

    @property
    def drift_margin_s(self) -> float:
        """Bound on the drift between two instances' clocks within a term."""
        return self._settings.drift_margin_s

    @property
    def term_s(self) -> float:
        """Duration for which a renewal keeps the lease."""
        return self._settings.term_s

    @property
    def renew_every_s(self) -> float:
        """Interval between attempts to take or renew the lease."""
        return self._settings.renew_every_s

    @property
    def lease_term(self) -> LeaseTerm | None:
        """Lease term of this entry, possibly expired; None if it isn't the holder."""
        if self._lease_term is not None and self._lease_term.era != self._era.current:
            epoch, era = self._lease_term.epoch, self._era.current
            self._log(Event.LEASE_LOST, epoch=epoch, era=era)
            self._lease_term = None
        return self._lease_term

    def unexpired_epoch(self) -> int | None:
        """Return the epoch of a term with time remaining, also of an ended era."""
        term = self._lease_term
        return term.epoch if term and term.expires_at_s > now_s() else None

    @property
    def rank(self) -> int:
        """Number of other entries that try to take the lease before this one.

        A preferred entry has rank 0 too, besides the first one by rendezvous hashing.
        """
        if self._is_preferred is not None and self._is_preferred():
            return 0
        return rendezvous_rank(self.group, self._contender.entry_id, self._candidates())

    def is_held(self) -> bool:
        """Whether this process holds the lease now."""
        return self.has_remaining(0.0)

    def has_remaining(self, fraction: float) -> bool:
        """Whether the lease is held with more than this share of its term remaining."""
        lease_term = self.lease_term
        if lease_term is None:
            return False
        return lease_term.expires_at_s - now_s() > fraction * self._settings.term_s

    def may_issue_orders(self) -> bool:
        """Whether the lease is held and no former holder can still issue orders."""
        return self.is_held() and now_s() >= self.lease_term.orders_allowed_from_s

    def require_remaining(self, min_remaining_s: float) -> LeaseTerm:
        """Return the term if more than ``min_remaining_s`` remain; raises LeaseLost."""
        lease_term = self.lease_term
        if lease_term is None:
            raise LeaseLost(f"the lease of group {self.group!r} is not held")
        remaining_s = lease_term.expires_at_s - now_s()
        if remaining_s <= min_remaining_s:
            raise LeaseLost(
                f"the lease of group {self.group!r} has {remaining_s:.3f} s left; "
                f"more than {min_remaining_s:.3f} s are needed"
            )
        return lease_term

    def epoch_check(self) -> Check:
        """Return the check that no other entry has taken over; raises LeaseLost."""
        lease_term = self.require_remaining(0.0)
        return Check(EPOCH_TABLE, self.group, lease_term.epoch_row_version)

    def discard_term(self) -> None:
        """Discard the lease term until the lease is renewed or taken again."""
        self._lease_term = None

    async def raise_epoch(self, floor: int) -> None:
        """Raise the epoch above ``floor``, the epoch of another group's order.

        A new lease term begins with the next renewal. Raises LeaseLost or a
        PlatformError.
        """
        if self.require_remaining(0.0).epoch > floor:
            return
        async with self._update_lock:
            era = self.require_remaining(0.0).era
            row = await self._rows.read_epoch()
            if not self._rows.is_own_epoch(row) or row.era != era:
                raise LeaseLost(f"the lease of group {self.group!r} was taken over")
            # The next renewal reads the epoch; no order can be issued until then.
            self._lease_term = None
            if row.value["epoch"] <= floor:
                await self._rows.raise_epoch(row, floor + 1)
        self._log(Event.EPOCH_RAISED, epoch=floor + 1)

    async def run(self) -> None:
        """Compete for the lease or renew it; never returns."""
        while True:
            async with self._update_lock:
                await self.acquire_or_renew()
            await curio.sleep(self._settings.renew_every_s)

    async def acquire_or_renew(self) -> None:
        """Try once to take or renew the lease.

        A conflict or platform error changes nothing. Entries ranked ``CONTENDERS_MAX``
        or later don't read the row, which bounds the load on the table.
        """
        if self.lease_term is None and self.rank >= CONTENDERS_MAX:
            return
        try:
            row = await self._rows.read_lease()
            record = LeaseRecord.from_row(row)
            self.observer.observe(record, now_s())
            await reach_step(Step.LEASE_READ)
            if record.belongs_to(self._contender) and record.was_written_in(row.era):
                await self._renew(row, record)
                return
            self._end_term(record)
            if self.observer.may_acquire(self.rank, row.era, now_s()):
                await self._acquire(row)
        except WriteConflict:
            return
        except PlatformError as exc:
            self._log(Event.LEASE_WRITE_FAILED, error=str(exc))

    async def observe_on_candidate_change(self) -> None:
        """Read the lease row if the candidates have changed since the last read.

        The term of a failed holder is then observed in advance, and may have expired
        before this entry needs the lease.
        """
        candidates = frozenset(self._candidates())
        if (
            candidates == self._observed_candidates
            or now_s() < self._next_observation_at_s
        ):
            return
        self._observed_candidates = candidates
        if self.rank >= CONTENDERS_MAX:
            return
        try:
            row = await self._rows.read_lease()
            self.observer.observe(LeaseRecord.from_row(row), now_s())
        except PlatformError as exc:
            self._observed_candidates = frozenset()
            self._next_observation_at_s = now_s() + self._settings.term_s
            self._log(Event.LEASE_READ_FAILED, error=str(exc))

    async def _renew(self, row: Row, record: LeaseRecord) -> None:
        sent_at_s = now_s()
        await reach_step(Step.LEASE_WRITE)
        await self._rows.renew(row, record)
        await self._start_or_extend_term(sent_at_s, row.era)
        await reach_step(Step.LEASE_RENEWED)

    async def _acquire(self, row: Row) -> None:
        epoch_row = await self._rows.read_epoch()
        if epoch_row.era != row.era:
            return
        now = now_s()
        own_id = self._contender.entry_id
        order_delay_s = self.observer.order_delay_s(own_id, row.era, now)
        self._orders_allowed_from_s = now + order_delay_s
        self._former_ended_at_s = self.observer.former_ended_at_s(row.era)
        sent_at_s = now_s()
        await reach_step(Step.LEASE_WRITE)
        await self._rows.acquire(row, epoch_row)
        await self._start_or_extend_term(sent_at_s, row.era)
        await reach_step(Step.LEASE_RENEWED)

    async def _start_or_extend_term(self, sent_at_s: float, era: int) -> None:
        """Count the term from ``sent_at_s``; after a takeover, read the epoch first."""
        expires_at_s = sent_at_s + self._settings.term_s
        lease_term = self.lease_term
        if lease_term is not None:
            lease_term.expires_at_s = expires_at_s
            return
        row = await self._rows.read_epoch()
        if not self._rows.is_own_epoch(row):
            return
        if row.era != era:
            # Written before the store was restored; the next attempt retakes the lease.
            return
        self._lease_term = LeaseTerm(
            row.value["epoch"],
            row.version,
            now_s(),
            expires_at_s,
            self._orders_allowed_from_s,
            era,
            self._former_ended_at_s,
        )
        self._log(Event.LEASE_ACQUIRED, epoch=row.value["epoch"], rank=self.rank)

    def _end_term(self, record: LeaseRecord) -> None:
        lease_term = self.lease_term
        if lease_term is None:
            return
        self._log(Event.LEASE_LOST, epoch=lease_term.epoch, holder=record.holder)
        self._lease_term = None

    async def release(self) -> None:
        """Release the lease, so that another entry needn't wait for its expiry.

        The caller must have ended the task of ``run``. If orders depend on
        ``may_issue_orders``, the caller must have issued no orders during the last
        term. If the release fails, the lease expires.
        """
        self._lease_term = None
        try:
            row = await self._rows.read_lease()
            record = LeaseRecord.from_row(row)
            if not (
                record.belongs_to(self._contender) and record.was_written_in(row.era)
            ):
                return
            await self._rows.release(row)
        except PlatformError as exc:
            self._log(Event.LEASE_WRITE_FAILED, error=str(exc))
            return
        self._log(Event.LEASE_RELEASED)

    def _log(self, event: Event, **fields: Any) -> None:
        self._event_log.write(event, group=self.group, **fields)
