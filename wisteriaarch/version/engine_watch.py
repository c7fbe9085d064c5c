"""Polling of a group's engines by the lease holder."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import curio

from ..errors import LeaseLost, OrderError, PlatformError, UpstreamMoved
from ..events import Event, EventLog
from ..process.clock import now_s
from ..process.store import Instance
from .head import ALL_MODELS
from .issuer import OrderIssuer
from .orders import EngineState, HeldModel, Order, read_engine_state

GONE_AFTER_S = 10.0
IDLE_FOR_S = 0.3


@dataclass
class EngineSight:
    """Last report of one engine; ``state`` is None before the first.

    ``silent_since_s`` is the time of the first unanswered poll since the last report.
    ``idle_since_s`` has, for each model without streams in the last report, the time
    of the poll that first found it idle.
    """

    silent_since_s: float | None = None
    asked_at_s: float = 0.0
    state: EngineState | None = None
    reachable: bool = True
    idle_since_s: dict[str, float] = field(default_factory=dict)

    def follow(self, state: EngineState, asked_at_s: float) -> None:
        """Record the report that answers the poll at ``asked_at_s``."""
        self.state = state
        self.reachable = True
        self.asked_at_s = asked_at_s
        self.silent_since_s = None
        self.idle_since_s = {
            name: self.idle_since_s.get(name, asked_at_s)
            for name in [*state.models, ALL_MODELS]
            if not _has_streams(state, name)
        }

    def idle_s(self, model: str, since_s: float) -> float:
        """Return for how long a model has been reported idle since ``since_s``."""
        idle_since_s = self.idle_since_s.get(model)
        if idle_since_s is None:
            return 0.0
        return self.asked_at_s - max(idle_since_s, since_s)


class EngineWatch:
    """Polls a group's engines and keeps their last reports.

    ``unsettled`` has the last order of each engine whose outcome isn't known yet.
    """

    def __init__(self, issuer: OrderIssuer, log: EventLog):
        self.unsettled: dict[str, Order] = {}
        self._sights: dict[str, EngineSight] = {}
        self._issuer = issuer
        self._log = log

    async def refresh(
        self,
        instances: Iterable[Instance],
        order_read_timeout_s: float,
        generation: int,
    ) -> None:
        """Poll the state of every engine and settle its recorded order.

        ``generation`` is that of the head by which the engines belong to the group.
        """
        self.unsettled.clear()
        async with curio.TaskGroup() as tasks:
            for instance in instances:
                await tasks.spawn(self._ask, instance, order_read_timeout_s, generation)

    async def _ask(
        self, instance: Instance, order_read_timeout_s: float, generation: int
    ) -> None:
        name = instance.instance_id
        sight = self._sights.setdefault(name, EngineSight())
        asked_at_s = now_s()
        try:
            state = await read_engine_state(instance)
        except OrderError as exc:
            if sight.reachable:
                self._log.write(Event.ENGINE_UNREACHABLE, upstream=name, error=str(exc))
            sight.reachable = False
            if sight.silent_since_s is None:
                sight.silent_since_s = asked_at_s
            return
        if sight.state and sight.state.incarnation != state.incarnation:
            self._log.write(
                Event.ENGINE_RESTARTED, upstream=name, incarnation=state.incarnation
            )
        try:
            await self._issuer.own(name, generation, order_read_timeout_s)
            order = await self._issuer.unsettled(name, state, order_read_timeout_s)
        except (LeaseLost, PlatformError, UpstreamMoved):
            sight.reachable = False
            return
        if order is not None:
            self.unsettled[name] = order
        sight.follow(state, asked_at_s)

    def settled_states(self) -> dict[str, EngineState]:
        """Return the states of the reachable engines that execute no order."""
        return {
            name: sight.state
            for name, sight in self._sights.items()
            if sight.reachable
            and sight.state is not None
            and not sight.state.changing
            and name not in self.unsettled
        }

    def last_models(self, upstream: str) -> dict[str, HeldModel]:
        """Return the models of an engine's last report; empty without one."""
        sight = self._sights.get(upstream)
        return sight.state.models if sight and sight.state else {}

    def is_gone(self, upstream: str) -> bool:
        """Whether an engine has been unresponsive for so long that it is replaced."""
        sight = self._sights.get(upstream)
        if sight is None or sight.silent_since_s is None:
            return False
        return now_s() - sight.silent_since_s > GONE_AFTER_S

    def is_idle(self, upstream: str, model: str, since_s: float) -> bool:
        """Whether a model (or ALL_MODELS) has had no streams for IDLE_FOR_S.

        Only the time after ``since_s`` counts, so that requests which were in transit
        at ``since_s`` have arrived.
        """
        sight = self._sights.get(upstream)
        return sight is not None and sight.idle_s(model, since_s) >= IDLE_FOR_S


def _has_streams(state: EngineState, model: str) -> bool:
    if model == ALL_MODELS:
        return any(state.streams.values())
    return state.streams.get(model, 0) > 0
