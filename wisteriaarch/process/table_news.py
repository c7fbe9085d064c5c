"""Update of one table, sent by an entry that watches the store to the others."""

from dataclasses import dataclass

from .rows import RowTable, StoredRow


@dataclass(frozen=True)
class TableNews:
    """Rows that changed, or none if nothing changed.

    ``changed_before`` is the version of the newest change before these rows: a receiver
    that has the table at that version is complete up to ``version`` after applying
    them. The store confirmed this ``confirmed_age_s`` ago. It recovered from an outage
    ``returned_age_s`` ago, None if it had no recent outage. All versions belong to the
    store's ``era``.
    """

    table: RowTable
    changed_before: int
    version: int
    rows: tuple[StoredRow, ...] = ()
    confirmed_age_s: float = 0.0
    returned_age_s: float | None = None
    era: int = 0
