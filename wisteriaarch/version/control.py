"""Control of upstream groups: one controller for each group of the manifest."""

from collections.abc import Callable

import curio

from ..events import EventLog
from ..process.clock import now_s
from ..process.fleet import Fleet
from ..process.lease import Lease
from ..process.lease_record import Contender
from ..process.loads import LoadBoard
from ..process.membership import Membership
from ..process.reports import LoadReport
from ..process.settings import EntrySettings
from ..process.store import TableStore
from .closures import Closures
from .engine_watch import EngineWatch
from .group_observer import GroupObserver
from .issuer import OrderIssuer
from .orders import OrderBook
from .rest import RestTimer
from .role_changes import RoleChanges
from .roles import EngineObservation, KeepRoles, Role, RolePolicy
from .rollout import ControlTimes, GroupController, GroupParts
from .watcher import ManifestWatcher

GROUPS_CHECK_EVERY_S = 0.2

RolePolicyFactory = Callable[[], RolePolicy]


class ControlPlane:
    """Runs the group controllers of this entry; ``stop`` releases their leases."""

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: str,
        table: TableStore,
        fleet: Fleet,
        loads: LoadBoard,
        membership: Membership,
        watcher: ManifestWatcher,
        log: EventLog,
        new_role_policy: RolePolicyFactory = KeepRoles,
    ):
        self._settings = settings
        self._contender = Contender(settings.entry_id, incarnation)
        self._table = table
        self._fleet = fleet
        self._loads = loads
        self._membership = membership
        self._watcher = watcher
        self._log = log
        self._new_role_policy = new_role_policy
        self._controllers: dict[str, GroupController] = {}
        self._tasks: dict[str, curio.Task] = {}
        self._stopping = False

    def status(self) -> dict:
        """Return the state of each group's control on this entry."""
        return {name: item.status() for name, item in self._controllers.items()}

    async def run(self) -> None:
        """Start and stop controllers as the groups of the manifest change, forever."""
        while True:
            await self._follow_groups()
            await self._raise_failure()
            await curio.sleep(GROUPS_CHECK_EVERY_S)

    async def stop(self) -> None:
        """Stop all controllers and release their leases."""
        self._stopping = True
        for group in list(self._controllers):
            await self._end(group)

    async def _follow_groups(self) -> None:
        current = self._watcher.current
        if current is None or self._stopping:
            return
        wanted = {group.name for group in current.manifest.groups}
        for group in sorted(wanted - self._controllers.keys()):
            controller = self._new_controller(group)
            self._controllers[group] = controller
            self._tasks[group] = await curio.spawn(controller.run, daemon=True)
        for group in sorted(self._controllers.keys() - wanted):
            await self._end(group)

    async def _end(self, group: str) -> None:
        controller = self._controllers.pop(group, None)
        if controller is None:
            return
        await self._tasks.pop(group).cancel()
        await controller.release()

    async def _raise_failure(self) -> None:
        """Raise the exception that ended a controller.

        The controller is removed first, so the next round starts it again.
        """
        for group, task in list(self._tasks.items()):
            if task.terminated:
                del self._tasks[group]
                del self._controllers[group]
                await task.join()

    def _new_controller(self, group: str) -> GroupController:
        lease = Lease(
            group,
            self._contender,
            self._table,
            self._settings.lease,
            self._candidates,
            self._log,
        )
        issuer = OrderIssuer(OrderBook(group, self._table, lease), lease, self._log)
        closures = Closures(self._table, lease, self._membership, self._log)
        roles = RoleChanges(group, self._new_role_policy(), self._observe, self._log)
        watch = EngineWatch(issuer, self._log)
        observer = GroupObserver(
            group, self._fleet, watch, closures, self._report, self._log
        )
        settings = self._settings
        rest = RestTimer(settings.control_idle_every_s, settings.control_rest_every_s)
        parts = GroupParts(lease, issuer, closures, observer, roles, rest)
        times = ControlTimes(settings.control_every_s, settings.control_idle_every_s)
        return GroupController(
            group, parts, lambda: self._watcher.current, times, self._log
        )

    def _report(self, upstream: str) -> LoadReport | None:
        view = self._loads.views.get(upstream)
        return view.fresh_report() if view else None

    def _candidates(self) -> list[str]:
        return [
            item.instance_id
            for item in self._fleet.of_kind("entry")
            if not item.leaving
        ]

    def _observe(self, upstream: str) -> EngineObservation | None:
        report = self._report(upstream)
        if report is None:
            return None
        view = self._loads.views[upstream]
        return EngineObservation(
            name=upstream,
            zone=view.instance.zone,
            role=Role(report.role),
            queued=report.queued,
            running=report.running,
            prefill_tokens_left=report.prefill_tokens_left,
            report_age_s=now_s() - report.received_at_s,
        )
