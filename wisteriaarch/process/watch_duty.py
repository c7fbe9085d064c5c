"""Which entries watch the store; the others follow them.

Load pattern: hundreds of entries would each hold its own watches, and each change would
wake all of them at the store at once. A few watch and tell the others; one that hears
of no watcher for some time watches by itself, and then is heard by the others.
"""

import hashlib
from collections.abc import Callable

from .clock import now_s
from .member_list import MemberList

WATCHERS = 4
# Up to so many entries each of them watches.
ALL_WATCH_ENTRIES = 12
SILENT_AFTER_S = 1.5
# Later entries wait longer for those before them.
STAGGER_S = 0.04
STAGGERED_MAX = 25
PLACE_BYTES = 8


class WatchDuty:
    """Tells whether this entry is to ask the store now.

    The watchers are the first entries in the order of their hashed ids, on which all
    entries that know the same members agree.
    """

    def __init__(self, members: MemberList, clock: Callable[[], float] = now_s):
        self._members = members
        self._clock = clock
        self._own_place = _place_of(members.own.entry_id)
        self._places: dict[str, bytes] = {}
        self._version = -1
        self._rank = 0
        self._entries = 1
        self._heard_at_s = float("-inf")

    def note_watcher(self) -> None:
        """Take in that another entry was in contact with the store just now."""
        self._heard_at_s = self._clock()

    def is_due(self) -> bool:
        """Whether this entry is among the watchers, or hears of none."""
        self._rank_anew()
        if self._entries <= ALL_WATCH_ENTRIES or self._rank < WATCHERS:
            return True
        patience_s = SILENT_AFTER_S + STAGGER_S * min(self._rank, STAGGERED_MAX)
        return self._clock() - self._heard_at_s > patience_s

    @property
    def has_followers(self) -> bool:
        """Whether there are entries that don't watch by themselves."""
        self._rank_anew()
        return self._entries > ALL_WATCH_ENTRIES

    def _rank_anew(self) -> None:
        if self._version == self._members.version:
            return
        self._version = self._members.version
        names = [item.entry_id for item in self._members.others() if item.takes_callers]
        self._entries = len(names) + 1
        self._rank = sum(self._place(name) < self._own_place for name in names)

    def _place(self, entry_id: str) -> bytes:
        place = self._places.get(entry_id)
        if place is None:
            place = self._places[entry_id] = _place_of(entry_id)
        return place


def _place_of(entry_id: str) -> bytes:
    name = f"watch@{entry_id}".encode()
    return hashlib.blake2b(name, digest_size=PLACE_BYTES).digest()
