"""Where a call is placed: pure decisions on what is known of the upstreams.

All costs are in seconds until the call's first event, as far as they can be told.
"""

from collections.abc import Sequence

from .candidate import Candidate, Choice, find_home, tokens_to_read
from .routed_call import Prompt

FULL_COST_S = 0.5
FAILURE_COST_S = 2.0
OTHER_ZONE_COST_S = 0.004
REQUEST_COST_S = 0.02
BATCHED_REQUEST_COST_S = 0.003
CROWDED_SHARE = 0.1
DIRECT_SLOWDOWN = 2.0
HOLDER_GAIN_SHARE = 0.2
HOME_GAIN_SHARE = 0.15
COLD_FACTOR = 1.5


def place_service_call(candidates: Sequence[Candidate], zone: str) -> Choice | None:
    """Return the upstream with the shortest expected wait.

    Load pattern: many short calls on upstreams of few slots and unlike speeds.
    """

    def cost_s(item: Candidate) -> float:
        share = (item.requests + 1) / max(1, item.upstream.slots)
        return REQUEST_COST_S * item.pace * (1 + share)

    return _cheapest(candidates, zone, cost_s)


def place_prefill(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    rate: float,
    zone: str,
    copyable: int = 0,
) -> Choice | None:
    """Return the engine that has read the prompt first; ``rate`` in tokens a second.

    ``copyable`` tokens of its shared parts can be copied from some engine.

    Load pattern: many long prompts that share long parts, more of these than one
    engine's memory holds. They go where these parts are, unless the queue there costs
    more than copying or reading the parts elsewhere. What no engine holds goes where
    all entries expect it.
    """
    home = find_home(prompt.last_shared_part, candidates)

    def cost_s(item: Candidate) -> float:
        tokens = tokens_to_read(prompt, item, copyable)
        gain_s = _keeping_gain_s(prompt, item, home, rate)
        return item.pace * (item.prompt_tokens + tokens) / rate - gain_s

    return _cheapest(candidates, zone, cost_s)


def place_decode(
    candidates: Sequence[Candidate], prompt: Prompt, rate: float, zone: str
) -> Choice | None:
    """Return the engine that runs a prompt read elsewhere with the least delay.

    Load pattern: prompts whose shared parts come back. They are run where these parts
    were run before, so that this engine can pass them on, or read such a prompt itself.
    """
    home = find_home(prompt.last_shared_part, candidates)

    def cost_s(item: Candidate) -> float:
        delay_s = item.pace * (_running_s(item) + item.prompt_tokens / rate)
        return delay_s - _keeping_gain_s(prompt, item, home, rate)

    return _cheapest(candidates, zone, cost_s)


def place_direct(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    rate: float,
    zone: str,
    copyable: int = 0,
) -> Choice | None:
    """Return the engine that both reads and runs a prompt with the least delay.

    Load pattern: short prompts, which would wait behind long ones at the engines that
    read prompts.
    """
    direct_rate = rate / DIRECT_SLOWDOWN

    def cost_s(item: Candidate) -> float:
        tokens = tokens_to_read(prompt, item, copyable)
        reading_s = (item.prompt_tokens + tokens) / direct_rate
        return item.pace * (reading_s + _running_s(item))

    return _cheapest(candidates, zone, cost_s)


def _running_s(item: Candidate) -> float:
    """Return the delay that the batch of an engine adds; steep where it is full."""
    free = item.upstream.slots - item.requests
    crowded_s = FULL_COST_S if free <= item.upstream.slots * CROWDED_SHARE else 0.0
    return BATCHED_REQUEST_COST_S * item.requests + crowded_s


def _keeping_gain_s(
    prompt: Prompt, item: Candidate, home: str | None, rate: float
) -> float:
    """Return what it is worth that the shared parts are kept on few engines."""
    tokens = HOLDER_GAIN_SHARE * item.tokens_held(prompt)
    if item.upstream.upstream_id == home:
        tokens += HOME_GAIN_SHARE * prompt.shared_tokens
    return tokens / rate


def _cheapest(candidates, zone: str, cost_s) -> Choice | None:
    choices = [
        Choice(item, cost_s(item) + _handicap_s(item, zone)) for item in candidates
    ]
    return min(
        choices,
        key=lambda choice: (choice.candidate.suspended, choice.cost_s),
        default=None,
    )


def _handicap_s(item: Candidate, zone: str) -> float:
    cost_s = FAILURE_COST_S * item.failure_share**2
    if item.full:
        cost_s += FULL_COST_S
    if item.upstream.zone != zone:
        cost_s += OTHER_ZONE_COST_S
    if item.upstream.cold_left_s > 0:
        cost_s *= COLD_FACTOR
    return cost_s
