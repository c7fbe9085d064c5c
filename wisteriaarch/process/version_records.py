"""Rows that say on which software version streams began.

They outlive all entries. For each service there is a row with the software versions
that streams may have begun on, and rows with streams, each written once by one entry.
A row belongs to the store era in which it was written; after the store was restored
from an older snapshot, rows of earlier eras may lack what was written last.
"""

import hashlib
import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from ..errors import StoreUnavailable
from .store import NO_VERSION, Put, Row, TableStore, Transaction
from .store_era import StoreEra

TABLE = "stream_versions"
SERVED_KEY = "served"
KEY_BYTES = 8
STREAMS_PER_ROW_MAX = 2000
# Stands for the version of a stream that didn't begin where its writer placed it.
WITHDRAWN_VERSION = "\0withdrawn"


@dataclass(frozen=True)
class VersionSnapshot:
    """Rows of one service at one moment.

    ``served`` are the versions that streams may have begun on, None if no row of the
    store's ``era`` states them. ``earlier_served`` are those of a row of another era.
    ``streams`` maps the keys of streams to versions, to None where rows contradict each
    other; it has the rows of other writers, ``own_streams`` those of this process.
    ``row_keys`` are the rows with streams.
    """

    era: int
    served: frozenset[str] | None = None
    earlier_served: frozenset[str] = frozenset()
    served_row_version: int = NO_VERSION
    streams: dict[str, str | None] = field(default_factory=dict)
    own_streams: dict[str, str | None] = field(default_factory=dict)
    row_keys: tuple[str, ...] = ()


class VersionRecords:
    """Reads and writes the rows; ``writer`` is unique to this process.

    Methods raise PlatformError.
    """

    def __init__(self, store: TableStore, era: StoreEra, writer: str):
        self._store = store
        self._era = era
        self._writer = writer
        self._numbers = itertools.count(1)

    async def load(self, service: str) -> VersionSnapshot:
        """Read all rows of a service."""
        prefix = _prefix(service)
        era = self._era.current
        rows = await self._store.scan(TABLE, prefix)
        if self._era.current != era:
            raise StoreUnavailable("the store was restored during the read")
        served_row = next((row for row in rows if row.key == prefix + SERVED_KEY), None)
        stream_rows = [row for row in rows if row is not served_row]
        is_current = served_row is not None and _era_of(served_row) == era
        versions = _versions_of(served_row)
        current_rows = [row for row in stream_rows if _era_of(row) == era]
        own_prefix = f"{prefix}{self._writer}/"
        return VersionSnapshot(
            era,
            versions if is_current else None,
            versions,
            served_row.version if served_row is not None else NO_VERSION,
            _merge(row for row in current_rows if not row.key.startswith(own_prefix)),
            _merge(row for row in current_rows if row.key.startswith(own_prefix)),
            tuple(row.key for row in stream_rows),
        )

    async def write_served(
        self,
        service: str,
        snapshot: VersionSnapshot,
        served: frozenset[str],
        streams: dict[str, str],
    ) -> list[str]:
        """Write the versions, if unchanged since ``snapshot``, together with streams.

        Returns the keys of the rows with streams.
        """
        value = {"era": snapshot.era, "versions": sorted(served)}
        key = _prefix(service) + SERVED_KEY
        served_put = Put(TABLE, key, value, snapshot.served_row_version)
        puts = self._stream_puts(service, streams, snapshot.era)
        await self._store.write(Transaction((served_put, *puts), era=snapshot.era))
        return [put.key for put in puts]

    async def write_streams(
        self, service: str, streams: dict[str, str], removed_keys: list[str]
    ) -> list[str]:
        """Write streams and remove rows; returns the keys of the written rows."""
        era = self._era.current
        puts = self._stream_puts(service, streams, era)
        removals = [Put(TABLE, key, None, None) for key in removed_keys]
        await self._store.write(Transaction((*puts, *removals), era=era))
        return [put.key for put in puts]

    def _stream_puts(
        self, service: str, streams: dict[str, str], era: int
    ) -> list[Put]:
        items = sorted(streams.items(), key=lambda item: item[1])
        starts = range(0, len(items), STREAMS_PER_ROW_MAX)
        chunks = [items[start : start + STREAMS_PER_ROW_MAX] for start in starts]
        return [
            Put(TABLE, self._next_key(service), _stream_row(chunk, era), None)
            for chunk in chunks
        ]

    def _next_key(self, service: str) -> str:
        return f"{_prefix(service)}{self._writer}/{next(self._numbers):010}"


def stream_key(call_id: str) -> str:
    """Return the key of the stream that a call began."""
    digest = hashlib.blake2b(call_id.encode(errors="replace"), digest_size=KEY_BYTES)
    return digest.hexdigest()


def _prefix(service: str) -> str:
    return stream_key(service) + "/"


def _stream_row(items: list[tuple[str, str]], era: int) -> dict[str, Any]:
    by_version = itertools.groupby(items, key=lambda item: item[1])
    return {
        "era": era,
        "streams": {
            version: [key for key, _version in group] for version, group in by_version
        },
    }


def _merge(rows: Iterable[Row]) -> dict[str, str | None]:
    """Return the streams of rows; a later row of one writer replaces an earlier one."""
    by_writer: dict[str, dict[str, str]] = {}
    for row in sorted(rows, key=lambda row: row.key):
        writer = row.key.rpartition("/")[0]
        by_writer.setdefault(writer, {}).update(_streams_of(row))
    merged: dict[str, str | None] = {}
    for streams in by_writer.values():
        for key, version in streams.items():
            if version == WITHDRAWN_VERSION:
                continue
            is_contradicted = merged.get(key, version) != version
            merged[key] = None if is_contradicted else version
    return merged


def _streams_of(row: Row) -> dict[str, str]:
    groups = row.value.get("streams") if isinstance(row.value, dict) else None
    if not isinstance(groups, dict):
        return {}
    return {
        key: version
        for version, keys in groups.items()
        if isinstance(keys, list)
        for key in keys
        if isinstance(key, str)
    }


def _era_of(row: Row) -> int | None:
    return row.value.get("era") if isinstance(row.value, dict) else None


def _versions_of(row: Row | None) -> frozenset[str]:
    if row is None or not isinstance(row.value, dict):
        return frozenset()
    versions = row.value.get("versions")
    if not isinstance(versions, list):
        return frozenset()
    return frozenset(item for item in versions if isinstance(item, str))
