"""Changes of one of the store's tables, as entries that watch it tell the others."""

from dataclasses import dataclass

from .rows import RowTable, StoredRow


@dataclass(frozen=True)
class TableNews:
    """Rows that changed, or none where nothing did.

    ``changed_before`` is the version of the newest change before these rows: who knows
    the table up to it knows all up to ``version`` after taking them in. The store
    confirmed this ``confirmed_age_s`` ago; it had been away and returned
    ``returned_age_s`` ago, None where it was not away of late. All versions are those
    of the store's ``era``.
    """

    table: RowTable
    changed_before: int
    version: int
    rows: tuple[StoredRow, ...] = ()
    confirmed_age_s: float = 0.0
    returned_age_s: float | None = None
    era: int = 0
