"""Orders in the server emulator: stage changes, fencing and order numbers."""

import json
from dataclasses import dataclass, field
from typing import Any

from ..process.clock import now_s
from ..wire import HttpRequest
from . import names

STAGE_CHANGE_S = 0.4


@dataclass
class OrderEmulator:
    """Validates and executes orders; ``accepted_orders`` lists the accepted ones.

    The server declines requests while it executes an order.
    """

    stage: str | None
    last_order: int = 0
    fencing_token: int = 0
    busy_until_s: float = 0.0
    accepted_orders: list[dict[str, Any]] = field(default_factory=list)

    @property
    def is_busy(self) -> bool:
        """Whether an order is being executed."""
        return now_s() < self.busy_until_s

    def report(self) -> dict[str, Any]:
        """Return the server's report."""
        return {"stage": self.stage, "busy": self.is_busy, "seq": self.last_order}

    def apply_order(self, req: HttpRequest) -> int:
        """Apply an order; returns the HTTP status of its response."""
        content = json.loads(req.body)
        if not content.get("holder") or "fencing-token" not in content:
            return 400
        if content.get("op") != "stage" or content.get("stage") not in names.STAGES:
            return 400
        if content["fencing-token"] < self.fencing_token:
            return 412
        self.fencing_token = content["fencing-token"]
        if content["stage"] == self.stage:
            return 200
        if self.is_busy or content.get("if-rev", self.last_order) != self.last_order:
            return 409
        self.last_order += 1
        self.stage = content["stage"]
        self.busy_until_s = now_s() + STAGE_CHANGE_S
        self.accepted_orders.append(content)
        return 202
