"""How busy each stage is with reading prompts, estimated without asking any engine.

Load pattern: the mix swings within seconds, for one service and not for another, and
reports of the engines describe the time before. Every entry tells its peers how much
reading it places, and scales the sum up where it hears of a part of the entries only.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .clock import now_s
from .digest import ReadingDemand
from .upstreams import Stage

REMEMBERED_S = 1.0
PEER_DEMAND_KEPT_S = 1.5
BUSY_MAX = 0.85
# Demand in engines below which a service isn't told of.
DEMAND_MIN = 0.001


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

    by_service: dict[str, ReadingDemand]
    heard_at_s: float


class StageBusyness:
    """Share of their time that a service's engines of each stage read prompts."""

    def __init__(self, entries: Callable[[], int], clock: Callable[[], float] = now_s):
        self._entries = entries
        self._clock = clock
        self._reading: dict[tuple[str, Stage], DecayingSum] = defaultdict(DecayingSum)
        self._peers: dict[str, HeardDemand] = {}

    def note(self, service: str, stage: Stage, reading_s: float) -> None:
        """Take in that a prompt was placed which takes ``reading_s`` to read."""
        self._reading[service, stage].add(reading_s, self._clock())

    def export(self) -> tuple[ReadingDemand, ...]:
        """Return what this entry places, for the peers."""
        demands = (
            ReadingDemand(
                service,
                self._own(service, Stage.PREFILL),
                self._own(service, Stage.DECODE),
            )
            for service in {service for service, _stage in self._reading}
        )
        return tuple(item for item in demands if _total(item) >= DEMAND_MIN)

    def absorb(self, peer_id: str, demands: Iterable[ReadingDemand]) -> None:
        """Take in what a peer places; replaces what it said before."""
        by_service = {item.service: item for item in demands}
        self._peers[peer_id] = HeardDemand(by_service, self._clock())

    def share(self, service: str, stage: Stage, engines: int) -> float:
        """Return the share of time, from 0 to ``BUSY_MAX``, of a stage's engines."""
        return min(BUSY_MAX, self.engines_needed(service, stage) / max(1, engines))

    def engines_needed(self, service: str, stage: Stage) -> float:
        """Return how many engines what all entries place keeps reading all the time."""
        since_s = self._clock() - PEER_DEMAND_KEPT_S
        heard = [item for item in self._peers.values() if item.heard_at_s >= since_s]
        told = (item.by_service.get(service) for item in heard)
        placed = self._own(service, stage) + sum(_part(item, stage) for item in told)
        known = len(heard) + 1
        return placed * max(known, self._entries()) / known

    def _own(self, service: str, stage: Stage) -> float:
        reading = self._reading.get((service, stage))
        return reading.read(self._clock()) / REMEMBERED_S if reading else 0.0


def _total(demand: ReadingDemand) -> float:
    return demand.prefill + demand.decode


def _part(demand: ReadingDemand | None, stage: Stage) -> float:
    if demand is None:
        return 0.0
    return demand.prefill if stage is Stage.PREFILL else demand.decode
