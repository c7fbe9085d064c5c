"""What is on record of a lease, and what its holder knows of its own time."""

from dataclasses import dataclass

from .store import Row

NO_HOLDER = ""


@dataclass(frozen=True)
class Contender:
    """Process that competes for leases; ``incarnation`` differs at each start."""

    entry_id: str
    incarnation: str


@dataclass(frozen=True)
class LeaseRecord:
    """Content of a lease row."""

    holder: str = NO_HOLDER
    incarnation: str = ""
    renewals: int = 0
    term_s: float = 0.0

    @classmethod
    def from_row(cls, row: Row) -> "LeaseRecord":
        """Read the row; a missing row has no holder."""
        return cls(**row.value) if row.exists else cls()

    def belongs_to(self, contender: Contender) -> bool:
        """Whether this very process is the holder."""
        mine = (contender.entry_id, contender.incarnation)
        return (self.holder, self.incarnation) == mine


@dataclass
class Tenure:
    """Time of one holder; ``since_s`` is when it learnt that it took the lease.

    Orders may be given from ``orders_from_s`` on, a whole term after any order of a
    former holder.
    """

    epoch: int
    epoch_row_version: int
    since_s: float
    expires_at_s: float
    orders_from_s: float
