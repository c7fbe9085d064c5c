"""Entries that this entry knows of, and what each last said of itself."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Self

from .clock import now_s
from .digest import EntryRecord, PeerDigest
from .member import NEVER_S, Member
from .peer_settings import PeerSettings

ALIVE_HEARTBEATS = 6
SPREAD_HEARTBEATS = 4
SPREAD_HEARTBEATS_BEYOND_NEIGHBOURS = 12
FORGET_AFTER_S = 60.0
DRIFT_MARGIN_S = 0.25
GENERATIONS_ASKED_KEPT = 64

ConfirmationObserver = Callable[[int, float], None]


@dataclass
class Membership:
    """Last state of each other entry.

    ``listed`` returns the entries of the instance list. ``own`` returns this entry's
    record.
    """

    own_id: str
    listed: Callable[[], Iterable[str]]
    own: Callable[[], EntryRecord]
    bound_s: float
    heartbeat_every_s: float
    peers_max: int
    on_confirmation: ConfirmationObserver | None = None
    members: dict[str, Member] = field(default_factory=dict)
    _asked_at_s: OrderedDict[int, float] = field(default_factory=OrderedDict)

    @classmethod
    def from_config(
        cls,
        settings: PeerSettings,
        listed: Callable[[], Iterable[str]],
        own: Callable[[], EntryRecord],
    ) -> Self:
        """Return the membership of an entry with ``settings``."""
        return cls(
            settings.entry_id,
            listed,
            own,
            settings.freshness_bound_s,
            settings.heartbeat_every_s,
            settings.peers_max,
        )

    def note(self, digest: PeerDigest, written_after_s: float | None) -> None:
        """Take in a heartbeat.

        ``written_after_s`` is a time on this entry's clock before which the digest was
        certainly not written; None where there is none, and then nothing is dated.
        """
        self._note_record(digest.entry, written_after_s)
        for record in digest.others:
            self._note_record(record, written_after_s)
        self._forget_lost()

    def _note_record(self, record: EntryRecord, written_after_s: float | None) -> None:
        if record.entry_id == self.own_id:
            return
        heard_at_s = NEVER_S
        if written_after_s is not None:
            heard_at_s = written_after_s - record.heard_age_s
        member = self._member_for(record, heard_at_s)
        if member is None:
            return
        member.note(record, heard_at_s)
        if written_after_s is not None and record.confirmed_age_s is not None:
            self._note_confirmation(member, record, written_after_s)

    def _member_for(self, record: EntryRecord, heard_at_s: float) -> Member | None:
        member = self.members.get(record.entry_id)
        if member is not None and member.incarnation == record.incarnation:
            return member
        if member is not None and heard_at_s <= member.heard_at_s:
            return None
        if member is None and self._is_long_lost(heard_at_s):
            return None
        member = Member(record.entry_id, record.incarnation, changed_at_s=now_s())
        self.members[record.entry_id] = member
        return member

    @staticmethod
    def _is_long_lost(heard_at_s: float) -> bool:
        return NEVER_S < heard_at_s < now_s() - FORGET_AFTER_S

    def _note_confirmation(
        self, member: Member, record: EntryRecord, written_after_s: float
    ) -> None:
        confirmed_at_s = written_after_s - record.confirmed_age_s
        member.confirmed_at_s = max(member.confirmed_at_s, confirmed_at_s)
        if self.on_confirmation is not None:
            self.on_confirmation(record.generation, confirmed_at_s)

    def _forget_lost(self) -> None:
        listed = set(self.listed())
        for name, member in list(self.members.items()):
            if name not in listed and not member.heard_within(FORGET_AFTER_S):
                del self.members[name]

    def highest_generation(self) -> int:
        """Return the highest generation that another entry has in force."""
        return max((member.generation for member in self.members.values()), default=0)

    def confirmed_at_s(self, generation: int) -> float:
        """Return when another entry last saw the table at ``generation`` or below."""
        return max(
            (
                member.confirmed_at_s
                for member in self.members.values()
                if member.generation <= generation
            ),
            default=NEVER_S,
        )

    def has_table_contact(self, age_s: float) -> bool:
        """Whether another entry reached the table within the last ``age_s``."""
        since_s = now_s() - age_s
        return any(item.confirmed_at_s >= since_s for item in self.members.values())

    def known(self) -> set[str]:
        """Return the other entries that are listed or heard, and not leaving."""
        names = set(self.listed())
        for name, member in self.members.items():
            if member.heard_within(self.bound_s):
                names.add(name)
        leaving = {name for name, item in self.members.items() if item.leaving}
        return names - leaving - {self.own_id}

    def hears_majority(self, age_s: float) -> bool:
        """Whether more than half of the known entries, itself included, were heard."""
        heard, known = self._count_heard(age_s)
        return 2 * heard > known

    def hears_half(self, age_s: float) -> bool:
        """Whether half of the known entries, itself included, were heard.

        No majority can then stand among the others.
        """
        heard, known = self._count_heard(age_s)
        return 2 * heard >= known

    def _count_heard(self, age_s: float) -> tuple[int, int]:
        known = self.known()
        heard = sum(
            name in self.members and self.members[name].heard_within(age_s)
            for name in known
        )
        return heard + 1, len(known) + 1

    def is_alive(self, entry_id: str) -> bool:
        """Whether another entry was heard within a few heartbeats and isn't leaving."""
        member = self.members.get(entry_id)
        if member is None or member.leaving:
            return False
        return member.heard_within(self.alive_s)

    @property
    def alive_s(self) -> float:
        """Silence after which an entry counts as gone.

        A few heartbeats where all entries are neighbours; else state takes longer to
        spread and the freshness bound is used.
        """
        heartbeats_s = ALIVE_HEARTBEATS * self.heartbeat_every_s
        if self._all_are_neighbours():
            return heartbeats_s
        return max(heartbeats_s, self.bound_s)

    def spread_s(self) -> float:
        """Return how long a change of this entry takes to reach all others."""
        if self._all_are_neighbours():
            return SPREAD_HEARTBEATS * self.heartbeat_every_s
        return SPREAD_HEARTBEATS_BEYOND_NEIGHBOURS * self.heartbeat_every_s

    def _all_are_neighbours(self) -> bool:
        return len(self.known()) <= self.peers_max

    def is_ready(self, entry_id: str) -> bool:
        """Whether another entry is alive and takes new requests."""
        return self.is_alive(entry_id) and self.members[entry_id].ready

    def lagging(self, generation: int, since_s: float | None = None) -> list[str]:
        """Return the entries that may still act on less than ``generation``.

        ``since_s`` is when the generation was written; without it, the time of the
        first question about this generation. An entry that stays silent stops taking
        requests once the freshness bound has passed since then, unless it hears a
        majority; it is counted out only where there can be none without this entry.
        """
        if since_s is None:
            since_s = self._first_asked_at_s(generation)
        silent_stopped = (
            now_s() - since_s > self.bound_s + DRIFT_MARGIN_S
            and self.hears_half(self.bound_s)
        )
        names = [
            name
            for name in {*self.listed(), *self.members} - {self.own_id}
            if self._is_lagging(name, generation, silent_stopped)
        ]
        if self.own().generation < generation:
            names.append(self.own_id)
        return sorted(names)

    def _first_asked_at_s(self, generation: int) -> float:
        asked_at_s = self._asked_at_s.setdefault(generation, now_s())
        while len(self._asked_at_s) > GENERATIONS_ASKED_KEPT:
            self._asked_at_s.popitem(last=False)
        return asked_at_s

    def _is_lagging(self, name: str, generation: int, silent_stopped: bool) -> bool:
        member = self.members.get(name)
        if member is not None and member.generation >= generation:
            return False
        heard = member is not None and member.heard_within(
            self.bound_s + DRIFT_MARGIN_S
        )
        return heard or not silent_stopped
