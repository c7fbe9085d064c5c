"""Closures: removal of an upstream's models from routing at every entry.

A closure is a change of the head row. It is in force once every other entry has
confirmed its generation, or once the staleness bound has passed: an entry that has not
confirmed the generation by then admits no requests.
"""

from dataclasses import dataclass, field

from ..errors import WriteConflict
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.lease import Lease
from ..process.membership import Membership
from ..process.store import TableStore, Transaction
from .head import Head
from .publication import read_head

WRITE_ATTEMPTS = 5


@dataclass
class ObservedClosure:
    """Closure, with the times at which it was first observed and came into force."""

    models: tuple[str, ...]
    generation: int
    observed_at_s: float
    in_force_since_s: float | None = None


@dataclass
class Closures:
    """Writes closures for one group's lease holder and tracks when they take effect."""

    table: TableStore
    lease: Lease
    membership: Membership
    log: EventLog
    _observed: dict[str, ObservedClosure] = field(default_factory=dict)

    async def set(self, upstream: str, models: tuple[str, ...], revision: int) -> None:
        """Replace the closed models of an upstream.

        ``revision`` is the manifest revision that the change was planned with. Raises
        LeaseLost, or a PlatformError: WriteConflict if the head has another revision.
        """
        for _ in range(WRITE_ATTEMPTS):
            head = await read_head(self.table)
            if head.revision != revision:
                raise WriteConflict(
                    f"head has revision {head.revision}; planned for {revision}"
                )
            changed = head.with_closure(upstream, models)
            checks = (self.lease.epoch_check(),)
            write = Transaction(changed.as_transaction().puts, checks)
            try:
                await self.table.write(write)
            except WriteConflict:
                continue
            self._log_change(upstream, models, changed.generation)
            return
        raise WriteConflict("head row changed during every write attempt")

    def _log_change(
        self, upstream: str, models: tuple[str, ...], generation: int
    ) -> None:
        event = Event.MODEL_CLOSED if models else Event.MODEL_REOPENED
        self.log.write(
            event, upstream=upstream, closed=list(models), generation=generation
        )

    def observe(self, head: Head) -> None:
        """Record the closures of the head that is in force at this entry."""
        for upstream, models in head.closures.items():
            observed = self._observed.get(upstream)
            if observed is None or observed.models != models:
                self._observed[upstream] = ObservedClosure(
                    models, head.generation, now_s()
                )
        for upstream in self._observed.keys() - head.closures.keys():
            del self._observed[upstream]

    def in_force_since_s(self, upstream: str) -> float | None:
        """Return since when no entry routes requests of closed models to an upstream.

        None while the closure is not in force at every entry.
        """
        observed = self._observed.get(upstream)
        if observed is None:
            return None
        if observed.in_force_since_s is None:
            lagging = self.membership.lagging_entry_ids(
                observed.generation, observed.observed_at_s
            )
            observed.in_force_since_s = None if lagging else now_s()
        return observed.in_force_since_s
