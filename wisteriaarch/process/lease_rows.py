"""Rows of one group's lease in the platform's table: reads and writes, no decision."""

from dataclasses import asdict

from .lease_record import Contender, LeaseRecord, next_epoch
from .store import Put, Row, RowStore, Transaction

LEASE_TABLE = "leases"
EPOCH_TABLE = "epochs"


class LeaseRows:
    """The lease row and the epoch row of a group, as one contender writes them.

    Every write depends on the row that was read before, and on the store's era of then.
    Methods raise WriteConflict or another PlatformError.
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
        """Read the row that changes with each takeover."""
        return await self._table.read(EPOCH_TABLE, self._group)

    def is_own_epoch(self, row: Row) -> bool:
        """Whether this process took the lease over last."""
        return row.exists and row.value["incarnation"] == self._contender.incarnation

    async def renew(self, row: Row, record: LeaseRecord) -> None:
        """Count one more renewal."""
        put = self._put(row, record.renewals + 1)
        await self._table.write(Transaction((put,), era=row.era))

    async def take(self, row: Row, epoch_row: Row) -> None:
        """Name this process as the holder, with an epoch of its own."""
        former = epoch_row.value["epoch"] if epoch_row.exists else 0
        epoch = next_epoch(former, row.era)
        puts = (self._put(row, 0), self._put_epoch(epoch_row, epoch))
        await self._table.write(Transaction(puts, era=row.era))

    async def raise_epoch(self, row: Row, epoch: int) -> None:
        """Write a greater epoch of the same holder."""
        put = self._put_epoch(row, epoch)
        await self._table.write(Transaction((put,), era=row.era))

    async def release(self, row: Row) -> None:
        """Name nobody as the holder."""
        released = asdict(LeaseRecord(era=row.era))
        put = Put(LEASE_TABLE, self._group, released, row.version)
        await self._table.write(Transaction((put,), era=row.era))

    def _put(self, row: Row, renewals: int) -> Put:
        record = LeaseRecord(
            self._contender.entry_id,
            self._contender.incarnation,
            renewals,
            self._term_s,
            row.era,
        )
        return Put(LEASE_TABLE, self._group, asdict(record), row.version)

    def _put_epoch(self, row: Row, epoch: int) -> Put:
        value = {"epoch": epoch, **asdict(self._contender)}
        return Put(EPOCH_TABLE, self._group, value, row.version)
