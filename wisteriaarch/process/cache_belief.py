"""Which prompt parts the engines probably hold, from what was placed on them.

Load pattern: many long prompts share parts, and the parts are more than the memory of
the engines that read prompts. Reading a part anew takes a hundred times as long as
copying it. The entry that schedules a service knows which parts were placed where, for
all entries, without asking any engine.

Shared parts come in chains: a few that all prompts begin with, then one of thousands. A
part is of use only where all parts before it are held too.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

from .clock import now_s

PART_MIN_TOKENS = 512
USABLE_SHARE = 0.7
YOUNG_S = 20.0
READING_MAX_S = 3.0
PARTS_KEPT = 4096


class Holding(IntEnum):
    """What is believed of a prompt part at one engine, from the least to the most.

    MAYBE is one that was there and may have yielded since, READING one that the engine
    is reading: other prompts can't use it yet, not even on the same engine.
    """

    NONE = 0
    MAYBE = 1
    READING = 2
    HELD = 3


class SharedPart(Protocol):
    """Part of a prompt that other prompts may begin with too."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class PrefixHolding:
    """What is believed of a chain of shared parts at one engine.

    ``whole`` is believed of all of them together; ``held_tokens`` are in its memory and
    need not be read.
    """

    whole: Holding = Holding.NONE
    held_tokens: int = 0


NOTHING_HELD = PrefixHolding()


@dataclass
class PartUse:
    """Last use of a part: tokens ever added by then, and whether it was read.

    ``since_s`` is when its reading began.
    """

    added_tokens: int
    ready: bool
    since_s: float


@dataclass
class EngineMemory:
    """Least recently used parts yield: a part goes once enough others came after it.

    ``added_tokens`` counts all tokens ever added.
    """

    added_tokens: int = 0
    uses: dict[str, PartUse] = field(default_factory=dict)

    def note(
        self, part_ids: Iterable[str], tokens: int, ready: bool, at_s: float
    ) -> None:
        """Take in the use of parts by a prompt that added ``tokens``."""
        self.added_tokens += tokens
        for part_id in part_ids:
            use = self.uses.pop(part_id, None) or PartUse(0, ready, at_s)
            use.added_tokens = self.added_tokens
            use.ready = use.ready or ready
            self.uses[part_id] = use
        while len(self.uses) > PARTS_KEPT:
            del self.uses[next(iter(self.uses))]

    def holding(self, part_id: str, capacity_tokens: float, now: float) -> Holding:
        """Return what is believed of a part at a time."""
        use = self.uses.get(part_id)
        if use is None:
            return Holding.NONE
        if self.added_tokens - use.added_tokens >= capacity_tokens:
            return Holding.MAYBE
        if use.ready:
            return Holding.HELD
        return Holding.READING if now - use.since_s < READING_MAX_S else Holding.MAYBE

    def chain(
        self, parts: Sequence[SharedPart], capacity_tokens: float, now: float
    ) -> PrefixHolding:
        """Return what is believed of a chain of parts at a time."""
        whole, held_tokens = Holding.HELD, 0
        for part in parts:
            found = self.holding(part.part_id, capacity_tokens, now)
            if found < whole:
                whole = found
            if whole is Holding.NONE:
                break
            if whole is Holding.HELD:
                held_tokens += part.tokens
        if whole is Holding.NONE and not held_tokens:
            return NOTHING_HELD
        return PrefixHolding(whole, held_tokens)


class CacheBelief:
    """Memories of all engines, as far as they follow from what was placed."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._started_at_s = clock()
        self._engines: dict[str, EngineMemory] = defaultdict(EngineMemory)

    def begin_anew(self) -> None:
        """Take in that from now on calls are placed here that were placed elsewhere."""
        self._started_at_s = self._clock()

    def is_young(self) -> bool:
        """Whether engines may hold much that isn't known here."""
        return self._clock() - self._started_at_s < YOUNG_S

    def note(
        self,
        upstream_id: str,
        part_ids: Iterable[str],
        tokens: int,
        ready: bool = False,
    ) -> None:
        """Take in a prompt that was placed, or with ``ready`` was read.

        ``part_ids`` are its shared parts, ``tokens`` what it added to the memory.
        """
        self._engines[upstream_id].note(part_ids, tokens, ready, self._clock())

    def holding(
        self, upstream_id: str, parts: Sequence[SharedPart], capacity_tokens: float
    ) -> PrefixHolding:
        """Return what is believed of a chain of shared parts at an engine."""
        return self.holdings(parts, capacity_tokens)(upstream_id)

    def holdings(
        self, parts: Sequence[SharedPart], capacity_tokens: float
    ) -> Callable[[str], PrefixHolding]:
        """Return what tells the holding of a chain as of now by engine."""
        usable_tokens = USABLE_SHARE * capacity_tokens
        now = self._clock()

        def holding_of(upstream_id: str) -> PrefixHolding:
            memory = self._engines.get(upstream_id)
            if memory is None or not parts:
                return NOTHING_HELD
            return memory.chain(parts, usable_tokens, now)

        return holding_of

    def forget(self, upstream_id: str) -> None:
        """Drop what is known of an engine that has restarted or is gone."""
        self._engines.pop(upstream_id, None)
