"""Encoding of orders to the platform's servers and decoding of their reports."""

import json

from ..errors import WireError
from ..process.upstream_signals import NO_SIGNALS, UpstreamSignals
from ..process.upstreams import Stage, Upstream
from ..version.stage_orders import EngineReport, StageOrder
from ..wire import HttpResponse, OutgoingRequest, load_json
from . import names
from .upstreams import MISDIRECTED_STATUS, read_signals

# 200: the server is already in the ordered state; 202: the order is being executed.
ACCEPTED_STATUSES = frozenset((200, 202))
FENCED_STATUS = 412
EXCERPT_BYTES = 80


class PlatformOrders:
    """Implements ``OrderProtocol`` for the platform's servers."""

    def report_request(self, upstream: Upstream) -> OutgoingRequest:
        """Return the request for a server's report."""
        headers = [(names.EXPECT_INSTANCE, upstream.upstream_id)]
        return OutgoingRequest("GET", names.REPORT_PATH, headers)

    def read_report(self, body: bytes) -> EngineReport:
        """Interpret a report; raises WireError."""
        try:
            content = load_json(body)
            return EngineReport(
                stage=Stage(content["stage"]),
                is_changing=bool(content["busy"]),
                last_order=int(content["seq"]),
            )
        except (ValueError, KeyError, TypeError) as exc:
            raise WireError(f"invalid engine report: {body[:EXCERPT_BYTES]!r}") from exc

    def read_signals(self, head: HttpResponse) -> UpstreamSignals:
        """Return what a response says of the server; another server's says nothing."""
        if head.status == MISDIRECTED_STATUS:
            return NO_SIGNALS
        signals, _malformed = read_signals(head)
        return signals.without_absent_limit()

    def order_request(self, order: StageOrder) -> OutgoingRequest:
        """Return the request that carries an order."""
        headers = [
            (names.EXPECT_INSTANCE, order.upstream.upstream_id),
            ("Content-Type", "application/json"),
        ]
        content = {
            "op": "stage",
            "stage": order.stage.value,
            "holder": order.holder,
            "fencing-token": order.epoch,
            "if-rev": order.preceding_order,
        }
        body = json.dumps(content).encode()
        return OutgoingRequest("POST", names.ORDER_PATH, headers, body)

    def is_accepted(self, head: HttpResponse) -> bool:
        """Whether a server executes the order or has already executed it."""
        return head.status in ACCEPTED_STATUSES

    def is_fenced(self, head: HttpResponse) -> bool:
        """Whether a server refused an order for its outdated fencing token."""
        return head.status == FENCED_STATUS
