"""Emulator of the cloud's address, which receives the calls of duties."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import curio

from ..emulator.server import respond_json, serve_http
from ..http_server import HttpServerConnection
from ..process.clock import now_s
from ..wire import Address, HttpRequest
from . import names

FAULT_PATH = "/emulate"
LATE_S = 6.0


@dataclass
class DutyEmulator:
    """Records the calls in the order of their execution.

    The next ``late`` calls get no answer and are executed after ``late_s``;
    ``refusal_status``, if not 0, is the status of every answer.
    """

    require_fence: bool = False
    late: int = 0
    late_s: float = LATE_S
    refusal_status: int = 0
    calls: list[dict[str, Any]] = field(default_factory=list)
    _tokens: dict[str, int] = field(default_factory=dict)

    async def handle(self, conn: HttpServerConnection, req: HttpRequest) -> bool:
        """Answer one call."""
        if req.path == FAULT_PATH:
            return await self._set_faults(conn, json.loads(req.body or b"{}"))
        if req.path not in (names.USAGE_PATH, names.SCALE_PATH):
            return await respond_json(conn, 404, {})
        if self.refusal_status:
            return await respond_json(conn, self.refusal_status, {})
        if self.late:
            self.late -= 1
            await curio.spawn(self._execute_late, req, daemon=True)
            return False
        return await respond_json(conn, self._execute(req), {})

    async def _execute_late(self, req: HttpRequest) -> None:
        await curio.sleep(self.late_s)
        self._execute(req)

    def _execute(self, req: HttpRequest) -> int:
        content = json.loads(req.body)
        subject = f"{req.path} {content.get('service')} {content.get('zone')}"
        token = int(req.headers[names.FENCING_TOKEN.lower()])
        newest = self._tokens.get(subject, 0)
        is_fenced = self.require_fence and token < newest
        self._tokens[subject] = max(newest, token)
        self.calls.append(
            {
                "subject": subject,
                "holder": req.headers[names.DUTY_HOLDER.lower()],
                "token": token,
                "at_s": now_s(),
                "accepted": not is_fenced,
                "content": content,
            }
        )
        return 409 if is_fenced else 200

    async def _set_faults(
        self, conn: HttpServerConnection, faults: dict[str, Any]
    ) -> bool:
        self.late = faults.get("late", self.late)
        self.late_s = faults.get("late_s", self.late_s)
        self.refusal_status = faults.get("refuse", self.refusal_status)
        return await respond_json(conn, 200, {"calls": self.calls})


async def run_duties(
    host: str, port: int, require_fence: bool, announce: Callable[[Address], None]
) -> None:
    """Serve the cloud's address until cancelled."""
    await serve_http(host, port, DutyEmulator(require_fence).handle, announce)
