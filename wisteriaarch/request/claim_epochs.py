"""Epochs that date claims without comparing the clocks of entries.

The epoch is a counter in the table. An entry increments it after it has observed the
same value for the length of an epoch. Every epoch but the first therefore lasts at
least that long, even if entries are replaced in the meantime. Each claim row carries
the epoch in which it was written.
"""

from dataclasses import dataclass

from ..process.clock import now_s
from ..process.store import NO_VERSION, Put, Row, TableStore

SWEEPS_TABLE = "claim_sweeps"
SWEEP_KEY = "state"
RETENTION_EPOCHS = 8
EXPIRY_EPOCHS = RETENTION_EPOCHS + 3


@dataclass(frozen=True)
class SweepState:
    """Current epoch, and the row key after which the next sweep batch starts."""

    epoch: int = 1
    cursor: str = ""
    row_version: int = NO_VERSION

    @classmethod
    def from_row(cls, row: Row) -> "SweepState":
        """Return the state in a row; a missing row is the start of the first epoch."""
        if not row.exists:
            return cls()
        return cls(row.value["epoch"], row.value["after"], row.version)

    def to_put(self) -> Put:
        """Return the conditional write that replaces the row read before."""
        value = {"epoch": self.epoch, "after": self.cursor}
        return Put(SWEEPS_TABLE, SWEEP_KEY, value, self.row_version)

    def is_expired(self, epoch: int) -> bool:
        """Whether the retention time of a row written in that epoch has passed.

        The writer's cached epoch was current at most one epoch before the write took
        effect, which is part of the margin in ``EXPIRY_EPOCHS``.
        """
        return epoch + EXPIRY_EPOCHS <= self.epoch


class ClaimEpochs:
    """Cached copy of the current epoch, held by this entry."""

    def __init__(self, table: TableStore, retention_s: float):
        self._table = table
        self._epoch_length_s = retention_s / RETENTION_EPOCHS
        self._state: SweepState | None = None
        self._read_at_s = 0.0
        self._epoch_observed_since_s = 0.0

    async def current_epoch(self) -> int:
        """Return the epoch for a row to be written now; raises StoreUnavailable."""
        state = self._state
        if state is None or now_s() - self._read_at_s >= self._epoch_length_s:
            state = await self.refresh()
        return state.epoch

    async def refresh(self) -> SweepState:
        """Read the state from the table; raises StoreUnavailable."""
        read_at_s = now_s()
        state = SweepState.from_row(await self._table.read(SWEEPS_TABLE, SWEEP_KEY))
        if self._state is None or state.epoch > self._state.epoch:
            self._epoch_observed_since_s = now_s()
        self._state = state
        self._read_at_s = read_at_s
        return state

    def is_epoch_over(self) -> bool:
        """Whether this entry has observed the current epoch for its full length."""
        return now_s() - self._epoch_observed_since_s >= self._epoch_length_s
