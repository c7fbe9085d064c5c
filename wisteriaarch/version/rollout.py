"""Control of one upstream group by the holder of its lease."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod

import curio

from ..errors import LeaseLost, PlatformError
from ..events import Event, EventLog
from ..process.clock import now_s
from ..process.lease import Lease
from ..process.lease_record import Tenure
from .closures import Closures
from .group_observer import GroupObserver
from .head import Head
from .issuer import OrderIssuer
from .manifest import GroupSpec
from .order_window import order_window_s
from .orders import OrderAction
from .publication import Directive
from .rest import RestTimer
from .role_changes import RoleChanges
from .rollout_plan import (
    CloseModels,
    GroupView,
    IssueOrder,
    RolloutPlanner,
    RolloutStep,
)


@dataclass(frozen=True)
class ControlTimes:
    """Control intervals while changes are under way and while none are."""

    every_s: float
    idle_every_s: float


@dataclass
class GroupParts:
    """Components of one group's controller."""

    lease: Lease
    issuer: OrderIssuer
    closures: Closures
    observer: GroupObserver
    roles: RoleChanges
    rest: RestTimer


class GroupController:
    """Brings the engines of one group to the state that the manifest specifies."""

    def __init__(
        self,
        group: str,
        parts: GroupParts,
        directive: Callable[[], Directive | None],
        times: ControlTimes,
        log: EventLog,
    ):
        self.group = group
        self._parts = parts
        self._directive = directive
        self._times = times
        self._view: GroupView | None = None
        self._log = log
        self._tenure: Tenure | None = None

    def status(self) -> dict:
        """Return the status that operators see: lease and unsettled orders."""
        held = self._parts.lease.is_held()
        unsettled = self._parts.observer.watch.unsettled if held else {}
        return {
            "held": held,
            "epoch": self._parts.lease.tenure.epoch if held else None,
            "unsettled_orders": {name: item.number for name, item in unsettled.items()},
        }

    async def run(self) -> None:
        """Compete for the lease and control the group while it is held, forever."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._parts.lease.run)
            await tasks.spawn(self._control)
        raise RuntimeError("control task ended unexpectedly") from tasks.exception

    async def release(self) -> None:
        """Release the lease; call only after the task of ``run`` has ended."""
        await self._parts.lease.release()

    async def _control(self) -> None:
        while True:
            busy = True
            try:
                busy = await self._advance()
            except (LeaseLost, PlatformError) as exc:
                self._interrupted(exc)
            await self._wait(self._times.every_s if busy else self._times.idle_every_s)

    async def _wait(self, duration_s: float) -> None:
        """Wait for ``duration_s``, or until another head is in force."""
        generation = self._generation()
        until_s = now_s() + duration_s
        while now_s() < until_s and generation == self._generation():
            await curio.sleep(self._times.every_s)

    def _generation(self) -> int:
        directive = self._directive()
        return directive.head.generation if directive else 0

    def _interrupted(self, exc: Exception) -> None:
        self._log.write(Event.CONTROL_INTERRUPTED, group=self.group, error=str(exc))

    async def _advance(self) -> bool:
        """Execute the next steps; False if the group is in the specified state."""
        directive = self._directive()
        spec = self._spec(directive)
        if spec is None or not self._parts.lease.is_held():
            return True
        self._follow_tenure()
        if self._in_order_window(spec):
            return True
        if self._view is None or self._must_ask(spec, directive.head):
            return await self._ask_and_take(spec, directive)
        return self._consider_roles(self._view)

    def _must_ask(self, spec: GroupSpec, head: Head) -> bool:
        due = self._parts.rest.is_due()
        return due or self._parts.observer.has_changed(spec, head, self._view)

    def _consider_roles(self, view: GroupView) -> bool:
        self._parts.roles.consider(view.states)
        if self._parts.roles.pending():
            self._view = None
            return True
        return False

    async def _ask_and_take(self, spec: GroupSpec, directive: Directive) -> bool:
        self._view = None
        roles = self._parts.roles
        view = await self._parts.observer.observe(spec, directive, roles.pending())
        await roles.follow(view.states, set(view.eligible))
        steps = RolloutPlanner(view).steps()
        async with curio.TaskGroup() as tasks:
            for step in steps:
                await tasks.spawn(self._take, step, spec, view)
        if steps or view.unsettled or view.closures:
            self._parts.rest.reset()
            return True
        if view.at_rest():
            self._view = view
            self._parts.rest.extend()
        else:
            self._parts.rest.reset()
        return self._consider_roles(view)

    def _spec(self, directive: Directive | None) -> GroupSpec | None:
        if directive is None:
            return None
        groups = directive.manifest.groups
        return next((spec for spec in groups if spec.name == self.group), None)

    def _follow_tenure(self) -> None:
        tenure = self._parts.lease.require(0.0)
        if tenure is not self._tenure:
            self._tenure = tenure
            self._view = None
            self._parts.rest.reset()
            self._parts.issuer.forget()
            self._parts.roles.forget()
            self._parts.observer.forget()

    def _in_order_window(self, spec: GroupSpec) -> bool:
        """Whether an order of the previous lease holder could still take effect."""
        lease = self._parts.lease
        window_s = order_window_s(spec.order_read_timeout_s, lease)
        return now_s() < lease.require(0.0).since_s + window_s

    @singledispatchmethod
    async def _take(self, step: RolloutStep, spec: GroupSpec, view: GroupView) -> None:
        raise TypeError(f"steps of type {type(step).__name__} are not supported")

    @_take.register
    async def _(self, step: CloseModels, spec, view) -> None:
        try:
            await self._parts.closures.set(step.upstream, step.models, view.revision)
        except (LeaseLost, PlatformError) as exc:
            self._interrupted(exc)

    @_take.register
    async def _(self, step: IssueOrder, spec, view) -> None:
        if step.request.action is OrderAction.ROLE:
            await self._parts.roles.note_drained()
        instance = view.instances[step.upstream]
        state = view.states[step.upstream]
        try:
            await self._parts.issuer.issue(
                instance,
                state,
                step.request,
                spec.order_read_timeout_s,
                view.generation,
            )
        except (LeaseLost, PlatformError) as exc:
            self._interrupted(exc)
