"""Crashes and answers of prompt blocks in messages between entries (both schemas)."""

from ..errors import FrameError
from ..process.digest import BlockAnswer, BlockCrash, BlockRecords

MS_PER_S = 1000
AGE_MAX_MS = 0xFFFFFFFF
BLOCKS_MAX = 64


def block_fields(records: BlockRecords) -> dict:
    """Return the fields of a ``BlockRecords`` struct."""
    return {
        "crashes": [
            {
                "request": item.request,
                "crash": item.crash_id,
                "blocks": list(item.blocks),
                "ageMs": _age_ms(item.age_s),
            }
            for item in records.crashes
        ],
        "answers": [
            {"block": item.block, "ageMs": _age_ms(item.age_s)}
            for item in records.answers
        ],
    }


def block_records_from(message, records_max: int) -> BlockRecords:
    """Return the records of a ``BlockRecords`` struct; raises FrameError if malformed.

    At most ``records_max`` crashes and as many answers are accepted.
    """
    if max(len(message.crashes), len(message.answers)) > records_max:
        raise FrameError(f"more than {records_max} block records in a message")
    return BlockRecords(
        tuple(_crash_from(item) for item in message.crashes),
        tuple(_answer_from(item) for item in message.answers),
    )


def _crash_from(item) -> BlockCrash:
    if not (item.request and item.crash):
        raise FrameError("request or crash is missing from a block record")
    if len(item.blocks) > BLOCKS_MAX:
        raise FrameError(f"more than {BLOCKS_MAX} blocks in a record")
    return BlockCrash(
        item.request, item.crash, tuple(item.blocks), item.ageMs / MS_PER_S
    )


def _answer_from(item) -> BlockAnswer:
    if not item.block:
        raise FrameError("the block is missing from an answer's record")
    return BlockAnswer(item.block, item.ageMs / MS_PER_S)


def _age_ms(age_s: float) -> int:
    return min(AGE_MAX_MS, max(0, int(age_s * MS_PER_S)))
