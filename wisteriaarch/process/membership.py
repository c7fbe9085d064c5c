"""Entries known from heartbeats, with the last state received of each."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Self

from .clock import now_s
from .digest import EntryRecord, PeerDigest
from .member import NEVER_S, Member
from .peer_settings import PeerSettings

FAILURE_TIMEOUT_HEARTBEATS = 6
PROPAGATION_HEARTBEATS = 4
MULTI_HOP_PROPAGATION_HEARTBEATS = 12
FORGET_AFTER_S = 60.0
DRIFT_MARGIN_S = 0.25
QUERIED_GENERATIONS_MAX = 64

ConfirmationObserver = Callable[[int, float], None]


@dataclass
class Membership:
    """Last known state of each other entry.

    ``listed_ids`` returns the ids of the entries in the instance list. ``own_record``
    returns this entry's record.
    """

    own_id: str
    listed_ids: Callable[[], Iterable[str]]
    own_record: Callable[[], EntryRecord]
    freshness_bound_s: float
    heartbeat_every_s: float
    peers_max: int
    on_confirmation: ConfirmationObserver | None = None
    members: dict[str, Member] = field(default_factory=dict)
    _queried_at_s: OrderedDict[int, float] = field(default_factory=OrderedDict)

    @classmethod
    def from_config(
        cls,
        settings: PeerSettings,
        listed_ids: Callable[[], Iterable[str]],
        own_record: Callable[[], EntryRecord],
    ) -> Self:
        """Return the membership of an entry with ``settings``."""
        return cls(
            settings.entry_id,
            listed_ids,
            own_record,
            settings.freshness_bound_s,
            settings.heartbeat_every_s,
            settings.peers_max,
        )

    def apply_digest(self, digest: PeerDigest, written_after_s: float | None) -> None:
        """Apply a heartbeat.

        ``written_after_s`` is a time on this entry's clock before which the digest was
        certainly not written. If it is None, no times are derived from the digest.
        """
        self._apply_record(digest.entry, written_after_s)
        for record in digest.others:
            self._apply_record(record, written_after_s)
        self._remove_expired()

    def _apply_record(self, record: EntryRecord, written_after_s: float | None) -> None:
        if record.entry_id == self.own_id:
            return
        heard_at_s = NEVER_S
        if written_after_s is not None:
            heard_at_s = written_after_s - record.heard_age_s
        member = self._find_or_add_member(record, heard_at_s)
        if member is None:
            return
        member.apply(record, heard_at_s)
        if written_after_s is not None and record.confirmed_age_s is not None:
            self._apply_confirmation(member, record, written_after_s)

    def _find_or_add_member(
        self, record: EntryRecord, heard_at_s: float
    ) -> Member | None:
        member = self.members.get(record.entry_id)
        if member is not None and member.incarnation == record.incarnation:
            return member
        if member is not None and heard_at_s <= member.last_seen_at_s:
            return None
        if member is None and self._is_expired(heard_at_s):
            return None
        member = Member(record.entry_id, record.incarnation, changed_at_s=now_s())
        self.members[record.entry_id] = member
        return member

    @staticmethod
    def _is_expired(heard_at_s: float) -> bool:
        return NEVER_S < heard_at_s < now_s() - FORGET_AFTER_S

    def _apply_confirmation(
        self, member: Member, record: EntryRecord, written_after_s: float
    ) -> None:
        confirmed_at_s = written_after_s - record.confirmed_age_s
        member.confirmed_at_s = max(member.confirmed_at_s, confirmed_at_s)
        if self.on_confirmation is not None:
            self.on_confirmation(record.generation, confirmed_at_s)

    def _remove_expired(self) -> None:
        listed = set(self.listed_ids())
        for name, member in list(self.members.items()):
            if name not in listed and not member.seen_within(FORGET_AFTER_S):
                del self.members[name]

    def highest_generation(self) -> int:
        """Return the highest generation in force at another entry."""
        return max((member.generation for member in self.members.values()), default=0)

    def confirmed_at_s(self, generation: int) -> float:
        """Return when another entry last read ``generation`` or less from the table."""
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

    def known_peer_ids(self) -> set[str]:
        """Return the other entries that are listed or recently seen, not leaving."""
        names = set(self.listed_ids())
        for name, member in self.members.items():
            if member.seen_within(self.freshness_bound_s):
                names.add(name)
        leaving = {name for name, item in self.members.items() if item.leaving}
        return names - leaving - {self.own_id}

    def sees_majority(self, age_s: float) -> bool:
        """Whether more than half of the known entries, itself included, were seen."""
        seen, known = self._count_recently_seen(age_s)
        return 2 * seen > known

    def sees_half(self, age_s: float) -> bool:
        """Whether half of the known entries, including this one, were recently seen.

        The other entries then can't form a majority.
        """
        seen, known = self._count_recently_seen(age_s)
        return 2 * seen >= known

    def _count_recently_seen(self, age_s: float) -> tuple[int, int]:
        known = self.known_peer_ids()
        seen = sum(
            name in self.members and self.members[name].seen_within(age_s)
            for name in known
        )
        return seen + 1, len(known) + 1

    def is_alive(self, entry_id: str) -> bool:
        """Whether another entry was recently seen and isn't leaving."""
        member = self.members.get(entry_id)
        if member is None or member.leaving:
            return False
        return member.seen_within(self.failure_timeout_s)

    @property
    def failure_timeout_s(self) -> float:
        """Time without a heartbeat after which an entry counts as failed.

        A few heartbeats if all entries are neighbours. Otherwise state takes longer to
        propagate, and the time is at least the freshness bound.
        """
        heartbeats_s = FAILURE_TIMEOUT_HEARTBEATS * self.heartbeat_every_s
        if self._all_are_neighbours():
            return heartbeats_s
        return max(heartbeats_s, self.freshness_bound_s)

    def propagation_s(self) -> float:
        """Return the time that a change of this entry needs to reach all others."""
        if self._all_are_neighbours():
            return PROPAGATION_HEARTBEATS * self.heartbeat_every_s
        return MULTI_HOP_PROPAGATION_HEARTBEATS * self.heartbeat_every_s

    def _all_are_neighbours(self) -> bool:
        return len(self.known_peer_ids()) <= self.peers_max

    def is_ready(self, entry_id: str) -> bool:
        """Whether another entry is alive and accepts new requests."""
        return self.is_alive(entry_id) and self.members[entry_id].ready

    def lagging_entry_ids(
        self, generation: int, written_at_s: float | None = None
    ) -> list[str]:
        """Return the entries that may still act on a generation below ``generation``.

        ``written_at_s`` is when the generation was written; by default, the time of the
        first query for it. An unresponsive entry stops accepting requests once the
        freshness bound has passed since then, unless it sees a majority. It is
        therefore excluded only if no majority is possible without this entry.
        """
        if written_at_s is None:
            written_at_s = self._first_queried_at_s(generation)
        unresponsive_have_stopped = (
            now_s() - written_at_s > self.freshness_bound_s + DRIFT_MARGIN_S
            and self.sees_half(self.freshness_bound_s)
        )
        names = [
            name
            for name in {*self.listed_ids(), *self.members} - {self.own_id}
            if self._is_lagging(name, generation, unresponsive_have_stopped)
        ]
        if self.own_record().generation < generation:
            names.append(self.own_id)
        return sorted(names)

    def _first_queried_at_s(self, generation: int) -> float:
        queried_at_s = self._queried_at_s.setdefault(generation, now_s())
        while len(self._queried_at_s) > QUERIED_GENERATIONS_MAX:
            self._queried_at_s.popitem(last=False)
        return queried_at_s

    def _is_lagging(
        self, name: str, generation: int, unresponsive_have_stopped: bool
    ) -> bool:
        member = self.members.get(name)
        if member is not None and member.generation >= generation:
            return False
        recently_seen = member is not None and member.seen_within(
            self.freshness_bound_s + DRIFT_MARGIN_S
        )
        return recently_seen or not unresponsive_have_stopped
