"""Encoding of usage counts in messages between entries."""

import json
import sys
import zlib
from typing import Any

from ..errors import FrameError
from ..process.usage_counts import UsageUpdate
from ..wire import INVALID_CONTENT_ERRORS, load_json

# 830 customers in each of the retained windows take less.
COUNTS_MAX_BYTES = 1024 * 1024


def usage_fields(update: UsageUpdate) -> dict[str, Any]:
    """Return the fields of the message for an update."""
    text = json.dumps(update.counts, separators=(",", ":"))
    return {
        "entryId": update.entry_id,
        "incarnation": update.incarnation,
        "number": update.number,
        "closedBefore": update.closed_before,
        "counts": zlib.compress(text.encode()),
    }


def usage_from(item: Any) -> UsageUpdate:
    """Decode an update; raises FrameError."""
    try:
        content = load_json(_decompress(bytes(item.counts)))
        counts = {
            int(window): {
                sys.intern(str(name)): int(count) for name, count in values.items()
            }
            for window, values in content.items()
        }
    except (*INVALID_CONTENT_ERRORS, zlib.error) as exc:
        raise FrameError(f"malformed usage counts: {exc!r}") from exc
    return UsageUpdate(
        item.entryId, item.incarnation, item.number, item.closedBefore, counts
    )


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(data, COUNTS_MAX_BYTES)
    if decompressor.unconsumed_tail:
        raise FrameError(f"usage counts of more than {COUNTS_MAX_BYTES} bytes")
    return text
