"""Rows that the platform's store keeps, and the interface that follows them."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class RowTable(Enum):
    """Tables that an entry reads."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    ENTRIES = "entries"


@dataclass(frozen=True)
class StoredRow:
    """Row as read; ``deleted`` marks one that was removed."""

    key: str
    version: int
    value: bytes
    deleted: bool = False


@dataclass(frozen=True)
class RowsRead:
    """Rows of one answer; ``version`` is the store's newest version at that moment."""

    rows: tuple[StoredRow, ...]
    version: int


class RowSource(Protocol):
    """Reads rows and follows their changes."""

    async def read_all(self, table: RowTable) -> RowsRead:
        """Return all rows of a table; raises StoreUnavailable."""

    async def wait_for_changes(
        self, table: RowTable, after: int, wait_s: float
    ) -> RowsRead:
        """Return rows that changed after a version; none where ``wait_s`` passes.

        Raises HistoryLost where that version is no longer known, StoreUnavailable.
        """

    async def put(self, table: RowTable, key: str, value: bytes) -> None:
        """Write a row unconditionally; raises StoreUnavailable."""
