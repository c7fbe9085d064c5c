"""Emulator of a language-model engine: HTTP API, load reports and crashes."""

import json
from collections import Counter, deque
from dataclasses import asdict

import curio

from ..errors import WisteriaError
from ..http_server import HttpServerConnection
from ..process.clock import now_s
from ..wire import HttpRequest
from .completions import (
    JSON_HEADERS,
    STREAM_ABORTED,
    new_sequence,
    prompt_text,
    send_complete_answer,
    stream_answer,
)
from .costs import EngineCosts
from .orders import ALL_MODELS, OrderHandler, OrderOptions
from .scheduler import Scheduler
from .server import respond_json, serve_http

CRASH_MARKER = "<crash-engine>"
SAMPLES_PER_LAG = 4
SAMPLE_INTERVAL_MAX_S = 0.1
SOFTWARE_HEADER = "X-Software-Version"
COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")


class EngineEmulator:
    """State of the emulated engine across its incarnations.

    ``arrivals`` are the times of all completion requests, in seconds since boot.
    ``POST /answer-headers`` sets ``headers``, which all their answers then include.
    """

    def __init__(
        self,
        name: str,
        costs: EngineCosts,
        options: OrderOptions,
        report_lag_s: float = 0.2,
        software: str = "",
    ):
        self.name = name
        self.software = software
        self.costs = costs
        self.incarnation = 1
        self.crashes = 0
        self.runs: Counter[str] = Counter()
        self.arrivals: list[float] = []
        self.headers: list[tuple[str, str]] = []
        if software:
            self.headers.append((SOFTWARE_HEADER, software))
        self.order_handler = OrderHandler(costs, options, self._abort_streams)
        self.aborted_streams = 0
        self.scheduler = Scheduler(costs, lambda: self.order_handler.engine_state.role)
        self.crashed = curio.Event()
        self._report_lag_s = report_lag_s
        self._sample_count = 0
        self._reports: deque[tuple[float, dict]] = deque()

    async def handle(self, conn: HttpServerConnection, req: HttpRequest) -> bool:
        """Answer one request; False closes the connection without an answer."""
        if req.path == "/orders" and req.method == "POST":
            return await self.order_handler.receive(conn, req)
        req.body = await conn.read_body()
        if req.path == "/orders":
            return await respond_json(conn, 200, self._state())
        if req.path == "/load":
            return await respond_json(conn, 200, self._delayed_report())
        if req.path == "/journal":
            return await respond_json(conn, 200, self._journal())
        if req.path == "/answer-headers":
            self.headers = json.loads(req.body)
            return await respond_json(conn, 200, {})
        if req.path == "/report-lag":
            self._report_lag_s = json.loads(req.body)["lag_s"]
            return await respond_json(conn, 200, {})
        if req.path == "/crash":
            await self._crash()
            return False
        if req.path in COMPLETION_PATHS:
            return await self._handle_completion(conn, req)
        return await respond_json(conn, 404, {"detail": "unknown path"})

    async def _handle_completion(self, conn, req) -> bool:
        self.arrivals.append(now_s())
        payload = json.loads(req.body)
        refusal = self._refusal_reason(payload["model"], req.headers)
        if refusal is not None:
            headers = [*JSON_HEADERS, ("X-Ran", "no"), *self.headers]
            body = json.dumps({"detail": refusal}).encode()
            await conn.send_response(409, headers, body)
            return True
        prompt = prompt_text(payload)
        key = req.headers.get("idempotency-key") or req.headers.get("x-request-id", "")
        self.runs[key] += 1
        if CRASH_MARKER in prompt:
            await self._crash()
            return False
        seq = new_sequence(prompt, payload, req.headers)
        await self.scheduler.add(seq)
        chat = req.path.endswith("chat/completions")
        try:
            if payload.get("stream"):
                await stream_answer(conn, seq, chat, self.headers)
            else:
                await send_complete_answer(conn, seq, chat, self.headers)
            return True
        except (OSError, WisteriaError):
            return False
        finally:
            self.scheduler.remove(seq)

    def _refusal_reason(self, model: str, headers: dict[str, str]) -> str | None:
        if self.order_handler.engine_state.changing:
            return "the engine is carrying out an order"
        software = headers.get(SOFTWARE_HEADER.lower(), self.software)
        if software != self.software:
            return f"the stream is one of software version {software!r}"
        loaded = self.order_handler.engine_state.models.get(model)
        requested = headers.get("x-model-version", loaded)
        if loaded is None or loaded != requested:
            return f"model {model!r} is held in version {loaded!r}, not {requested!r}"
        return None

    async def _abort_streams(self, model: str) -> None:
        for seq in self.scheduler.sequences:
            if model in (seq.model, ALL_MODELS):
                self.aborted_streams += 1
                self.scheduler.remove(seq)
                await seq.tokens.put(STREAM_ABORTED)

    async def _crash(self) -> None:
        # Further requests may crash the engine before its server task is cancelled;
        # they count as the same crash.
        if not self.crashed.is_set():
            self.crashes += 1
        await self.crashed.set()

    def restart(self) -> None:
        """Start a new incarnation with no models, sequences or cached prefixes."""
        self.incarnation += 1
        self.order_handler.restart()
        self.scheduler.clear()
        self.crashed.clear()

    async def run_reports(self) -> None:
        """Sample the load forever; a sample becomes visible after the report lag."""
        while True:
            self._sample_count += 1
            gap_every = self.costs.report_gap_every
            if not gap_every or self._sample_count % gap_every:
                self._reports.append((now_s(), self._report()))
            while len(self._reports) > 1 and self._is_visible(self._reports[1]):
                self._reports.popleft()
            interval_s = self._report_lag_s / SAMPLES_PER_LAG
            await curio.sleep(min(interval_s, SAMPLE_INTERVAL_MAX_S))

    def _is_visible(self, sample: tuple[float, dict]) -> bool:
        return sample[0] <= now_s() - self._report_lag_s

    def _delayed_report(self) -> dict:
        return self._reports[0][1] if self._reports else self._report()

    def _report(self) -> dict:
        return {
            "name": self.name,
            "software": self.software,
            "incarnation": self.incarnation,
            "role": self.order_handler.engine_state.role,
            "models": dict(self.order_handler.engine_state.models),
            "queued": len(self.scheduler.queue),
            "running": len(self.scheduler.batch),
            "sampled_at_s": now_s(),
            "prefill_tokens_left": sum(
                seq.prefill_tokens_left for seq in self.scheduler.sequences
            ),
            **asdict(self.scheduler.counters),
        }

    def _state(self) -> dict:
        streams = Counter(seq.model for seq in self.scheduler.sequences)
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "streams": streams,
            **self.order_handler.state(),
        }

    def _journal(self) -> dict:
        return {
            **asdict(self.order_handler.journal),
            "cut_streams": self.aborted_streams,
            "runs": self.runs,
            "crashes": self.crashes,
            "arrivals": self.arrivals,
        }


async def run_engine(host: str, port: int, engine: EngineEmulator, announce) -> None:
    """Serve the emulated engine until cancelled, restarting it after each crash."""
    bound_address = None

    def record_address(address) -> None:
        nonlocal bound_address
        if bound_address is None:
            announce(address)
        bound_address = address

    async def serve() -> None:
        bound_port = bound_address.port if bound_address else port
        await serve_http(
            host, bound_port, engine.handle, record_address, read_body=False
        )

    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(engine.scheduler.run)
        await group.spawn(engine.run_reports)
        while True:
            server_task = await curio.spawn(serve)
            await engine.crashed.wait()
            await server_task.cancel()
            await curio.sleep(engine.costs.restart_s * engine.costs.time_scale)
            engine.restart()
