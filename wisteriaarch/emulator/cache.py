"""Prefix cache of the engine emulator: an LRU cache of prompt blocks."""

from collections import OrderedDict

BLOCK_TOKENS = 64
BLOCK_CHARS = BLOCK_TOKENS * 4


class PrefixCache:
    """Bounded LRU set of the keys of prompt prefixes that end at block boundaries."""

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def match(self, prompt: str) -> int:
        """Return the number of leading tokens cached, refreshing their blocks."""
        blocks = 0
        for key in _block_keys(prompt):
            if key not in self._blocks:
                break
            self._blocks.move_to_end(key)
            blocks += 1
        return blocks * BLOCK_TOKENS

    def insert(self, prompt: str) -> None:
        """Cache the complete blocks of a prompt, evicting the least recently used."""
        for key in _block_keys(prompt):
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    def clear(self) -> None:
        """Remove all blocks."""
        self._blocks.clear()


def _block_keys(prompt: str):
    key = 0
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        key = hash((key, prompt[start : start + BLOCK_CHARS]))
        yield key
