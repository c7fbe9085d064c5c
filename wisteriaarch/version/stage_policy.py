"""Decides which engine is to change its stage: a pure decision on loads.

Load pattern: the mix of prompts and outputs swings and stays there for tens of seconds,
or engines of one stage are lost, so that one stage queues while the other stands idle.
A change takes an engine away for about a second; so it is made only where one stage is
short for some time and the other can spare an engine.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from ..process.upstreams import Stage, Upstream

SHORT_SHARE = 0.55
SPARE_SHARE = 0.45
SLOTS_SHARE = 0.8
SMOOTHED_S = 1.0
SHORT_FOR_S = 0.5
TURN_BACK_AFTER_S = 6.0


@dataclass(frozen=True)
class EngineLoad:
    """Engine with what all entries have in flight there.

    ``stage`` is the one that it has, or is changing to.
    """

    upstream: Upstream
    stage: Stage
    requests: int = 0
    prompt_tokens: int = 0
    changing: bool = False


@dataclass(frozen=True)
class StageDemand:
    """Engines that the prompts placed now keep reading all the time, by stage."""

    prefill: float
    decode: float

    def of(self, stage: Stage) -> float:
        """Return the demand on one stage."""
        return self.prefill if stage is Stage.PREFILL else self.decode


@dataclass(frozen=True)
class StageChange:
    """Engine and the stage that it is to have, with the shares that decided it."""

    upstream: Upstream
    stage: Stage
    busy_share: float
    spare_share: float


class StagePolicy:
    """Decides for the engines of one service; times are seconds on one clock."""

    def __init__(self):
        self._shares = {stage: SmoothedShare() for stage in Stage}
        self._short_since_s: dict[Stage, float] = {}
        self._changed_at_s: dict[Stage, float] = {}

    def decide(
        self, engines: Sequence[EngineLoad], demand: StageDemand, now: float
    ) -> StageChange | None:
        """Return a change that pays, if there is one; called several times a second."""
        counts = {
            stage: sum(item.stage is stage for item in engines) for stage in Stage
        }
        for stage in Stage:
            share = self._share(engines, demand, stage, counts[stage])
            self._shares[stage].note(share, now)
        for stage in Stage:
            change = self._consider(engines, counts, stage, now)
            if change is not None:
                return change
        return None

    def note_changed(self, stage: Stage, now: float) -> None:
        """Take in that an engine was told to change to a stage."""
        self._changed_at_s[stage] = now
        self._short_since_s.pop(stage, None)

    def _share(self, engines, demand: StageDemand, stage: Stage, count: int) -> float:
        """Return how much of a stage is taken; 1 where all of it is."""
        reading = demand.of(stage) / max(1, count)
        if stage is Stage.PREFILL:
            return reading
        items = [item for item in engines if item.stage is stage]
        slots = sum(item.upstream.slots for item in items)
        running = sum(item.requests for item in items)
        return max(reading, SHORT_SHARE / SLOTS_SHARE * running / max(1, slots))

    def _consider(
        self, engines, counts: dict[Stage, int], stage: Stage, now: float
    ) -> StageChange | None:
        source = _other(stage)
        busy = self._shares[stage].value
        left = counts[source] - 1
        spare = self._shares[source].value * counts[source] / max(1, left)
        is_short = busy > SHORT_SHARE and spare < min(SPARE_SHARE, busy) and left > 0
        if not is_short or self._turned_lately(source, now):
            self._short_since_s.pop(stage, None)
            return None
        since_s = self._short_since_s.setdefault(stage, now)
        if now - since_s < SHORT_FOR_S:
            return None
        engine = _least_needed(engines, source)
        if engine is None:
            return None
        return StageChange(engine.upstream, stage, busy, spare)

    def _turned_lately(self, stage: Stage, now: float) -> bool:
        """Whether an engine was changed to a stage not long ago, and so stays there."""
        changed_at_s = self._changed_at_s.get(stage)
        return changed_at_s is not None and now - changed_at_s < TURN_BACK_AFTER_S


@dataclass
class SmoothedShare:
    """Moving average with a time constant of ``SMOOTHED_S``."""

    value: float = 0.0
    at_s: float | None = None

    def note(self, value: float, at_s: float) -> None:
        """Take in a value at a time."""
        if self.at_s is None:
            self.value = value
        else:
            weight = 1 - math.exp(-max(0.0, at_s - self.at_s) / SMOOTHED_S)
            self.value += weight * (value - self.value)
        self.at_s = at_s


def _other(stage: Stage) -> Stage:
    return Stage.DECODE if stage is Stage.PREFILL else Stage.PREFILL


def _least_needed(engines: Sequence[EngineLoad], source: Stage) -> EngineLoad | None:
    """Return the engine with the least to end; the last of its zone only at need."""
    items = [item for item in engines if item.stage is source and not item.changing]

    def is_last_of_zone(engine: EngineLoad) -> bool:
        zone = engine.upstream.zone
        return sum(item.upstream.zone == zone for item in items) == 1

    return min(
        items,
        key=lambda item: (
            is_last_of_zone(item),
            item.prompt_tokens,
            item.requests,
            item.upstream.upstream_id,
        ),
        default=None,
    )
