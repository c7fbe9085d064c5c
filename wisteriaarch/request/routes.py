"""HTTP API of an entry: paths for callers and operators, and their handlers."""

import random
from collections.abc import Awaitable, Callable

from ..connection.caller_connection import CallerConnection
from ..connection.problem import unknown_path
from ..errors import ErrorKind, RequestError
from ..process.store import Instance
from ..version.publication import ActiveManifest
from ..wire import HttpRequest
from .call import Call
from .request_parsing import (
    authenticate,
    parse_completion_call,
    parse_route_call,
    parse_service_call,
)
from .served_entry import ServedEntry
from .status_view import describe_entry

SERVICE_PREFIX = "/services/"
METRICS_HEADERS = [("Content-Type", "text/plain; version=0.0.4")]

Handler = Callable[[HttpRequest, CallerConnection], Awaitable[None]]


class Routes:
    """Dispatches requests to their handlers; one instance per entry."""

    def __init__(self, entry: ServedEntry):
        self._entry = entry
        self._rng = random.Random(entry.settings.seed)
        self._handlers: dict[tuple[str, str], Handler] = {
            ("POST", "/v1/completions"): self._call_completion,
            ("POST", "/v1/chat/completions"): self._call_completion,
            ("GET", "/v1/models"): self._list_models,
            ("GET", "/v1/entries"): self._list_entries,
            ("GET", "/v1/status"): self._show_status,
            ("GET", "/metrics"): self._show_metrics,
            ("GET", "/healthz"): self._show_health,
            ("GET", "/readyz"): self._show_readiness,
        }

    async def handle(self, req: HttpRequest, conn: CallerConnection) -> None:
        """Answer one request; raises RequestError."""
        if req.path.startswith(SERVICE_PREFIX):
            await self._call_service(req, conn)
            return
        handler = self._handlers.get((req.method, req.path))
        if handler is None and self._has_path(req.path):
            raise self._method_not_allowed(req)
        await (handler or self._call_route)(req, conn)

    def _has_path(self, path: str) -> bool:
        return any(path == known for _method, known in self._handlers)

    def _method_not_allowed(self, req: HttpRequest) -> RequestError:
        methods = sorted(method for method, path in self._handlers if path == req.path)
        return RequestError(
            ErrorKind.METHOD_NOT_ALLOWED,
            "the path has no such method",
            field="method",
            value=req.method,
            expected=", ".join(methods),
        )

    async def _call_route(self, req: HttpRequest, conn: CallerConnection) -> None:
        manifest = self._active_manifest().manifest
        route = manifest.route_index.find(req.headers.get("host", ""), req.path)
        if route is None:
            raise unknown_path(req)
        call = parse_route_call(req, manifest, route, self._rng)
        await self._run(call, conn)

    async def _call_service(self, req: HttpRequest, conn: CallerConnection) -> None:
        call = parse_service_call(req, self._active_manifest().manifest)
        await self._run(call, conn)

    async def _call_completion(self, req: HttpRequest, conn: CallerConnection) -> None:
        chat = req.path.endswith("/chat/completions")
        call = parse_completion_call(req, self._active_manifest().manifest, chat=chat)
        await self._run(call, conn)

    async def _run(self, call: Call, conn: CallerConnection) -> None:
        conn.request_id = call.request_id
        await self._entry.runner.run(call, conn)

    def _active_manifest(self) -> ActiveManifest:
        if self._entry.closing:
            raise RequestError(ErrorKind.STOPPING, "this entry is stopping")
        return self._entry.active_manifest()

    async def _list_models(self, req: HttpRequest, conn: CallerConnection) -> None:
        caller = authenticate(req, self._entry.active_manifest().manifest)
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "wisteriaarch"}
            for name in caller.models
        ]
        await conn.send_json({"object": "list", "data": models})

    async def _list_entries(self, _req: HttpRequest, conn: CallerConnection) -> None:
        entries = [
            {"id": item.instance_id, "zone": item.zone, "address": str(item.address)}
            for item in self._usable_entries()
        ]
        max_age = f"max-age={int(self._entry.settings.callers_keep_s)}"
        await conn.send_json({"entries": entries}, [("Cache-Control", max_age)])

    def _usable_entries(self) -> list[Instance]:
        entry = self._entry
        listed = [item for item in entry.fleet.of_kind("entry") if not item.leaving]
        listed.sort(
            key=lambda item: (item.zone != entry.settings.zone, item.instance_id)
        )
        ready = [item for item in listed if entry.is_ready(item.instance_id)]
        return ready or [item for item in listed if entry.is_alive(item.instance_id)]

    async def _show_status(self, _req: HttpRequest, conn: CallerConnection) -> None:
        await conn.send_json(describe_entry(self._entry).model_dump(mode="json"))

    async def _show_metrics(self, _req: HttpRequest, conn: CallerConnection) -> None:
        body = self._entry.metrics.render().encode()
        await conn.send_complete(200, METRICS_HEADERS, body)

    async def _show_health(self, _req: HttpRequest, conn: CallerConnection) -> None:
        await conn.send_json({"status": "ok"})

    async def _show_readiness(self, _req: HttpRequest, conn: CallerConnection) -> None:
        if self._entry.stopping:
            raise RequestError(ErrorKind.STOPPING, "this entry is stopping")
        self._entry.active_manifest()
        await conn.send_json({"status": "ready"})
