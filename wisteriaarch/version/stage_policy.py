"""Decision on which engine changes its stage, from the load alone, without I/O.

Changes correct an imbalance between the stages: the mix of prompts and outputs shifts
for tens of seconds, or engines of one stage fail, so that one stage queues while the
other is idle. A changing engine is unavailable for about a second; so a change is made
only if one stage has been short of engines for some time and the other can spare one.

Demand is measured by what is placed. Without a decode engine nothing is placed, so a
decode stage in which no engine responds is short whatever the measured demand.

A stream goes on at its software version alone, so that each of several versions needs
decode engines of its own, one of which may fail.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from ..process.upstreams import Stage, Upstream
from .stage_loads import (
    SHORTAGE_UTILIZATION,
    EngineLoad,
    PrefillDemand,
    SmoothedUtilization,
    by_version,
    dispensable,
    spare_decode_engines,
    utilization_of,
)

# Utilization of a stage that can spare an engine.
SPARE_UTILIZATION = 0.42
FULL_UTILIZATION = 1.0
# Share of all engines that a stage keeps, so that it tolerates the loss of one.
# Decode engines can also prefill prompts, but prefill engines can't decode.
MIN_ENGINE_SHARES = {Stage.PREFILL: 0.2, Stage.DECODE: 0.3}
SHORTAGE_DURATION_S = 0.3
# Longer than the first suspension of an engine that answers again.
UNSTAFFED_DURATION_S = 0.8
# Minimum time in a new stage, shorter while the other stage is overloaded.
OVERLOAD_UTILIZATION = 0.9
DWELL_S = 6.0
OVERLOADED_DWELL_S = 2.0


@dataclass(frozen=True)
class StageChange:
    """Engine and its target stage, with the utilizations behind the decision.

    ``target_utilization`` is that of the target stage, ``source_utilization`` that of
    the stage which the engine leaves, computed without the engine.
    """

    upstream: Upstream
    stage: Stage
    target_utilization: float
    source_utilization: float


class StagePolicy:
    """Decides for the engines of one service; times are seconds on one clock."""

    def __init__(self):
        self._utilizations = {stage: SmoothedUtilization() for stage in Stage}
        self._short_since_s: dict[Stage | str, float] = {}
        self._changed_at_s: dict[Stage, float] = {}

    def decide(
        self,
        engines: Sequence[EngineLoad],
        demand: PrefillDemand,
        now: float,
        is_complete: bool = True,
    ) -> StageChange | None:
        """Return the next change, if one is needed; called several times a second.

        ``engines`` are those that respond. Unless the list ``is_complete``, a stage
        without engines may be about to get some.
        """
        stages = {
            stage: [item for item in engines if item.stage is stage] for stage in Stage
        }
        for stage, items in stages.items():
            self._utilizations[stage].observe(utilization_of(items, stage, demand), now)
        if not stages[Stage.DECODE]:
            return self._staff_decode_stage(stages[Stage.PREFILL], now, is_complete)
        change = self._staff_versions(engines, now) if is_complete else None
        if change is not None:
            return change
        for stage in Stage:
            change = self._evaluate_stage(stages, stage, now)
            if change is not None:
                return change
        return None

    def record_change(self, stage: Stage, now: float) -> None:
        """Record that an engine was ordered to change to ``stage``."""
        self._changed_at_s[stage] = now
        self._short_since_s.pop(stage, None)
        for utilization in self._utilizations.values():
            utilization.reset()

    def _evaluate_stage(
        self, stages: dict[Stage, list[EngineLoad]], stage: Stage, now: float
    ) -> StageChange | None:
        source = _other(stage)
        target_utilization = self._utilizations[stage].value
        source_utilization = self._utilization_without_one(source, len(stages[source]))
        is_short = (
            target_utilization > SHORTAGE_UTILIZATION
            and source_utilization < min(SPARE_UTILIZATION, target_utilization)
        )
        can_give = _keeps_min_engines(
            stages, source
        ) and not self._is_too_recent_to_reverse(source, target_utilization, now)
        if not is_short or not can_give:
            self._short_since_s.pop(stage, None)
            return None
        if not self._has_lasted(stage, SHORTAGE_DURATION_S, now):
            return None
        engine = _least_loaded(dispensable(stages, source))
        if engine is None:
            return None
        return StageChange(
            engine.upstream, stage, target_utilization, source_utilization
        )

    def _staff_versions(
        self, engines: Sequence[EngineLoad], now: float
    ) -> StageChange | None:
        """Return the change that gives a software version a decode engine, once due."""
        versions = by_version(engines)
        for version, items in versions.items():
            is_short = len(versions) > 1 and spare_decode_engines(items) < 0
            if not is_short:
                self._short_since_s.pop(version, None)
                continue
            engine = _least_loaded(
                [item for item in items if item.stage is Stage.PREFILL]
            )
            if engine is None or any(item.changing for item in items):
                continue
            if self._has_lasted(version, UNSTAFFED_DURATION_S, now):
                self._short_since_s.pop(version, None)
                source_utilization = self._utilizations[Stage.PREFILL].value
                return StageChange(
                    engine.upstream, Stage.DECODE, FULL_UTILIZATION, source_utilization
                )
        return None

    def _staff_decode_stage(
        self, prefills: list[EngineLoad], now: float, is_complete: bool
    ) -> StageChange | None:
        """Return the change that gives the decode stage an engine, once it is due."""
        engine = _least_loaded(prefills)
        if engine is None or not is_complete:
            self._short_since_s.pop(Stage.DECODE, None)
            return None
        if not self._has_lasted(Stage.DECODE, UNSTAFFED_DURATION_S, now):
            return None
        source_utilization = self._utilization_without_one(Stage.PREFILL, len(prefills))
        return StageChange(
            engine.upstream, Stage.DECODE, FULL_UTILIZATION, source_utilization
        )

    def _has_lasted(self, stage: Stage | str, duration_s: float, now: float) -> bool:
        """Whether a shortage that exists now has lasted for some time."""
        since_s = self._short_since_s.setdefault(stage, now)
        return now - since_s >= duration_s

    def _utilization_without_one(self, stage: Stage, count: int) -> float:
        """Return the utilization of a stage with one engine less."""
        return self._utilizations[stage].highest * count / max(1, count - 1)

    def _is_too_recent_to_reverse(
        self, stage: Stage, other_utilization: float, now: float
    ) -> bool:
        """Whether the last change to ``stage`` is too recent to reverse."""
        changed_at_s = self._changed_at_s.get(stage)
        if changed_at_s is None:
            return False
        is_overload = other_utilization > OVERLOAD_UTILIZATION
        dwell_s = OVERLOADED_DWELL_S if is_overload else DWELL_S
        return now - changed_at_s < dwell_s


def _other(stage: Stage) -> Stage:
    return Stage.DECODE if stage is Stage.PREFILL else Stage.PREFILL


def _keeps_min_engines(stages: dict[Stage, list[EngineLoad]], source: Stage) -> bool:
    """Whether ``source`` keeps its minimum share of engines with one less."""
    engines = sum(len(items) for items in stages.values())
    return len(stages[source]) - 1 >= math.ceil(MIN_ENGINE_SHARES[source] * engines)


def _least_loaded(engines: Sequence[EngineLoad]) -> EngineLoad | None:
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
