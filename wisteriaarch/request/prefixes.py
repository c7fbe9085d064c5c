"""Keys of a prompt's prefixes, to recognize prompts that begin alike."""

BLOCK_TOKENS = 64
BLOCK_BYTES = BLOCK_TOKENS * 4
BLOCKS_MAX = 32
OWNERS_KEPT = 16384
PROMPT_FIELDS = (b'"prompt"', b'"messages"')


def prompt_prefixes(body: bytes) -> tuple[int, ...]:
    """Return the keys of the prompt's leading blocks, at most ``BLOCKS_MAX``."""
    start = max(body.find(field) for field in PROMPT_FIELDS)
    if start < 0:
        return ()
    keys = []
    key = 0
    end = min(len(body) - BLOCK_BYTES, start + BLOCKS_MAX * BLOCK_BYTES)
    for at in range(start, end, BLOCK_BYTES):
        key = hash((key, body[at : at + BLOCK_BYTES]))
        keys.append(key)
    return tuple(keys)


class PrefixOwners:
    """Engine that a prompt with each prefix was last sent to, by this entry.

    Prefixes are kept in two generations, of which the older one is dropped whole: the
    latest half of the capacity is always there, without an order of single prefixes.
    """

    def __init__(self, capacity: int = OWNERS_KEPT):
        self._generation_size = capacity // 2
        self._latest: dict[int, str] = {}
        self._older: dict[int, str] = {}

    def note(self, prefixes: tuple[int, ...], name: str) -> None:
        """Remember where a prompt is sent."""
        if len(self._latest) + len(prefixes) > self._generation_size:
            self._older, self._latest = self._latest, {}
        self._latest.update(dict.fromkeys(prefixes, name))

    def find(self, prefixes: tuple[int, ...]) -> str | None:
        """Return the engine that had the longest known prefix."""
        for key in reversed(prefixes):
            name = self._latest.get(key) or self._older.get(key)
            if name is not None:
                return name
        return None
