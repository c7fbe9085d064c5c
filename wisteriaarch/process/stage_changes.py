"""Engines that are changing their stage, and so take no work for about a second.

Load pattern: a stage is changed at a peak, and calls that are placed there meanwhile
are declined and have to be repeated.
"""

from collections.abc import Callable
from dataclasses import dataclass

from .clock import now_s
from .upstreams import Stage, Upstream

CHANGE_KEPT_S = 6.0


@dataclass(frozen=True)
class StageTarget:
    """Stage that an engine is to have, and when its change began."""

    stage: Stage
    since_s: float


class StageChanges:
    """Changes under way; one ends when the engine is registered in its new stage."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._targets: dict[str, StageTarget] = {}

    def begin(self, upstream_id: str, stage: Stage) -> None:
        """Take in a change that begins now."""
        self._targets[upstream_id] = StageTarget(stage, self._clock())

    def cancel(self, upstream_id: str) -> None:
        """Take in that a change doesn't take place, or that the engine is gone."""
        self._targets.pop(upstream_id, None)

    def target(self, upstream: Upstream) -> Stage | None:
        """Return the stage that an engine is changing to; None where it isn't."""
        target = self._targets.get(upstream.upstream_id)
        if target is None:
            return None
        is_old = self._clock() - target.since_s >= CHANGE_KEPT_S
        if is_old or upstream.stage is target.stage:
            del self._targets[upstream.upstream_id]
            return None
        return target.stage
