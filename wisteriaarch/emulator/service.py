"""Emulator of a plain service: counts the runs of each key and echoes requests."""

import hashlib
import json

import curio

from ..http_server import HttpServerConnection
from ..process.clock import now_s
from ..wire import HttpRequest
from .server import respond_json, serve_http


class ServiceEmulator:
    """State of the emulated service.

    ``GET /arrivals`` returns the times of all runs, in seconds since boot.
    ``POST /control`` sets ``delay_s`` (delay before each answer), ``padding_bytes``,
    ``headers`` and ``status`` (of each answer) and ``die`` (point at which the
    connection of the next run is closed: ``before``, ``during`` or ``after`` the run,
    or ``midway`` through its answer).
    """

    def __init__(self, name: str):
        self.name = name
        self.delay_s = 0.0
        self.padding_bytes = 0
        self.die: str | None = None
        self.headers: list[tuple[str, str]] = []
        self.status = 200
        self.runs: dict[str, int] = {}
        self.arrivals: list[float] = []

    async def handle(self, conn: HttpServerConnection, req: HttpRequest) -> bool:
        """Answer one request; False closes the connection without an answer."""
        if req.path == "/control":
            return await self._apply_control(conn, req)
        if req.path == "/runs":
            return await respond_json(conn, 200, self.runs)
        if req.path == "/arrivals":
            return await respond_json(conn, 200, self.arrivals)
        return await self._run(conn, req)

    async def _apply_control(self, conn, req) -> bool:
        for name, value in json.loads(req.body or b"{}").items():
            setattr(self, name, value)
        return await respond_json(conn, 200, {})

    async def _run(self, conn, req) -> bool:
        self.arrivals.append(now_s())
        die, self.die = self.die, None
        if die == "before":
            return False
        key = req.headers.get("idempotency-key", "")
        self.runs[key] = self.runs.get(key, 0) + 1
        if die == "during":
            return False
        if self.delay_s:
            await curio.sleep(self.delay_s)
        if die == "after":
            return False
        content = {
            "service": self.name,
            "method": req.method,
            "target": req.target,
            "key": key,
            "headers": req.header_list,
            "body_sha256": hashlib.sha256(req.body).hexdigest(),
            "padding": key[:1] * self.padding_bytes,
        }
        if die == "midway":
            return await send_truncated_answer(conn, content)
        headers = [("Content-Type", "application/json"), *self.headers]
        await conn.send_response(self.status, headers, json.dumps(content).encode())
        return True


async def send_truncated_answer(conn: HttpServerConnection, content: dict) -> bool:
    """Send the head and half of the announced body; returns False."""
    body = json.dumps(content).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    await conn.client.write(head.encode() + body[: len(body) // 2])
    return False


async def run_service(host: str, port: int, name: str, announce) -> None:
    """Serve the emulated service until cancelled; ``announce`` gets the address."""
    await serve_http(host, port, ServiceEmulator(name).handle, announce)
