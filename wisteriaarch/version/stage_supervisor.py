"""Runs a ``StageController`` for each service with engines."""

from collections.abc import Callable, Iterable, Iterator
from functools import partial

import curio

from ..event_log import EventLog
from ..process.clock import now_s
from ..process.fleet_estimates import FleetEstimates
from ..process.lease import Lease
from ..process.lease_record import Contender
from ..process.settings_models import LeaseSettings
from ..process.store import RowStore
from ..process.store_era import StoreEra
from ..process.supervision import run_supervised
from ..process.upstream_signals import SignalsObserver, ignore_signals
from ..process.upstreams import Stage, Upstream
from .route_table import RouteTable
from .stage_controller import StageController, StageView
from .stage_loads import EngineLoad, PrefillDemand
from .stage_orders import OrderProtocol, StageOrderClient

SERVICES_CHECK_INTERVAL_S = 0.5


def observe_stages(estimates: FleetEstimates, service: str) -> StageView:
    """Return the engines of a service that respond, and the demand on them."""
    engines = (
        _engine_load(estimates, item)
        for item in estimates.registry.usable(service)
        if item.stage is not None and estimates.loads.is_responsive(item.upstream_id)
    )
    demand = PrefillDemand(
        estimates.utilization.engines_needed(service, Stage.PREFILL),
        estimates.utilization.engines_needed(service, Stage.DECODE),
    )
    is_complete = not estimates.registry.may_be_incomplete()
    return StageView(tuple(engines), demand, is_complete)


def count_engines(estimates: FleetEstimates, service: str) -> dict[Stage, int]:
    """Return how many engines respond in each stage of a service."""
    engines = observe_stages(estimates, service).engines
    return {stage: sum(item.stage is stage for item in engines) for stage in Stage}


def _engine_load(estimates: FleetEstimates, upstream: Upstream) -> EngineLoad:
    name = upstream.upstream_id
    target = estimates.stage_changes.target(upstream)
    return EngineLoad(
        upstream,
        target or upstream.stage,
        estimates.loads.requests(name),
        estimates.loads.prompt_tokens(name),
        estimates.loads.of(name).slowdown.at(now_s()),
        changing=target is not None,
    )


class StageSupervisor:
    """Runs one task for each service; no orders are issued once ``is_closing``.

    ``is_scheduler`` returns whether this entry schedules a service and so tracks its
    load.
    """

    def __init__(
        self,
        contender: Contender,
        store: RowStore,
        lease: LeaseSettings,
        protocol: OrderProtocol,
        estimates: FleetEstimates,
        routes: Callable[[], RouteTable | None],
        entries: Callable[[], Iterable[str]],
        is_scheduler: Callable[[str], bool],
        is_closing: Callable[[], bool],
        era: StoreEra,
        log: EventLog,
        observe_signals: SignalsObserver = ignore_signals,
    ):
        self._contender = contender
        self._era = era
        self._store = store
        self._lease = lease
        self._orders = StageOrderClient(protocol, observe_signals)
        self._estimates = estimates
        self._routes = routes
        self._entries = entries
        self._is_scheduler = is_scheduler
        self._is_closing = is_closing
        self._log = log
        self._controllers: dict[str, StageController] = {}
        self._tasks: dict[str, curio.Task] = {}

    async def run(self) -> None:
        """Run the tasks until this entry closes, then release its leases."""
        try:
            while not self._is_closing():
                await self._start_controllers()
                await curio.sleep(SERVICES_CHECK_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                await task.cancel()
            self._tasks.clear()
        for controller in self._controllers.values():
            await controller.close()
        await curio.Event().wait()

    def lease_states(self) -> Iterator[tuple[str, bool]]:
        """Yield each service with engines, and whether this entry holds its lease."""
        for service, controller in self._controllers.items():
            yield service, controller.holds_lease

    async def _start_controllers(self) -> None:
        table = self._routes()
        services = table.services.values() if table else ()
        for spec in services:
            if spec.engine is not None and spec.name not in self._tasks:
                controller = self._new_controller(spec.name)
                self._controllers[spec.name] = controller
                self._tasks[spec.name] = await curio.spawn(
                    run_supervised, controller.run, self._log
                )

    def _new_controller(self, service: str) -> StageController:
        lease = Lease(
            service,
            self._contender,
            self._store,
            self._lease,
            self._entries,
            self._log,
            partial(self._is_scheduler, service),
            self._era,
        )
        return StageController(
            service,
            self._contender.entry_id,
            lease,
            partial(observe_stages, self._estimates, service),
            self._orders,
            self._estimates.stage_changes,
            partial(self._is_scheduler, service),
            self._log,
        )
