"""Client of the platform's metadata store."""

import base64
import json
from typing import Any
from urllib.parse import urlencode

from ..errors import HistoryLost, StoreUnavailable, WireError
from ..http_client import fetch
from ..process.rows import RowsRead, RowTable, StoredRow
from ..wire import Address, HttpResponse
from .names import MS_PER_S

READ_TIMEOUT_S = 1.0
FEED_EXTRA_S = 0.7
PAGE_ROWS = 500
GONE_STATUS = 410
TABLE_NAMES = {
    RowTable.CONFIGURATION: "op",
    RowTable.UPSTREAMS: "servers",
    RowTable.ENTRIES: "entries",
}


class PlatformStore:
    """Rows of the platform's store over HTTP; a connection for each call."""

    def __init__(self, address: Address):
        self.address = address

    async def read_all(self, table: RowTable) -> RowsRead:
        """Return all rows of a table; raises StoreUnavailable."""
        rows: list[StoredRow] = []
        query = {"table": TABLE_NAMES[table], "part": "", "limit": str(PAGE_ROWS)}
        while True:
            content = await self._get("/api/rows-get", query, READ_TIMEOUT_S)
            read = _rows_read(content)
            rows += read.rows
            if not content.get("has-more") or not read.rows:
                return RowsRead(tuple(rows), read.version)
            query["from"] = read.rows[-1].key + "\0"

    async def wait_for_changes(
        self, table: RowTable, after: int, wait_s: float
    ) -> RowsRead:
        """Return rows that changed after a version; see ``RowSource``."""
        query = {
            "table": TABLE_NAMES[table],
            "after": str(after),
            "wait-ms": str(int(wait_s * MS_PER_S)),
        }
        content = await self._get("/api/rows-feed", query, wait_s + FEED_EXTRA_S)
        return _rows_read(content)

    async def put(self, table: RowTable, key: str, value: bytes) -> None:
        """Write a row unconditionally; raises StoreUnavailable."""
        row = {
            "table": TABLE_NAMES[table],
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
        }
        body = json.dumps({"if-rev": [], "writes": [row], "remove": []}).encode()
        await self._call("POST", "/api/rows-tx", body, READ_TIMEOUT_S)

    async def _get(self, path: str, query: dict[str, str], timeout_s: float) -> Any:
        target = f"{path}?{urlencode(query)}"
        response = await self._call("GET", target, b"", timeout_s)
        try:
            return response.json()
        except WireError as exc:
            raise StoreUnavailable(str(exc)) from exc

    async def _call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        headers = [("Content-Type", "application/json")] if body else []
        try:
            response = await fetch(
                self.address,
                method,
                target,
                headers=headers,
                body=body,
                timeout_s=timeout_s,
            )
        except (OSError, WireError) as exc:
            raise StoreUnavailable(f"{target}: {exc}") from exc
        if response.status == GONE_STATUS:
            raise HistoryLost(f"{target}: the history is gone")
        if response.status != 200:
            raise StoreUnavailable(f"{target}: answered {response.status}")
        return response


def _rows_read(content: Any) -> RowsRead:
    try:
        rows = tuple(_row(item) for item in content["rows"])
        return RowsRead(rows, int(content["ver"]))
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise StoreUnavailable(f"the answer can't be read: {exc!r}") from exc


def _row(item: dict[str, Any]) -> StoredRow:
    deleted = bool(item.get("deleted"))
    value = b"" if deleted else base64.b64decode(item["value"])
    return StoredRow(str(item["key"]), int(item["ver"]), value, deleted)
