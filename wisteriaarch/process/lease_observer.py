"""Decides when a lease may be taken and when its new holder may issue orders.

Decisions rest on observed changes of the lease record. They guard against a former
holder that was killed, paused or partitioned, or whose record was lost when the store
was restored from an older snapshot: it may issue orders until its last term expires.
"""

from .lease_record import NO_HOLDER, LeaseRecord
from .settings_models import LeaseSettings
from .store_era import StoreEra


class LeaseObserver:
    """Lease record as observed by one contender, and since when it is unchanged.

    All times are seconds on the contender's clock. ``unchanged_since_s`` is when the
    current record was first observed.
    """

    def __init__(self, settings: LeaseSettings, era: StoreEra):
        self._settings = settings
        self._era = era
        self._record = LeaseRecord()
        self.unchanged_since_s = 0.0
        self._has_observed = False

    @property
    def holder(self) -> str:
        """Holder in the current record, whose term may have ended."""
        return self._record.holder

    def observe(self, record: LeaseRecord, now: float) -> None:
        """Observe the current record."""
        if not self._has_observed or record != self._record:
            self._has_observed = True
            self._record = record
            self.unchanged_since_s = now

    def may_acquire(self, rank: int, era: int, now: float) -> bool:
        """Whether the holder's term has expired for the contender with this rank.

        ``era`` is the era of the store that returned the record.
        """
        settings = self._settings
        wait_s = min(rank * settings.renew_every_s, settings.term_s)
        if not self._record.was_written_in(era):
            wait_s += settings.term_s + settings.drift_margin_s
            return now - self._era.observed_at_s >= wait_s
        if self._record.holder != NO_HOLDER:
            wait_s += self._record.term_s + settings.drift_margin_s
        return now - self.unchanged_since_s >= wait_s

    def order_delay_s(self, own_id: str, era: int, now: float) -> float:
        """Return how long after a takeover no order may be issued.

        The former holder's term began before its last renewal was observed here, so it
        ends at most ``term_s`` of its record after that, and with it the holder's
        orders; a further term must pass before the next holder's first order. A holder
        that released the lease did so a term after its last order. A holder whose
        record was lost in a restored store began its last term before the restoration.
        """
        term_s = self._settings.term_s
        if not self._record.was_written_in(era):
            return max(0.0, 2 * term_s - (now - self._era.observed_at_s))
        if self._record.holder in (NO_HOLDER, own_id):
            return 0.0
        observed_s = now - self.unchanged_since_s
        return max(0.0, self._record.term_s + term_s - observed_s)

    def former_ended_at_s(self, era: int) -> float:
        """Return when the last holder's term has ended at the latest.

        After a release a full term counts, as the holder may have renewed just before.
        """
        if not self._record.was_written_in(era):
            return self._era.observed_at_s + self._settings.term_s
        term_s = self._record.term_s or self._settings.term_s
        return self.unchanged_since_s + term_s
