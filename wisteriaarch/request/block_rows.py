"""What is known of prompt blocks and crashes, kept in the store.

Entries tell each other of crashes, and all of it is lost where all of them start again
at once. One entry writes what it knows with each change; an entry that starts reads it.
"""

from collections.abc import Callable
from typing import Any

import curio

from ..errors import PlatformError
from ..process.digest import NO_BLOCK_RECORDS, BlockAnswer, BlockCrash, BlockRecords
from ..process.store import Put, RowStore, Transaction
from .block_quarantine import BlockQuarantine

TABLE = "block_records"
KEY = "all"
RECORDS_MAX = 32
CHECK_EVERY_S = 0.1
RETRY_S = 0.5


class BlockRows:
    """Reads the row at the start, and keeps it up to date while ``is_writer``."""

    def __init__(
        self, blocks: BlockQuarantine, store: RowStore, is_writer: Callable[[], bool]
    ):
        self._blocks = blocks
        self._store = store
        self._is_writer = is_writer
        self._written_version = 0

    async def run(self) -> None:
        """Read the row once, then write each change, forever."""
        while not await self._read():
            await curio.sleep(RETRY_S)
        while True:
            is_written = True
            if self._blocks.version != self._written_version and self._is_writer():
                is_written = await self._write()
            await curio.sleep(CHECK_EVERY_S if is_written else RETRY_S)

    async def _read(self) -> bool:
        try:
            row = await self._store.read(TABLE, KEY)
        except PlatformError:
            return False
        before = self._blocks.version
        self._blocks.merge(decode_records(row.value))
        if before == self._written_version:
            self._written_version = self._blocks.version
        return True

    async def _write(self) -> bool:
        version = self._blocks.version
        value = encode_records(self._blocks.export(RECORDS_MAX))
        try:
            await self._store.write(Transaction((Put(TABLE, KEY, value, None),)))
        except PlatformError:
            return False
        self._written_version = version
        return True


def encode_records(records: BlockRecords) -> dict[str, Any]:
    """Return the content of a row; ages are in seconds, as of now."""
    return {
        "crashes": [
            [item.request, item.crash_id, list(item.blocks), item.age_s]
            for item in records.crashes
        ],
        "answers": [[item.block, item.age_s] for item in records.answers],
    }


def decode_records(value: Any) -> BlockRecords:
    """Return the records of a row, none if it is malformed.

    The time since the row was written isn't known and not part of the ages.
    """
    try:
        return BlockRecords(
            tuple(
                BlockCrash(str(request), str(crash), tuple(map(str, blocks)), age_s)
                for request, crash, blocks, age_s in value["crashes"]
                if age_s >= 0
            ),
            tuple(
                BlockAnswer(str(block), age_s)
                for block, age_s in value["answers"]
                if age_s >= 0
            ),
        )
    except (KeyError, TypeError, ValueError):
        return NO_BLOCK_RECORDS
