"""Entries as they registered themselves in the platform's store."""

import json
import random

import curio

from ..errors import StoreUnavailable
from ..wire import Address, load_json
from .rows import RowSource, RowTable
from .store import Instance
from .store_era import StoreEra

ENTRY_KIND = "entry"
REGISTER_RETRY_S = 0.7
ERA_LOOK_S = 1.0
# Hundreds of entries write their rows again within this time.
REGISTER_SPREAD_S = 1.0


class EntryList:
    """Instance list of the entries; all of them use the same ports.

    The entries that the settings name are part of it also while the store is away.
    """

    def __init__(
        self,
        source: RowSource,
        own_id: str,
        zone: str,
        front_port: int,
        peer_port: int,
        seeds: tuple[str, ...],
        era: StoreEra,
    ):
        self._source = source
        self._own_id = own_id
        self._zone = zone
        self._front_port = front_port
        self._peer_port = peer_port
        self._seeds = seeds
        self._era = era
        self._rng = random.Random(own_id)
        self._registered: dict[str, str] = {}

    async def register(self) -> None:
        """Write this entry's own row, for ever; again where the store may lack it."""
        while True:
            await self._write_own()
            era = self._era.known
            while era == self._era.known:
                await curio.sleep(ERA_LOOK_S)
            await curio.sleep(self._rng.uniform(0, REGISTER_SPREAD_S))

    async def _write_own(self) -> None:
        value = json.dumps({"zone": self._zone}).encode()
        while True:
            try:
                await self._source.put(RowTable.ENTRIES, self._own_id, value)
                return
            except StoreUnavailable:
                await curio.sleep(REGISTER_RETRY_S)

    def known(self) -> list[Instance]:
        """Return the entries that are known without asking."""
        zones = {host: "" for host in (*self._seeds, self._own_id)}
        zones.update(self._registered)
        return [self.instance(host, zone) for host, zone in zones.items()]

    def instance(self, entry_id: str, zone: str = "") -> Instance:
        """Return an entry by its id, which is its IP number."""
        return Instance(
            entry_id,
            ENTRY_KIND,
            zone,
            Address(entry_id, self._front_port),
            Address(entry_id, self._peer_port),
        )

    async def list(self) -> list[Instance]:
        """Return the entries; those that were read last while the store is away."""
        try:
            read = await self._source.read_all(RowTable.ENTRIES)
        except StoreUnavailable:
            if self._registered:
                raise
            return self.known()
        self._registered = {row.key: _zone_of(row.value) for row in read.rows}
        return self.known()


def _zone_of(value: bytes) -> str:
    try:
        return str(load_json(value)["zone"])
    except (ValueError, KeyError, TypeError):
        return ""
