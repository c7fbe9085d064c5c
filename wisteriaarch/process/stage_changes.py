"""Engines that are changing their stage, and so take no work for about a second.

Load pattern: a stage is changed at a peak, and calls that other entries place there
meanwhile are declined and have to be repeated.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from .clock import now_s
from .digest import StageNotice
from .upstreams import Stage, Upstream

CHANGE_KEPT_S = 6.0
STAGE_NAMES = frozenset(stage.value for stage in Stage)


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

    def export(self) -> Iterator[StageNotice]:
        """Return the changes under way, for the peers."""
        now = self._clock()
        for upstream_id, target in self._targets.items():
            age_s = now - target.since_s
            if age_s < CHANGE_KEPT_S:
                yield StageNotice(upstream_id, target.stage.value, age_s)

    def absorb(self, notices: Iterable[StageNotice]) -> None:
        """Take in what a peer knows; a notice that is passed on keeps its age."""
        for notice in notices:
            known = self._targets.get(notice.upstream)
            since_s = self._clock() - notice.age_s
            if notice.stage not in STAGE_NAMES:
                continue
            if known is not None and known.since_s >= since_s:
                continue
            self._targets[notice.upstream] = StageTarget(Stage(notice.stage), since_s)
