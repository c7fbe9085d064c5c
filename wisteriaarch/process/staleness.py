"""Check whether this entry may serve on its manifest, by a staleness bound."""

from enum import StrEnum
from typing import Protocol

import curio

from ..event_log import EventLog
from ..events import Event
from .clock import now_s
from .member import NEVER_S
from .membership import Membership


class ServingBasis(StrEnum):
    """Basis of a decision on new requests."""

    TABLE = "table"
    PEER = "peer"
    OUTAGE = "outage"
    NONE = "none"


LOG_INTERVAL_S = 0.25
_BASIS_EVENTS = {
    ServingBasis.NONE: Event.MANIFEST_UNCONFIRMED,
    ServingBasis.OUTAGE: Event.TABLE_UNREACHABLE,
}


class GenerationSource(Protocol):
    """Generation in force, and when the table last confirmed it."""

    generation: int
    accepted_generation: int
    confirmed_at_s: float | None


class StalenessCheck:
    """Checks the manifest's staleness at each request; ages are never cached.

    A confirmation is a time at which the table was known to hold no generation above
    the one in force here. It comes from the table or from a peer. If a majority of the
    entries is visible and none has reached the table within the bound, then as far
    as they can tell no newer generation can have been accepted since, and the entry
    keeps serving (OUTAGE).
    """

    def __init__(
        self, bound_s: float, source: GenerationSource, membership: Membership
    ):
        self._bound_s = bound_s
        self._source = source
        self._membership = membership
        self._peer_confirmed_at_s = NEVER_S
        membership.on_confirmation = self.record_confirmation

    def record_confirmation(self, generation: int, at_s: float) -> None:
        """Record that the table held no more than ``generation`` at ``at_s``."""
        if generation <= self._source.generation:
            self._peer_confirmed_at_s = max(self._peer_confirmed_at_s, at_s)

    def basis(self) -> ServingBasis:
        """Return the basis for accepting new requests; NONE refuses them."""
        if self._source.generation == 0:
            return ServingBasis.NONE
        since_s = now_s() - self._bound_s
        if (self._source.confirmed_at_s or NEVER_S) >= since_s:
            return ServingBasis.TABLE
        if self._update_peer_confirmation() >= since_s:
            return ServingBasis.PEER
        return (
            ServingBasis.OUTAGE if self._majority_sees_outage() else ServingBasis.NONE
        )

    async def log_changes(self, log: EventLog) -> None:
        """Log changes of the basis until cancelled."""
        before = None
        while True:
            basis = self.basis()
            if before is None and basis is not ServingBasis.NONE:
                log.write(Event.ENTRY_READY, basis=basis.value)
            elif before not in (None, basis):
                event = _BASIS_EVENTS.get(basis, Event.MANIFEST_CONFIRMED)
                log.write(event, basis=basis.value, age_s=self.confirmed_age_s())
            if before is not None or basis is not ServingBasis.NONE:
                before = basis
            await curio.sleep(LOG_INTERVAL_S)

    def confirmed_age_s(self) -> float | None:
        """Return the age of the last confirmation in seconds; None if never."""
        at_s = max(
            self._source.confirmed_at_s or NEVER_S, self._update_peer_confirmation()
        )
        return None if at_s == NEVER_S else now_s() - at_s

    def _update_peer_confirmation(self) -> float:
        """Update and return the time of the last confirmation by a peer."""
        member_at_s = self._membership.confirmed_at_s(self._source.generation)
        self._peer_confirmed_at_s = max(self._peer_confirmed_at_s, member_at_s)
        return self._peer_confirmed_at_s

    def _majority_sees_outage(self) -> bool:
        accepted = max(
            self._source.accepted_generation, self._membership.highest_generation()
        )
        return (
            self.confirmed_age_s() is not None
            and accepted <= self._source.generation
            and not self._membership.has_table_contact(self._bound_s)
            and self._membership.sees_majority(self._bound_s)
        )
