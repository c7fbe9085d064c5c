"""Composition of heartbeats, with a bound on their size."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice

from .digest import (
    NO_BLOCK_RECORDS,
    BlockRecords,
    CrashRecord,
    EntryRecord,
    LimitRecord,
    PeerDigest,
    SentWork,
)
from .member import Member
from .membership import FORGET_AFTER_S, Membership

PEER_RECORDS_MAX = 16
CHANGED_RECORDS_MAX = PEER_RECORDS_MAX // 2
CRASH_RECORDS_MAX = 16
SENT_WORK_MAX = 64
LIMIT_RECORDS_MAX = 64
BLOCK_RECORDS_MAX = 16


def _no_records(*_arguments: object) -> tuple:
    return ()


def _no_blocks(_count: int) -> BlockRecords:
    return NO_BLOCK_RECORDS


def _ignore(*_arguments: object) -> None:
    return None


@dataclass
class DigestHooks:
    """Callbacks that add data to heartbeats or apply received data."""

    crash_records: Callable[[], Iterable[CrashRecord]] = _no_records
    apply_crash_records: Callable[[Iterable[CrashRecord]], None] = _ignore
    sent_work: Callable[[], Iterable[SentWork]] = _no_records
    apply_sent_work: Callable[[str, tuple[SentWork, ...]], None] = _ignore
    limits: Callable[[int], Iterable[LimitRecord]] = _no_records
    apply_limits: Callable[[tuple[LimitRecord, ...]], None] = _ignore
    blocks: Callable[[int], BlockRecords] = _no_blocks
    apply_blocks: Callable[[BlockRecords], None] = _ignore


@dataclass(frozen=True, slots=True)
class SentRecord:
    """State of a member as last sent to a peer."""

    changed_at_s: float
    last_seen_at_s: float


class HeartbeatComposer:
    """Composes the digests for one peer.

    Where not all records of other entries fit, those changed since they were last sent
    to this peer come first, then those whose last-seen time advanced most since then.
    """

    def __init__(self, membership: Membership, hooks: DigestHooks):
        self._membership = membership
        self._hooks = hooks
        self._sent: dict[str, SentRecord] = {}

    def compose(self, receiver_id: str | None, needs_manifest: bool) -> PeerDigest:
        """Return the digest to send now."""
        hooks = self._hooks
        return PeerDigest(
            entry=self._membership.own_record(),
            others=self._peer_records(receiver_id),
            needs_manifest=needs_manifest,
            crash_records=tuple(islice(hooks.crash_records(), CRASH_RECORDS_MAX)),
            sent_work=tuple(islice(hooks.sent_work(), SENT_WORK_MAX)),
            limits=tuple(hooks.limits(LIMIT_RECORDS_MAX)),
            block_records=hooks.blocks(BLOCK_RECORDS_MAX),
        )

    def _peer_records(self, receiver_id: str | None) -> tuple[EntryRecord, ...]:
        members = [
            member
            for member in self._membership.members.values()
            if member.entry_id != receiver_id and member.seen_within(FORGET_AFTER_S)
        ]
        if len(members) > PEER_RECORDS_MAX:
            members = self._select_members(members)
        return tuple(member.to_record() for member in members)

    def _select_members(self, members: list[Member]) -> list[Member]:
        names = {member.entry_id for member in members}
        self._sent = {name: item for name, item in self._sent.items() if name in names}
        members.sort(key=lambda member: member.changed_at_s, reverse=True)
        changed = [member for member in members if self._has_changed(member)]
        selected = changed[:CHANGED_RECORDS_MAX]
        names = {member.entry_id for member in selected}
        unchanged = [member for member in members if member.entry_id not in names]
        unchanged.sort(key=self._age_reduction_s, reverse=True)
        selected += unchanged[: PEER_RECORDS_MAX - len(selected)]
        for member in selected:
            sent = SentRecord(member.changed_at_s, member.last_seen_at_s)
            self._sent[member.entry_id] = sent
        return selected

    def _has_changed(self, member: Member) -> bool:
        sent = self._sent.get(member.entry_id)
        return sent is None or member.changed_at_s > sent.changed_at_s

    def _age_reduction_s(self, member: Member) -> float:
        """Return how much a member's last-seen time advanced since it was last sent."""
        sent = self._sent.get(member.entry_id)
        return (
            float("inf")
            if sent is None
            else member.last_seen_at_s - sent.last_seen_at_s
        )
