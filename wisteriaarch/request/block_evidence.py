"""Which prompt blocks are presumed to crash engines, from crashes and answers.

Pure decisions without I/O. A block that crashes every engine which decodes it was in
flight at each of those crashes and is part of no complete answer. Sound blocks of the
same requests, such as a common system prompt, are in flight at the crashes too, but are
answered in between.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

CRASHES_MIN = 3
# A single request that is retried accuses itself only; see ``crash_history``.
REQUESTS_MIN = 2
NEVER_S = float("-inf")


@dataclass(frozen=True)
class CrashedRequest:
    """Request in flight at the crash of an upstream, with the blocks of its prompt.

    ``at_s`` is the time of the crash on this process's clock.
    """

    request: str
    crash_id: str
    blocks: tuple[str, ...]
    at_s: float


@dataclass
class BlockEvidence:
    """Crashes and distinct requests that accuse one block."""

    crash_ids: set[str] = field(default_factory=set)
    requests: set[str] = field(default_factory=set)

    @property
    def is_sufficient(self) -> bool:
        """Whether there are enough crashes during enough different requests."""
        return len(self.crash_ids) >= CRASHES_MIN and (
            len(self.requests) >= REQUESTS_MIN
        )


def collect_evidence(
    records: Iterable[CrashedRequest], answered_at_s: Mapping[str, float]
) -> dict[str, BlockEvidence]:
    """Return the evidence against each block since it was last answered."""
    evidence: dict[str, BlockEvidence] = defaultdict(BlockEvidence)
    for record in records:
        for block in record.blocks:
            if record.at_s > answered_at_s.get(block, NEVER_S):
                evidence[block].crash_ids.add(record.crash_id)
                evidence[block].requests.add(record.request)
    return evidence


def presumed_causes(
    evidence: Mapping[str, BlockEvidence], answered_at_s: Mapping[str, float]
) -> tuple[frozenset[str], ...]:
    """Return the presumed causes, each as a group of blocks that nothing tells apart.

    Blocks are taken in the order of suspicion, and each one needs enough crashes that
    those before it don't explain.
    """
    groups: dict[_Suspicion, set[str]] = defaultdict(set)
    for block, item in evidence.items():
        if item.is_sufficient:
            suspicion = _Suspicion(
                frozenset(item.crash_ids), answered_at_s.get(block, NEVER_S)
            )
            groups[suspicion].add(block)
    causes = []
    explained: set[str] = set()
    for suspicion in sorted(groups, key=_Suspicion.order):
        if len(suspicion.crash_ids - explained) >= CRASHES_MIN:
            explained |= suspicion.crash_ids
            causes.append(frozenset(groups[suspicion]))
    return tuple(causes)


@dataclass(frozen=True)
class _Suspicion:
    """Crashes of a block, and when it was last answered."""

    crash_ids: frozenset[str]
    answered_at_s: float

    def order(self) -> tuple[bool, int, float, list[str]]:
        """Sort key: blocks that were never answered first, then by crashes."""
        return (
            self.answered_at_s != NEVER_S,
            -len(self.crash_ids),
            self.answered_at_s,
            sorted(self.crash_ids),
        )
