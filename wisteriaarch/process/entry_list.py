"""List of entries that registered in the platform's store."""

import json
import random

import curio

from ..errors import StoreUnavailable
from ..wire import INVALID_CONTENT_ERRORS, Address, is_ipv4, load_json
from .rows import RowSource, RowTable
from .store import Instance
from .store_era import StoreEra

ENTRY_KIND = "entry"
REGISTER_RETRY_DELAY_S = 0.7
ERA_POLL_INTERVAL_S = 1.0
# Spreads the repeated registrations of hundreds of entries.
REGISTER_JITTER_S = 1.0


class EntryList:
    """Instance list of the entries; all entries use the same ports.

    The seed entries from the settings are included even while the store is unavailable.
    """

    def __init__(
        self,
        source: RowSource,
        own_id: str,
        zone: str,
        caller_port: int,
        peer_port: int,
        seeds: tuple[str, ...],
        store_era: StoreEra,
    ):
        self._source = source
        self._own_id = own_id
        self._zone = zone
        self._caller_port = caller_port
        self._peer_port = peer_port
        self._seeds = seeds
        self._era = store_era
        self._rng = random.Random(own_id)
        self._registered: dict[str, str] = {}

    async def register(self) -> None:
        """Write this entry's own row, and rewrite it whenever the store era rises.

        A store restored from an older snapshot may lack the row. Never returns.
        """
        while True:
            await self._write_own_row()
            era = self._era.current
            while era == self._era.current:
                await curio.sleep(ERA_POLL_INTERVAL_S)
            await curio.sleep(self._rng.uniform(0, REGISTER_JITTER_S))

    async def _write_own_row(self) -> None:
        value = json.dumps({"zone": self._zone}).encode()
        while True:
            try:
                await self._source.put(RowTable.ENTRIES, self._own_id, value)
                return
            except StoreUnavailable:
                await curio.sleep(REGISTER_RETRY_DELAY_S)

    def cached_instances(self) -> list[Instance]:
        """Return the seeds, this entry and the cached rows; sends no request."""
        zones = {host: "" for host in (*self._seeds, self._own_id)}
        zones.update(self._registered)
        return [self.make_instance(host, zone) for host, zone in zones.items()]

    def make_instance(self, entry_id: str, zone: str = "") -> Instance:
        """Return the instance with this id, which is its IP address."""
        return Instance(
            entry_id,
            ENTRY_KIND,
            zone,
            Address(entry_id, self._caller_port),
            Address(entry_id, self._peer_port),
        )

    async def list(self) -> list[Instance]:
        """Read the entries from the store; a row that is no address is left out.

        While the store is unavailable, raises StoreUnavailable if rows were read
        before; otherwise returns the seeds and this entry.
        """
        try:
            read = await self._source.read_all(RowTable.ENTRIES)
        except StoreUnavailable:
            if self._registered:
                raise
            return self.cached_instances()
        self._registered = {
            row.key: _decode_zone(row.value) for row in read.rows if is_ipv4(row.key)
        }
        return self.cached_instances()


def _decode_zone(value: bytes) -> str:
    try:
        return str(load_json(value)["zone"])
    except INVALID_CONTENT_ERRORS:
        return ""
