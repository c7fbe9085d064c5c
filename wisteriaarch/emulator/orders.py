"""Orders of the engine emulator: loaded models, role and execution of orders."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field

import curio

from ..errors import RequestError
from ..http_server import HttpServerConnection
from ..process.clock import now_s
from ..wire import HttpRequest
from .costs import EngineCosts
from .server import respond_json

ALL_MODELS = "*"


@dataclass
class OrderOptions:
    """Options for the handling of orders.

    Without ``checks_orders`` the engine ignores the epoch. With ``takes_any_time`` it
    accepts an order while it executes another one, and executes both.
    """

    checks_orders: bool = True
    order_read_timeout_s: float = 1.0
    takes_any_time: bool = False


@dataclass
class EngineState:
    """Role and loaded models of the engine in this incarnation."""

    role: str = "mixed"
    models: dict[str, str] = field(default_factory=dict)
    adapters: dict[str, list[str]] = field(default_factory=dict)
    changing: bool = False
    order_number: int = 0
    epoch: int = 0


@dataclass
class OrderJournal:
    """Counts over all incarnations, for test observers.

    ``conflicts`` are accepted orders that load a second version of a loaded model, or
    that are incompatible with an order in progress; ``stale_orders`` are accepted
    orders with a lower epoch than an earlier one; ``dropped_orders`` arrived after the
    read timeout.
    """

    orders: list[dict] = field(default_factory=list)
    conflicts: int = 0
    stale_orders: int = 0
    dropped_orders: int = 0
    highest_epoch: int = 0

    def record(
        self, order: dict, engine_state: EngineState, in_progress: list[dict]
    ) -> None:
        """Record an accepted order, given the orders still in progress."""
        version = engine_state.models.get(order.get("model", ""))
        is_second_version = order["action"] == "load" and version not in (
            None,
            order["version"],
        )
        if is_second_version or any(
            _are_incompatible(order, other) for other in in_progress
        ):
            self.conflicts += 1
        if order["epoch"] < self.highest_epoch:
            self.stale_orders += 1
        self.highest_epoch = max(self.highest_epoch, order["epoch"])
        self.orders.append({**order, "accepted_at_s": now_s()})


def _are_incompatible(order: dict, other: dict) -> bool:
    """Whether two orders can't be executed at the same time."""
    if "role" in (order["action"], other["action"]):
        return True
    compared_fields = ("action", "version")
    return order["model"] == other["model"] and any(
        order.get(name) != other.get(name) for name in compared_fields
    )


class OrderHandler:
    """Executes orders, by default one at a time, and keeps a journal of them.

    ``abort_streams`` is called with the model (or ALL_MODELS) whose streams an order
    aborts.
    """

    def __init__(
        self,
        costs: EngineCosts,
        options: OrderOptions,
        abort_streams: Callable[[str], Awaitable[None]],
    ):
        self._costs = costs
        self._options = options
        self._abort_streams = abort_streams
        self.engine_state = EngineState()
        self.journal = OrderJournal()
        self._in_progress: list[dict] = []

    def state(self) -> dict:
        """Return the engine's state as JSON content."""
        return asdict(self.engine_state)

    def restart(self) -> None:
        """Reset the engine's state; the journal is kept for the observers."""
        self.engine_state = EngineState()
        self._in_progress = []

    async def receive(self, conn: HttpServerConnection, _req: HttpRequest) -> bool:
        """Receive an order; its body must arrive within the read timeout.

        The timeout starts before the ``100 Continue`` response that requests the body.
        """
        started_at_s = now_s()
        timeout_s = self._options.order_read_timeout_s
        try:
            body = await conn.read_body(timeout_s)
        except RequestError:
            self.journal.dropped_orders += 1
            return False
        if now_s() - started_at_s > timeout_s:
            self.journal.dropped_orders += 1
            return False
        order = json.loads(body)
        if self._options.checks_orders and order["epoch"] < self.engine_state.epoch:
            return await respond_json(conn, 409, {"detail": "old epoch"})
        if self.engine_state.changing and not self._options.takes_any_time:
            return await respond_json(conn, 409, {"detail": "order in progress"})
        await self._accept(order)
        return await respond_json(conn, 202, self.state())

    async def _accept(self, order: dict) -> None:
        self.journal.record(order, self.engine_state, self._in_progress)
        self._in_progress.append(order)
        self.engine_state.order_number = order["number"]
        self.engine_state.epoch = order["epoch"]
        self.engine_state.changing = True
        if order["action"] == "unload":
            await self._abort_streams(order["model"])
        elif order["action"] == "role":
            await self._abort_streams(ALL_MODELS)
        await curio.spawn(
            self._execute, order, self.engine_state, self._in_progress, daemon=True
        )

    async def _execute(
        self, order: dict, engine_state: EngineState, in_progress: list[dict]
    ) -> None:
        await curio.sleep(self._duration_s(order) * self._costs.time_scale)
        model = order.get("model", "")
        if order["action"] == "load":
            engine_state.models[model] = order["version"]
            engine_state.adapters[model] = list(order.get("adapters", ()))
        elif order["action"] == "unload":
            engine_state.models.pop(model, None)
            engine_state.adapters.pop(model, None)
        elif order["action"] == "role":
            engine_state.role = order["role"]
        in_progress.remove(order)
        engine_state.changing = bool(in_progress)

    def _duration_s(self, order: dict) -> float:
        if order["action"] == "role":
            return self._costs.role_change_s
        return self._costs.load_s
