"""Log of stages in which no engine responds.

Without an engine of the decode stage no completion is served, however many engines of
the prefill stage are idle. The log tells whether a change of a stage is wanted then, or
is wanted and can't be ordered.
"""

from collections.abc import Sequence

from ..event_log import EventLog
from ..events import Event
from ..process.upstreams import Stage
from .stage_loads import EngineLoad
from .stage_policy import StageChange


class StagingLog:
    """Writes an event when a stage of one service loses or regains all engines."""

    def __init__(self, service: str, log: EventLog):
        self._service = service
        self._log = log
        self._change_wanted: dict[Stage, bool] = {}

    def observe(
        self, engines: Sequence[EngineLoad], change: StageChange | None
    ) -> None:
        """Record the engines that respond, and the change that the policy wants."""
        for stage in Stage:
            count = sum(item.stage is stage for item in engines)
            if count or not engines:
                self._record_staffed(stage)
            else:
                self._record_unstaffed(stage, len(engines), change)

    def _record_unstaffed(
        self, stage: Stage, others: int, change: StageChange | None
    ) -> None:
        is_wanted = change is not None and change.stage is stage
        if self._change_wanted.get(stage) is is_wanted:
            return
        self._change_wanted[stage] = is_wanted
        self._log.write(
            Event.STAGE_UNSTAFFED,
            group=self._service,
            role=stage.value,
            others=others,
            change_wanted=is_wanted,
        )

    def _record_staffed(self, stage: Stage) -> None:
        if self._change_wanted.pop(stage, None) is not None:
            self._log.write(Event.STAGE_STAFFED, group=self._service, role=stage.value)
