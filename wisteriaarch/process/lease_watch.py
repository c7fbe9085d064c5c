"""When a lease may be taken, and when orders may follow: decisions on what was seen.

Load pattern: a holder is killed, paused or cut off, or a store that came back from an
older copy has forgotten it. It may give orders until the end of its last term.
"""

from .lease_record import NO_HOLDER, LeaseRecord
from .settings_models import LeaseSettings
from .store_era import StoreEra


class LeaseWatch:
    """What one contender has seen of a lease's record, and since when.

    All times are seconds on the contender's clock.
    """

    def __init__(self, settings: LeaseSettings, era: StoreEra):
        self._settings = settings
        self._era = era
        self._record = LeaseRecord()
        self._since_s = 0.0
        self._has_seen = False

    def see(self, record: LeaseRecord, now: float) -> None:
        """Take in the record as it is now."""
        if not self._has_seen or record != self._record:
            self._has_seen = True
            self._record = record
            self._since_s = now

    def may_take(self, rank: int, era: int, now: float) -> bool:
        """Whether the holder's time is over for the contender of a rank.

        ``era`` is that of the store which has the record.
        """
        settings = self._settings
        wait_s = min(rank * settings.renew_every_s, settings.term_s)
        if not self._record.is_of(era):
            wait_s += settings.term_s + settings.drift_margin_s
            return now - self._era.since_s >= wait_s
        if self._record.holder != NO_HOLDER:
            wait_s += self._record.term_s + settings.drift_margin_s
        return now - self._since_s >= wait_s

    def quiet_s(self, own_id: str, era: int, now: float) -> float:
        """Return how long no order may be given after taking the lease over.

        The holder gave none after the end of its term, which began before its last
        renewal was seen here. One that released the lease did so a term after its last
        order. A holder that the store has forgotten began its last term before the
        return.
        """
        term_s = self._settings.term_s
        if not self._record.is_of(era):
            return max(0.0, 2 * term_s - (now - self._era.since_s))
        if self._record.holder in (NO_HOLDER, own_id):
            return 0.0
        watched_s = now - self._since_s
        return max(0.0, self._record.term_s + term_s - watched_s)
