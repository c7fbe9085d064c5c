"""Control of upstream groups: one controller for each group of the manifest."""

from collections.abc import Callable

import curio

from ..event_log import EventLog
from ..process.clock import now_s
from ..process.fleet import Fleet
from ..process.lease import Lease
from ..process.lease_record import Contender
from ..process.load_monitor import LoadMonitor
from ..process.load_reports import LoadReport
from ..process.membership import Membership
from ..process.settings import EntrySettings
from ..process.store import TableStore
from .closures import Closures
from .engine_monitor import EngineMonitor
from .group_controller import ControlIntervals, GroupComponents, GroupController
from .group_observer import GroupObserver
from .manifest_watcher import ManifestWatcher
from .order_issuer import OrderIssuer
from .orders import OrderStore
from .poll_backoff import PollBackoff
from .role_changes import RoleChangeExecutor
from .roles import EngineObservation, Role, RolePolicy, StaticRolePolicy

GROUPS_CHECK_INTERVAL_S = 0.2

RolePolicyFactory = Callable[[], RolePolicy]


class ControlPlane:
    """Runs the group controllers of this entry; ``stop`` releases their leases."""

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: str,
        table: TableStore,
        fleet: Fleet,
        loads: LoadMonitor,
        membership: Membership,
        watcher: ManifestWatcher,
        log: EventLog,
        new_role_policy: RolePolicyFactory = StaticRolePolicy,
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
            await self._update_controllers()
            await self._raise_controller_failure()
            await curio.sleep(GROUPS_CHECK_INTERVAL_S)

    async def stop(self) -> None:
        """Stop all controllers and release their leases."""
        self._stopping = True
        for group in list(self._controllers):
            await self._stop_controller(group)

    async def _update_controllers(self) -> None:
        current = self._watcher.current
        if current is None or self._stopping:
            return
        wanted = {group.name for group in current.manifest.groups}
        for group in sorted(wanted - self._controllers.keys()):
            controller = self._new_controller(group)
            self._controllers[group] = controller
            self._tasks[group] = await curio.spawn(controller.run, daemon=True)
        for group in sorted(self._controllers.keys() - wanted):
            await self._stop_controller(group)

    async def _stop_controller(self, group: str) -> None:
        controller = self._controllers.pop(group, None)
        if controller is None:
            return
        await self._tasks.pop(group).cancel()
        await controller.release()

    async def _raise_controller_failure(self) -> None:
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
        issuer = OrderIssuer(OrderStore(group, self._table, lease), lease, self._log)
        closures = Closures(self._table, lease, self._membership, self._log)
        roles = RoleChangeExecutor(
            group, self._new_role_policy(), self._observe_engine, self._log
        )
        monitor = EngineMonitor(issuer, self._log)
        observer = GroupObserver(
            group, self._fleet, monitor, closures, self._fresh_report, self._log
        )
        settings = self._settings
        poll_backoff = PollBackoff(
            settings.control_idle_every_s, settings.control_rest_every_s
        )
        components = GroupComponents(
            lease, issuer, closures, observer, roles, poll_backoff
        )
        intervals = ControlIntervals(
            settings.control_every_s, settings.control_idle_every_s
        )
        return GroupController(
            group, components, lambda: self._watcher.current, intervals, self._log
        )

    def _fresh_report(self, upstream: str) -> LoadReport | None:
        view = self._loads.views.get(upstream)
        return view.fresh_report() if view else None

    def _candidates(self) -> list[str]:
        return [
            item.instance_id
            for item in self._fleet.of_kind("entry")
            if not item.leaving
        ]

    def _observe_engine(self, upstream: str) -> EngineObservation | None:
        report = self._fresh_report(upstream)
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
