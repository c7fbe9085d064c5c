"""Which prompt parts the engines probably hold, from what was placed on them.

Load pattern: many long prompts share parts, and the parts are more than the memory of
the engines that read prompts. Reading a part anew takes a hundred times as long as
copying it. Every entry tells its peers which parts it placed where, so that all of them
know, without asking any engine.
"""

import itertools
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

from .clock import now_s
from .digest import PlacedPart

PART_MIN_TOKENS = 512
USABLE_SHARE = 0.5
TOLD_FOR_S = 0.8
PARTS_KEPT = 4096
NUMBERS_KEPT = 256
NUMBER_BITS = 62


@dataclass
class EngineMemory:
    """Least recently used parts yield: a part goes once enough others came after it.

    ``added_tokens`` counts all tokens ever added, ``used_at`` its value at the last use
    of each part.
    """

    added_tokens: int = 0
    used_at: dict[str, int] = field(default_factory=dict)

    def note(self, part_id: str, tokens: int) -> None:
        """Take in the use of a part by a prompt that added ``tokens``."""
        self.added_tokens += tokens
        self.used_at.pop(part_id, None)
        self.used_at[part_id] = self.added_tokens
        if len(self.used_at) > PARTS_KEPT:
            del self.used_at[next(iter(self.used_at))]

    def holds(self, part_id: str, capacity_tokens: float) -> bool:
        """Whether a part is probably still there."""
        used_at = self.used_at.get(part_id)
        if used_at is None:
            return False
        return self.added_tokens - used_at < capacity_tokens


class CacheBelief:
    """Memories of all engines, as far as they follow from what was placed."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._engines: dict[str, EngineMemory] = defaultdict(EngineMemory)
        self._told: deque[tuple[float, PlacedPart]] = deque()
        self._numbers = itertools.count(random.getrandbits(NUMBER_BITS))
        self._heard: dict[str, deque[int]] = defaultdict(
            partial(deque, maxlen=NUMBERS_KEPT)
        )

    def note(self, upstream_id: str, part_id: str, tokens: int) -> None:
        """Take in a prompt that this entry placed; peers are told of it."""
        placed = PlacedPart(upstream_id, part_id, tokens, next(self._numbers))
        self._engines[upstream_id].note(part_id, tokens)
        self._told.append((self._clock(), placed))

    def holds(self, upstream_id: str, part_id: str, capacity_tokens: float) -> bool:
        """Whether an engine probably holds a part."""
        memory = self._engines.get(upstream_id)
        if memory is None:
            return False
        return memory.holds(part_id, USABLE_SHARE * capacity_tokens)

    def export(self) -> Iterator[PlacedPart]:
        """Return what was placed of late; each part is told several times."""
        since_s = self._clock() - TOLD_FOR_S
        while self._told and self._told[0][0] < since_s:
            self._told.popleft()
        return (placed for _at_s, placed in self._told)

    def absorb(self, peer_id: str, parts: tuple[PlacedPart, ...]) -> None:
        """Take in what a peer placed, where it wasn't told before."""
        heard = self._heard[peer_id]
        for placed in parts:
            if placed.number not in heard:
                heard.append(placed.number)
                self._engines[placed.upstream].note(placed.part_id, placed.tokens)

    def forget(self, upstream_id: str) -> None:
        """Drop what is known of an engine that has restarted or is gone."""
        self._engines.pop(upstream_id, None)
