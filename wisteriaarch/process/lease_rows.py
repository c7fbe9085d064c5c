"""Reads and writes of one group's lease rows in the platform's table."""

from dataclasses import asdict

from .lease_record import Contender, LeaseRecord, next_epoch
from .store import Put, Row, RowStore, Transaction

LEASE_TABLE = "leases"
EPOCH_TABLE = "epochs"


class LeaseRows:
    """Lease row and epoch row of a group, as written by one contender.

    Every write is conditional on the version of the row read before and on the store
    era of that read. Methods raise WriteConflict or another PlatformError.
    """

    def __init__(
        self, group: str, contender: Contender, term_s: float, table: RowStore
    ):
        self._group = group
        self._contender = contender
        self._term_s = term_s
        self._table = table

    async def read_lease(self) -> Row:
        """Read the row that names the holder."""
        return await self._table.read(LEASE_TABLE, self._group)

    async def read_epoch(self) -> Row:
        """Read the row that changes with each takeover of the lease."""
        return await self._table.read(EPOCH_TABLE, self._group)

    def is_own_epoch(self, row: Row) -> bool:
        """Whether this process was the last one to take the lease over."""
        return row.exists and row.value["incarnation"] == self._contender.incarnation

    async def renew(self, row: Row, record: LeaseRecord) -> None:
        """Renew the lease by incrementing its renewal count."""
        put = self._make_put(row, record.renewals + 1)
        await self._table.write(Transaction((put,), era=row.era))

    async def acquire(self, row: Row, epoch_row: Row) -> None:
        """Record this process as the holder, with a new epoch."""
        previous_epoch = epoch_row.value["epoch"] if epoch_row.exists else 0
        epoch = next_epoch(previous_epoch, row.era)
        puts = (self._make_put(row, 0), self._make_epoch_put(epoch_row, epoch))
        await self._table.write(Transaction(puts, era=row.era))

    async def raise_epoch(self, row: Row, epoch: int) -> None:
        """Write a greater epoch for the same holder."""
        put = self._make_epoch_put(row, epoch)
        await self._table.write(Transaction((put,), era=row.era))

    async def release(self, row: Row) -> None:
        """Record that the lease has no holder."""
        released = asdict(LeaseRecord(era=row.era))
        put = Put(LEASE_TABLE, self._group, released, row.version)
        await self._table.write(Transaction((put,), era=row.era))

    def _make_put(self, row: Row, renewals: int) -> Put:
        record = LeaseRecord(
            self._contender.entry_id,
            self._contender.incarnation,
            renewals,
            self._term_s,
            row.era,
        )
        return Put(LEASE_TABLE, self._group, asdict(record), row.version)

    def _make_epoch_put(self, row: Row, epoch: int) -> Put:
        value = {"epoch": epoch, **asdict(self._contender)}
        return Put(EPOCH_TABLE, self._group, value, row.version)
