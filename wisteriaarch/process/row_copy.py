"""Rows as one entry passes them to another while the store is away."""

import base64
import json
import zlib
from dataclasses import dataclass

from ..errors import ConfigError
from ..wire import load_json
from .rows import StoredRow

COMPRESSION_LEVEL = 1
CONTENT_MAX_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True)
class RowCopy:
    """All rows of a table; ``version`` is the store's version they are as of.

    ``changed_version`` is that of the newest change among them, removals included.
    """

    rows: tuple[StoredRow, ...]
    version: int
    changed_version: int = 0

    def encode(self) -> bytes:
        """Return the copy as JSON."""
        items = [
            [row.key, row.version, base64.b64encode(row.value).decode()]
            for row in self.rows
        ]
        content = {
            "version": self.version,
            "changed": self.changed_version,
            "rows": items,
        }
        return zlib.compress(json.dumps(content).encode(), COMPRESSION_LEVEL)

    @classmethod
    def decode(cls, data: bytes) -> "RowCopy":
        """Read a copy; raises ConfigError."""
        try:
            content = load_json(_decompress(data))
            rows = tuple(
                StoredRow(str(key), int(version), base64.b64decode(value))
                for key, version, value in content["rows"]
            )
            return cls(rows, int(content["version"]), int(content["changed"]))
        except (ValueError, KeyError, TypeError, zlib.error) as exc:
            raise ConfigError(f"rows from a peer: {exc!r}") from exc


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, CONTENT_MAX_BYTES)
    if not decompressor.eof:
        raise ValueError("cut short or too large")
    return content
