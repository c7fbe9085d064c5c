"""Order side of the stand-in server: stage, fencing and the count of orders."""

import json
from dataclasses import dataclass, field
from typing import Any

from ..process.clock import now_s
from ..wire import HttpRequest
from . import names

SWITCH_S = 0.4


@dataclass
class OrderEmulator:
    """Checks and carries out orders; ``taken`` lists those that were accepted.

    While one is carried out, the server declines requests.
    """

    stage: str | None
    seq: int = 0
    fence: int = 0
    busy_until_s: float = 0.0
    taken: list[dict[str, Any]] = field(default_factory=list)

    @property
    def is_busy(self) -> bool:
        """Whether an order is being carried out."""
        return now_s() < self.busy_until_s

    def report(self) -> dict[str, Any]:
        """Return the report of the server."""
        return {"stage": self.stage, "busy": self.is_busy, "seq": self.seq}

    def order(self, req: HttpRequest) -> int:
        """Return the status with which an order is answered."""
        content = json.loads(req.body)
        if not content.get("holder") or "fencing-token" not in content:
            return 400
        if content.get("op") != "stage" or content.get("stage") not in names.STAGES:
            return 400
        if content["fencing-token"] < self.fence:
            return 412
        self.fence = content["fencing-token"]
        if content["stage"] == self.stage:
            return 200
        if self.is_busy or content.get("if-rev", self.seq) != self.seq:
            return 409
        self.seq += 1
        self.stage = content["stage"]
        self.busy_until_s = now_s() + SWITCH_S
        self.taken.append(content)
        return 202
