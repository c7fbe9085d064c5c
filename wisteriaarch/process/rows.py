"""Rows that the platform's store keeps, and the interface that follows them."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class RowTable(Enum):
    """Tables that an entry reads."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    ENTRIES = "entries"


@dataclass(frozen=True, order=True)
class StorePosition:
    """Point in the store's history.

    The store may come back from an older copy. Its versions then go back and are given
    out again, and its ``era`` rises by one; within an era a greater ``version`` is the
    later one.
    """

    era: int = 0
    version: int = 0


@dataclass(frozen=True)
class StoredRow:
    """Row as read; ``deleted`` marks one that was removed."""

    key: str
    version: int
    value: bytes
    deleted: bool = False


@dataclass(frozen=True)
class RowsRead:
    """Rows of one answer; ``version`` is the store's newest version at that moment.

    Versions are those of the store's ``era``.
    """

    rows: tuple[StoredRow, ...]
    version: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Point in the store's history that the rows are as of."""
        return StorePosition(self.era, self.version)


class RowSource(Protocol):
    """Reads rows and follows their changes."""

    async def read_all(self, table: RowTable) -> RowsRead:
        """Return all rows of a table; raises StoreUnavailable."""

    async def wait_for_changes(
        self, table: RowTable, after: int, wait_s: float
    ) -> RowsRead:
        """Return rows that changed after a version; none where ``wait_s`` passes.

        The answer's era tells in which history. Raises HistoryLost where that version
        is not or no longer known, StoreUnavailable.
        """

    async def put(self, table: RowTable, key: str, value: bytes) -> None:
        """Write a row unconditionally; raises StoreUnavailable."""
