"""Index of the prefix blocks that engines probably cache, from placements.

Many long prompts share prefix blocks, and the blocks exceed the memory of the prefill
engines. Prefilling a block again takes a hundred times as long as copying it. The entry
that schedules a service tracks the placement of blocks for all entries, without
requests to engines.

Blocks form chains: a chain begins with a few blocks common to all prompts, followed by
one of thousands of alternatives. A block is usable only if all blocks before it are
cached too.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

from .clock import now_s

BLOCK_MIN_TOKENS = 512
USABLE_CAPACITY_SHARE = 0.7
WARM_UP_S = 20.0
PREFILL_MAX_S = 3.0
BLOCKS_PER_ENGINE_MAX = 4096


class CacheState(IntEnum):
    """Estimated state of a prefix block at one engine, in ascending order.

    MAYBE is a block that was cached and may have been evicted since.
    READING is a block in prefill: other prompts can't use it yet, not even on the same
    engine. Members are logged under their names.
    """

    NONE = 0
    MAYBE = 1
    READING = 2
    HELD = 3


class PrefixBlock(Protocol):
    """Block of a prompt that other prompts may begin with too."""

    block_id: str
    tokens: int


@dataclass(frozen=True)
class PrefixCacheState:
    """Estimated state of a chain of prefix blocks at one engine.

    ``state`` is the least state of all blocks; ``cached_tokens`` counts the tokens of
    the leading cached blocks, which need no prefill.
    """

    state: CacheState = CacheState.NONE
    cached_tokens: int = 0


NOTHING_CACHED = PrefixCacheState()


@dataclass
class BlockUse:
    """Last use of a block at one engine.

    ``total_tokens_at_use`` is the cache's total of added tokens at that time,
    ``prefilled`` whether the block's prefill has ended, and ``prefill_started_at_s``
    when it began.
    """

    total_tokens_at_use: int
    prefilled: bool
    prefill_started_at_s: float


@dataclass
class EngineCache:
    """LRU cache of one engine: enough newer tokens evict a block.

    ``added_tokens`` counts all tokens ever added.
    """

    added_tokens: int = 0
    uses: dict[str, BlockUse] = field(default_factory=dict)

    def record_use(
        self, block_ids: Iterable[str], tokens: int, prefilled: bool, at_s: float
    ) -> None:
        """Record the use of blocks by a prompt that added ``tokens``."""
        self.added_tokens += tokens
        for block_id in block_ids:
            use = self.uses.pop(block_id, None) or BlockUse(0, prefilled, at_s)
            use.total_tokens_at_use = self.added_tokens
            use.prefilled = use.prefilled or prefilled
            self.uses[block_id] = use
        while len(self.uses) > BLOCKS_PER_ENGINE_MAX:
            del self.uses[next(iter(self.uses))]

    def block_state(
        self, block_id: str, capacity_tokens: float, now: float
    ) -> CacheState:
        """Return the estimated state of a block at a time."""
        use = self.uses.get(block_id)
        if use is None:
            return CacheState.NONE
        if self.added_tokens - use.total_tokens_at_use >= capacity_tokens:
            return CacheState.MAYBE
        if use.prefilled:
            return CacheState.HELD
        return (
            CacheState.READING
            if now - use.prefill_started_at_s < PREFILL_MAX_S
            else CacheState.MAYBE
        )

    def prefix_state(
        self, blocks: Sequence[PrefixBlock], capacity_tokens: float, now: float
    ) -> PrefixCacheState:
        """Return the estimated state of a chain of blocks at a time."""
        state, cached_tokens = CacheState.HELD, 0
        for block in blocks:
            block_state = self.block_state(block.block_id, capacity_tokens, now)
            if block_state < state:
                state = block_state
            if state is CacheState.NONE:
                break
            if state is CacheState.HELD:
                cached_tokens += block.tokens
        if state is CacheState.NONE and not cached_tokens:
            return NOTHING_CACHED
        return PrefixCacheState(state, cached_tokens)


class PrefixCacheIndex:
    """Estimated prefix caches of all engines, derived from placements."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._started_at_s = clock()
        self._engines: dict[str, EngineCache] = defaultdict(EngineCache)

    def restart_warm_up(self) -> None:
        """Restart the warm-up: calls placed elsewhere are placed here from now on."""
        self._started_at_s = self._clock()

    def is_warming_up(self) -> bool:
        """Whether engines may cache many blocks that aren't tracked here."""
        return self._clock() - self._started_at_s < WARM_UP_S

    def record_use(
        self,
        upstream_id: str,
        block_ids: Iterable[str],
        tokens: int,
        prefilled: bool = False,
    ) -> None:
        """Record a prompt that was placed, or with ``prefilled`` was prefilled.

        ``block_ids`` are its prefix blocks, ``tokens`` the number it added to the
        cache.
        """
        self._engines[upstream_id].record_use(
            block_ids, tokens, prefilled, self._clock()
        )

    def prefix_state(
        self, upstream_id: str, blocks: Sequence[PrefixBlock], capacity_tokens: float
    ) -> PrefixCacheState:
        """Return the estimated state of a chain of prefix blocks at an engine."""
        return self.prefix_state_lookup(blocks, capacity_tokens)(upstream_id)

    def prefix_state_lookup(
        self, blocks: Sequence[PrefixBlock], capacity_tokens: float
    ) -> Callable[[str], PrefixCacheState]:
        """Return a function from upstream id to the present state of a chain."""
        usable_tokens = USABLE_CAPACITY_SHARE * capacity_tokens
        now = self._clock()

        def state_at(upstream_id: str) -> PrefixCacheState:
            cache = self._engines.get(upstream_id)
            if cache is None or not blocks:
                return NOTHING_CACHED
            return cache.prefix_state(blocks, usable_tokens, now)

        return state_at

    def discard(self, upstream_id: str) -> None:
        """Discard the cache of an engine that has restarted or deregistered."""
        self._engines.pop(upstream_id, None)
