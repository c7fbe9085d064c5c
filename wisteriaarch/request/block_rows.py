"""What is known of prompt blocks and crashes, kept in the store."""

from collections.abc import Callable
from typing import Any

from ..event_log import EventLog
from ..process.digest import NO_BLOCK_RECORDS, BlockAnswer, BlockCrash, BlockRecords
from ..process.store import RowStore
from ..process.store_era import StoreEra
from .block_quarantine import BlockQuarantine
from .kept_records import KeptRecords

RECORDS_MAX = 32


class BlockRows(KeptRecords):
    """Crashes and answers from which verdicts on prompt blocks are derived."""

    table = "block_records"

    def __init__(
        self,
        blocks: BlockQuarantine,
        store: RowStore,
        is_writer: Callable[[], bool],
        log: EventLog,
        era: StoreEra | None = None,
    ):
        super().__init__(store, is_writer, log, era)
        self._blocks = blocks

    def version(self) -> int:
        """Return the version of the records."""
        return self._blocks.version

    def encode(self) -> dict[str, Any]:
        """Return the newest records."""
        return encode_records(self._blocks.export(RECORDS_MAX))

    def merge(self, value: Any) -> int:
        """Add the records of a row; returns their number."""
        records = decode_records(value)
        self._blocks.merge(records)
        return len(records.crashes)


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
