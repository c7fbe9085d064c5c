"""Interfaces of the platform: table service, object store and instance list."""

import json
from dataclasses import dataclass
from typing import Any, Protocol

from ..wire import Address

NO_VERSION = 0


@dataclass(frozen=True)
class Row:
    """Row of a table; ``version`` is NO_VERSION where there is no such row.

    ``era`` tells in which of the store's histories the version counts.
    """

    table: str
    key: str
    version: int
    value: Any
    write_ids: tuple[str, ...] = ()
    era: int = 0

    @property
    def exists(self) -> bool:
        """Whether the row is there."""
        return self.version != NO_VERSION


@dataclass(frozen=True)
class Put:
    """Write of one row on the condition that its version is ``expected_version``.

    ``expected_version`` None writes unconditionally. ``value`` None deletes the row.
    """

    table: str
    key: str
    value: Any
    expected_version: int | None


@dataclass(frozen=True)
class Check:
    """Condition on a row that a transaction does not write."""

    table: str
    key: str
    expected_version: int


@dataclass(frozen=True)
class Transaction:
    """Writes and checks that take effect together or not at all.

    ``era`` is that of the reads which the expected versions come from; None where the
    writes are right in any.
    """

    puts: tuple[Put, ...]
    checks: tuple[Check, ...] = ()
    era: int | None = None


class RowStore(Protocol):
    """Rows that are written under conditions."""

    async def read(self, table: str, key: str) -> Row:
        """Return a row; raises StoreUnavailable."""

    async def write(self, transaction: Transaction) -> None:
        """Apply a transaction once or not at all.

        Raises WriteConflict (not applied), StoreUnavailable (not applied) or
        WriteOutcomeUnknown, also where the store's era isn't the transaction's.
        """


class TableStore(RowStore, Protocol):
    """Transactional rows that can be listed."""

    async def scan(
        self,
        table: str,
        prefix: str = "",
        *,
        after: str = "",
        limit: int | None = None,
    ) -> list[Row]:
        """Return rows in the order of their keys; raises StoreUnavailable.

        Only rows whose key starts with ``prefix`` and comes after ``after``, the first
        ``limit`` of them.
        """


class ObjectStore(Protocol):
    """Bodies that don't change, each under a name of its own."""

    async def put(self, name: str, body: bytes) -> None:
        """Store a body; raises StoreUnavailable."""

    async def get(self, name: str) -> bytes:
        """Return a body; raises StoreUnavailable."""

    async def delete(self, name: str) -> None:
        """Remove a body, if there is one; raises StoreUnavailable."""


@dataclass(frozen=True)
class Instance:
    """Live or leaving instance as the platform lists it."""

    instance_id: str
    kind: str
    zone: str
    address: Address
    peer_address: Address | None = None
    leaving: bool = False


class InstanceList(Protocol):
    """Lagging list of instances."""

    async def list(self) -> list[Instance]:
        """Return the instances; raises StoreUnavailable."""


def encode_json(value: Any) -> bytes:
    """Encode compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()
