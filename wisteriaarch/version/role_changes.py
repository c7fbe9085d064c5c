"""Execution of the role changes that a ``RolePolicy`` decides on."""

from collections.abc import Callable
from dataclasses import dataclass

from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..steps import Step, reach_step
from .orders import EngineState
from .roles import EngineObservation, Role, RoleChange, RolePolicy


@dataclass
class RoleChangeExecutor:
    """Executes role changes of one group, one at a time.

    A change that the lease holder doesn't finish is dropped: the next holder reopens
    the engine, and its policy decides again.
    """

    group: str
    policy: RolePolicy
    observe: Callable[[str], EngineObservation | None]
    log: EventLog
    _change: RoleChange | None = None
    _incarnation: int = 0
    _drained: bool = False
    _logged_deferral: tuple[str, Role] | None = None

    def pending(self) -> dict[str, Role]:
        """Return the target role by upstream of the change under way; empty if none."""
        change = self._change
        return {change.upstream: change.role} if change else {}

    def reset(self) -> None:
        """Drop the change under way."""
        self._change = None

    def decide(self, states: dict[str, EngineState]) -> None:
        """Start a change if the policy decides on one.

        Called while nothing else is under way. A change that would leave a model
        without an upstream is deferred.
        """
        if self._change is not None:
            return
        observed = [self.observe(name) for name in sorted(states)]
        observations = [item for item in observed if item is not None]
        change = self.policy.decide(observations, now_s())
        if change is None or change.upstream not in states:
            return
        if _leaves_model_unserved(states, change.upstream):
            self._log_deferral(change)
            return
        self._change = change
        self._incarnation = states[change.upstream].incarnation
        self._drained = False
        self.log.write(
            Event.ROLE_CHANGE_DECIDED,
            group=self.group,
            upstream=change.upstream,
            role=change.role.value,
            reason=change.reason,
        )

    def _log_deferral(self, change: RoleChange) -> None:
        if (change.upstream, change.role) == self._logged_deferral:
            return
        self._logged_deferral = (change.upstream, change.role)
        self.log.write(
            Event.ROLE_CHANGE_DEFERRED,
            group=self.group,
            upstream=change.upstream,
            role=change.role.value,
            reason=change.reason,
        )

    async def mark_drained(self) -> None:
        """Record that the engine has no streams left and can receive its order."""
        if not self._drained:
            self._drained = True
            await reach_step(Step.ROLE_DRAINED)

    async def update(self, states: dict[str, EngineState], eligible: set[str]) -> None:
        """End the change if the engine has the role, restarted or leaves service."""
        change = self._change
        if change is None:
            return
        state = states.get(change.upstream)
        if change.upstream not in eligible:
            self._end(change, "upstream is leaving service")
        elif state is None:
            return
        elif state.role is change.role:
            self._end(change, "done")
            await reach_step(Step.ROLE_CHANGED)
        elif state.incarnation != self._incarnation:
            self._end(change, "upstream has restarted")

    def _end(self, change: RoleChange, outcome: str) -> None:
        self._change = None
        self.log.write(
            Event.ROLE_CHANGE_ENDED,
            group=self.group,
            upstream=change.upstream,
            role=change.role.value,
            outcome=outcome,
        )


def _leaves_model_unserved(states: dict[str, EngineState], upstream: str) -> bool:
    """Whether a model would have no upstream while ``upstream`` changes its role."""
    others = {
        model
        for name, state in states.items()
        if name != upstream
        for model in state.models
    }
    return not states[upstream].models.keys() <= others
