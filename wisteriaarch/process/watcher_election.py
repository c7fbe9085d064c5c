"""Election of the entries that watch the store on behalf of all.

If hundreds of entries each held their own watches, every change would wake all of them
at the store at once. Instead a few entries watch and notify the others. An entry that
receives no message from a watcher for some time watches the store itself, and then
notifies the others.
"""

import hashlib
from collections.abc import Callable

from .clock import now_s
from .member_list import MemberList

WATCHERS_MAX = 4
# Up to this number of entries, every entry watches.
ALL_WATCH_ENTRIES_MAX = 12
WATCHER_TIMEOUT_S = 1.5
# Entries of higher rank wait longer, so that they don't all start at once.
STAGGER_PER_RANK_S = 0.04
STAGGERED_RANKS_MAX = 25
HASH_BYTES = 8


class WatcherElection:
    """Decides whether this entry must watch the store.

    The watchers are the first entries in the order of their hashed ids, on which all
    entries with the same member list agree.
    """

    def __init__(self, members: MemberList, clock: Callable[[], float] = now_s):
        self._members = members
        self._clock = clock
        self._own_hash = _hash_entry_id(members.own_record.entry_id)
        self._hashes: dict[str, bytes] = {}
        self._version = -1
        self._rank = 0
        self._entries = 1
        self._last_contact_at_s = float("-inf")

    def record_watcher_contact(self) -> None:
        """Record that another entry was in contact with the store just now."""
        self._last_contact_at_s = self._clock()

    def should_watch(self) -> bool:
        """Whether this entry is a watcher, or has no recent contact with one."""
        self._update_rank()
        if self._entries <= ALL_WATCH_ENTRIES_MAX or self._rank < WATCHERS_MAX:
            return True
        timeout_s = WATCHER_TIMEOUT_S + STAGGER_PER_RANK_S * min(
            self._rank, STAGGERED_RANKS_MAX
        )
        return self._clock() - self._last_contact_at_s > timeout_s

    @property
    def has_followers(self) -> bool:
        """Whether other entries rely on the watchers."""
        self._update_rank()
        return self._entries > ALL_WATCH_ENTRIES_MAX

    def _update_rank(self) -> None:
        if self._version == self._members.version:
            return
        self._version = self._members.version
        names = [
            item.entry_id
            for item in self._members.living_others()
            if item.accepts_callers
        ]
        self._entries = len(names) + 1
        self._rank = sum(self._cached_hash(name) < self._own_hash for name in names)

    def _cached_hash(self, entry_id: str) -> bytes:
        digest = self._hashes.get(entry_id)
        if digest is None:
            digest = self._hashes[entry_id] = _hash_entry_id(entry_id)
        return digest


def _hash_entry_id(entry_id: str) -> bytes:
    name = f"watch@{entry_id}".encode()
    return hashlib.blake2b(name, digest_size=HASH_BYTES).digest()
