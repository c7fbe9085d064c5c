"""Emulator of the platform's servers: plain and streamed answers, prefill, faults."""

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
from ..process.clock import now_s
from ..wire import Address, Headers, HttpRequest
from . import names
from .order_emulator import OrderEmulator

STALL_S = 60.0
EVENTS = 4
EVENT_INTERVAL_S = 0.01
TOKENS_PER_S = 50_000
# Prefill rate on a server that also decodes, relative to a prefill server: its
# prefill is interleaved with the decoding of other requests.
COLOCATED_PREFILL_FACTOR = 0.5
RETRY_AFTER_S = "1.5"
NOT_EXECUTED_HEADERS = [("Not-Executed", "1")]
CONTROL_PATH = "/emulate"


@dataclass
class ServerEmulator:
    """One server; ``executed`` lists the attempt ids of the requests that it ran.

    ``arrivals`` are the times of all received requests, in seconds since boot. If
    ``limit`` is set, all answers state it as the request limit. ``event_interval_s`` is
    the time between the events of a stream, ``answer_delay_s`` that before a plain
    answer.

    ``fault`` applies to the next ``faults_left`` requests: shed (declined), wait
    (declined with a Retry-After header), close (the connection is closed after the
    request was received), error (answered with 500), silent (never answered), leaving
    (answered with a Server-Leaving header), foreign (the response to another request
    is sent first), cut (a stream is truncated within its second event). A request with
    a header ``Crash`` ends the process. Prefills run one at a time and skip the leading
    prefix blocks that are in ``cached_blocks``.
    """

    server_id: str
    stage: str | None = None
    fault: str = ""
    crash_block: str = ""
    faults_left: int = 0
    executed: list[str] = field(default_factory=list)
    received: list[dict[str, str]] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    limit: str = ""
    event_interval_s: float = EVENT_INTERVAL_S
    answer_delay_s: float = 0.0
    handles: set[str] = field(default_factory=set)
    orders: OrderEmulator = field(init=False)
    cached_blocks: set[str] = field(default_factory=set)
    _prefill_lock: curio.Lock = field(default_factory=curio.Lock)

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
        self.received.append(
            {"target": req.target, "body": req.body.decode(), **req.headers}
        )
        self.arrivals.append(now_s())
        if req.headers.get("expect-instance", self.server_id) != self.server_id:
            headers = [*_own_id(req), ("Instance-Id", self.server_id)]
            await conn.send_response(421, headers)
            return True
        fault = self._next_fault()
        if fault == "wait":
            await conn.send_response(
                503,
                [*_own_id(req), *NOT_EXECUTED_HEADERS, ("Retry-After", RETRY_AFTER_S)],
            )
            return True
        if fault == "shed" or self.orders.is_busy:
            await conn.send_response(503, [*_own_id(req), *NOT_EXECUTED_HEADERS])
            return True
        if fault == "close":
            self.executed.append(_attempt_id(req))
            return False
        if req.headers.get("crash") or self._crashes_by_block(req):
            self.executed.append(_attempt_id(req))
            os._exit(1)
        if fault == "silent":
            if req.headers.get("stage") != names.PREFILL:
                self.executed.append(_attempt_id(req))
            await curio.sleep(STALL_S)
            return False
        if req.headers.get("stage") == names.PREFILL:
            return await self._prefill(conn, req)
        return await self._generate(conn, req, fault)

    async def _order(self, conn: HttpServerConnection, req: HttpRequest) -> bool:
        if req.headers.get("expect-instance", self.server_id) != self.server_id:
            return await respond_json(conn, 421, {})
        status = self.orders.apply_order(req)
        if self._next_fault() == "silent":
            await curio.sleep(STALL_S)
            return False
        return await respond_json(conn, status, {})

    async def _control(self, conn: HttpServerConnection, req: HttpRequest) -> bool:
        content = json.loads(req.body or b"{}")
        self.fault = content.get("fault", self.fault)
        self.faults_left = content.get("count", 1 if "fault" in content else 0)
        self.limit = content.get("limit", self.limit)
        self.crash_block = content.get("crash_block", self.crash_block)
        self.event_interval_s = content.get("event_interval_s", self.event_interval_s)
        self.answer_delay_s = content.get("answer_delay_s", self.answer_delay_s)
        state: dict[str, Any] = {
            "ran": self.executed,
            "seen": self.received,
            "handles": sorted(self.handles),
            "arrivals": self.arrivals,
            "orders": self.orders.accepted_orders,
        }
        return await respond_json(conn, 200, state)

    def _crashes_by_block(self, req: HttpRequest) -> bool:
        """Whether decoding the request's prompt crashes this engine."""
        if req.headers.get("stage") == names.PREFILL:
            return False
        return any(name == self.crash_block for name, _size in _prefix_blocks(req))

    def _next_fault(self) -> str:
        if self.faults_left <= 0:
            return ""
        self.faults_left -= 1
        return self.fault

    async def _prefill(self, conn: HttpServerConnection, req: HttpRequest) -> bool:
        tokens = await self._simulate_prefill(req, TOKENS_PER_S)
        handle = secrets.token_hex(6)
        self.handles.add(handle)
        content = {"handle": handle, "tokens": tokens, "version": 1}
        body = json.dumps(content).encode()
        headers = [*self._headers(req), ("Content-Type", "application/json")]
        await conn.send_response(200, headers, body)
        return True

    async def _generate(
        self, conn: HttpServerConnection, req: HttpRequest, fault: str
    ) -> bool:
        self.executed.append(_attempt_id(req))
        headers = self._headers(req)
        if fault == "foreign":
            await self._send_foreign_response(conn)
        if fault == "leaving":
            headers.append(("Server-Leaving", "1"))
        if fault == "error":
            await conn.send_response(500, headers, b"failed")
            return True
        if names.TOKEN_COUNTS not in req.headers:
            await curio.sleep(self.answer_delay_s)
            body = f"{req.method} {req.target} at {self.server_id}".encode()
            await conn.send_response(200, headers, body)
            return True
        return await self._stream(conn, req, headers, fault)

    async def _send_foreign_response(self, conn: HttpServerConnection) -> None:
        answer = (
            b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 5\r\n\r\nother"
        )
        await conn.client.write(answer)

    async def _stream(
        self, conn: HttpServerConnection, req: HttpRequest, headers: Headers, fault: str
    ) -> bool:
        if names.KV_SOURCE.lower() in req.headers:
            self.cached_blocks.update(part for part, _size in _prefix_blocks(req))
        else:
            await self._simulate_prefill(req, COLOCATED_PREFILL_FACTOR * TOKENS_PER_S)
        first = int(req.headers.get("last-event-id", 0)) + 1
        await conn.send_head(200, [*headers, ("Content-Type", "text/event-stream")])
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if fault == "cut" and number == first + 1:
                await conn.send_block(event[:6])
                return False
            await conn.send_block(event)
            await curio.sleep(self.event_interval_s)
        await conn.end_body()
        return True

    async def _simulate_prefill(self, req: HttpRequest, tokens_per_s: float) -> int:
        """Wait for as long as the prefill takes; returns the prompt's token count."""
        tokens = int(req.headers[names.TOKEN_COUNTS].partition(",")[0])
        blocks = _prefix_blocks(req)
        async with self._prefill_lock:
            cached_tokens = sum(
                size for _part, size in takewhile(self._is_cached, blocks)
            )
            await curio.sleep((tokens - cached_tokens) / tokens_per_s)
        self.cached_blocks.update(part for part, _size in blocks)
        return tokens

    def _is_cached(self, block: tuple[str, int]) -> bool:
        return block[0] in self.cached_blocks

    def _headers(self, req: HttpRequest) -> Headers:
        headers = [
            (names.ATTEMPT_ID, _attempt_id(req)),
            ("Server-Seal", self.server_id),
        ]
        if self.limit:
            headers.append(("Server-Limit", self.limit))
        return headers


async def run_server(
    host: str,
    port: int,
    server_id: str,
    stage: str | None,
    announce: Callable[[Address], None],
) -> None:
    """Serve a server until cancelled."""
    await serve_http(host, port, ServerEmulator(server_id, stage).handle, announce)


def _attempt_id(req: HttpRequest) -> str:
    return req.headers.get(names.ATTEMPT_ID.lower(), "")


def _own_id(req: HttpRequest) -> Headers:
    """Return the header by which an answer names its request."""
    attempt_id = _attempt_id(req)
    return [(names.ATTEMPT_ID, attempt_id)] if attempt_id else []


def _prefix_blocks(req: HttpRequest) -> list[tuple[str, int]]:
    """Return the ids and token counts of the prefix blocks, in prompt order."""
    parts = filter(None, req.headers.get(names.PREFIX_HASH, "").split(","))
    split = [part.partition(":") for part in parts]
    return [(part, int(size)) for part, _colon, size in split]
