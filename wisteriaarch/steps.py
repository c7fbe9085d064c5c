"""Named steps of procedures, as synchronization points for fault injection.

A process started with the variable ``WISTERIAARCH_STEPS`` (``host:port``) reports
each step it reaches to the controller at that address and waits for its answer.
Without the variable a step costs one comparison.
"""

import os
from enum import StrEnum

from curio import socket

STEPS_VARIABLE = "WISTERIAARCH_STEPS"
_LINE_BYTES = 256


class Step(StrEnum):
    """Every step at which the fault matrix injects faults.

    Values have the form ``procedure.step``; the matrix has one driver per procedure.
    """

    LEASE_READ = "lease.read"
    LEASE_WRITE = "lease.write"
    LEASE_RENEWED = "lease.renewed"
    ORDER_RECORD = "order.record"
    ORDER_RECORDED = "order.recorded"
    ORDER_OPENED = "order.opened"
    ORDER_CHECKED = "order.checked"
    ORDER_SENT = "order.sent"
    ORDER_CONFIRMED = "order.confirmed"
    ROLE_DRAINED = "role.drained"
    ROLE_CHANGED = "role.changed"
    PUBLISH_BODY = "publish.body"
    PUBLISH_POINTER = "publish.pointer"
    PUBLISH_SEEN = "publish.seen"
    DRAIN_MARKED = "drain.marked"
    DRAIN_EMPTY = "drain.empty"
    CLAIM_WRITE = "claim.write"
    CLAIM_WRITTEN = "claim.written"
    REQUEST_SENT = "request.sent"
    STREAM_STARTED = "stream.started"
    STREAM_ENDED = "stream.ended"
    CLAIM_RESULT = "claim.result"
    CRASH_SEEN = "poison.seen"
    CRASH_RECORDED = "poison.noted"
    SUSPECT_ISOLATED = "poison.isolated"
    STOP_LEAVING = "stop.leaving"
    STOP_RELEASED = "stop.released"
    STOP_CLOSING = "stop.closing"
    STOP_DRAINED = "stop.drained"

    @property
    def procedure(self) -> str:
        """Name of the procedure that the step belongs to."""
        return self.value.partition(".")[0]


def _controller_from_env() -> tuple[str, int] | None:
    value = os.environ.get(STEPS_VARIABLE)
    if value is None:
        return None
    host, _, port = value.rpartition(":")
    return host, int(port)


_controller = _controller_from_env()


async def reach_step(step: Step) -> None:
    """Report ``step`` to the controller and wait; a no-op without a controller."""
    if _controller is None:
        return
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    async with sock:
        await sock.connect(_controller)
        await sock.sendall(f"{os.getpid()} {step.value}\n".encode())
        await sock.recv(_LINE_BYTES)
