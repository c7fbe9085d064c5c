"""Orders to upstreams: their records in the table, and engine state reports.

The row ``orders/{upstream}`` has the last order of each upstream and the group that the
upstream belongs to. An order is settled once the engine's report shows that it was
executed, or once it is certain that it never will be.
"""

from dataclasses import asdict, dataclass, field, replace
from enum import StrEnum
from typing import Any

from ..errors import OrderError, UpstreamReassigned, WireError
from ..http_fetch import fetch
from ..process.lease import Lease
from ..process.store import NO_VERSION, Instance, Put, Row, TableStore, Transaction
from .roles import Role

ORDER_TABLE = "orders"
STATE_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class LoadedModel:
    """Version and adapters of a model that an engine has loaded or is to load."""

    version: str
    adapters: tuple[str, ...] = ()


class OrderAction(StrEnum):
    """Action that an order requests of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclass(frozen=True)
class OrderRequest:
    """Content of an order, without its number and fencing token."""

    action: OrderAction
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""


@dataclass(frozen=True)
class Order:
    """Order as recorded and sent.

    ``epoch`` is the fencing token. ``incarnation`` is the engine's when the order was
    recorded: a later incarnation has never received the order. ``generation`` is that
    of the head that assigned the upstream to ``group``. ``former_group`` is the group
    that issued the order, if another group has taken the upstream over since.
    """

    number: int
    epoch: int
    group: str
    incarnation: int
    request: OrderRequest
    generation: int = 0
    former_group: str = ""

    def to_json(self) -> dict[str, Any]:
        """Return the content of the row, which is also the body sent to the engine."""
        content = asdict(self)
        return {**content.pop("request"), **content}

    @classmethod
    def from_json(cls, content: dict[str, Any]) -> "Order":
        """Parse the content of a row."""
        request = OrderRequest(
            action=OrderAction(content["action"]),
            model=content["model"],
            version=content["version"],
            adapters=tuple(content["adapters"]),
            role=content["role"],
        )
        return cls(
            number=content["number"],
            epoch=content["epoch"],
            group=content["group"],
            incarnation=content["incarnation"],
            request=request,
            generation=content.get("generation", 0),
            former_group=content.get("former_group", ""),
        )


@dataclass(frozen=True)
class EngineState:
    """Reported state of an engine; ``streams`` counts requests by model.

    ``changing`` is true while the engine executes an order, ``order_number`` is that of
    the last order that it accepted.
    """

    incarnation: int
    role: Role
    models: dict[str, LoadedModel]
    changing: bool
    order_number: int
    streams: dict[str, int]

    @classmethod
    def from_json(cls, content: dict[str, Any]) -> "EngineState":
        """Parse the engine's response; raises KeyError, TypeError or ValueError."""
        adapters = content.get("adapters", {})
        models = {
            name: LoadedModel(version, tuple(adapters.get(name, ())))
            for name, version in content["models"].items()
        }
        return cls(
            incarnation=content["incarnation"],
            role=Role(content["role"]),
            models=models,
            changing=content["changing"],
            order_number=content["order_number"],
            streams=dict(content["streams"]),
        )


@dataclass(frozen=True)
class OrderRecord:
    """Last order on record for an upstream, with its row's version."""

    row_version: int = NO_VERSION
    order: Order | None = None

    @classmethod
    def from_row(cls, row: Row) -> "OrderRecord":
        """Parse the row; a missing row has no order."""
        order = Order.from_json(row.value) if row.exists else None
        return cls(row.version, order)


@dataclass
class OrderStore:
    """Order rows of one group; cached, since only the lease holder writes them."""

    group: str
    table: TableStore
    lease: Lease
    _records: dict[str, OrderRecord] = field(default_factory=dict)

    def clear_cache(self) -> None:
        """Clear the cache; another holder may have written the rows since."""
        self._records.clear()

    async def last_record(self, upstream: str) -> OrderRecord:
        """Return the last recorded order; raises StoreUnavailable."""
        if upstream not in self._records:
            row = await self.table.read(ORDER_TABLE, upstream)
            self._records[upstream] = OrderRecord.from_row(row)
        return self._records[upstream]

    async def take_over(self, upstream: str, generation: int) -> bool:
        """Take an upstream over from another group.

        Returns False if it has no order or already belongs to this group.
        ``generation`` is that of the head that assigns it to this group. The epoch is
        raised above that of the former group's last order. Raises UpstreamReassigned if
        a newer head assigned the upstream to another group, LeaseLost, or a
        PlatformError after which the row must be read again.
        """
        last = await self.last_record(upstream)
        if last.order is None or last.order.group == self.group:
            return False
        if last.order.generation >= generation:
            raise UpstreamReassigned(
                f"{upstream!r} belongs to group {last.order.group!r} since generation "
                f"{last.order.generation}; group {self.group!r} is at {generation}"
            )
        await self.lease.raise_epoch(last.order.epoch)
        epoch = self.lease.require_remaining(0.0).epoch
        order = replace(
            last.order,
            group=self.group,
            epoch=epoch,
            generation=generation,
            former_group=last.order.group,
        )
        await self._write(upstream, last, order)
        return True

    async def record(
        self, upstream: str, incarnation: int, request: OrderRequest, generation: int
    ) -> Order:
        """Record the next order, on condition that the lease was not taken over.

        Raises LeaseLost, or a PlatformError after which the row must be read again.
        """
        last = await self.last_record(upstream)
        number = last.order.number + 1 if last.order else 1
        epoch = self.lease.require_remaining(0.0).epoch
        order = Order(number, epoch, self.group, incarnation, request, generation)
        await self._write(upstream, last, order)
        return order

    async def _write(self, upstream: str, last: OrderRecord, order: Order) -> None:
        put = Put(ORDER_TABLE, upstream, order.to_json(), last.row_version)
        del self._records[upstream]
        await self.table.write(Transaction((put,), (self.lease.epoch_check(),)))


async def read_engine_state(instance: Instance) -> EngineState:
    """Request an engine's state; raises OrderError."""
    try:
        response = await fetch(
            instance.address, "GET", "/orders", timeout_s=STATE_TIMEOUT_S
        )
        return EngineState.from_json(response.json())
    except (OSError, WireError, KeyError, TypeError, ValueError) as exc:
        raise OrderError(f"{instance.instance_id} did not report: {exc!r}") from exc
