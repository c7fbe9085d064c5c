"""Chooses the upstream for a call, by pure functions of the estimated loads.

All costs are estimates in seconds until the call's first event.
"""

from collections.abc import Sequence

from .candidate import Candidate, Choice, find_owner, tokens_to_prefill
from .routed_call import Prompt

FULL_COST_S = 0.5
FAILURE_COST_S = 2.0
OTHER_ZONE_COST_S = 0.004
REQUEST_COST_S = 0.02
BATCHED_REQUEST_COST_S = 0.003
NEARLY_FULL_SHARE = 0.1
DIRECT_SLOWDOWN = 2.0
CACHED_GAIN_SHARE = 0.2
OWNER_GAIN_SHARE = 0.15
# Applies to the penalties of an upstream during its cold start, not to its cost.
COLD_START_FACTOR = 1.5


def place_service_call(
    candidates: Sequence[Candidate], zone: str, service_s: float = REQUEST_COST_S
) -> Choice | None:
    """Return the upstream with the shortest expected wait.

    Meant for many short calls on upstreams with few slots and different speeds;
    ``service_s`` is the time of one at average speed. Other zones are avoided by the
    same number of requests in flight, however long these take.
    """
    other_zone_s = OTHER_ZONE_COST_S * service_s / REQUEST_COST_S

    def cost_s(item: Candidate) -> float:
        share = (item.requests + 1) / max(1, item.upstream.slots)
        return service_s * item.slowdown * (1 + share)

    return _cheapest(candidates, zone, cost_s, other_zone_s)


def place_prefill(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    rate: float,
    zone: str,
    copyable: int = 0,
) -> Choice | None:
    """Return the engine that completes the prefill first.

    ``rate`` is the prefill rate in tokens a second; ``copyable`` tokens of the shared
    prefix can be copied from some engine.

    Many long prompts may share prefixes that together exceed the cache of one engine. A
    prompt goes to an engine that has its prefix cached, unless the queue there costs
    more than copying or prefilling the prefix on another engine. A prefix that no
    engine has cached goes to its rendezvous owner.
    """
    owner = find_owner(prompt.last_shared_block_id, candidates)

    def cost_s(item: Candidate) -> float:
        tokens = tokens_to_prefill(prompt, item, copyable)
        gain_s = _locality_gain_s(prompt, item, owner, rate)
        return item.slowdown * (item.prompt_tokens + tokens) / rate - gain_s

    return _cheapest(candidates, zone, cost_s)


def place_decode(
    candidates: Sequence[Candidate], prompt: Prompt, rate: float, zone: str
) -> Choice | None:
    """Return the engine that decodes a prefilled prompt with the least delay.

    Prompts that share a prefix are decoded on the same engine, so that it can provide
    the prefix to other engines or prefill such a prompt itself.
    """
    owner = find_owner(prompt.last_shared_block_id, candidates)

    def cost_s(item: Candidate) -> float:
        delay_s = item.slowdown * (_batch_delay_s(item) + item.prompt_tokens / rate)
        return delay_s - _locality_gain_s(prompt, item, owner, rate)

    return _cheapest(candidates, zone, cost_s)


def place_direct(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    rate: float,
    zone: str,
    copyable: int = 0,
) -> Choice | None:
    """Return the engine that both prefills and decodes a prompt with the least delay.

    Meant for short prompts, which would be queued behind long ones in the prefill
    stage.
    """
    direct_rate = rate / DIRECT_SLOWDOWN

    def cost_s(item: Candidate) -> float:
        tokens = tokens_to_prefill(prompt, item, copyable)
        prefill_s = (item.prompt_tokens + tokens) / direct_rate
        return item.slowdown * (prefill_s + _batch_delay_s(item))

    return _cheapest(candidates, zone, cost_s)


def _batch_delay_s(item: Candidate) -> float:
    """Return the delay added by an engine's batch; it jumps when nearly full."""
    free = item.upstream.slots - item.requests
    nearly_full_s = (
        FULL_COST_S if free <= item.upstream.slots * NEARLY_FULL_SHARE else 0.0
    )
    return BATCHED_REQUEST_COST_S * item.requests + nearly_full_s


def _locality_gain_s(
    prompt: Prompt, item: Candidate, owner: str | None, rate: float
) -> float:
    """Return the value, in seconds, of keeping a shared prefix on few engines."""
    tokens = CACHED_GAIN_SHARE * item.cached_tokens(prompt)
    if item.upstream.upstream_id == owner:
        tokens += OWNER_GAIN_SHARE * prompt.shared_tokens
    return tokens / rate


def _cheapest(
    candidates, zone: str, cost_s, other_zone_s: float = OTHER_ZONE_COST_S
) -> Choice | None:
    choices = [
        Choice(item, cost_s(item) + _penalty_s(item, zone, other_zone_s))
        for item in candidates
    ]
    return min(
        choices,
        key=lambda choice: (choice.candidate.is_suspended, choice.cost_s),
        default=None,
    )


def _penalty_s(item: Candidate, zone: str, other_zone_s: float) -> float:
    cost_s = FAILURE_COST_S * item.failure_rate**2
    if item.is_overloaded:
        cost_s += FULL_COST_S
    if item.upstream.zone != zone:
        cost_s += other_zone_s
    if item.upstream.cold_start_left_s > 0:
        cost_s *= COLD_START_FACTOR
    return cost_s + item.limit_wait_s
