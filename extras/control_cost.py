"""Measures what control costs the lease holder: processor time of each kind of call."""

import time
from collections.abc import Awaitable, Callable

import curio

from extras.cluster import Cluster
from wisteriaarch.event_log import EventLog
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.http_store import HttpTableStore
from wisteriaarch.process.lease import Lease
from wisteriaarch.process.lease_record import Contender
from wisteriaarch.process.settings_models import LeaseSettings
from wisteriaarch.process.store import Instance
from wisteriaarch.version.order_window import deliver_order
from wisteriaarch.version.orders import (
    OrderAction,
    OrderRequest,
    OrderStore,
    read_engine_state,
)
from wisteriaarch.wire import Address

GROUP = "measured"
ENGINE = "engine-1"
WARM_UP = 50
CALLS = 500
READ_TIMEOUT_S = 1.0


class ControlCost:
    """Makes the calls of a lease holder against stand-ins."""

    def __init__(self, platform: str, engine: str):
        table = HttpTableStore(Address.parse(platform))
        contender = Contender("entry-1", "1")
        self._lease = Lease(
            GROUP, contender, table, LeaseSettings(), list, EventLog("entry-1")
        )
        self._book = OrderStore(GROUP, table, self._lease)
        self._engine = Instance(ENGINE, "engine", "zone-a", Address.parse(engine))

    async def renew(self) -> None:
        """Renew the lease once: a read and a write of the table."""
        await self._lease.acquire_or_renew()

    async def report(self) -> None:
        """Ask the engine once what it holds."""
        await read_engine_state(self._engine)

    async def order(self) -> None:
        """Record and deliver one order."""
        request = OrderRequest(OrderAction.UNLOAD, model="absent")
        await self._lease.acquire_or_renew()
        order = await self._book.record(ENGINE, 1, request, generation=1)
        await deliver_order(self._engine, order, self._lease, READ_TIMEOUT_S, now_s())


async def _processor_ms(call: Callable[[], Awaitable[None]]) -> float:
    """Return the processor time of one call in milliseconds."""
    for _ in range(WARM_UP):
        await call()
    started_s = time.process_time()
    for _ in range(CALLS):
        await call()
    return (time.process_time() - started_s) * 1000 / CALLS


def main() -> None:
    """Print a table of the costs."""
    with Cluster() as cluster:
        platform = cluster.start_platform()
        engine = cluster.start_engine(ENGINE, costs={"load_s": 0.0})
        cost = ControlCost(platform.address, engine.address)
        renewal_ms = curio.run(_processor_ms, cost.renew)
        report_ms = curio.run(_processor_ms, cost.report)
        order_ms = curio.run(_processor_ms, cost.order)
    print(f"lease renewal           {renewal_ms:.2f} ms")
    print(f"engine report           {report_ms:.2f} ms")
    print(f"order without a renewal {order_ms - renewal_ms:.2f} ms")


if __name__ == "__main__":
    main()
