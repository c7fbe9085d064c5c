"""Update of one table, sent by an entry that watches the store to the others."""

from dataclasses import dataclass

from .rows import RowTable, StoredRow


@dataclass(frozen=True)
class TableUpdate:
    """Rows that changed, or none if nothing changed.

    ``previous_changed_version`` is the version of the newest change before these rows:
    a receiver that has the table at that version is complete up to ``version`` after
    applying them. The store confirmed this ``confirmed_age_s`` ago. It recovered from
    an outage ``recovery_age_s`` ago, None if it had no recent outage. All versions
    belong to the store's ``era``.
    """

    table: RowTable
    previous_changed_version: int
    version: int
    rows: tuple[StoredRow, ...] = ()
    confirmed_age_s: float = 0.0
    recovery_age_s: float | None = None
    era: int = 0
