"""Client of the platform's metadata store."""

import base64
import json
from typing import Any
from urllib.parse import urlencode

from ..errors import (
    HistoryLost,
    StoreUnavailable,
    WireError,
    WriteConflict,
    WriteOutcomeUnknown,
)
from ..http_client import fetch
from ..process.rows import RowsRead, RowTable, StoredRow
from ..process.store import NO_VERSION, Check, Put, Row, Transaction, encode_json
from ..process.store_era import StoreEra
from ..wire import Address, HttpResponse, load_json
from .names import MS_PER_S, STORE_ERA

READ_TIMEOUT_S = 1.0
FEED_EXTRA_S = 0.7
PAGE_ROWS = 500
GONE_STATUS = 410
CONFLICT_STATUS = 412
# Answers that say that nothing was done.
REFUSED_STATUSES = frozenset((429, 503))
TABLE_NAMES = {
    RowTable.CONFIGURATION: "op",
    RowTable.UPSTREAMS: "servers",
    RowTable.ENTRIES: "entries",
}


class PlatformStore:
    """Rows of the platform's store over HTTP; a connection for each call.

    ``era`` takes in the era of each answer. One of an older era than known counts as no
    answer.
    """

    def __init__(self, address: Address):
        self.address = address
        self.era = StoreEra()

    async def read_all(self, table: RowTable) -> RowsRead:
        """Return all rows of a table; raises StoreUnavailable."""
        rows: list[StoredRow] = []
        era = self.era.current
        query = {"table": TABLE_NAMES[table], "part": "", "limit": str(PAGE_ROWS)}
        while True:
            response = await self._get("/api/rows-get", query, READ_TIMEOUT_S)
            read, has_more = _answered_rows(response)
            if "from" in query and read.era != era:
                raise StoreUnavailable("the store came back from an older copy")
            era = read.era
            rows += read.rows
            if not has_more or not read.rows:
                return RowsRead(tuple(rows), read.version, era)
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
        response = await self._get("/api/rows-feed", query, wait_s + FEED_EXTRA_S)
        return _answered_rows(response)[0]

    async def put(self, table: RowTable, key: str, value: bytes) -> None:
        """Write a row unconditionally; raises StoreUnavailable."""
        row = _address_of(TABLE_NAMES[table], key) | _value_of(value)
        try:
            await self._transact([], [row], [])
        except (WriteConflict, WriteOutcomeUnknown) as exc:
            raise StoreUnavailable(str(exc)) from exc

    async def read(self, table: str, key: str) -> Row:
        """Return a row of a table of our own; raises StoreUnavailable."""
        query = {"table": table, "part": "", "from": key, "to": f"{key}\0"}
        response = await self._get("/api/rows-get", query, READ_TIMEOUT_S)
        read, _ = _answered_rows(response)
        if not read.rows:
            return Row(table, key, NO_VERSION, None, era=read.era)
        row = read.rows[0]
        try:
            return Row(table, key, row.version, load_json(row.value), era=read.era)
        except ValueError as exc:
            raise StoreUnavailable(f"{table}/{key} can't be read: {exc}") from exc

    async def write(self, transaction: Transaction) -> None:
        """Apply a transaction; see ``TableStore.write``.

        It is sent once: where its answer is lost, it may still take effect later, if
        its conditions hold then.
        """
        conditions: list[Put | Check] = [*transaction.checks]
        conditions += [
            put for put in transaction.puts if put.expected_version is not None
        ]
        await self._transact(
            [
                _address_of(item.table, item.key) | {"ver": item.expected_version}
                for item in conditions
            ],
            [
                _address_of(put.table, put.key) | _value_of(encode_json(put.value))
                for put in transaction.puts
                if put.value is not None
            ],
            [
                _address_of(put.table, put.key)
                for put in transaction.puts
                if put.value is None
            ],
            transaction.era,
        )

    async def _transact(
        self,
        conditions: list,
        writes: list,
        removals: list,
        era: int | None = None,
    ) -> None:
        content = {"if-rev": conditions, "writes": writes, "remove": removals}
        target = "/api/rows-tx"
        body = json.dumps(content).encode()
        try:
            response = await self._fetch("POST", target, body, READ_TIMEOUT_S)
        except ConnectionRefusedError as exc:
            raise StoreUnavailable(f"{target}: {exc}") from exc
        except (OSError, WireError) as exc:
            raise WriteOutcomeUnknown(f"{target}: {exc}") from exc
        if response.status == CONFLICT_STATUS:
            raise WriteConflict(f"{target}: a row has another version")
        if response.status in REFUSED_STATUSES:
            raise StoreUnavailable(f"{target}: answered {response.status}")
        if response.status != 200:
            raise WriteOutcomeUnknown(f"{target}: answered {response.status}")
        if era is not None and _era_of(response) != era:
            raise WriteOutcomeUnknown(f"{target}: taken by another copy of the store")

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> HttpResponse:
        target = f"{path}?{urlencode(query)}"
        try:
            response = await self._fetch("GET", target, b"", timeout_s)
        except (OSError, WireError) as exc:
            raise StoreUnavailable(f"{target}: {exc}") from exc
        if response.status == GONE_STATUS:
            raise HistoryLost(f"{target}: the history is gone")
        if response.status != 200:
            raise StoreUnavailable(f"{target}: answered {response.status}")
        return response

    async def _fetch(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        headers = [("Content-Type", "application/json")] if body else []
        response = await fetch(
            self.address,
            method,
            target,
            headers=headers,
            body=body,
            timeout_s=timeout_s,
        )
        is_refused = response.status in REFUSED_STATUSES
        if not self.era.observe(_era_of(response)) and not is_refused:
            raise WireError("the answer is of an older copy of the store")
        return response


def _address_of(table: str, key: str) -> dict[str, Any]:
    return {"table": table, "part": "", "key": key}


def _value_of(value: bytes) -> dict[str, Any]:
    return {"value": base64.b64encode(value).decode()}


def _era_of(response: HttpResponse) -> int:
    """Return the era of an answer, 0 where it names none; raises WireError."""
    text = response.headers.get(STORE_ERA.lower(), "0")
    if not (text.isascii() and text.isdigit()):
        raise WireError(f"{STORE_ERA} is {text!r}; expected a whole number")
    return int(text)


def _answered_rows(response: HttpResponse) -> tuple[RowsRead, bool]:
    """Return the rows of an answer, and whether there are more to read."""
    try:
        content = response.json()
    except WireError as exc:
        raise StoreUnavailable(str(exc)) from exc
    read = _rows_read(content, _era_of(response))
    return read, bool(content.get("has-more"))


def _rows_read(content: Any, era: int = 0) -> RowsRead:
    try:
        rows = tuple(_row(item) for item in content["rows"])
        return RowsRead(rows, int(content["ver"]), era)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise StoreUnavailable(f"the answer can't be read: {exc!r}") from exc


def _row(item: dict[str, Any]) -> StoredRow:
    deleted = bool(item.get("deleted"))
    value = b"" if deleted else base64.b64decode(item["value"])
    return StoredRow(str(item["key"]), int(item["ver"]), value, deleted)
