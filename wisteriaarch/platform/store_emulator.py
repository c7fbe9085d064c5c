"""Emulator of the platform's metadata store: in-memory rows, long-poll change feed."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import curio

from ..emulator.server import respond_json, serve_http
from ..http_server import HttpServerConnection
from ..process.clock import now_s
from ..wire import Address, HttpRequest
from .names import MS_PER_S, STORE_ERA

HISTORY_MAX_ROWS = 1000
PAGE_MAX_ROWS = 500
FAULT_PATH = "/emulate"


@dataclass
class StoreEmulator:
    """Rows by table and key, with the change history that the feed serves.

    ``refusal_status``, if not 0, is the status of every response. ``call_counts`` is
    the number of calls by path. ``era`` is incremented whenever the rows are restored
    from a snapshot.
    """

    rows: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    version: int = 0
    oldest_version: int = 0
    refusal_status: int = 0
    era: int = 0
    call_counts: dict[str, int] = field(default_factory=dict)
    _snapshot: tuple[int, dict[tuple[str, str], dict[str, Any]]] = (0, {})
    _changed: curio.Event = field(default_factory=curio.Event)

    async def handle(self, conn: HttpServerConnection, req: HttpRequest) -> bool:
        """Answer one call."""
        if req.path == FAULT_PATH:
            return await self._set_faults(conn, req)
        self.call_counts[req.path] = self.call_counts.get(req.path, 0) + 1
        if self.refusal_status:
            return await self._respond(conn, self.refusal_status, {})
        query = {name: values[0] for name, values in parse_qs(_query(req)).items()}
        if req.path == "/api/rows-get":
            return await self._respond(conn, 200, self._get(query))
        if req.path == "/api/rows-feed":
            return await self._feed(conn, query)
        if req.path == "/api/rows-tx":
            return await self._transact(conn, json.loads(req.body))
        return await self._respond(conn, 404, {})

    async def _respond(
        self, conn: HttpServerConnection, status: int, content: Any
    ) -> bool:
        headers = [(STORE_ERA, str(self.era))] if self.era else []
        return await respond_json(conn, status, content, headers)

    async def _set_faults(self, conn: HttpServerConnection, req: HttpRequest) -> bool:
        faults = json.loads(req.body or b"{}")
        self.refusal_status = faults.get("refuse", 0)
        if faults.get("forget"):
            self._discard_history()
        if faults.get("copy"):
            self.take_snapshot()
        if faults.get("come-back"):
            await self.restore_snapshot()
        return await respond_json(conn, 200, {"calls": self.call_counts})

    def take_snapshot(self) -> None:
        """Take a snapshot of the rows."""
        self._snapshot = (self.version, dict(self.rows))

    async def restore_snapshot(self) -> None:
        """Restore the rows from the snapshot; all later writes are lost."""
        self.version, rows = self._snapshot
        self.rows = dict(rows)
        self.era += 1
        self._discard_history()
        await self._wake_watchers()

    def _discard_history(self) -> None:
        self.history.clear()
        self.oldest_version = self.version

    async def _wake_watchers(self) -> None:
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        start, end = query.get("from", ""), query.get("to")
        rows = [
            row
            for row in self.rows.values()
            if row["table"] == query["table"]
            and row["key"] >= start
            and (end is None or row["key"] < end)
        ]
        rows.sort(key=lambda row: row["key"])
        limit = min(int(query.get("limit", PAGE_MAX_ROWS)), PAGE_MAX_ROWS)
        has_more = len(rows) > limit
        return {
            "rows": rows[:limit],
            "has-more": has_more,
            **self._version_and_time(),
        }

    async def _feed(self, conn: HttpServerConnection, query: dict[str, str]) -> bool:
        after, table = int(query["after"]), query["table"]
        if not self.oldest_version <= after <= self.version:
            return await self._respond(conn, 410, {})
        era = self.era
        async with curio.ignore_after(int(query["wait-ms"]) / MS_PER_S):
            while era == self.era and not self._changes(table, after):
                await self._changed.wait()
        if era != self.era:
            return await self._respond(conn, 410, {})
        content = {"rows": self._changes(table, after), **self._version_and_time()}
        return await self._respond(conn, 200, content)

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        return [
            row for row in self.history if row["table"] == table and row["ver"] > after
        ]

    async def _transact(self, conn: HttpServerConnection, content: Any) -> bool:
        for row in content["if-rev"]:
            known = self.rows.get((row["table"], row["key"]))
            if (known["ver"] if known else 0) != row["ver"]:
                rows = [known] if known else []
                return await self._respond(conn, 412, {"rows": rows})
        self.version += 1
        for row in content["writes"]:
            written = {**row, "ver": self.version}
            self.rows[row["table"], row["key"]] = written
            self.history.append(written)
        for row in content["remove"]:
            self.rows.pop((row["table"], row["key"]), None)
            self.history.append({**row, "ver": self.version, "deleted": True})
        del self.history[:-HISTORY_MAX_ROWS]
        await self._wake_watchers()
        return await self._respond(conn, 200, self._version_and_time())

    def _version_and_time(self) -> dict[str, int]:
        return {"ver": self.version, "now-ms": int(now_s() * MS_PER_S)}


async def run_store(host: str, port: int, announce: Callable[[Address], None]) -> None:
    """Serve a store until cancelled."""
    await serve_http(host, port, StoreEmulator().handle, announce)


def _query(req: HttpRequest) -> str:
    return req.target.partition("?")[2]
