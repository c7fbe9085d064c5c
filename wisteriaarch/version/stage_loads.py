"""Load of engines and stages, and how many decode engines a software version needs."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from ..process.upstreams import Stage, Upstream

# Utilization of a stage that is short of engines.
SHORTAGE_UTILIZATION = 0.45
# Share of occupied batch slots from which on the decode stage counts as short.
SLOTS_SHORTAGE_SHARE = 0.8
VERSION_DECODE_ENGINES_MIN = 2
SMOOTHING_TIME_S = 0.7


@dataclass(frozen=True)
class EngineLoad:
    """Engine with the load that all entries have in flight there.

    ``stage`` is its current stage, or the target of a change under way. The slowdown
    is the ratio of observed to expected time.
    """

    upstream: Upstream
    stage: Stage
    requests: int = 0
    prompt_tokens: int = 0
    slowdown: float = 1.0
    changing: bool = False


@dataclass(frozen=True)
class PrefillDemand:
    """Number of engines of each stage that placed prefill keeps busy."""

    prefill_engines: float
    decode_engines: float

    def for_stage(self, stage: Stage) -> float:
        """Return the demand on one stage."""
        return self.prefill_engines if stage is Stage.PREFILL else self.decode_engines


@dataclass
class SmoothedUtilization:
    """Moving average with the time constant SMOOTHING_TIME_S, and the last value."""

    value: float = 0.0
    last: float = 0.0
    observed_at_s: float | None = None

    @property
    def highest(self) -> float:
        """The average, or the last value where that is higher."""
        return max(self.value, self.last)

    def reset(self) -> None:
        """Discard past values, for example since the set of engines changed."""
        self.observed_at_s = None

    def observe(self, value: float, at_s: float) -> None:
        """Add the value at ``at_s`` to the average."""
        if self.observed_at_s is None:
            self.value = value
        else:
            weight = 1 - math.exp(
                -max(0.0, at_s - self.observed_at_s) / SMOOTHING_TIME_S
            )
            self.value += weight * (value - self.value)
        self.last = value
        self.observed_at_s = at_s


def utilization_of(
    engines: Sequence[EngineLoad], stage: Stage, demand: PrefillDemand
) -> float:
    """Return the utilization of a stage; 1 if it is fully utilized.

    An engine that is slower than the fastest of its stage counts as a fraction of one.
    """
    best = min((item.slowdown for item in engines), default=1.0)
    capacity = sum(best / item.slowdown for item in engines)
    prefill_utilization = demand.for_stage(stage) / max(1.0, capacity)
    if stage is Stage.PREFILL:
        return prefill_utilization
    slots = sum(item.upstream.slots for item in engines)
    running = sum(item.requests for item in engines)
    # SLOTS_SHORTAGE_SHARE of the slots in use counts as SHORTAGE_UTILIZATION.
    return max(
        prefill_utilization,
        SHORTAGE_UTILIZATION / SLOTS_SHORTAGE_SHARE * running / max(1, slots),
    )


def by_version(engines: Sequence[EngineLoad]) -> dict[str, list[EngineLoad]]:
    """Return engines by their software version."""
    grouped: dict[str, list[EngineLoad]] = {}
    for item in engines:
        grouped.setdefault(item.upstream.software, []).append(item)
    return grouped


def spare_decode_engines(engines: Sequence[EngineLoad]) -> int:
    """Return how many decode engines a software version has beyond its minimum.

    A version keeps ``VERSION_DECODE_ENGINES_MIN``, or all but one of fewer engines.
    """
    decodes = sum(item.stage is Stage.DECODE for item in engines)
    return decodes - min(VERSION_DECODE_ENGINES_MIN, len(engines) - 1)


def dispensable(
    stages: dict[Stage, list[EngineLoad]], source: Stage
) -> list[EngineLoad]:
    """Return the engines of a stage without which each version has its minimum."""
    versions = by_version([item for items in stages.values() for item in items])
    if source is Stage.PREFILL or len(versions) == 1:
        return stages[source]
    return [
        item
        for item in stages[source]
        if spare_decode_engines(versions[item.upstream.software]) > 0
    ]
