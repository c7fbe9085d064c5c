"""Gossip-replicated list of entries and their states.

Every entry publishes its own record, which carries an incarnation, greater after each
start, and a revision, incremented with each change. Other entries may only mark it
dead. Of two records of an entry the later one wins, so that records may arrive in any
order and more than once. An entry that was marked dead increments its revision, which
makes it alive again.
"""

import random
from dataclasses import dataclass, replace
from enum import IntEnum

from .clock import now_s
from .rows import StorePosition

DEAD_RETENTION_S = 60.0
RECENT_CHANGE_WINDOW_S = 10.0


class MemberState(IntEnum):
    """State of an entry; a LEAVING one still serves the requests that reach it."""

    ALIVE = 0
    LEAVING = 1
    DEAD = 2


@dataclass(frozen=True)
class MemberRecord:
    """Record of one entry.

    ``cores`` is its CPU share, ``generation`` the store position of the newest change
    in force there, and ``configuration`` the version of its configuration, 0 before the
    first one. ``precedence`` ignores both; merging records of equal precedence keeps
    the maximum of each.
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
    def precedence(self) -> tuple[int, int, bool]:
        """Sort key; of two records of an entry, the greater one is the later."""
        return (self.incarnation, self.revision, self.state is MemberState.DEAD)

    @property
    def accepts_callers(self) -> bool:
        """Whether callers may be sent to the entry."""
        return self.ready and self.state is MemberState.ALIVE


@dataclass
class _TrackedMember:
    record: MemberRecord
    changed_at_s: float
    last_contact_at_s: float


class MemberList:
    """Records of the other entries and of this entry.

    ``version`` is incremented with each change of membership, so that derived data can
    be cached.
    """

    def __init__(self, own: MemberRecord):
        self.own_record = own
        self.version = 0
        self._tracked: dict[str, _TrackedMember] = {}

    def update_own_state(self, *, ready: bool, leaving: bool) -> bool:
        """Update this entry's own state; returns True if it changed."""
        state = MemberState.LEAVING if leaving else MemberState.ALIVE
        if (self.own_record.ready, self.own_record.state) == (ready, state):
            return False
        self.own_record = replace(
            self.own_record,
            ready=ready,
            state=state,
            revision=self.own_record.revision + 1,
        )
        self.version += 1
        return True

    def update_own_positions(
        self, generation: StorePosition, configuration: int
    ) -> None:
        """Set the store position and configuration version of the own record."""
        if (generation, configuration) != (
            self.own_record.generation,
            self.own_record.configuration,
        ):
            self.own_record = replace(
                self.own_record, generation=generation, configuration=configuration
            )

    def merge(self, record: MemberRecord) -> bool:
        """Merge a record; returns True if it is later than the known one.

        A record that marks this entry dead, or a record of an earlier start of this
        entry with a greater incarnation, is refuted by raising the own revision or
        incarnation.
        """
        if record.entry_id == self.own_record.entry_id:
            return self._refute(record)
        tracked = self._tracked.get(record.entry_id)
        if tracked is not None and record.precedence <= tracked.record.precedence:
            if record.precedence == tracked.record.precedence:
                tracked.record = replace(
                    tracked.record,
                    generation=max(record.generation, tracked.record.generation),
                    configuration=max(
                        record.configuration, tracked.record.configuration
                    ),
                )
            return False
        at_s = now_s()
        last_contact_at_s = tracked.last_contact_at_s if tracked else at_s
        self._tracked[record.entry_id] = _TrackedMember(record, at_s, last_contact_at_s)
        self.version += 1
        return True

    def _refute(self, record: MemberRecord) -> bool:
        if record.precedence <= self.own_record.precedence:
            return False
        if record.incarnation > self.own_record.incarnation:
            self.own_record = replace(
                self.own_record, incarnation=record.incarnation + 1, revision=0
            )
        else:
            self.own_record = replace(self.own_record, revision=record.revision + 1)
        return True

    def record_contact(self, entry_id: str) -> None:
        """Record that a message was just received from an entry."""
        tracked = self._tracked.get(entry_id)
        if tracked is not None:
            tracked.last_contact_at_s = now_s()

    def last_contact_age_s(self, entry_id: str) -> float:
        """Return the time since the last message from an entry, or since its addition.

        The addition counts only until the first message.
        """
        return now_s() - self._tracked[entry_id].last_contact_at_s

    def get(self, entry_id: str) -> MemberRecord | None:
        """Return the record of another entry."""
        tracked = self._tracked.get(entry_id)
        return tracked.record if tracked else None

    def mark_dead(self, entry_id: str) -> MemberRecord | None:
        """Mark an entry dead; returns its record, or None if nothing changed."""
        record = self.get(entry_id)
        if record is None or record.state is MemberState.DEAD:
            return None
        dead = replace(record, state=MemberState.DEAD)
        self.merge(dead)
        return dead

    def living_others(self) -> list[MemberRecord]:
        """Return the records of the other entries that aren't dead."""
        return [
            item.record
            for item in self._tracked.values()
            if item.record.state is not MemberState.DEAD
        ]

    def all_records(self) -> list[MemberRecord]:
        """Return all records, this entry's own first.

        Entries dead for longer than the retention time are removed first.
        """
        before_s = now_s() - DEAD_RETENTION_S
        for name, item in list(self._tracked.items()):
            is_dead = item.record.state is MemberState.DEAD
            if is_dead and item.changed_at_s < before_s:
                del self._tracked[name]
        return [self.own_record, *(item.record for item in self._tracked.values())]

    def living_records(self) -> list[MemberRecord]:
        """Return this entry's record and those of the others that aren't dead."""
        return [self.own_record, *self.living_others()]

    def recent_changes(self, count: int) -> list[MemberRecord]:
        """Return up to ``count`` records that changed recently.

        Half of them are the most recent changes, which few entries know yet; the others
        are sampled at random.
        """
        since_s = now_s() - RECENT_CHANGE_WINDOW_S
        changed = [
            item for item in self._tracked.values() if item.changed_at_s >= since_s
        ]
        changed.sort(key=lambda item: item.changed_at_s, reverse=True)
        newest, rest = changed[: count // 2], changed[count // 2 :]
        sampled = random.sample(rest, min(count - len(newest), len(rest)))
        return [item.record for item in newest + sampled]

    def highest_generation(self) -> StorePosition:
        """Return the newest store position in force at any other living entry."""
        return max(
            (item.generation for item in self.living_others()), default=StorePosition()
        )

    def highest_configuration(self) -> int:
        """Return the newest configuration version at any other living entry."""
        return max((item.configuration for item in self.living_others()), default=0)
