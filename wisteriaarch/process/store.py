"""Interfaces of the platform: table service, object store and instance list."""

import json
from dataclasses import dataclass
from typing import Any, Protocol

from ..wire import Address

NO_VERSION = 0


@dataclass(frozen=True)
class Row:
    """Row of a table; ``version`` is NO_VERSION if the row doesn't exist.

    ``era`` is the store era to which the version belongs.
    """

    table: str
    key: str
    version: int
    value: Any
    write_ids: tuple[str, ...] = ()
    era: int = 0

    @property
    def exists(self) -> bool:
        """Whether the row exists."""
        return self.version != NO_VERSION


@dataclass(frozen=True)
class Put:
    """Write of one row, conditional on its version being ``expected_version``.

    ``expected_version`` None writes unconditionally. ``value`` None deletes the row.
    """

    table: str
    key: str
    value: Any
    expected_version: int | None


@dataclass(frozen=True)
class Check:
    """Condition on a row that the transaction doesn't write."""

    table: str
    key: str
    expected_version: int


@dataclass(frozen=True)
class Transaction:
    """Writes and checks that take effect together or not at all.

    ``era`` is the store era of the reads from which the expected versions come; None if
    the writes are valid in any era.
    """

    puts: tuple[Put, ...]
    checks: tuple[Check, ...] = ()
    era: int | None = None


class RowStore(Protocol):
    """Rows with conditional writes."""

    async def read(self, table: str, key: str) -> Row:
        """Return a row; raises StoreUnavailable."""

    async def write(self, transaction: Transaction) -> None:
        """Apply a transaction once or not at all.

        Raises WriteConflict (not applied), StoreUnavailable (not applied) or
        WriteOutcomeUnknown. A transaction of another era than the store's also raises
        one of these.
        """


class TableStore(RowStore, Protocol):
    """Transactional rows that can be listed by prefix."""

    async def scan(
        self,
        table: str,
        prefix: str = "",
        *,
        after: str = "",
        limit: int | None = None,
    ) -> list[Row]:
        """Return rows in key order; raises StoreUnavailable.

        Only rows whose key starts with ``prefix`` and sorts after ``after`` are
        returned, at most ``limit`` of them.
        """


class ObjectStore(Protocol):
    """Immutable objects, each under a unique name."""

    async def put(self, name: str, body: bytes) -> None:
        """Store a body; raises StoreUnavailable."""

    async def get(self, name: str) -> bytes:
        """Return a body; raises StoreUnavailable."""

    async def delete(self, name: str) -> None:
        """Remove a body if it exists; raises StoreUnavailable."""


@dataclass(frozen=True)
class Instance:
    """Live or leaving instance, as listed by the platform."""

    instance_id: str
    kind: str
    zone: str
    address: Address
    peer_address: Address | None = None
    leaving: bool = False


class InstanceList(Protocol):
    """Eventually consistent list of instances."""

    async def list(self) -> list[Instance]:
        """Return the instances; raises StoreUnavailable."""


def encode_json(value: Any) -> bytes:
    """Encode a value as compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()
