"""How busy each stage is with reading prompts, estimated without asking any engine.

Load pattern: the mix swings within seconds, and reports of the engines describe the
time before. Every entry tells its peers how much reading it places, and scales the sum
up where it hears of a part of the entries only.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from .clock import now_s
from .digest import ReadingDemand
from .upstreams import Stage

REMEMBERED_S = 1.0
PEER_DEMAND_KEPT_S = 1.5
BUSY_MAX = 0.85


@dataclass
class DecayingSum:
    """Sum whose parts fade with a time constant of ``REMEMBERED_S``."""

    value: float = 0.0
    at_s: float = 0.0

    def add(self, amount: float, at_s: float) -> None:
        """Add an amount at a time."""
        self.value = self.read(at_s) + amount
        self.at_s = at_s

    def read(self, at_s: float) -> float:
        """Return what is left of the sum."""
        return self.value * math.exp(-max(0.0, at_s - self.at_s) / REMEMBERED_S)


@dataclass(frozen=True)
class HeardDemand:
    """What a peer last said that it places."""

    demand: ReadingDemand
    heard_at_s: float


class StageBusyness:
    """Share of their time that the engines of each stage read prompts."""

    def __init__(self, entries: Callable[[], int], clock: Callable[[], float] = now_s):
        self._entries = entries
        self._clock = clock
        self._reading = {stage: DecayingSum() for stage in Stage}
        self._peers: dict[str, HeardDemand] = {}

    def note(self, stage: Stage, reading_s: float) -> None:
        """Take in that a prompt was placed which takes ``reading_s`` to read."""
        self._reading[stage].add(reading_s, self._clock())

    def export(self) -> ReadingDemand:
        """Return what this entry places, for the peers."""
        return ReadingDemand(self._own(Stage.PREFILL), self._own(Stage.DECODE))

    def absorb(self, peer_id: str, demand: ReadingDemand) -> None:
        """Take in what a peer places; replaces what it said before."""
        self._peers[peer_id] = HeardDemand(demand, self._clock())

    def share(self, stage: Stage, engines: int) -> float:
        """Return the share of time, from 0 to ``BUSY_MAX``, of a stage's engines."""
        return min(BUSY_MAX, self.engines_needed(stage) / max(1, engines))

    def engines_needed(self, stage: Stage) -> float:
        """Return how many engines what all entries place keeps reading all the time."""
        since_s = self._clock() - PEER_DEMAND_KEPT_S
        heard = [item for item in self._peers.values() if item.heard_at_s >= since_s]
        placed = self._own(stage) + sum(_part(item.demand, stage) for item in heard)
        known = len(heard) + 1
        return placed * max(known, self._entries()) / known

    def _own(self, stage: Stage) -> float:
        return self._reading[stage].read(self._clock()) / REMEMBERED_S


def _part(demand: ReadingDemand, stage: Stage) -> float:
    return demand.prefill if stage is Stage.PREFILL else demand.decode
