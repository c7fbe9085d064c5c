"""Polling of a group's engines by the lease holder."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import curio

from ..errors import LeaseLost, OrderError, PlatformError, UpstreamReassigned
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.store import Instance
from .head import ALL_MODELS
from .order_issuer import OrderIssuer
from .orders import EngineState, LoadedModel, Order, read_engine_state

FAILURE_TIMEOUT_S = 10.0
MIN_IDLE_S = 0.3


@dataclass
class EnginePollState:
    """Last report of one engine; ``state`` is None before the first.

    ``unresponsive_since_s`` is the time of the first unanswered poll since the last
    report. ``idle_since_s`` has, for each model without streams in the last report,
    the time of the poll that first found it idle.
    """

    unresponsive_since_s: float | None = None
    polled_at_s: float = 0.0
    state: EngineState | None = None
    reachable: bool = True
    idle_since_s: dict[str, float] = field(default_factory=dict)

    def record_report(self, state: EngineState, polled_at_s: float) -> None:
        """Record the report that answers the poll sent at ``polled_at_s``."""
        self.state = state
        self.reachable = True
        self.polled_at_s = polled_at_s
        self.unresponsive_since_s = None
        self.idle_since_s = {
            name: self.idle_since_s.get(name, polled_at_s)
            for name in [*state.models, ALL_MODELS]
            if not _has_streams(state, name)
        }

    def idle_duration_s(self, model: str, since_s: float) -> float:
        """Return for how long a model has been reported idle since ``since_s``."""
        idle_since_s = self.idle_since_s.get(model)
        if idle_since_s is None:
            return 0.0
        return self.polled_at_s - max(idle_since_s, since_s)


class EngineMonitor:
    """Polls a group's engines and keeps their last reports.

    ``unsettled_orders`` has the orders whose outcome isn't known yet, by engine.
    """

    def __init__(self, issuer: OrderIssuer, log: EventLog):
        self.unsettled_orders: dict[str, Order] = {}
        self._poll_states: dict[str, EnginePollState] = {}
        self._issuer = issuer
        self._log = log

    async def poll(
        self,
        instances: Iterable[Instance],
        order_read_timeout_s: float,
        generation: int,
    ) -> None:
        """Poll the state of every engine and settle its recorded order.

        ``generation`` is that of the head that assigns the engines to the group.
        """
        self.unsettled_orders.clear()
        async with curio.TaskGroup() as tasks:
            for instance in instances:
                await tasks.spawn(
                    self._poll_engine, instance, order_read_timeout_s, generation
                )

    async def _poll_engine(
        self, instance: Instance, order_read_timeout_s: float, generation: int
    ) -> None:
        name = instance.instance_id
        poll_state = self._poll_states.setdefault(name, EnginePollState())
        polled_at_s = now_s()
        try:
            state = await read_engine_state(instance)
        except OrderError as exc:
            if poll_state.reachable:
                self._log.write(Event.ENGINE_UNREACHABLE, upstream=name, error=str(exc))
            poll_state.reachable = False
            if poll_state.unresponsive_since_s is None:
                poll_state.unresponsive_since_s = polled_at_s
            return
        if poll_state.state and poll_state.state.incarnation != state.incarnation:
            self._log.write(
                Event.ENGINE_RESTARTED, upstream=name, incarnation=state.incarnation
            )
        try:
            await self._issuer.take_over(name, generation, order_read_timeout_s)
            unsettled_order = await self._issuer.unsettled_order(
                name, state, order_read_timeout_s
            )
        except (LeaseLost, PlatformError, UpstreamReassigned):
            # The engine answered, but it isn't usable until its order can be settled.
            poll_state.reachable = False
            return
        if unsettled_order is not None:
            self.unsettled_orders[name] = unsettled_order
        poll_state.record_report(state, polled_at_s)

    def settled_states(self) -> dict[str, EngineState]:
        """Return the states of the reachable engines that execute no order."""
        return {
            name: poll_state.state
            for name, poll_state in self._poll_states.items()
            if poll_state.reachable
            and poll_state.state is not None
            and not poll_state.state.changing
            and name not in self.unsettled_orders
        }

    def last_reported_models(self, upstream: str) -> dict[str, LoadedModel]:
        """Return the models of an engine's last report; empty without one."""
        poll_state = self._poll_states.get(upstream)
        return poll_state.state.models if poll_state and poll_state.state else {}

    def is_failed(self, upstream: str) -> bool:
        """Whether an engine has been unresponsive for so long that it is replaced."""
        poll_state = self._poll_states.get(upstream)
        if poll_state is None or poll_state.unresponsive_since_s is None:
            return False
        return now_s() - poll_state.unresponsive_since_s > FAILURE_TIMEOUT_S

    def is_idle(self, upstream: str, model: str, since_s: float) -> bool:
        """Whether a model (or ALL_MODELS) has had no streams for MIN_IDLE_S.

        Only the time after ``since_s`` counts, so that requests which were in transit
        at ``since_s`` have arrived.
        """
        poll_state = self._poll_states.get(upstream)
        return (
            poll_state is not None
            and poll_state.idle_duration_s(model, since_s) >= MIN_IDLE_S
        )


def _has_streams(state: EngineState, model: str) -> bool:
    if model == ALL_MODELS:
        return any(state.streams.values())
    return state.streams.get(model, 0) > 0
