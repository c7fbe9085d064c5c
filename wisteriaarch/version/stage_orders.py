"""Delivers orders that change an engine's stage.

An order names the engine's incarnation, the fencing token of its holder's lease and the
number of the last order that the engine accepted. One that arrives late therefore has
no effect once the engine restarted, accepted another order or saw a newer holder.
"""

from dataclasses import dataclass
from typing import Protocol

import curio

from ..errors import (
    OrderError,
    OrderFenced,
    OrderRefused,
    OrderUnconfirmed,
    WireError,
)
from ..http_client import HttpClientConnection
from ..process.lease import Lease
from ..process.upstreams import Stage, Upstream
from ..wire import HttpResponse, OutgoingRequest

ANSWER_MAX_BYTES = 1024 * 1024
ANSWER_TIMEOUT_S = 0.5
LEASE_LEFT_S = 0.5


@dataclass(frozen=True)
class EngineReport:
    """What an engine says of its orders, as of some 100 ms ago.

    ``last_order`` counts the orders that it accepted since its start; with ``busy`` it
    is carrying one out.
    """

    stage: Stage
    busy: bool
    last_order: int


@dataclass(frozen=True)
class StageOrder:
    """Order to change a stage; ``epoch`` is the fencing token."""

    upstream: Upstream
    stage: Stage
    holder: str
    epoch: int
    after_order: int


class OrderProtocol(Protocol):
    """Turns orders into requests to an engine and its answers into results."""

    def report_request(self, upstream: Upstream) -> OutgoingRequest:
        """Return the request for an engine's report."""

    def read_report(self, body: bytes) -> EngineReport:
        """Interpret a report; raises WireError."""

    def order_request(self, order: StageOrder) -> OutgoingRequest:
        """Return the request that carries an order."""

    def is_accepted(self, head: HttpResponse) -> bool:
        """Whether an engine carries the order out, or has done so before."""

    def is_fenced(self, head: HttpResponse) -> bool:
        """Whether an engine refused an order for its old fencing token."""


class StageOrders:
    """Asks engines for their state and gives them orders, a connection for each."""

    def __init__(self, protocol: OrderProtocol):
        self._protocol = protocol

    async def report(self, upstream: Upstream) -> EngineReport:
        """Return an engine's report; raises OrderError."""
        req = self._protocol.report_request(upstream)
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                async with await _connect(upstream) as conn:
                    response = await _ask(conn, req)
            return self._protocol.read_report(response.body)
        except (OSError, WireError, curio.TaskTimeout) as exc:
            raise OrderError(f"{upstream.upstream_id} did not report: {exc!r}") from exc

    async def deliver(self, order: StageOrder, lease: Lease) -> None:
        """Send an order while the lease holds.

        Raises LeaseLost (nothing sent), OrderRefused (not carried out; OrderFenced for
        an old token) or OrderUnconfirmed (it may be carried out some time later).
        """
        name = order.upstream.upstream_id
        req = self._protocol.order_request(order)
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                async with await _connect(order.upstream) as conn:
                    lease.require(LEASE_LEFT_S)
                    response = await _ask(conn, req)
        except (OSError, WireError, curio.TaskTimeout) as exc:
            raise OrderUnconfirmed(f"{name} did not answer an order: {exc!r}") from exc
        if self._protocol.is_fenced(response):
            raise OrderFenced(f"{name} has seen a token above {order.epoch}")
        if not self._protocol.is_accepted(response):
            raise OrderRefused(f"{name} answered {response.status} to an order")


async def _connect(upstream: Upstream) -> HttpClientConnection:
    return await HttpClientConnection.connect(upstream.address, ANSWER_TIMEOUT_S)


async def _ask(conn: HttpClientConnection, req: OutgoingRequest) -> HttpResponse:
    await conn.send_request(req.method, req.target, req.headers, req.body)
    response = await conn.read_head()
    response.body = await conn.read_body(ANSWER_MAX_BYTES)
    return response
