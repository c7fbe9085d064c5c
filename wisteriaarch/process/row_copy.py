"""Copy of a table's rows, sent to peers while the store is unavailable."""

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
    """All rows of a table; ``version`` is the store version at which they were valid.

    ``changed_version`` is the version of the newest change among them, including
    deletions. Versions belong to the store's ``era``, except those of
    ``retained_rows``, which the sender keeps in force although a store restored from an
    older snapshot lacks them.
    """

    rows: tuple[StoredRow, ...]
    version: int
    changed_version: int = 0
    era: int = 0
    retained_rows: tuple[StoredRow, ...] = ()

    @property
    def position(self) -> StorePosition:
        """Point in the store's history at which the rows were valid."""
        return StorePosition(self.era, self.version)

    def encode(self) -> bytes:
        """Encode the copy as compressed JSON."""
        content = {
            "version": self.version,
            "changed": self.changed_version,
            "era": self.era,
            "rows": _encode_rows(self.rows),
            "kept": _encode_rows(self.retained_rows),
        }
        return zlib.compress(json.dumps(content).encode(), COMPRESSION_LEVEL)

    @classmethod
    def decode(cls, data: bytes) -> "RowCopy":
        """Decode a copy; raises ConfigError."""
        try:
            content = load_json(_decompress(data))
            return cls(
                _decode_rows(content["rows"]),
                int(content["version"]),
                int(content["changed"]),
                int(content["era"]),
                _decode_rows(content["kept"]),
            )
        except (ValueError, KeyError, TypeError, zlib.error) as exc:
            raise ConfigError(f"rows from a peer: {exc!r}") from exc


def _encode_rows(rows: Iterable[StoredRow]) -> list[list]:
    return [
        [row.key, row.version, base64.b64encode(row.value).decode()] for row in rows
    ]


def _decode_rows(items: Iterable) -> tuple[StoredRow, ...]:
    return tuple(
        StoredRow(str(key), int(version), base64.b64decode(value))
        for key, version, value in items
    )


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, CONTENT_MAX_BYTES)
    if not decompressor.eof:
        raise ValueError("compressed rows are truncated or too large")
    return content
