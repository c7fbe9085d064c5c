"""Runs a ``StageControl`` for each service with engines."""

from collections.abc import Callable, Iterable, Iterator
from functools import partial

import curio

from ..events import EventLog
from ..process.clock import now_s
from ..process.fleet_knowledge import FleetKnowledge
from ..process.lease import Lease
from ..process.lease_record import Contender
from ..process.settings_models import LeaseSettings
from ..process.store import RowStore
from ..process.store_era import StoreEra
from ..process.supervision import run_supervised
from ..process.upstreams import Stage, Upstream
from .route_table import RouteTable
from .stage_control import StageControl, StageView
from .stage_orders import OrderProtocol, StageOrders
from .stage_policy import EngineLoad, StageDemand

SERVICES_EVERY_S = 0.5


def view_stages(knowledge: FleetKnowledge, service: str) -> StageView:
    """Return the usable engines of a service and the demand on them."""
    engines = (
        _load_of(knowledge, item)
        for item in knowledge.registry.usable(service)
        if item.stage is not None and not knowledge.loads.is_suspended(item.upstream_id)
    )
    demand = StageDemand(
        knowledge.busyness.engines_needed(service, Stage.PREFILL),
        knowledge.busyness.engines_needed(service, Stage.DECODE),
    )
    return StageView(tuple(engines), demand)


def _load_of(knowledge: FleetKnowledge, upstream: Upstream) -> EngineLoad:
    name = upstream.upstream_id
    target = knowledge.changes.target(upstream)
    return EngineLoad(
        upstream,
        target or upstream.stage,
        knowledge.loads.requests(name),
        knowledge.loads.prompt_tokens(name),
        knowledge.loads.of(name).pace.at(now_s()),
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
        knowledge: FleetKnowledge,
        routes: Callable[[], RouteTable | None],
        entries: Callable[[], Iterable[str]],
        is_scheduler: Callable[[str], bool],
        is_closing: Callable[[], bool],
        era: StoreEra,
        log: EventLog,
    ):
        self._contender = contender
        self._era = era
        self._store = store
        self._lease = lease
        self._orders = StageOrders(protocol)
        self._knowledge = knowledge
        self._routes = routes
        self._entries = entries
        self._is_scheduler = is_scheduler
        self._is_closing = is_closing
        self._log = log
        self._controls: dict[str, StageControl] = {}
        self._tasks: dict[str, curio.Task] = {}

    async def run(self) -> None:
        """Run the tasks until this entry closes, then release its leases."""
        try:
            while not self._is_closing():
                await self._start_missing()
                await curio.sleep(SERVICES_EVERY_S)
        finally:
            for task in self._tasks.values():
                await task.cancel()
            self._tasks.clear()
        for control in self._controls.values():
            await control.close()
        await curio.Event().wait()

    def leases_held(self) -> Iterator[tuple[str, bool]]:
        """Yield each service with engines, and whether this entry holds its lease."""
        for service, control in self._controls.items():
            yield service, control.holds_lease

    async def _start_missing(self) -> None:
        table = self._routes()
        services = table.services.values() if table else ()
        for spec in services:
            if spec.engine is not None and spec.name not in self._tasks:
                control = self._new_control(spec.name)
                self._controls[spec.name] = control
                self._tasks[spec.name] = await curio.spawn(
                    run_supervised, control.run, self._log
                )

    def _new_control(self, service: str) -> StageControl:
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
        return StageControl(
            service,
            self._contender.entry_id,
            lease,
            partial(view_stages, self._knowledge, service),
            self._orders,
            self._knowledge.changes,
            partial(self._is_scheduler, service),
            self._log,
        )
