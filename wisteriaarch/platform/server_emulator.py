"""Stand-in of the platform's servers: whole answers, streams, prefill and faults."""

import json
import os
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import takewhile
from typing import Any

import curio

from ..emulator.server import respond_json, serve_http
from ..http_server import HttpServerConnection
from ..wire import Address, Headers, HttpRequest
from . import names
from .order_emulator import OrderEmulator

SILENT_S = 60.0
EVENTS = 4
EVENT_INTERVAL_S = 0.01
TOKENS_PER_S = 50_000
# A server that runs requests reads prompts between the tokens of other requests.
DIRECT_READING_SHARE = 0.5
WAIT_S = "1.5"
REFUSED = [("Not-Executed", "1")]
CONTROL_PATH = "/emulate"


@dataclass
class ServerEmulator:
    """One server; ``ran`` lists the ids of the requests that it ran.

    ``fault`` is what happens to the next requests: shed (declined), wait (declined,
    with a time to wait), close (the connection ends after the request was read), error
    (answered 500), silent (never answered), leaving (answered, with the word that it
    leaves), foreign (another request's answer goes first), cut (a stream ends within
    its second event); ``fault_left`` counts them. A request with a header ``Crash``
    ends the process. Prompts are read one after another, but for the parts at their
    beginnings that are in ``parts_held``.
    """

    server_id: str
    stage: str | None = None
    fault: str = ""
    fault_left: int = 0
    ran: list[str] = field(default_factory=list)
    seen: list[dict[str, str]] = field(default_factory=list)
    handles: set[str] = field(default_factory=set)
    orders: OrderEmulator = field(init=False)
    parts_held: set[str] = field(default_factory=set)
    _reading: curio.Lock = field(default_factory=curio.Lock)

    def __post_init__(self):
        self.orders = OrderEmulator(self.stage)

    async def handle(self, conn: HttpServerConnection, req: HttpRequest) -> bool:
        """Answer one request."""
        if req.path == CONTROL_PATH:
            return await self._control(conn, req)
        if req.path.startswith("/api/kv-handle/"):
            self.handles.discard(req.path.rpartition("/")[2])
            return await respond_json(conn, 200, {})
        if req.path == names.REPORT_PATH:
            return await respond_json(conn, 200, self.orders.report())
        if req.path == names.ORDER_PATH:
            return await self._order(conn, req)
        self.seen.append(
            {"target": req.target, "body": req.body.decode(), **req.headers}
        )
        if req.headers.get("expect-instance", self.server_id) != self.server_id:
            await conn.send_response(421, [("Instance-Id", self.server_id)])
            return True
        fault = self._next_fault()
        if fault == "wait":
            await conn.send_response(503, [*REFUSED, ("Retry-After", WAIT_S)])
            return True
        if fault == "shed" or self.orders.is_busy:
            await conn.send_response(503, REFUSED)
            return True
        if fault == "close":
            self.ran.append(_attempt(req))
            return False
        if req.headers.get("crash"):
            self.ran.append(_attempt(req))
            os._exit(1)
        if fault == "silent":
            if req.headers.get("stage") != names.PREFILL:
                self.ran.append(_attempt(req))
            await curio.sleep(SILENT_S)
            return False
        if req.headers.get("stage") == names.PREFILL:
            return await self._prefill(conn, req)
        return await self._run(conn, req, fault)

    async def _order(self, conn: HttpServerConnection, req: HttpRequest) -> bool:
        if req.headers.get("expect-instance", self.server_id) != self.server_id:
            return await respond_json(conn, 421, {})
        status = self.orders.order(req)
        if self._next_fault() == "silent":
            await curio.sleep(SILENT_S)
            return False
        return await respond_json(conn, status, {})

    async def _control(self, conn: HttpServerConnection, req: HttpRequest) -> bool:
        content = json.loads(req.body or b"{}")
        self.fault = content.get("fault", self.fault)
        self.fault_left = content.get("count", 1 if "fault" in content else 0)
        state: dict[str, Any] = {
            "ran": self.ran,
            "seen": self.seen,
            "handles": sorted(self.handles),
            "orders": self.orders.taken,
        }
        return await respond_json(conn, 200, state)

    def _next_fault(self) -> str:
        if self.fault_left <= 0:
            return ""
        self.fault_left -= 1
        return self.fault

    async def _prefill(self, conn: HttpServerConnection, req: HttpRequest) -> bool:
        tokens = await self._read_prompt(req, TOKENS_PER_S)
        handle = secrets.token_hex(6)
        self.handles.add(handle)
        content = {"handle": handle, "tokens": tokens, "version": 1}
        body = json.dumps(content).encode()
        headers = [*self._headers(req), ("Content-Type", "application/json")]
        await conn.send_response(200, headers, body)
        return True

    async def _run(
        self, conn: HttpServerConnection, req: HttpRequest, fault: str
    ) -> bool:
        self.ran.append(_attempt(req))
        headers = self._headers(req)
        if fault == "foreign":
            await self._send_foreign(conn)
        if fault == "leaving":
            headers.append(("Server-Leaving", "1"))
        if fault == "error":
            await conn.send_response(500, headers, b"failed")
            return True
        if names.TOKEN_COUNTS not in req.headers:
            body = f"{req.method} {req.target} at {self.server_id}".encode()
            await conn.send_response(200, headers, body)
            return True
        return await self._stream(conn, req, headers, fault)

    async def _send_foreign(self, conn: HttpServerConnection) -> None:
        answer = (
            b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 5\r\n\r\nother"
        )
        await conn.sock.sendall(answer)

    async def _stream(
        self, conn: HttpServerConnection, req: HttpRequest, headers: Headers, fault: str
    ) -> bool:
        if names.KV_SOURCE.lower() in req.headers:
            self.parts_held.update(part for part, _size in _parts(req))
        else:
            await self._read_prompt(req, DIRECT_READING_SHARE * TOKENS_PER_S)
        first = int(req.headers.get("last-event-id", 0)) + 1
        await conn.send_head(200, [*headers, ("Content-Type", "text/event-stream")])
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if fault == "cut" and number == first + 1:
                await conn.send_block(event[:6])
                return False
            await conn.send_block(event)
            await curio.sleep(EVENT_INTERVAL_S)
        await conn.end_body()
        return True

    async def _read_prompt(self, req: HttpRequest, tokens_per_s: float) -> int:
        """Take the time of reading a prompt; returns how many tokens it has."""
        tokens = int(req.headers[names.TOKEN_COUNTS].partition(",")[0])
        parts = _parts(req)
        async with self._reading:
            held = sum(size for _part, size in takewhile(self._holds, parts))
            await curio.sleep((tokens - held) / tokens_per_s)
        self.parts_held.update(part for part, _size in parts)
        return tokens

    def _holds(self, part: tuple[str, int]) -> bool:
        return part[0] in self.parts_held

    def _headers(self, req: HttpRequest) -> Headers:
        return [(names.ATTEMPT_ID, _attempt(req)), ("Server-Seal", self.server_id)]


async def run_server(
    host: str,
    port: int,
    server_id: str,
    stage: str | None,
    announce: Callable[[Address], None],
) -> None:
    """Serve a server until cancelled."""
    await serve_http(host, port, ServerEmulator(server_id, stage).handle, announce)


def _attempt(req: HttpRequest) -> str:
    return req.headers.get(names.ATTEMPT_ID.lower(), "")


def _parts(req: HttpRequest) -> list[tuple[str, int]]:
    """Return ids and sizes of the prompt's parts, from its beginning on."""
    parts = filter(None, req.headers.get(names.PREFIX_HASH, "").split(","))
    split = [part.partition(":") for part in parts]
    return [(part, int(size)) for part, _colon, size in split]
