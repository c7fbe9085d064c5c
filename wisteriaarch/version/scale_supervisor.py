"""Runs a ``ScaleController`` and its duty for each service that is scaled."""

from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from functools import partial

import curio

from ..process.duty import Duty, DutyContext
from ..process.duty_messages import (
    DutyAuthority,
    DutyProtocol,
    DutyResult,
    ScalingOrder,
)
from ..process.duty_settings import AUTOSCALE_DUTY
from ..process.fleet_estimates import FleetEstimates
from ..process.supervision import run_supervised
from ..wire import OutgoingRequest
from .route_table import RoutedService, RouteTable
from .scale_controller import ScaleController
from .scaled_fleet import ServerGroup
from .scaling_spec import ScalingSpec
from .scaling_view import ScalingView

SERVICES_CHECK_INTERVAL_S = 0.5
RELEASE_TIMEOUT_S = 1.0

DutyCall = Callable[[Duty, OutgoingRequest], Awaitable[DutyResult]]


@dataclass(frozen=True)
class DutySender:
    """Sends the orders of one service under its duty."""

    duty: Duty
    call: DutyCall
    protocol: DutyProtocol

    def authority(self) -> DutyAuthority:
        """Return the right to call now; raises LeaseLost."""
        return self.duty.authority()

    async def send(self, order: ScalingOrder) -> DutyResult:
        """Send one order; raises LeaseLost or a PlatformError if nothing was sent."""
        req = self.protocol.scale_request(order, self.duty.authority())
        return await self.call(self.duty, req)


@dataclass(frozen=True)
class _Scaled:
    controller: ScaleController
    duty: Duty
    tasks: tuple[curio.Task, ...]


class ScaleSupervisor:
    """Runs the tasks of each service with scaling, until this entry closes.

    ``is_scheduler`` returns whether this entry schedules a service and so tracks its
    load; that entry competes for the service's duty first.
    """

    def __init__(
        self,
        context: DutyContext,
        call: DutyCall,
        protocol: DutyProtocol,
        estimates: FleetEstimates,
        routes: Callable[[], RouteTable | None],
        is_scheduler: Callable[[str], bool],
        is_closing: Callable[[], bool],
    ):
        self._context = context
        self._call = call
        self._protocol = protocol
        self._estimates = estimates
        self._routes = routes
        self._is_scheduler = is_scheduler
        self._is_closing = is_closing
        self._scaled: dict[str, _Scaled] = {}

    async def run(self) -> None:
        """Run the tasks until this entry closes, then release its duties."""
        try:
            while not self._is_closing():
                await self._start_controllers()
                await curio.sleep(SERVICES_CHECK_INTERVAL_S)
        finally:
            for item in self._scaled.values():
                for task in item.tasks:
                    await task.cancel()
        async with curio.ignore_after(RELEASE_TIMEOUT_S):
            for item in self._scaled.values():
                await item.duty.release()
        await curio.Event().wait()

    def held(self) -> Iterator[tuple[str, bool]]:
        """Yield each scaled service, and whether this entry holds its duty."""
        for service, item in self._scaled.items():
            yield service, item.duty.is_held

    def counts(self) -> Iterator[tuple[str, ServerGroup, int, int]]:
        """Yield the wanted and present servers of the services scheduled here."""
        for service, item in self._scaled.items():
            for group, wanted, present in item.controller.counts():
                yield service, group, wanted, present

    async def _start_controllers(self) -> None:
        table = self._routes()
        services = table.services.values() if table else ()
        for service in services:
            if service.scaling is not None and service.name not in self._scaled:
                await self._start(service)

    async def _start(self, service: RoutedService) -> None:
        is_local = partial(self._is_scheduler, service.name)
        controllers: list[ScaleController] = []
        duty = Duty.from_config(
            self._context,
            AUTOSCALE_DUTY,
            service.name,
            lambda: any(item.wants_duty for item in controllers),
            is_local,
        )
        controller = ScaleController(
            service.name,
            partial(self._spec, service.name),
            service.engine is not None,
            ScalingView(self._estimates, service.name),
            DutySender(duty, self._call, self._protocol),
            is_local,
            self._context.log,
        )
        controllers.append(controller)
        tasks = [
            await curio.spawn(run_supervised, main, self._context.log)
            for main in (duty.run, controller.run)
        ]
        self._scaled[service.name] = _Scaled(controller, duty, tuple(tasks))

    def _spec(self, service: str) -> ScalingSpec | None:
        """Return the scaling in force; None once a configuration has none."""
        table = self._routes()
        routed = table.services.get(service) if table else None
        return routed.scaling if routed else None
