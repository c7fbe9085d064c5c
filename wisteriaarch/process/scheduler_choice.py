"""Selection of the entry that schedules the calls of a service.

Rendezvous hashing, weighted by the processor share of each entry: entries with the same
member list select the same one, and if it fails, only its services move. Two concurrent
schedulers degrade placement and have no other effect.
"""

import hashlib
import math
from collections.abc import Iterable

from .member_list import MemberList, MemberRecord

RANKED_MAX = 3
DIGEST_BYTES = 8
CORES_MIN = 0.01
# Prefers large entries strongly: scheduling takes much of a small entry's processor.
CORES_EXPONENT = 3


class SchedulerChoice:
    """Ranks the entries that may schedule each service."""

    def __init__(self, members: MemberList):
        self._members = members
        self._version = -1
        self._ranked: dict[str, tuple[str, ...]] = {}

    def ranked(self, service: str) -> tuple[str, ...]:
        """Return the ranked entries, best first; may include this entry."""
        if self._version != self._members.version:
            self._version = self._members.version
            self._ranked.clear()
        ranked = self._ranked.get(service)
        if ranked is None:
            ranked = rank_schedulers(service, self._members.living_records())
            self._ranked[service] = ranked
        return ranked

    def is_local(self, service: str) -> bool:
        """Whether this entry schedules a service."""
        return self.ranked(service)[:1] == (self._members.own_record.entry_id,)


def rank_schedulers(service: str, living: Iterable[MemberRecord]) -> tuple[str, ...]:
    """Return the first entry ids in the rendezvous order of a service.

    Entries that accept callers come first: one that is shutting down or has no routes
    yet has the least information.
    """

    def rank(item: MemberRecord) -> tuple[bool, float]:
        return (item.accepts_callers, _score(service, item))

    best = sorted(living, key=rank, reverse=True)[:RANKED_MAX]
    return tuple(item.entry_id for item in best)


def _score(service: str, item: MemberRecord) -> float:
    name = f"{service}@{item.entry_id}".encode()
    digest = hashlib.blake2b(name, digest_size=DIGEST_BYTES).digest()
    uniform = (int.from_bytes(digest) + 1) / (256**DIGEST_BYTES + 1)
    return max(CORES_MIN, item.cores) ** CORES_EXPONENT / -math.log(uniform)
