"""Chooses the upstream for a call, by pure functions of the estimated loads.

All costs are estimates in seconds until the call's first event.
"""

import math
from collections.abc import Callable, Sequence

from ..process.upstreams import Upstream
from .candidate import Candidate, Choice, find_owner, tokens_to_prefill
from .routed_call import Prompt
from .zone_cost import TransferCost

FULL_COST_S = 0.5
FAILURE_COST_S = 2.0
OTHER_ZONE_COST_S = 0.004
REQUEST_COST_S = 0.02
BATCHED_REQUEST_COST_S = 0.003
NEARLY_FULL_SHARE = 0.1
DIRECT_SLOWDOWN = 2.0
CACHED_GAIN_SHARE = 0.2
OWNER_GAIN_SHARE = 0.15
# Learnt speeds of equal upstreams differ by up to this.
SPEED_TOLERANCE = 0.15
# Applies to the penalties of an upstream during its cold start, not to its cost.
COLD_START_FACTOR = 1.5


def place_service_call(
    candidates: Sequence[Candidate],
    zone: str,
    service_s: float = REQUEST_COST_S,
    transfer: TransferCost | None = None,
) -> Choice | None:
    """Return the upstream with the shortest expected wait.

    Meant for many short calls on upstreams with few slots and different speeds;
    ``service_s`` is the time of one at average speed. Without ``transfer``, other
    zones are avoided by the same number of requests in flight, however long these take.
    """
    if transfer is not None:
        return _cheapest_of_zones(candidates, service_s, transfer)
    other_zone_s = OTHER_ZONE_COST_S * service_s / REQUEST_COST_S

    def cost_s(item: Candidate) -> float:
        share = (item.requests + 1) / max(1, item.upstream.slots)
        return service_s * item.slowdown * (1 + share)

    return _cheapest(candidates, cost_s, _zone_penalty(zone, None, other_zone_s))


def _cheapest_of_zones(
    candidates: Sequence[Candidate], service_s: float, transfer: TransferCost
) -> Choice | None:
    """Return the least loaded upstream of the zone with the least marginal cost.

    ``transfer`` includes the wait in each zone. Speeds are learnt from single answers,
    so that only clear differences count.
    """
    by_zone: dict[str, list[Candidate]] = {}
    for item in candidates:
        by_zone.setdefault(item.upstream.zone, []).append(item)
    best = {
        zone: place_service_call(items, zone, service_s).candidate
        for zone, items in by_zone.items()
    }
    own = best.get(transfer.zone)
    own_slowdown = own.usual_slowdown if own else 1.0

    def cost_s(item: Candidate) -> float:
        gain = own_slowdown - item.usual_slowdown
        known_gain = max(0.0, abs(gain) - SPEED_TOLERANCE)
        return service_s * (own_slowdown - math.copysign(known_gain, gain))

    return _cheapest(list(best.values()), cost_s, _zone_penalty("", transfer))


def place_prefill(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    rate: float,
    zone: str,
    copyable: int = 0,
    transfer: TransferCost | None = None,
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

    return _cheapest(candidates, cost_s, _zone_penalty(zone, transfer))


def place_decode(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    rate: float,
    zone: str,
    transfer: TransferCost | None = None,
) -> Choice | None:
    """Return the engine that decodes a prefilled prompt with the least delay.

    Prompts that share a prefix are decoded on the same engine, so that it can provide
    the prefix to other engines or prefill such a prompt itself.
    """
    owner = find_owner(prompt.last_shared_block_id, candidates)

    def cost_s(item: Candidate) -> float:
        delay_s = item.slowdown * (_batch_delay_s(item) + item.prompt_tokens / rate)
        return delay_s - _locality_gain_s(prompt, item, owner, rate)

    return _cheapest(candidates, cost_s, _zone_penalty(zone, transfer))


def place_direct(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    rate: float,
    zone: str,
    copyable: int = 0,
    transfer: TransferCost | None = None,
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

    return _cheapest(candidates, cost_s, _zone_penalty(zone, transfer))


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


ZonePenalty = Callable[[Upstream], float]


def _zone_penalty(
    zone: str, transfer: TransferCost | None, other_zone_s: float = OTHER_ZONE_COST_S
) -> ZonePenalty:
    """Return the cost of an upstream's zone for calls of an entry in ``zone``."""
    if transfer is not None:
        return transfer.of
    return lambda upstream: 0.0 if upstream.zone == zone else other_zone_s


def _cheapest(
    candidates: Sequence[Candidate],
    cost_s: Callable[[Candidate], float],
    zone_penalty_s: ZonePenalty,
) -> Choice | None:
    choices = [
        Choice(item, cost_s(item) + _penalty_s(item, zone_penalty_s(item.upstream)))
        for item in candidates
    ]
    return min(
        choices,
        key=lambda choice: (choice.candidate.is_suspended, choice.cost_s),
        default=None,
    )


def _penalty_s(item: Candidate, zone_penalty_s: float) -> float:
    cost_s = FAILURE_COST_S * item.failure_rate**2
    if item.is_overloaded:
        cost_s += FULL_COST_S
    cost_s += zone_penalty_s
    if item.upstream.cold_start_left_s > 0:
        cost_s *= COLD_START_FACTOR
    return cost_s + item.limit_wait_s
