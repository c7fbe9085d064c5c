"""Upstreams that are eligible for a call, with their estimated load."""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from functools import lru_cache

from ..process.prefix_cache_index import CacheState
from ..process.request_limits import UNLIMITED
from ..process.upstreams import Stage, Upstream
from .routed_call import Prompt

# Time to copy a cached prefix, relative to prefilling it.
COPY_COST_RATIO = 0.06
HASH_BYTES = 8
HASH_MASK = (1 << 8 * HASH_BYTES) - 1
HASH_CACHE_SIZE = 16_384
# Odd multiplier near 2**64 / golden ratio (Fibonacci hashing): spreads similar hashes.
MIXING_FACTOR = 0x9E3779B97F4A7C15
MIXING_SHIFT = 29


@dataclass(slots=True)
class Candidate:
    """Upstream with its estimated load; created anew for each decision.

    ``requests`` counts requests in flight, ``occupied`` those of them that may still
    occupy the upstream, ``prompt_tokens`` tokens still to be prefilled. ``slowdown`` is
    the ratio of observed to expected time, ``usual_slowdown`` its mean over many
    answers, ``failure_rate`` the share of recent attempts that failed. ``cache_state``
    is the estimated state of the prompt's shared prefix in the engine's cache,
    ``cached_prefix_tokens`` the number of its tokens that are cached if only some are.
    A request would have to wait ``limit_wait_s`` for a permit under the upstream's
    request limit, of which ``limit_per_s`` requests a second may be used here.
    """

    upstream: Upstream
    requests: int = 0
    prompt_tokens: int = 0
    slowdown: float = 1.0
    failure_rate: float = 0.0
    is_suspended: bool = False
    is_overloaded: bool = False
    cache_state: CacheState = CacheState.NONE
    cached_prefix_tokens: int = 0
    limit_wait_s: float = 0.0
    limit_per_s: float = UNLIMITED
    occupied: int = 0
    usual_slowdown: float = 1.0

    @property
    def has_full_prefix(self) -> bool:
        """Whether the complete shared prefix of the prompt is cached."""
        return self.cache_state is CacheState.HELD

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return how many tokens of a prompt are cached, so need no prefill."""
        if self.cache_state is CacheState.HELD:
            return prompt.shared_tokens
        return self.cached_prefix_tokens


@dataclass(frozen=True)
class Choice:
    """Candidate with its predicted cost.

    ``fetch_from`` is an upstream whose cache probably contains the prompt's shared
    prefix; copying it takes a fraction of the prefill time. ``prefill_tokens`` is the
    expected number of tokens to prefill.
    """

    candidate: Candidate
    cost_s: float
    fetch_from: Upstream | None = None
    prefill_tokens: int = 0


def can_run(item: Candidate) -> bool:
    """Whether an upstream runs calls, rather than only prefilling prompts."""
    return item.upstream.stage is not Stage.PREFILL


def find_copyable_tokens(candidates: Iterable[Candidate], prompt: Prompt) -> int:
    """Return how many tokens of the shared prefix can be copied from some engine."""
    return max(
        (item.cached_tokens(prompt) for item in candidates if not item.is_suspended),
        default=0,
    )


def assume_owners_have_prefix(
    candidates: Sequence[Candidate], prompt: Prompt
) -> Sequence[Candidate]:
    """Assume that a prompt's rendezvous owners may have its shared prefix cached.

    They are marked as MAYBE unless the index has a state for some candidate.
    An entry that has just restarted has no record of earlier placements and would
    otherwise have every prompt prefilled again.
    """
    if any(item.cache_state for item in candidates):
        return candidates
    owners = {
        find_owner(prompt.last_shared_block_id, group)
        for group in (
            [item for item in candidates if not can_run(item)],
            [item for item in candidates if can_run(item)],
        )
    }
    return [
        replace(item, cache_state=CacheState.MAYBE)
        if item.upstream.upstream_id in owners
        else item
        for item in candidates
    ]


def normalize_slowdowns(candidates: list[Candidate]) -> list[Candidate]:
    """Divide the candidates' slowdowns by the lowest of each stage; returns them.

    At peak load all upstreams of a stage take longer than usual, and none of them
    should be penalized for it; stages are independent of each other. The candidates are
    changed in place since the scheduler makes about a thousand decisions a second then.
    """
    best: dict[Stage | None, float] = {}
    for item in candidates:
        stage = item.upstream.stage
        best[stage] = min(item.slowdown, best.get(stage, item.slowdown))
    for item in candidates:
        item.slowdown /= max(1.0, best[item.upstream.stage])
    return candidates


def tokens_to_prefill(prompt: Prompt, item: Candidate, copyable: int = 0) -> float:
    """Return the expected prefill work of an engine for a prompt, in tokens.

    ``copyable`` tokens of the shared prefix can be copied from another engine instead;
    copied tokens count by the relative cost of copying.
    """
    cached = item.cached_tokens(prompt)
    copied = max(0, copyable - cached)
    return prompt.input_tokens - cached - (1 - COPY_COST_RATIO) * copied


def find_owner(block_id: str, candidates: Iterable[Candidate]) -> str | None:
    """Return the id of the rendezvous owner of a shared prefix block.

    All entries compute the same owner. If an upstream is removed, only the blocks that
    it owned are reassigned (rendezvous hashing).
    """
    if not block_id:
        return None

    block_hash = _hash_name(block_id)

    def rank(item: Candidate) -> int:
        mixed = (block_hash ^ _hash_name(item.upstream.upstream_id)) * MIXING_FACTOR
        return (mixed ^ (mixed >> MIXING_SHIFT)) * MIXING_FACTOR & HASH_MASK

    usable = [item for item in candidates if not item.is_suspended]
    best = max(usable, key=rank, default=None)
    return best.upstream.upstream_id if best else None


@lru_cache(maxsize=HASH_CACHE_SIZE)
def _hash_name(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest)
