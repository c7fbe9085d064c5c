"""Control of one upstream group by the holder of its lease."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod

import curio

from ..errors import LeaseLost, PlatformError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.lease import Lease
from ..process.lease_record import LeaseTerm
from .closures import Closures
from .group_observer import GroupObserver
from .head import Head
from .manifest import GroupSpec
from .order_issuer import OrderIssuer
from .order_window import order_window_s
from .orders import OrderAction
from .poll_backoff import PollBackoff
from .publication import ActiveManifest
from .role_changes import RoleChangeExecutor
from .rollout_plan import (
    CloseModels,
    GroupView,
    IssueOrder,
    RolloutPlanner,
    RolloutStep,
)


@dataclass(frozen=True)
class ControlIntervals:
    """Control intervals while changes are under way and while none are."""

    active_s: float
    idle_s: float


@dataclass
class GroupComponents:
    """Components of one group's controller."""

    lease: Lease
    issuer: OrderIssuer
    closures: Closures
    observer: GroupObserver
    roles: RoleChangeExecutor
    poll_backoff: PollBackoff


class GroupController:
    """Brings the engines of one group to the state that the manifest specifies."""

    def __init__(
        self,
        group: str,
        components: GroupComponents,
        active_manifest: Callable[[], ActiveManifest | None],
        intervals: ControlIntervals,
        log: EventLog,
    ):
        self.group = group
        self._components = components
        self._active_manifest = active_manifest
        self._intervals = intervals
        self._stable_view: GroupView | None = None
        self._log = log
        self._lease_term: LeaseTerm | None = None

    def status(self) -> dict:
        """Return the status that operators see: lease and unsettled orders."""
        is_held = self._components.lease.is_held()
        unsettled = (
            self._components.observer.monitor.unsettled_orders if is_held else {}
        )
        return {
            "held": is_held,
            "epoch": self._components.lease.lease_term.epoch if is_held else None,
            "unsettled_orders": {name: item.number for name, item in unsettled.items()},
        }

    async def run(self) -> None:
        """Compete for the lease and control the group while it is held, forever."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._components.lease.run)
            await tasks.spawn(self._control)
        raise RuntimeError("control task ended unexpectedly") from tasks.exception

    async def release(self) -> None:
        """Release the lease; call only after the task of ``run`` has ended."""
        await self._components.lease.release()

    async def _control(self) -> None:
        while True:
            is_active = True
            try:
                is_active = await self._advance()
            except (LeaseLost, PlatformError) as exc:
                self._log_interruption(exc)
            await self._wait(
                self._intervals.active_s if is_active else self._intervals.idle_s
            )

    async def _wait(self, duration_s: float) -> None:
        """Wait for ``duration_s``, or until another head is in force."""
        generation = self._generation()
        until_s = now_s() + duration_s
        while now_s() < until_s and generation == self._generation():
            await curio.sleep(self._intervals.active_s)

    def _generation(self) -> int:
        active = self._active_manifest()
        return active.head.generation if active else 0

    def _log_interruption(self, exc: Exception) -> None:
        self._log.write(Event.CONTROL_INTERRUPTED, group=self.group, error=str(exc))

    async def _advance(self) -> bool:
        """Execute the next steps; returns whether to continue at the active interval.

        False if the group is in the specified state.
        """
        active = self._active_manifest()
        spec = self._find_spec(active)
        if spec is None or not self._components.lease.is_held():
            return True
        self._reset_on_new_lease_term()
        if self._in_order_window(spec):
            return True
        if self._stable_view is None or self._needs_poll(spec, active.head):
            return await self._poll_and_execute(spec, active)
        return self._decide_role_change(self._stable_view)

    def _needs_poll(self, spec: GroupSpec, head: Head) -> bool:
        due = self._components.poll_backoff.is_due()
        return due or self._components.observer.has_changed(
            spec, head, self._stable_view
        )

    def _decide_role_change(self, view: GroupView) -> bool:
        self._components.roles.decide(view.states)
        if self._components.roles.pending():
            self._stable_view = None
            return True
        return False

    async def _poll_and_execute(self, spec: GroupSpec, active: ActiveManifest) -> bool:
        self._stable_view = None
        roles = self._components.roles
        view = await self._components.observer.observe(spec, active, roles.pending())
        await roles.update(view.states, set(view.eligible))
        steps = RolloutPlanner(view).steps()
        async with curio.TaskGroup() as tasks:
            for step in steps:
                await tasks.spawn(self._execute, step, spec, view)
        if steps or view.unsettled_orders or view.closures:
            self._components.poll_backoff.reset()
            return True
        if view.is_stable():
            self._stable_view = view
            self._components.poll_backoff.extend()
        else:
            self._components.poll_backoff.reset()
        return self._decide_role_change(view)

    def _find_spec(self, active: ActiveManifest | None) -> GroupSpec | None:
        if active is None:
            return None
        groups = active.manifest.groups
        return next((spec for spec in groups if spec.name == self.group), None)

    def _reset_on_new_lease_term(self) -> None:
        lease_term = self._components.lease.require_remaining(0.0)
        if lease_term is not self._lease_term:
            self._lease_term = lease_term
            self._stable_view = None
            self._components.poll_backoff.reset()
            self._components.issuer.reset()
            self._components.roles.reset()
            self._components.observer.reset()

    def _in_order_window(self, spec: GroupSpec) -> bool:
        """Whether an order of the previous lease holder could still take effect."""
        lease = self._components.lease
        window_s = order_window_s(spec.order_read_timeout_s, lease)
        return now_s() < lease.require_remaining(0.0).acquired_at_s + window_s

    @singledispatchmethod
    async def _execute(
        self, step: RolloutStep, spec: GroupSpec, view: GroupView
    ) -> None:
        raise TypeError(f"steps of type {type(step).__name__} are not supported")

    @_execute.register
    async def _(self, step: CloseModels, spec, view) -> None:
        try:
            await self._components.closures.set(
                step.upstream, step.models, view.revision
            )
        except (LeaseLost, PlatformError) as exc:
            self._log_interruption(exc)

    @_execute.register
    async def _(self, step: IssueOrder, spec, view) -> None:
        if step.request.action is OrderAction.ROLE:
            await self._components.roles.mark_drained()
        instance = view.instances[step.upstream]
        state = view.states[step.upstream]
        try:
            await self._components.issuer.issue(
                instance,
                state,
                step.request,
                spec.order_read_timeout_s,
                view.generation,
            )
        except (LeaseLost, PlatformError) as exc:
            self._log_interruption(exc)
