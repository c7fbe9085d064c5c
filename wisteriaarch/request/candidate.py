"""Upstreams that may take a call, with what is known of them."""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from functools import lru_cache

from ..process.cache_belief import Holding
from ..process.upstreams import Stage, Upstream
from .routed_call import Prompt

# Copying shared parts takes about this share of reading them.
COPIED_SHARE = 0.06
HASH_BYTES = 8
HASH_MASK = (1 << 8 * HASH_BYTES) - 1
HASHES_KEPT = 16_384
# An odd factor near the golden share of the range, which spreads neighbouring hashes.
MIXING_FACTOR = 0x9E3779B97F4A7C15
MIXING_SHIFT = 29


@dataclass(slots=True)
class Candidate:
    """Upstream with what is known of its load; made anew for each decision.

    ``requests`` are in flight, ``prompt_tokens`` are left to be read, ``pace`` is how
    much longer than others it takes, ``failure_share`` of recent attempts failed.
    ``holding`` is what is believed of the prompt's shared parts in its memory, and
    ``held_tokens`` how many of their tokens are there, where not all are.
    """

    upstream: Upstream
    requests: int = 0
    prompt_tokens: int = 0
    pace: float = 1.0
    failure_share: float = 0.0
    suspended: bool = False
    full: bool = False
    holding: Holding = Holding.NONE
    held_tokens: int = 0

    @property
    def holds_shared(self) -> bool:
        """Whether it need not read the shared parts of a prompt."""
        return self.holding is Holding.HELD

    def tokens_held(self, prompt: Prompt) -> int:
        """Return how many tokens of a prompt it need not read."""
        if self.holding is Holding.HELD:
            return prompt.shared_tokens
        return self.held_tokens


@dataclass(frozen=True)
class Choice:
    """Candidate with its predicted cost.

    ``fetch_from`` is an upstream whose cache probably holds the shared parts of the
    prompt; copying them takes a fraction of reading them. ``tokens`` is how many tokens
    it is expected to read.
    """

    candidate: Candidate
    cost_s: float
    fetch_from: Upstream | None = None
    tokens: int = 0


def can_run(item: Candidate) -> bool:
    """Whether an upstream runs calls itself, and not only reads prompts."""
    return item.upstream.stage is not Stage.PREFILL


def tokens_to_copy(candidates: Iterable[Candidate], prompt: Prompt) -> int:
    """Return how many tokens of the shared parts can be copied from some engine."""
    return max(
        (item.tokens_held(prompt) for item in candidates if not item.suspended),
        default=0,
    )


def guess_holders(
    candidates: Sequence[Candidate], prompt: Prompt
) -> Sequence[Candidate]:
    """Take the homes of a prompt for engines that may hold its shared parts.

    Load pattern: entries start again, know nothing of what was placed before, and would
    have all prompts read anew.
    """
    if any(item.holding for item in candidates):
        return candidates
    homes = {
        find_home(prompt.last_shared_part, group)
        for group in (
            [item for item in candidates if not can_run(item)],
            [item for item in candidates if can_run(item)],
        )
    }
    return [
        replace(item, holding=Holding.MAYBE)
        if item.upstream.upstream_id in homes
        else item
        for item in candidates
    ]


def relative_paces(candidates: list[Candidate]) -> list[Candidate]:
    """Set the candidates' paces against the best one of each stage; returns them.

    Load pattern: at a peak all upstreams take longer than usual. That makes none of
    them a slow one, and says nothing about another stage. The scheduler decides a
    thousand times a second then, so that no candidate is made twice.
    """
    best: dict[Stage | None, float] = {}
    for item in candidates:
        stage = item.upstream.stage
        best[stage] = min(item.pace, best.get(stage, item.pace))
    for item in candidates:
        item.pace /= max(1.0, best[item.upstream.stage])
    return candidates


def tokens_to_read(prompt: Prompt, item: Candidate, copyable: int = 0) -> float:
    """Return how many tokens an engine is expected to read for a prompt.

    ``copyable`` tokens of the shared parts can be copied from another engine instead.
    """
    held = item.tokens_held(prompt)
    copied = max(0, copyable - held)
    return prompt.input_tokens - held - (1 - COPIED_SHARE) * copied


def find_home(part_id: str, candidates: Iterable[Candidate]) -> str | None:
    """Return the upstream that all entries expect to hold a shared prompt part.

    Rendezvous hashing: where an upstream leaves, only its own parts move.
    """
    if not part_id:
        return None

    part = _hash_of(part_id)

    def rank(item: Candidate) -> int:
        mixed = (part ^ _hash_of(item.upstream.upstream_id)) * MIXING_FACTOR
        return (mixed ^ (mixed >> MIXING_SHIFT)) * MIXING_FACTOR & HASH_MASK

    usable = [item for item in candidates if not item.suspended]
    best = max(usable, key=rank, default=None)
    return best.upstream.upstream_id if best else None


@lru_cache(maxsize=HASHES_KEPT)
def _hash_of(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest)
