"""What the duties of one entry share."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..event_log import EventLog
from .lease_record import Contender
from .settings_models import LeaseSettings
from .store import RowStore
from .store_era import StoreEra


def always() -> bool:
    """Return True: a duty that is held all the time."""
    return True


@dataclass(frozen=True)
class DutyContext:
    """What the duties of one entry share.

    ``candidates`` returns the ids of the entries that may hold a duty. ``holder`` is
    the name that calls carry.
    """

    holder: str
    contender: Contender
    table: RowStore
    lease: LeaseSettings
    candidates: Callable[[], Iterable[str]]
    era: StoreEra
    log: EventLog
