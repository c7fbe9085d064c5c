"""Engines that are changing their stage, and so accept no work for about a second.

Guards against placing calls on such an engine: it declines them, and they must be
retried at a time of peak load.
"""

from collections.abc import Callable
from dataclasses import dataclass

from .clock import now_s
from .upstreams import Stage, Upstream

CHANGE_TIMEOUT_S = 6.0


@dataclass(frozen=True)
class StageTarget:
    """Target stage of an engine, and when its change began."""

    stage: Stage
    started_at_s: float


class StageChanges:
    """Changes in progress; one ends when the engine is registered in its new stage."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._targets: dict[str, StageTarget] = {}

    def begin(self, upstream_id: str, stage: Stage) -> None:
        """Record a change that begins now."""
        self._targets[upstream_id] = StageTarget(stage, self._clock())

    def cancel(self, upstream_id: str) -> None:
        """Remove a change that doesn't take place, or whose engine is deregistered."""
        self._targets.pop(upstream_id, None)

    def target(self, upstream: Upstream) -> Stage | None:
        """Return the stage that an engine is changing to; None without a change."""
        target = self._targets.get(upstream.upstream_id)
        if target is None:
            return None
        is_timed_out = self._clock() - target.started_at_s >= CHANGE_TIMEOUT_S
        if is_timed_out or upstream.stage is target.stage:
            del self._targets[upstream.upstream_id]
            return None
        return target.stage
