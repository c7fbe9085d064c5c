"""Which entries live, as far as this one knows: a list that all entries keep alike.

Every entry speaks for itself: its record carries its incarnation, greater after each
start, and a revision, raised whenever it says something new of itself. Others may only
say that it is dead. Of two records of an entry the later one counts, so that it doesn't
matter in which order and how often records arrive; an entry that is taken for dead
raises its revision and is alive again.
"""

import random
from dataclasses import dataclass, replace
from enum import IntEnum

from .clock import now_s
from .rows import StorePosition

FORGET_DEAD_AFTER_S = 60.0
TELL_FOR_S = 10.0


class MemberState(IntEnum):
    """What is believed of an entry; a LEAVING one serves those who still come."""

    ALIVE = 0
    LEAVING = 1
    DEAD = 2


@dataclass(frozen=True)
class MemberRecord:
    """Record of one entry.

    ``cores`` is its share of a processor, ``generation`` the position of the newest
    change of the store in force there, ``configuration`` the version of its
    configuration, 0 before the first; a newer one of these alone is no later record.
    """

    entry_id: str
    incarnation: int
    revision: int = 0
    state: MemberState = MemberState.ALIVE
    ready: bool = False
    zone: str = ""
    cores: float = 1.0
    generation: StorePosition = StorePosition()
    configuration: int = 0

    @property
    def order(self) -> tuple[int, int, bool]:
        """Key by which the later one of two records of an entry is found."""
        return (self.incarnation, self.revision, self.state is MemberState.DEAD)

    @property
    def takes_callers(self) -> bool:
        """Whether callers may be sent there."""
        return self.ready and self.state is MemberState.ALIVE


@dataclass
class _Known:
    record: MemberRecord
    changed_at_s: float
    heard_at_s: float


class MemberList:
    """Records of the other entries, and this entry's own.

    ``version`` counts changes of who lives, so that what follows from it can be kept.
    """

    def __init__(self, own: MemberRecord):
        self.own = own
        self.version = 0
        self._known: dict[str, _Known] = {}

    def change_own(self, *, ready: bool, leaving: bool) -> bool:
        """Take in this entry's own state; True where it has changed."""
        state = MemberState.LEAVING if leaving else MemberState.ALIVE
        if (self.own.ready, self.own.state) == (ready, state):
            return False
        self.own = replace(
            self.own, ready=ready, state=state, revision=self.own.revision + 1
        )
        self.version += 1
        return True

    def note_generation(self, generation: StorePosition, configuration: int) -> None:
        """Take in which change of the store and which configuration are in force."""
        if (generation, configuration) != (self.own.generation, self.own.configuration):
            self.own = replace(
                self.own, generation=generation, configuration=configuration
            )

    def take(self, record: MemberRecord) -> bool:
        """Take in a record; True where it says something new.

        A record that calls this entry dead, or is from an earlier start with a greater
        incarnation, makes its own record the later one again.
        """
        if record.entry_id == self.own.entry_id:
            return self._supersede(record)
        known = self._known.get(record.entry_id)
        if known is not None and record.order <= known.record.order:
            if record.order == known.record.order:
                known.record = replace(
                    known.record,
                    generation=max(record.generation, known.record.generation),
                    configuration=max(record.configuration, known.record.configuration),
                )
            return False
        at_s = now_s()
        heard_at_s = known.heard_at_s if known else at_s
        self._known[record.entry_id] = _Known(record, at_s, heard_at_s)
        self.version += 1
        return True

    def _supersede(self, record: MemberRecord) -> bool:
        if record.order <= self.own.order:
            return False
        if record.incarnation > self.own.incarnation:
            self.own = replace(self.own, incarnation=record.incarnation + 1, revision=0)
        else:
            self.own = replace(self.own, revision=record.revision + 1)
        return True

    def note_heard(self, entry_id: str) -> None:
        """Take in that something came from an entry just now."""
        known = self._known.get(entry_id)
        if known is not None:
            known.heard_at_s = now_s()

    def heard_age_s(self, entry_id: str) -> float:
        """Return how long ago something came from an entry, or it was made known."""
        return now_s() - self._known[entry_id].heard_at_s

    def get(self, entry_id: str) -> MemberRecord | None:
        """Return the record of another entry."""
        known = self._known.get(entry_id)
        return known.record if known else None

    def mark_dead(self, entry_id: str) -> MemberRecord | None:
        """Take an entry for dead; returns its record where that is new."""
        record = self.get(entry_id)
        if record is None or record.state is MemberState.DEAD:
            return None
        dead = replace(record, state=MemberState.DEAD)
        self.take(dead)
        return dead

    def others(self) -> list[MemberRecord]:
        """Return the records of the other entries that aren't dead."""
        return [
            item.record
            for item in self._known.values()
            if item.record.state is not MemberState.DEAD
        ]

    def all(self) -> list[MemberRecord]:
        """Return all records, this entry's own first; the long dead are forgotten."""
        before_s = now_s() - FORGET_DEAD_AFTER_S
        for name, item in list(self._known.items()):
            is_dead = item.record.state is MemberState.DEAD
            if is_dead and item.changed_at_s < before_s:
                del self._known[name]
        return [self.own, *(item.record for item in self._known.values())]

    def living(self) -> list[MemberRecord]:
        """Return this entry's record and those of the others that aren't dead."""
        return [self.own, *self.others()]

    def news(self, count: int) -> list[MemberRecord]:
        """Return up to ``count`` records that changed of late.

        Half of them are the newest, which few know yet, the others drawn at random.
        """
        since_s = now_s() - TELL_FOR_S
        changed = [
            item for item in self._known.values() if item.changed_at_s >= since_s
        ]
        changed.sort(key=lambda item: item.changed_at_s, reverse=True)
        newest, rest = changed[: count // 2], changed[count // 2 :]
        drawn = random.sample(rest, min(count - len(newest), len(rest)))
        return [item.record for item in newest + drawn]

    def highest_generation(self) -> StorePosition:
        """Return the newest change in force at another entry that lives."""
        return max((item.generation for item in self.others()), default=StorePosition())

    def highest_configuration(self) -> int:
        """Return the newest configuration in force at another entry that lives."""
        return max((item.configuration for item in self.others()), default=0)
