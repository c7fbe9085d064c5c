"""What is on record of a lease, and what its holder knows of its own time."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from .store import Row

NO_HOLDER = ""
# Takeovers within one era; engines read epochs as numbers of up to 53 bits.
ERA_SHIFT = 32
SCORE_BYTES = 8


@dataclass(frozen=True)
class Contender:
    """Process that competes for leases; ``incarnation`` differs at each start."""

    entry_id: str
    incarnation: str


@dataclass(frozen=True)
class LeaseRecord:
    """Content of a lease row; ``era`` is that of the store when it was written."""

    holder: str = NO_HOLDER
    incarnation: str = ""
    renewals: int = 0
    term_s: float = 0.0
    era: int = 0

    @classmethod
    def from_row(cls, row: Row) -> "LeaseRecord":
        """Read the row; a missing row has no holder."""
        return cls(**row.value) if row.exists else cls()

    def belongs_to(self, contender: Contender) -> bool:
        """Whether this very process is the holder."""
        mine = (contender.entry_id, contender.incarnation)
        return (self.holder, self.incarnation) == mine

    def is_of(self, era: int) -> bool:
        """Whether it was written in an era; else a later one may have been lost."""
        return self.era == era


@dataclass
class Tenure:
    """Time of one holder; ``since_s`` is when it learnt that it took the lease.

    Orders may be given from ``orders_from_s`` on, a whole term after any order of a
    former holder. The tenure ends with the store's ``era``.
    """

    epoch: int
    epoch_row_version: int
    since_s: float
    expires_at_s: float
    orders_from_s: float
    era: int = 0


def next_epoch(former: int, era: int) -> int:
    """Return the epoch after a former one, greater than any of an earlier era."""
    return max(former, era << ERA_SHIFT) + 1


def rank_of(group: str, entry_id: str, names: Iterable[str]) -> int:
    """Return how many entries come before one in the rendezvous order of a group."""
    own_score = _score(group, entry_id)
    return sum(_score(group, name) > own_score for name in names)


def _score(group: str, entry_id: str) -> bytes:
    return hashlib.blake2b(
        f"{group}\0{entry_id}".encode(), digest_size=SCORE_BYTES
    ).digest()
