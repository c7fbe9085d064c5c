"""Rows of the platform's store, and the interface that reads and follows them."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class RowTable(Enum):
    """Tables read by an entry."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    ENTRIES = "entries"


@dataclass(frozen=True, order=True)
class StorePosition:
    """Point in the store's history.

    The store may be restored from an older snapshot. Versions then go back and are
    reused, and ``era`` is incremented. Within an era, a greater ``version`` is later.
    """

    era: int = 0
    version: int = 0


@dataclass(frozen=True)
class StoredRow:
    """Row as read from the store; ``deleted`` marks a removed one."""

    key: str
    version: int
    value: bytes
    deleted: bool = False


@dataclass(frozen=True)
class RowsRead:
    """Rows of one response; ``version`` is the store's newest version at that moment.

    Versions belong to the store's ``era``.
    """

    rows: tuple[StoredRow, ...]
    version: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Point in the store's history at which the rows were valid."""
        return StorePosition(self.era, self.version)


class RowSource(Protocol):
    """Reads rows and follows their changes."""

    async def read_all(self, table: RowTable) -> RowsRead:
        """Return all rows of a table; raises StoreUnavailable."""

    async def wait_for_changes(
        self, table: RowTable, after: int, wait_s: float
    ) -> RowsRead:
        """Return rows changed after a version; empty if none change within ``wait_s``.

        The response states the era of its versions. Raises StoreUnavailable, or
        HistoryUnavailable if the store doesn't know that version or no longer has its
        history.
        """

    async def put(self, table: RowTable, key: str, value: bytes) -> None:
        """Write a row unconditionally; raises StoreUnavailable."""
