"""Delivery of an order within the order window.

The order window is the longest time after the lease check at which an order may still
take effect. A check before ``send`` alone doesn't bound it at an upstream that ignores
fencing tokens: the process can be paused after the check, and sent bytes can be delayed
in transit. The holder therefore opens the request with ``Expect: 100-continue`` and
checks its lease after the upstream's 100 response: from then on the upstream drops the
request unless the body arrives within its read timeout. See docs/ORDERS.md.
"""

from dataclasses import dataclass

import curio

from ..errors import OrderRefused, OrderUnconfirmed, WireError
from ..http_client import HttpClientConnection
from ..process.clock import now_s
from ..process.lease import Lease
from ..process.store import Instance, encode_json
from ..steps import Step, reach_step
from ..wire import Headers
from .orders import Order

JSON_HEADERS: Headers = [("Content-Type", "application/json")]
STATUS_ACCEPTED = 202
CONNECT_TIMEOUT_S = 1.0
SEND_DELAY_MAX_S = 3.0


@dataclass(frozen=True)
class _SendLimits:
    """Conditions under which the body of an order may be sent."""

    lease: Lease
    window_s: float
    send_before_s: float

    def require_in_time(self) -> None:
        """Raise LeaseLost or OrderRefused if the body may no longer be sent."""
        self.lease.require_remaining(self.window_s)
        if now_s() >= self.send_before_s:
            raise OrderRefused(
                f"not sent: more than {SEND_DELAY_MAX_S:g} s since it was recorded"
            )


def order_window_s(order_read_timeout_s: float, lease: Lease) -> float:
    """Return the maximum delay from an order's lease check to its effect."""
    return order_read_timeout_s + lease.drift_margin_s


def takeover_order_window_s(order_read_timeout_s: float, lease: Lease) -> float:
    """Return the maximum delay from a takeover to the effect of a former group's order.

    The order may have been recorded but not yet sent.
    """
    return SEND_DELAY_MAX_S + order_window_s(order_read_timeout_s, lease)


async def deliver_order(
    instance: Instance,
    order: Order,
    lease: Lease,
    order_read_timeout_s: float,
    record_started_at_s: float,
) -> None:
    """Send an order so that it takes effect within the lease or not at all.

    ``record_started_at_s`` is a time before the order was recorded. The body is sent
    within SEND_DELAY_MAX_S of it; a group that takes the upstream over relies on that
    bound. Raises LeaseLost (nothing sent), OrderRefused (not executed) or
    OrderUnconfirmed (outcome unknown until the order window has passed).
    """
    body = encode_json(order.to_json())
    limits = _SendLimits(
        lease,
        order_window_s(order_read_timeout_s, lease),
        record_started_at_s + SEND_DELAY_MAX_S,
    )
    try:
        async with curio.timeout_after(CONNECT_TIMEOUT_S + order_read_timeout_s):
            async with await HttpClientConnection.connect(instance.address) as conn:
                await _deliver(conn, body, limits)
    except (OSError, WireError, curio.TaskTimeout) as exc:
        raise OrderUnconfirmed(
            f"{instance.instance_id} did not answer order {order.number}: {exc!r}"
        ) from exc


async def _deliver(
    conn: HttpClientConnection, body: bytes, limits: _SendLimits
) -> None:
    await conn.send_request_head("POST", "/orders", JSON_HEADERS, len(body))
    if not await conn.wait_for_continue():
        raise OrderRefused("upstream refused the order before reading its body")
    await reach_step(Step.ORDER_OPENED)
    limits.require_in_time()
    await reach_step(Step.ORDER_CHECKED)
    await conn.send_request_body(body)
    await reach_step(Step.ORDER_SENT)
    response = await conn.read_head()
    if response.status != STATUS_ACCEPTED:
        detail = await conn.read_body()
        raise OrderRefused(f"upstream answered {response.status}: {detail[:200]!r}")
