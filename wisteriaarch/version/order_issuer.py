"""Issues orders, one at a time for each upstream, and settles recorded ones.

An order is settled once it is confirmed (executed by the engine) or void (certain
never to be executed).
"""

from dataclasses import dataclass, field

from ..errors import LeaseLost, OrderRefused, OrderUnconfirmed, UpstreamReassigned
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.lease import Lease
from ..process.store import Instance
from ..steps import Step, reach_step
from .order_window import deliver_order, order_window_s, takeover_order_window_s
from .orders import EngineState, Order, OrderRequest, OrderStore


@dataclass
class OrderIssuer:
    """Issues and settles the orders of one group, for the holder of its lease.

    ``_void_at_s`` has the time at which an upstream's unconfirmed order becomes void.
    """

    order_store: OrderStore
    lease: Lease
    log: EventLog
    _void_at_s: dict[str, float] = field(default_factory=dict)
    _logged_outcomes: dict[str, tuple[int, int]] = field(default_factory=dict)
    _logged_moves: set[str] = field(default_factory=set)

    def reset(self) -> None:
        """Discard the state of the previous lease term."""
        self.order_store.clear_cache()
        self._void_at_s.clear()
        self._logged_outcomes.clear()
        self._logged_moves.clear()

    async def take_over(
        self, upstream: str, generation: int, order_read_timeout_s: float
    ) -> None:
        """Take an upstream over if its last order is another group's, by an older head.

        See OrderStore.take_over.
        """
        try:
            taken_over = await self.order_store.take_over(upstream, generation)
        except UpstreamReassigned as exc:
            self._log_moved(upstream, exc)
            raise
        if taken_over:
            window_s = takeover_order_window_s(order_read_timeout_s, self.lease)
            self._void_at_s[upstream] = now_s() + window_s
            self.log.write(
                Event.UPSTREAM_TAKEN_OVER,
                upstream=upstream,
                group=self.order_store.group,
            )

    def _log_moved(self, upstream: str, exc: UpstreamReassigned) -> None:
        if upstream not in self._logged_moves:
            self._logged_moves.add(upstream)
            self.log.write(Event.UPSTREAM_REASSIGNED, upstream=upstream, error=str(exc))

    async def unsettled_order(
        self, upstream: str, state: EngineState, order_read_timeout_s: float
    ) -> Order | None:
        """Return the recorded order while its outcome is unknown, else None.

        Raises LeaseLost or StoreUnavailable.
        """
        order = (await self.order_store.last_record(upstream)).order
        if order is None:
            return None
        restarted = state.incarnation != order.incarnation
        if not restarted and state.order_number >= order.number:
            if state.changing:
                return order
            await self._confirm(upstream, order, state)
            return None
        # A former group may hold its own lease still and send the recorded order, also
        # to a restarted engine.
        is_void = restarted and not order.former_group
        if not is_void and now_s() < self._void_time_s(
            order, upstream, order_read_timeout_s
        ):
            return order
        self._log_outcome(Event.ORDER_NOT_EXECUTED, upstream, order, state)
        return None

    def _void_time_s(
        self, order: Order, upstream: str, order_read_timeout_s: float
    ) -> float:
        """Return when an order that the engine has not received can no longer run."""
        lease_term = self.lease.require_remaining(0.0)
        window_of = takeover_order_window_s if order.former_group else order_window_s
        window_s = window_of(order_read_timeout_s, self.lease)
        return self._void_at_s.get(upstream, lease_term.acquired_at_s + window_s)

    async def _confirm(self, upstream: str, order: Order, state: EngineState) -> None:
        if self._log_outcome(Event.ORDER_CONFIRMED, upstream, order, state):
            await reach_step(Step.ORDER_CONFIRMED)

    def _log_outcome(
        self, event: Event, upstream: str, order: Order, state: EngineState
    ) -> bool:
        """Log the outcome of an order once; True the first time."""
        outcome = (order.number, state.incarnation)
        if self._logged_outcomes.get(upstream) == outcome:
            return False
        self._logged_outcomes[upstream] = outcome
        self._log_event(event, upstream, order, incarnation=state.incarnation)
        return True

    async def issue(
        self,
        instance: Instance,
        state: EngineState,
        request: OrderRequest,
        order_read_timeout_s: float,
        generation: int,
    ) -> None:
        """Record an order and deliver it; ``unsettled_order`` tracks its outcome.

        A failed delivery is logged. Raises LeaseLost or a PlatformError if the order
        can't be recorded.
        """
        upstream = instance.instance_id
        await reach_step(Step.ORDER_RECORD)
        record_started_at_s = now_s()
        order = await self.order_store.record(
            upstream, state.incarnation, request, generation
        )
        self._void_at_s.pop(upstream, None)
        self._log_event(Event.ORDER_RECORDED, upstream, order)
        await reach_step(Step.ORDER_RECORDED)
        try:
            await deliver_order(
                instance, order, self.lease, order_read_timeout_s, record_started_at_s
            )
        except (LeaseLost, OrderRefused) as exc:
            self._void_at_s[upstream] = now_s()
            self._log_event(Event.ORDER_ABANDONED, upstream, order, error=str(exc))
        except OrderUnconfirmed as exc:
            window_s = order_window_s(order_read_timeout_s, self.lease)
            self._void_at_s[upstream] = now_s() + window_s
            self._log_event(Event.ORDER_UNCONFIRMED, upstream, order, error=str(exc))
        else:
            self._log_event(Event.ORDER_ACCEPTED, upstream, order)

    def _log_event(self, event: Event, upstream: str, order: Order, **fields) -> None:
        request = order.request
        self.log.write(
            event,
            upstream=upstream,
            number=order.number,
            epoch=order.epoch,
            action=request.action.value,
            model=request.model,
            version=request.version,
            role=request.role,
            **fields,
        )
