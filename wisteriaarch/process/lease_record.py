"""Stored record of a lease, and the holder's local state of its lease term."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from .store import Row

NO_HOLDER = ""
# Bits for the takeovers of one era; engines read epochs as 53-bit integers.
ERA_SHIFT_BITS = 32
SCORE_BYTES = 8


@dataclass(frozen=True)
class Contender:
    """Process that competes for leases; ``incarnation`` differs at each start."""

    entry_id: str
    incarnation: str


@dataclass(frozen=True)
class LeaseRecord:
    """Content of a lease row; ``era`` is the store era in which it was written."""

    holder: str = NO_HOLDER
    incarnation: str = ""
    renewals: int = 0
    term_s: float = 0.0
    era: int = 0

    @classmethod
    def from_row(cls, row: Row) -> "LeaseRecord":
        """Decode the row; a missing row has no holder."""
        return cls(**row.value) if row.exists else cls()

    def belongs_to(self, contender: Contender) -> bool:
        """Whether this incarnation of the process is the holder."""
        identity = (contender.entry_id, contender.incarnation)
        return (self.holder, self.incarnation) == identity

    def was_written_in(self, era: int) -> bool:
        """Whether it was written in ``era``; else a later record may be lost."""
        return self.era == era


@dataclass
class LeaseTerm:
    """Lease term of one holder; it ends when the store's ``era`` rises.

    ``acquired_at_s`` is the time at which the holder received the confirmation that it
    has the lease. Orders may be issued from ``orders_allowed_from_s``, a full term
    after any order of a former holder. ``former_ended_at_s`` is when the term of a
    former holder had ended at the latest.
    """

    epoch: int
    epoch_row_version: int
    acquired_at_s: float
    expires_at_s: float
    orders_allowed_from_s: float
    era: int = 0
    former_ended_at_s: float = 0.0


def next_epoch(previous: int, era: int) -> int:
    """Return the next epoch, greater than any epoch of an earlier era."""
    return max(previous, era << ERA_SHIFT_BITS) + 1


def rendezvous_rank(group: str, entry_id: str, entry_ids: Iterable[str]) -> int:
    """Return the rank of an entry in the rendezvous order of a group, from 0."""
    own_score = _rendezvous_score(group, entry_id)
    return sum(_rendezvous_score(group, name) > own_score for name in entry_ids)


def rendezvous_first(group: str, entry_ids: Iterable[str], count: int) -> list[str]:
    """Return the first entries in the rendezvous order of a group."""

    def score(entry_id: str) -> bytes:
        return _rendezvous_score(group, entry_id)

    return sorted(entry_ids, key=score, reverse=True)[:count]


def _rendezvous_score(group: str, entry_id: str) -> bytes:
    return hashlib.blake2b(
        f"{group}\0{entry_id}".encode(), digest_size=SCORE_BYTES
    ).digest()
