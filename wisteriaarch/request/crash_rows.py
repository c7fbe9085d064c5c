"""Table rows about crashes: crashes per request, and locks for isolated runs.

Crashes are rare, so a few writes for each request in flight at a crash are acceptable.
While the table is unavailable, each entry uses only its own records, and runs suspects
only on its assigned share of the engines.
"""

import random
from collections.abc import Callable

import curio

from ..errors import PlatformError, WriteConflict
from ..process.fleet import Fleet
from ..process.store import NO_VERSION, Put, TableStore, Transaction
from .owner_probe import OwnerProbe

CRASHES_TABLE = "crashes"
ISOLATION_TABLE = "isolation"
QUARANTINE_CRASHES = 2
WRITE_ATTEMPTS = 5
CONFLICT_DELAY_S = 0.02


def is_presumed_cause(crash_ids: set[str], others: list[set[str]]) -> bool:
    """Whether a request is presumed to have caused the crashes during its runs.

    ``others`` are the crashes of every other recorded request. If another request was
    in flight at the same crashes and at more, that request is presumed the cause. If
    another was in flight at exactly the same two crashes, a third one is required.
    """
    if len(crash_ids) < QUARANTINE_CRASHES:
        return False
    if is_explained_by_another(crash_ids, others):
        return False
    return len(crash_ids) > QUARANTINE_CRASHES or crash_ids not in others


def is_explained_by_another(crash_ids: set[str], others: list[set[str]]) -> bool:
    """Whether another request was in flight at all of these crashes and at more."""
    return not crash_ids or any(crash_ids < other for other in others)


class CrashRows:
    """Crash ids recorded by all entries, one row per request fingerprint."""

    def __init__(self, table: TableStore):
        self._table = table

    async def read_others(self, fingerprint: str) -> list[set[str]] | None:
        """Return the crash ids of all other fingerprints.

        Returns None if the table is unavailable.
        """
        try:
            rows = await self._table.scan(CRASHES_TABLE)
        except PlatformError:
            return None
        return [set(row.value["crash_ids"]) for row in rows if row.key != fingerprint]

    async def find(self, fingerprint: str) -> set[str] | None:
        """Return the recorded crash ids.

        Returns None if there is no row or the table is unavailable.
        """
        try:
            row = await self._table.read(CRASHES_TABLE, fingerprint)
        except PlatformError:
            return None
        return set(row.value["crash_ids"]) if row.exists else None

    async def clear_crashes(self, fingerprint: str) -> None:
        """Empty the row, so that other entries release the request as well."""
        try:
            row = await self._table.read(CRASHES_TABLE, fingerprint)
            await self._replace(row, set())
        except PlatformError:
            pass

    async def add(self, fingerprint: str, crash_ids: set[str]) -> set[str]:
        """Add crash ids and return all recorded ones.

        While the table is unavailable, only the ids known here are returned.
        """
        known = set(crash_ids)
        try:
            for _ in range(WRITE_ATTEMPTS):
                row = await self._table.read(CRASHES_TABLE, fingerprint)
                recorded = set(row.value["crash_ids"]) if row.exists else set()
                known |= recorded
                if known == recorded or await self._replace(row, known):
                    break
        except PlatformError:
            pass
        return known

    async def read(self, fingerprint: str) -> set[str]:
        """Return the recorded crash ids, none if the table is unavailable."""
        return await self.find(fingerprint) or set()

    async def remove(self, fingerprint: str) -> None:
        """Remove the row of a fingerprint."""
        try:
            row = await self._table.read(CRASHES_TABLE, fingerprint)
            if row.exists:
                put = Put(CRASHES_TABLE, fingerprint, None, row.version)
                await self._table.write(Transaction((put,)))
        except PlatformError:
            pass

    async def _replace(self, row, crash_ids: set[str]) -> bool:
        value = {"crash_ids": sorted(crash_ids)}
        put = Put(row.table, row.key, value, row.version)
        try:
            await self._table.write(Transaction((put,)))
        except WriteConflict:
            await curio.sleep(CONFLICT_DELAY_S * random.random())
            return False
        return True


def is_assigned_upstream(fleet: Fleet, entry_id: str, upstream: str) -> bool:
    """Whether this entry may run suspects on an upstream during a table outage.

    The listed engines are divided evenly among the listed entries. Any other upstream
    is assigned to every entry.
    """
    entries = sorted(item.instance_id for item in fleet.of_kind("entry"))
    engines = sorted(item.instance_id for item in fleet.of_kind("engine"))
    if upstream not in engines or entry_id not in entries:
        return True
    return entries[engines.index(upstream) % len(entries)] == entry_id


class IsolationLocks:
    """Locks in the table: which entry runs a suspect on an upstream.

    ``is_assigned`` returns whether this entry may use an upstream while the table is
    unavailable.
    """

    def __init__(
        self,
        table: TableStore,
        owners: OwnerProbe,
        entry_id: str,
        incarnation: int,
        is_assigned: Callable[[str], bool] = lambda _upstream: True,
    ):
        self._table = table
        self._owners = owners
        self._is_assigned = is_assigned
        self._entry_id = entry_id
        self._incarnation = incarnation

    async def acquire(self, lock_name: str) -> bool:
        """Acquire the lock; returns whether this entry may run a suspect.

        ``lock_name`` is the name of an upstream, or a key that identifies a request;
        see ``Isolation``.
        """
        try:
            row = await self._table.read(ISOLATION_TABLE, lock_name)
            if row.exists and not await self._owners.has_ended(
                row.value["entry_id"], row.value["incarnation"]
            ):
                return False
            await self._write(lock_name, row.version, self._own_value())
        except WriteConflict:
            return False
        except PlatformError:
            return self._is_assigned(lock_name)
        return True

    async def release(self, lock_name: str) -> None:
        """Release the lock if this incarnation of the entry holds it."""
        try:
            row = await self._table.read(ISOLATION_TABLE, lock_name)
            if row.exists and row.value == self._own_value():
                await self._write(lock_name, row.version, None)
        except PlatformError:
            return

    def _own_value(self) -> dict[str, str | int]:
        return {"entry_id": self._entry_id, "incarnation": self._incarnation}

    async def _write(self, lock_name: str, version: int, value) -> None:
        put = Put(ISOLATION_TABLE, lock_name, value, version or NO_VERSION)
        await self._table.write(Transaction((put,)))
