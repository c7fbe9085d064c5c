"""Emulator of the platform's table service, object store and instance list.

Faults are set by ``POST /faults``: ``latency_s`` delays every answer; ``outage`` closes
the connection on every request except ``/faults`` and ``/counters``; ``lose_answers``
is the number of next writes that take effect but get a closed connection instead of an
answer; ``list_lag_s`` delays changes of the instance list; ``requests_per_s`` limits
the request rate. ``objects_outage`` and ``objects_latency_s`` are an outage and a delay
of the object store alone.
"""

import json
from collections import deque
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, parse_qsl, unquote, urlsplit

import curio

from ..http_server import HttpServerConnection
from ..process.clock import now_s
from ..wire import HttpRequest
from .instances import InstanceRegistry
from .server import respond_json, serve_http

WRITE_IDS_MAX = 16
RATE_WINDOW_S = 1.0


@dataclass
class StoredRow:
    """Row with the ids of the latest writes to it."""

    version: int = 0
    value: Any = None
    write_ids: deque = field(default_factory=lambda: deque(maxlen=WRITE_IDS_MAX))


@dataclass
class Faults:
    """Active faults."""

    latency_s: float = 0.0
    outage: bool = False
    lose_answers: int = 0
    list_lag_s: float = 0.0
    requests_per_s: float = 0.0
    objects_outage: bool = False
    objects_latency_s: float = 0.0


class PlatformEmulator:
    """State of the emulated platform."""

    def __init__(self):
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.objects: dict[str, bytes] = {}
        self.instances = InstanceRegistry()
        self.faults = Faults()
        self.requests = 0
        self.reads = 0
        self.writes = 0
        self._recent_requests_at_s: deque[float] = deque()

    async def handle(self, conn: HttpServerConnection, req: HttpRequest) -> bool:
        """Answer one request; False closes the connection without an answer."""
        if req.path == "/faults":
            return await self._set_faults(conn, req)
        if req.path == "/counters":
            return await respond_json(
                conn,
                200,
                {
                    "requests": self.requests,
                    "reads": self.reads,
                    "writes": self.writes,
                    "objects": len(self.objects),
                },
            )
        self.requests += 1
        if self.faults.latency_s:
            await curio.sleep(self.faults.latency_s)
        if self.faults.outage:
            return False
        if self._exceeds_rate():
            return await respond_json(conn, 429, {"detail": "rate exceeded"})
        if req.path == "/transact":
            return await self._transact(conn, json.loads(req.body))
        if req.path.startswith("/table/"):
            return await self._handle_table_read(conn, req)
        if req.path.startswith("/objects/"):
            return await self._handle_object(conn, req)
        if req.path.startswith("/instances"):
            return await self._handle_instances(conn, req)
        return await respond_json(conn, 404, {"detail": "unknown path"})

    async def _set_faults(self, conn, req) -> bool:
        for name, value in json.loads(req.body or b"{}").items():
            setattr(self.faults, name, value)
        return await respond_json(conn, 200, vars(self.faults))

    def _exceeds_rate(self) -> bool:
        if not self.faults.requests_per_s:
            return False
        now = now_s()
        while (
            self._recent_requests_at_s
            and self._recent_requests_at_s[0] < now - RATE_WINDOW_S
        ):
            self._recent_requests_at_s.popleft()
        if (
            len(self._recent_requests_at_s)
            >= self.faults.requests_per_s * RATE_WINDOW_S
        ):
            return True
        self._recent_requests_at_s.append(now)
        return False

    async def _transact(self, conn, payload: dict) -> bool:
        self.writes += 1
        failed_condition = self._failed_condition(payload)
        if failed_condition is not None:
            return await respond_json(conn, 409, {"detail": failed_condition})
        for put in payload["puts"]:
            row = self.rows.setdefault((put["table"], put["key"]), StoredRow())
            row.version += 1
            row.value = put["value"]
            row.write_ids.append(payload["write_id"])
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return False
        return await respond_json(conn, 200, {})

    def _failed_condition(self, payload: dict) -> str | None:
        for item in [*payload["puts"], *payload.get("checks", [])]:
            expected = item["expected_version"]
            row = self.rows.get((item["table"], item["key"]), StoredRow())
            if expected is not None and expected != self._visible_version(row):
                return f"{item['table']}/{item['key']} is at version {row.version}"
        return None

    @staticmethod
    def _visible_version(row: StoredRow) -> int:
        return 0 if row.value is None else row.version

    def _row_content(self, table: str, key: str) -> dict:
        row = self.rows.get((table, key), StoredRow())
        return {
            "table": table,
            "key": key,
            "version": self._visible_version(row),
            "value": row.value,
            "write_ids": list(row.write_ids),
        }

    async def _handle_table_read(self, conn, req) -> bool:
        self.reads += 1
        url = urlsplit(req.target)
        path_parts = url.path.split("/")
        if len(path_parts) == 4:
            content = self._row_content(path_parts[2], unquote(path_parts[3]))
            return await respond_json(conn, 200, content)
        keys = self._listed_keys(path_parts[2], dict(parse_qsl(url.query)))
        rows = [self._row_content(path_parts[2], key) for key in keys]
        return await respond_json(conn, 200, {"rows": rows})

    def _listed_keys(self, table: str, query: dict[str, str]) -> list[str]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key
            for (name, key), row in self.rows.items()
            if name == table and row.value is not None
            if key.startswith(prefix) and key > after
        )
        return keys[: int(query["limit"])] if "limit" in query else keys

    async def _handle_object(self, conn, req) -> bool:
        if self.faults.objects_latency_s:
            await curio.sleep(self.faults.objects_latency_s)
        if self.faults.objects_outage:
            return False
        name = unquote(req.path.removeprefix("/objects/"))
        if req.method == "PUT":
            self.objects[name] = req.body
            return await respond_json(conn, 200, {})
        if req.method == "DELETE":
            self.objects.pop(name, None)
            return await respond_json(conn, 200, {})
        if name not in self.objects:
            return await respond_json(conn, 404, {"detail": "no such object"})
        await conn.send_response(200, [], self.objects[name])
        return True

    async def _handle_instances(self, conn, req) -> bool:
        if req.method == "GET":
            since = parse_qs(urlsplit(req.target).query).get("since", [None])[0]
            return await respond_json(conn, 200, self.instances.list_since(since))
        instance_id = unquote(req.path.removeprefix("/instances/"))
        lag_s = self.faults.list_lag_s
        if req.method == "DELETE":
            self.instances.remove(instance_id, lag_s)
        else:
            self.instances.put(instance_id, json.loads(req.body), lag_s)
        return await respond_json(conn, 200, {})


async def run_platform(host: str, port: int, announce) -> None:
    """Serve the emulated platform until cancelled; ``announce`` gets the address."""
    await serve_http(host, port, PlatformEmulator().handle, announce)
