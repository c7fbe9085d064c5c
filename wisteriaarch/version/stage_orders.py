"""Delivery of orders that change an engine's stage.

An order carries the engine's incarnation, the fencing token of the sender's lease and
the number of the last order that the engine accepted. A delayed order therefore has no
effect after the engine restarted, accepted another order or received one from a newer
lease holder.
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
from ..process.clock import now_s
from ..process.lease import Lease
from ..process.upstream_signals import SignalsObserver, UpstreamSignals, ignore_signals
from ..process.upstreams import Stage, Upstream
from ..wire import HttpResponse, OutgoingRequest

ANSWER_MAX_BYTES = 1024 * 1024
ANSWER_TIMEOUT_S = 0.5
LEASE_REMAINING_MIN_S = 0.5


@dataclass(frozen=True)
class EngineReport:
    """State of an engine's orders; reports lag by about 100 ms.

    ``last_order`` is the number of orders accepted since the engine started. An engine
    is changing its stage while it executes one.
    """

    stage: Stage
    is_changing: bool
    last_order: int


@dataclass(frozen=True)
class StageOrder:
    """Order to change a stage; ``epoch`` is the fencing token.

    ``preceding_order`` is the last order that the engine had accepted before this one.
    """

    upstream: Upstream
    stage: Stage
    holder: str
    epoch: int
    preceding_order: int


class OrderProtocol(Protocol):
    """Encodes orders as requests to an engine and interprets its responses."""

    def report_request(self, upstream: Upstream) -> OutgoingRequest:
        """Return the request for an engine's report."""

    def read_report(self, body: bytes) -> EngineReport:
        """Interpret a report; raises WireError."""

    def read_signals(self, head: HttpResponse) -> UpstreamSignals:
        """Return what an answer says of the engine that sent it."""

    def order_request(self, order: StageOrder) -> OutgoingRequest:
        """Return the request that carries an order."""

    def is_accepted(self, head: HttpResponse) -> bool:
        """Whether the engine executes the order or has already executed it."""

    def is_fenced(self, head: HttpResponse) -> bool:
        """Whether the engine refused the order for its outdated fencing token."""


class StageOrderClient:
    """Requests engine reports and delivers orders, each over a new connection.

    ``observe_signals`` receives what the answers say of their engines.
    """

    def __init__(
        self, protocol: OrderProtocol, observe_signals: SignalsObserver = ignore_signals
    ):
        self._protocol = protocol
        self._observe_signals = observe_signals

    async def report(self, upstream: Upstream) -> EngineReport:
        """Return an engine's report; raises OrderError."""
        req = self._protocol.report_request(upstream)
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                async with await _connect(upstream) as conn:
                    response = await self._exchange(upstream, conn, req)
            return self._protocol.read_report(response.body)
        except (OSError, WireError, curio.TaskTimeout) as exc:
            raise OrderError(f"{upstream.upstream_id} did not report: {exc!r}") from exc

    async def deliver(self, order: StageOrder, lease: Lease) -> None:
        """Send an order while the lease holds.

        Raises LeaseLost (nothing sent), OrderRefused (not executed; OrderFenced for an
        outdated token) or OrderUnconfirmed (may be executed later).
        """
        name = order.upstream.upstream_id
        req = self._protocol.order_request(order)
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                async with await _connect(order.upstream) as conn:
                    lease.require_remaining(LEASE_REMAINING_MIN_S)
                    response = await self._exchange(order.upstream, conn, req)
        except (OSError, WireError, curio.TaskTimeout) as exc:
            raise OrderUnconfirmed(f"{name} did not answer an order: {exc!r}") from exc
        if self._protocol.is_fenced(response):
            raise OrderFenced(f"{name} has seen a fencing token above {order.epoch}")
        if not self._protocol.is_accepted(response):
            raise OrderRefused(f"{name} answered status {response.status} to an order")

    async def _exchange(
        self, upstream: Upstream, conn: HttpClientConnection, req: OutgoingRequest
    ) -> HttpResponse:
        sent_at_s = now_s()
        await conn.send_request(req.method, req.target, req.headers, req.body)
        response = await conn.read_head()
        signals = self._protocol.read_signals(response)
        self._observe_signals(upstream.upstream_id, signals, sent_at_s)
        response.body = await conn.read_body(ANSWER_MAX_BYTES)
        return response


async def _connect(upstream: Upstream) -> HttpClientConnection:
    return await HttpClientConnection.connect(upstream.address, ANSWER_TIMEOUT_S)
