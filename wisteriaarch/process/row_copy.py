"""Rows as one entry passes them to another while the store is away."""

import base64
import json
import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from ..errors import ConfigError
from ..wire import load_json
from .rows import StoredRow, StorePosition

COMPRESSION_LEVEL = 1
CONTENT_MAX_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True)
class RowCopy:
    """All rows of a table; ``version`` is the store's version they are as of.

    ``changed_version`` is that of the newest change among them, removals included.
    Versions are those of the store's ``era``, but for ``kept``: rows that the sender
    goes by although a store that came back from an older copy has forgotten them.
    """

    rows: tuple[StoredRow, ...]
    version: int
    changed_version: int = 0
    era: int = 0
    kept: tuple[StoredRow, ...] = ()

    @property
    def position(self) -> StorePosition:
        """Point in the store's history that the rows are as of."""
        return StorePosition(self.era, self.version)

    def encode(self) -> bytes:
        """Return the copy as JSON."""
        content = {
            "version": self.version,
            "changed": self.changed_version,
            "era": self.era,
            "rows": _items_of(self.rows),
            "kept": _items_of(self.kept),
        }
        return zlib.compress(json.dumps(content).encode(), COMPRESSION_LEVEL)

    @classmethod
    def decode(cls, data: bytes) -> "RowCopy":
        """Read a copy; raises ConfigError."""
        try:
            content = load_json(_decompress(data))
            return cls(
                _rows_from(content["rows"]),
                int(content["version"]),
                int(content["changed"]),
                int(content["era"]),
                _rows_from(content["kept"]),
            )
        except (ValueError, KeyError, TypeError, zlib.error) as exc:
            raise ConfigError(f"rows from a peer: {exc!r}") from exc


def _items_of(rows: Iterable[StoredRow]) -> list[list]:
    return [
        [row.key, row.version, base64.b64encode(row.value).decode()] for row in rows
    ]


def _rows_from(items: Iterable) -> tuple[StoredRow, ...]:
    return tuple(
        StoredRow(str(key), int(version), base64.b64decode(value))
        for key, version, value in items
    )


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, CONTENT_MAX_BYTES)
    if not decompressor.eof:
        raise ValueError("cut short or too large")
    return content
