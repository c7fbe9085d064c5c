"""Number of servers of one service: observes, decides and sends orders.

The entry that schedules the service decides, since it tracks the demand. It competes
for the duty only while an order is due, and holds it for some seconds after the last
one. A new holder knows the servers from their registrations.
"""

from collections.abc import Callable, Iterator
from typing import Protocol

import curio

from ..errors import LeaseLost, PlatformError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.duty_messages import DutyAuthority, DutyResult, ScalingOrder
from .issued_orders import IssuedOrders, group_of
from .scaled_fleet import FleetState, ServerGroup
from .scaling_forecast import ServiceDemand
from .scaling_spec import ScalingSpec
from .server_scaling import ScalingDecision, ServerScaling

DECISION_INTERVAL_S = 0.5
# On average one call a second; orders of one decision for many zones are sent at once.
CALLS_PER_S = 1.0
CALLS_AT_ONCE_MAX = 12.0
THROTTLED_PAUSE_S = 1.0
# Avoids a new competition for the duty between the removals of one service.
DUTY_KEPT_S = 10.0


class View(Protocol):
    """Servers of the service and the demand on them."""

    is_complete: bool

    def fleet(self, now: float) -> FleetState:
        """Return the servers that aren't draining."""

    def demand(self) -> ServiceDemand:
        """Return the present demand."""


class OrderSender(Protocol):
    """Sends orders while the duty of the service is held."""

    def authority(self) -> DutyAuthority:
        """Return the right to call now; raises LeaseLost."""

    async def send(self, order: ScalingOrder) -> DutyResult:
        """Send one order; raises LeaseLost or a PlatformError if nothing was sent."""


class CallBudget:
    """Allows ``CALLS_PER_S`` calls on average, some of them at once."""

    def __init__(self):
        self._calls = CALLS_AT_ONCE_MAX
        self._updated_at_s = float("-inf")

    def try_acquire(self, now: float) -> bool:
        """Use one call of the budget; False if none is left."""
        elapsed_s = now - self._updated_at_s
        self._calls = min(CALLS_AT_ONCE_MAX, self._calls + CALLS_PER_S * elapsed_s)
        self._updated_at_s = now
        if self._calls < 1:
            return False
        self._calls -= 1
        return True


class ScaleController:
    """Decides and sends the orders of one service; runs at every entry.

    ``spec`` returns the scaling of the service in force, None for none.
    """

    def __init__(
        self,
        service: str,
        spec: Callable[[], ScalingSpec | None],
        has_engines: bool,
        view: View,
        sender: OrderSender,
        is_scheduler: Callable[[], bool],
        log: EventLog,
    ):
        self._service = service
        self._current_spec = spec
        self._has_engines = has_engines
        self._view = view
        self._sender = sender
        self._is_scheduler = is_scheduler
        self._log = log
        self._spec: ScalingSpec | None = None
        self._scaling: ServerScaling | None = None
        self._issued = IssuedOrders(0.0)
        self._pending: list[tuple[ScalingOrder, bool]] = []
        self._budget = CallBudget()
        self._sent_at_s = float("-inf")
        self._paused_until_s = float("-inf")
        self._present: FleetState | None = None

    @property
    def wants_duty(self) -> bool:
        """Whether an order is due, or was sent shortly ago."""
        if self._scaling is None:
            return False
        is_recent = now_s() - self._sent_at_s < DUTY_KEPT_S
        return bool(self._pending or self._issued.unanswered()) or is_recent

    async def run(self) -> None:
        """Decide and send orders, forever."""
        while True:
            await curio.sleep(DECISION_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Decide once, if this entry is the scheduler, and send what is due."""
        if not self._may_decide():
            return
        now = now_s()
        fleet = self._present = self._view.fleet(now)
        self._drop_expired(fleet, now)
        for order in self._issued.unanswered():
            # Another order for the group might arrive before the repeated one.
            self._scaling.block_group(group_of(order), now, DECISION_INTERVAL_S)
        expected = self._issued.apply(fleet)
        demand = self._view.demand()
        decision = self._scaling.decide(demand, expected, now)
        self._update_pending(decision, expected)
        await self._send_due(decision, demand, expected)

    def _may_decide(self) -> bool:
        """Whether this entry decides now; begins anew when it becomes the scheduler."""
        spec = self._current_spec()
        if spec is None or not self._is_scheduler():
            self._spec = self._scaling = self._present = None
            self._pending = []
            self._issued.clear()
            return False
        if spec != self._spec:
            self._spec = spec
            self._scaling = ServerScaling(self._service, spec, self._has_engines)
            self._issued = IssuedOrders(spec.boot_s)
            self._pending = []
        return self._view.is_complete

    def _drop_expired(self, fleet: FleetState, now: float) -> None:
        for order in self._issued.expire(fleet, now):
            self._scaling.block_group(group_of(order), now)
            self._log_failure(order, "no effect in time")

    def _update_pending(self, decision: ScalingDecision, expected: FleetState) -> None:
        """Replace the orders to send; a removal that wasn't sent stays due.

        Additions are decided again while they are needed, removals at intervals.
        """
        unanswered = {group_of(order) for order in self._issued.unanswered()}
        if decision.orders:
            self._pending = [
                (order, order.desired > _expected_count(expected, group_of(order)))
                for order in decision.orders
            ]
        else:
            self._pending = [item for item in self._pending if not item[1]]
        self._pending = [
            item for item in self._pending if group_of(item[0]) not in unanswered
        ]

    async def _send_due(
        self, decision: ScalingDecision, demand: ServiceDemand, expected: FleetState
    ) -> None:
        decided = tuple(self._pending)
        for order, is_addition in (*decided, *self._issued.to_repeat(now_s())):
            now = now_s()
            if now < self._paused_until_s or not self._has_authority():
                return
            if not self._budget.try_acquire(now):
                return
            if (order, is_addition) in decided:
                self._log_decision(order, decision, demand, expected)
            result = await self._send(order)
            if result is None:
                return
            self._apply_result(order, is_addition, result)

    def _has_authority(self) -> bool:
        try:
            self._sender.authority()
        except LeaseLost:
            return False
        return True

    async def _send(self, order: ScalingOrder) -> DutyResult | None:
        """Send an order; returns None if nothing was sent."""
        try:
            return await self._sender.send(order)
        except (LeaseLost, PlatformError) as exc:
            self._log_failure(order, f"not sent: {exc}")
            return None

    def _apply_result(
        self, order: ScalingOrder, is_addition: bool, result: DutyResult
    ) -> None:
        now = self._sent_at_s = now_s()
        if result is DutyResult.THROTTLED:
            self._paused_until_s = now + THROTTLED_PAUSE_S
            return
        self._pending = [item for item in self._pending if item[0] != order]
        is_answered = result is not DutyResult.UNKNOWN
        if result in (DutyResult.ACCEPTED, DutyResult.UNKNOWN):
            self._issued.record(order, is_addition, is_answered, now)
        else:
            self._issued.discard(order)
            if is_addition:
                self._scaling.block_group(group_of(order), now)
        if result is not DutyResult.ACCEPTED:
            self._log_failure(order, result.value)

    def counts(self) -> Iterator[tuple[ServerGroup, int, int]]:
        """Yield the wanted and the present number of servers by group."""
        fleet = self._present
        if fleet is None:
            return
        expected = self._issued.apply(fleet)
        groups = fleet.present.keys() | expected.booting.keys()
        for group in sorted(groups):
            yield group, _expected_count(expected, group), fleet.present.get(group, 0)

    def _log_decision(
        self,
        order: ScalingOrder,
        decision: ScalingDecision,
        demand: ServiceDemand,
        expected: FleetState,
    ) -> None:
        need = decision.need
        self._log.write(
            Event.SCALING_DECIDED,
            **_order_fields(order),
            expected=_expected_count(expected, group_of(order)),
            serving=sum(expected.serving.values()),
            booting=sum(expected.booting.values()),
            needed=need.total,
            urgent=need.urgent,
            regular=need.regular,
            prefill=round(demand.prefill, 2),
            decode=round(demand.decode, 2),
            urgent_share=round(demand.urgent_share, 2),
            refused_share=round(demand.refused_share, 2),
        )

    def _log_failure(self, order: ScalingOrder, reason: str) -> None:
        self._log.write(
            Event.SCALING_ORDER_FAILED, **_order_fields(order), reason=reason
        )


def _order_fields(order: ScalingOrder) -> dict[str, str | int | bool]:
    return {
        "service": order.service,
        "zone": order.zone,
        "desired": order.desired,
        "spot": order.spot,
    }


def _expected_count(fleet: FleetState, group: ServerGroup) -> int:
    return fleet.present.get(group, 0) + fleet.booting.get(group, 0)
