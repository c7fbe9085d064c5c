"""HTTP clients of the platform's table service, object store and instance list."""

import uuid
from typing import Any
from urllib.parse import quote, urlencode

import curio

from ..errors import (
    StoreUnavailable,
    WireError,
    WriteConflict,
    WriteOutcomeUnknown,
)
from ..http_fetch import fetch, fetch_json
from ..wire import INVALID_CONTENT_ERRORS, Address, HttpResponse
from .store import Instance, Row, Transaction

STORE_TIMEOUT_S = 2.0
WRITE_ATTEMPTS = 3
WRITE_RETRY_DELAY_S = 0.1


class HttpTableStore:
    """Table service over HTTP.

    Every write carries a unique id. If the response is lost, the row is read back: the
    write was applied if its id is in the row's history.
    """

    def __init__(self, address: Address, timeout_s: float = STORE_TIMEOUT_S):
        self.address = address
        self.timeout_s = timeout_s

    async def read(self, table: str, key: str) -> Row:
        """Return a row; raises StoreUnavailable."""
        response = await _ask(self, "GET", f"/table/{table}/{quote(key, safe='')}")
        return _row_from_json(response.json())

    async def scan(
        self,
        table: str,
        prefix: str = "",
        *,
        after: str = "",
        limit: int | None = None,
    ) -> list[Row]:
        """Return rows in the order of their keys; see ``TableStore.scan``."""
        query = {"prefix": prefix, "after": after}
        if limit is not None:
            query["limit"] = str(limit)
        target = f"/table/{table}?{urlencode(query)}"
        response = await _ask(self, "GET", target)
        return [_row_from_json(item) for item in response.json()["rows"]]

    async def write(self, transaction: Transaction) -> None:
        """Apply a transaction exactly once; see ``TableStore.write``."""
        write_id = uuid.uuid4().hex
        response_lost = False
        for attempt in range(WRITE_ATTEMPTS):
            if attempt:
                await curio.sleep(WRITE_RETRY_DELAY_S * 2**attempt)
            try:
                await self._send_write(transaction, write_id)
                return
            except WriteConflict:
                if response_lost and await self._was_applied(transaction, write_id):
                    return
                raise
            except StoreUnavailable:
                continue
            except WriteOutcomeUnknown:
                response_lost = True
        if not response_lost:
            raise StoreUnavailable(
                "table service did not apply the write: every attempt failed"
            )
        if await self._was_applied(transaction, write_id):
            return
        raise WriteOutcomeUnknown(
            "table service did not answer the write; its outcome is unknown"
        )

    async def _send_write(self, transaction: Transaction, write_id: str) -> None:
        payload = {
            "write_id": write_id,
            "puts": [vars(put) for put in transaction.puts],
            "checks": [vars(check) for check in transaction.checks],
        }
        try:
            response = await fetch_json(
                self.address, "POST", "/transact", payload, timeout_s=self.timeout_s
            )
        except ConnectionRefusedError as exc:
            raise StoreUnavailable(
                f"the table service is not reachable: {exc}"
            ) from exc
        except (OSError, WireError) as exc:
            raise WriteOutcomeUnknown(f"no response to the write: {exc}") from exc
        if response.status == 409:
            raise WriteConflict(response.json().get("detail", "condition failed"))
        if response.status != 200:
            raise StoreUnavailable(f"the table service answered {response.status}")

    async def _was_applied(self, transaction: Transaction, write_id: str) -> bool:
        put = transaction.puts[0]
        try:
            row = await self.read(put.table, put.key)
        except StoreUnavailable as exc:
            raise WriteOutcomeUnknown(
                "row can't be read back after an unanswered write"
            ) from exc
        return write_id in row.write_ids


class HttpObjectStore:
    """Object store over HTTP."""

    def __init__(self, address: Address, timeout_s: float = STORE_TIMEOUT_S):
        self.address = address
        self.timeout_s = timeout_s

    async def put(self, name: str, body: bytes) -> None:
        """Store a body; raises StoreUnavailable."""
        await _ask(self, "PUT", f"/objects/{quote(name, safe='')}", body)

    async def get(self, name: str) -> bytes:
        """Return a body; raises StoreUnavailable."""
        return (await _ask(self, "GET", f"/objects/{quote(name, safe='')}")).body

    async def delete(self, name: str) -> None:
        """Remove a body if it exists; raises StoreUnavailable."""
        await _ask(self, "DELETE", f"/objects/{quote(name, safe='')}")


class HttpInstanceList:
    """Instance list over HTTP.

    After the first response, only changes since its version are requested. A platform
    that returns no version, or doesn't know the requested one, responds with the
    complete list.
    """

    def __init__(self, address: Address, timeout_s: float = STORE_TIMEOUT_S):
        self.address = address
        self.timeout_s = timeout_s
        self._version: str | None = None
        self._instances: dict[str, Instance] = {}

    async def list(self) -> list[Instance]:
        """Return the instances; raises StoreUnavailable."""
        target = "/instances"
        if self._version is not None:
            target += f"?since={quote(self._version, safe='')}"
        content = (await _ask(self, "GET", target)).json()
        if content.get("full", True):
            self._instances = {}
        for name in content.get("removed", ()):
            self._instances.pop(name, None)
        for item in content["instances"]:
            self._add_instance(item)
        self._version = content.get("version")
        return list(self._instances.values())

    def _add_instance(self, item: Any) -> None:
        """Add an instance; one that can't be read is left out, and the others stay."""
        try:
            instance = _instance_from_json(item)
            self._instances[instance.instance_id] = instance
        except INVALID_CONTENT_ERRORS:
            return


async def _ask(
    client: Any, method: str, target: str, body: bytes = b""
) -> HttpResponse:
    try:
        response = await fetch(
            client.address, method, target, body=body, timeout_s=client.timeout_s
        )
    except (OSError, WireError) as exc:
        raise StoreUnavailable(f"the platform did not answer {target}: {exc}") from exc
    if response.status != 200:
        raise StoreUnavailable(f"the platform answered {response.status} to {target}")
    return response


def _row_from_json(item: dict) -> Row:
    return Row(
        table=item["table"],
        key=item["key"],
        version=item["version"],
        value=item["value"],
        write_ids=tuple(item["write_ids"]),
    )


def _instance_from_json(item: dict) -> Instance:
    peer = item.get("peer_address")
    if not isinstance(item["kind"], str):
        raise TypeError("kind is not a string")
    return Instance(
        instance_id=item["id"],
        kind=item["kind"],
        zone=item["zone"],
        address=Address.parse(item["address"]),
        peer_address=Address.parse(peer) if peer else None,
        leaving=item.get("leaving", False),
    )
