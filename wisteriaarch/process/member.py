"""State of another entry, as last received."""

from dataclasses import dataclass

from .clock import now_s
from .digest import EntryRecord

NEVER_S = float("-inf")


@dataclass
class Member:
    """Another entry; times are on this entry's clock and are lower bounds.

    ``last_seen_at_s`` is a time at which the entry was known to be alive.
    ``confirmed_at_s`` is a time at which the table was known to hold no generation
    above ``generation``.
    """

    entry_id: str
    incarnation: int
    generation: int = 0
    last_seen_at_s: float = NEVER_S
    confirmed_at_s: float = NEVER_S
    leaving: bool = False
    ready: bool = False
    changed_at_s: float = 0.0

    def seen_within(self, age_s: float) -> bool:
        """Whether the entry was alive within the last ``age_s`` seconds."""
        return now_s() - self.last_seen_at_s <= age_s

    def last_seen_age_s(self) -> float | None:
        """Return the time since the entry was last seen alive; None if never."""
        return _age_or_none_s(self.last_seen_at_s)

    def to_record(self) -> EntryRecord:
        """Return the record of this entry for a heartbeat sent now."""
        return EntryRecord(
            self.entry_id,
            self.incarnation,
            self.generation,
            _age_or_none_s(self.confirmed_at_s),
            now_s() - self.last_seen_at_s,
            self.leaving,
            self.ready,
        )

    def apply(self, record: EntryRecord, last_seen_at_s: float) -> None:
        """Apply a record of this entry that was valid at ``last_seen_at_s``."""
        before = (self.generation, self.leaving)
        self.generation = max(self.generation, record.generation)
        self.leaving = self.leaving or record.leaving
        if last_seen_at_s >= self.last_seen_at_s:
            self.last_seen_at_s = last_seen_at_s
            self.ready = record.ready
        if before != (self.generation, self.leaving):
            self.changed_at_s = now_s()


def _age_or_none_s(at_s: float) -> float | None:
    return None if at_s == NEVER_S else now_s() - at_s
