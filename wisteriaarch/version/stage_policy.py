"""Decision on which engine changes its stage, from the load alone, without I/O.

Changes correct an imbalance between the stages: the mix of prompts and outputs shifts
for tens of seconds, or engines of one stage fail, so that one stage queues while the
other is idle. A changing engine is unavailable for about a second; so a change is made
only if one stage has been short of engines for some time and the other can spare one.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from ..process.upstreams import Stage, Upstream

# Utilization of a stage that is short of engines, and of one that can spare one.
SHORT_SHARE = 0.45
SPARE_SHARE = 0.42
# Share of occupied batch slots from which on the decode stage counts as short.
SLOTS_SHARE = 0.8
# Share of all engines that a stage keeps, so that it tolerates the loss of one.
# Decode engines can also prefill prompts, but prefill engines can't decode.
FLOOR_SHARES = {Stage.PREFILL: 0.2, Stage.DECODE: 0.3}
SMOOTHED_S = 0.7
SHORT_FOR_S = 0.3
# Minimum time in a new stage, shorter while the other stage is overloaded.
OVERLOAD_SHARE = 0.9
TURN_BACK_AFTER_S = 6.0
OVERLOADED_TURN_BACK_AFTER_S = 2.0


@dataclass(frozen=True)
class EngineLoad:
    """Engine with the load that all entries have in flight there.

    ``stage`` is its current stage, or the target of a change under way; ``pace`` is
    the ratio of observed to expected time.
    """

    upstream: Upstream
    stage: Stage
    requests: int = 0
    prompt_tokens: int = 0
    pace: float = 1.0
    changing: bool = False


@dataclass(frozen=True)
class StageDemand:
    """Engines that the prefill of the assigned prompts fully occupies, by stage."""

    prefill: float
    decode: float

    def of(self, stage: Stage) -> float:
        """Return the demand on one stage."""
        return self.prefill if stage is Stage.PREFILL else self.decode


@dataclass(frozen=True)
class StageChange:
    """Engine and its target stage, with the utilizations behind the decision.

    ``busy_share`` is that of the target stage, ``spare_share`` that of the stage which
    the engine leaves, computed without the engine.
    """

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
        """Return the next change, if one is needed; called several times a second."""
        stages = {
            stage: [item for item in engines if item.stage is stage] for stage in Stage
        }
        for stage, items in stages.items():
            self._shares[stage].note(_taken_share(items, stage, demand), now)
        for stage in Stage:
            change = self._consider(stages, stage, now)
            if change is not None:
                return change
        return None

    def note_changed(self, stage: Stage, now: float) -> None:
        """Record that an engine was ordered to change to ``stage``."""
        self._changed_at_s[stage] = now
        self._short_since_s.pop(stage, None)
        for share in self._shares.values():
            share.restart()

    def _consider(
        self, stages: dict[Stage, list[EngineLoad]], stage: Stage, now: float
    ) -> StageChange | None:
        source = _other(stage)
        busy = self._shares[stage].value
        spare = self._share_without_one(source, len(stages[source]))
        is_short = busy > SHORT_SHARE and spare < min(SPARE_SHARE, busy)
        can_give = _keeps_floor(stages, source) and not self._must_stay(
            source, busy, now
        )
        if not is_short or not can_give:
            self._short_since_s.pop(stage, None)
            return None
        since_s = self._short_since_s.setdefault(stage, now)
        if now - since_s < SHORT_FOR_S:
            return None
        engine = _least_needed(stages[source])
        if engine is None:
            return None
        return StageChange(engine.upstream, stage, busy, spare)

    def _share_without_one(self, stage: Stage, count: int) -> float:
        """Return the utilization of a stage with one engine less."""
        return self._shares[stage].highest * count / max(1, count - 1)

    def _must_stay(self, stage: Stage, other_busy: float, now: float) -> bool:
        """Whether the last change to ``stage`` is too recent to reverse."""
        changed_at_s = self._changed_at_s.get(stage)
        if changed_at_s is None:
            return False
        is_overload = other_busy > OVERLOAD_SHARE
        stays_s = OVERLOADED_TURN_BACK_AFTER_S if is_overload else TURN_BACK_AFTER_S
        return now - changed_at_s < stays_s


@dataclass
class SmoothedShare:
    """Moving average with a time constant of ``SMOOTHED_S``, and the last value."""

    value: float = 0.0
    last: float = 0.0
    at_s: float | None = None

    @property
    def highest(self) -> float:
        """The average, or the last value where that is higher."""
        return max(self.value, self.last)

    def restart(self) -> None:
        """Discard past values, for example since the set of engines changed."""
        self.at_s = None

    def note(self, value: float, at_s: float) -> None:
        """Add the value at ``at_s`` to the average."""
        if self.at_s is None:
            self.value = value
        else:
            weight = 1 - math.exp(-max(0.0, at_s - self.at_s) / SMOOTHED_S)
            self.value += weight * (value - self.value)
        self.last = value
        self.at_s = at_s


def _other(stage: Stage) -> Stage:
    return Stage.DECODE if stage is Stage.PREFILL else Stage.PREFILL


def _keeps_floor(stages: dict[Stage, list[EngineLoad]], source: Stage) -> bool:
    """Whether ``source`` keeps its minimum share of engines with one less."""
    engines = sum(len(items) for items in stages.values())
    return len(stages[source]) - 1 >= math.ceil(FLOOR_SHARES[source] * engines)


def _taken_share(
    engines: Sequence[EngineLoad], stage: Stage, demand: StageDemand
) -> float:
    """Return the utilization of a stage; 1 if it is fully utilized.

    An engine that is slower than the fastest of its stage counts as a fraction of one.
    """
    best = min((item.pace for item in engines), default=1.0)
    capacity = sum(best / item.pace for item in engines)
    reading = demand.of(stage) / max(1.0, capacity)
    if stage is Stage.PREFILL:
        return reading
    slots = sum(item.upstream.slots for item in engines)
    running = sum(item.requests for item in engines)
    return max(reading, SHORT_SHARE / SLOTS_SHARE * running / max(1, slots))


def _least_needed(engines: Sequence[EngineLoad]) -> EngineLoad | None:
    """Return the least loaded engine; the last one of its zone only without others."""
    items = [item for item in engines if not item.changing]

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
