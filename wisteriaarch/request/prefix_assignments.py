"""Keys of a prompt's prefixes, to recognize prompts with a common prefix."""

import hashlib
from collections.abc import Iterator

BLOCK_TOKENS = 64
BLOCK_BYTES = BLOCK_TOKENS * 4
BLOCKS_MAX = 32
PREFIXES_MAX = 16384
DIGEST_BYTES = 10
PROMPT_FIELDS = (b'"prompt"', b'"messages"')


def prefix_keys(body: bytes) -> tuple[int, ...]:
    """Return the keys of the prompt's leading blocks, at most ``BLOCKS_MAX``."""
    keys = []
    key = 0
    for block in _prefix_blocks(body):
        key = hash((key, block))
        keys.append(key)
    return tuple(keys)


def prefix_digests(scope: str, body: bytes) -> tuple[str, ...]:
    """Return keys of the prompt's prefixes that are equal at all entries.

    ``scope`` is what the engines that cache them have in common.
    """
    digest = hashlib.blake2b(scope.encode(), digest_size=DIGEST_BYTES)
    keys = []
    for block in _prefix_blocks(body):
        digest.update(block)
        keys.append(digest.hexdigest())
    return tuple(keys)


def _prefix_blocks(body: bytes) -> Iterator[bytes]:
    """Yield the prompt's leading blocks, at most ``BLOCKS_MAX``."""
    start = max(body.find(field) for field in PROMPT_FIELDS)
    if start < 0:
        return
    end = min(len(body) - BLOCK_BYTES, start + BLOCKS_MAX * BLOCK_BYTES)
    for at in range(start, end, BLOCK_BYTES):
        yield body[at : at + BLOCK_BYTES]


class PrefixAssignments:
    """Maps each prefix to the engine to which this entry last sent a prompt with it.

    Prefixes are kept in two generations, and the older one is evicted as a unit: the
    latest half of the capacity is always retained, without tracking single prefixes.
    """

    def __init__(self, capacity: int = PREFIXES_MAX):
        self._generation_size = capacity // 2
        self._latest: dict[int, str] = {}
        self._older: dict[int, str] = {}

    def record(self, prefixes: tuple[int, ...], name: str) -> None:
        """Record the engine that a prompt is sent to."""
        if len(self._latest) + len(prefixes) > self._generation_size:
            self._older, self._latest = self._latest, {}
        self._latest.update(dict.fromkeys(prefixes, name))

    def find(self, prefixes: tuple[int, ...]) -> str | None:
        """Return the engine recorded for the longest known prefix; None if none is."""
        for key in reversed(prefixes):
            name = self._latest.get(key) or self._older.get(key)
            if name is not None:
                return name
        return None
