"""Urgency of the work queued at an engine: short work is admitted first.

A few very long prompts among many of usual size would occupy an engine for as long as
dozens of these. Short prompts are admitted first, so that most callers wait only
briefly. Urgency follows a coarse logarithmic scale of sizes, which limits how far long
prompts are delayed.

Where the configuration has customers, an engine may run out of memory or slots while
calls of several priorities run there. Each priority has its own range of urgencies, and
sizes order the calls of one priority only, so that an engine admits more urgent calls
first and preempts them last.
"""

import math
from collections.abc import Sequence

from .routed_call import RoutedCall

MOST_URGENT = 1
LEAST_URGENT = 8
SMALLEST_TOKENS = 512
SIZE_STEP = 4
# Values of the scale of upstreams, from 0 (first) to 9 (last).
URGENCIES = 10
# A prioritized prompt is as urgent as one of this size.
PRIORITIZED_TOKENS = 2048
# Share of a queue ahead of a prioritized prompt: shorter and other prioritized ones.
PRIORITIZED_QUEUE_SHARE = 0.7


def urgency_of(tokens: int, prioritized: bool = False) -> int:
    """Return the urgency of a prefill of ``tokens``, from 1 (first) to 8 (last).

    The scale of upstreams also has 0 and 9, which aren't used without customers.
    """
    if prioritized:
        tokens = min(tokens, PRIORITIZED_TOKENS)
    if tokens <= SMALLEST_TOKENS:
        return MOST_URGENT
    steps = math.ceil(math.log(tokens / SMALLEST_TOKENS, SIZE_STEP))
    return min(LEAST_URGENT, MOST_URGENT + steps)


def urgency_range(priority: int, priorities: Sequence[int]) -> range:
    """Return the urgencies of a priority among those of a configuration, in order.

    Each of up to ten priorities has a range of its own; of more, the last ones share 9.
    """
    known = sorted({*priorities, priority})
    rank = min(known.index(priority), URGENCIES - 1)
    count = min(len(known), URGENCIES)
    return range(rank * URGENCIES // count, (rank + 1) * URGENCIES // count)


def prefill_urgency(call: RoutedCall) -> int:
    """Return the urgency of a request that prefills a call's prompt."""
    level = urgency_of(call.prompt.own_tokens, call.prioritized)
    if call.urgencies is None:
        return level
    position = (level - MOST_URGENT) * len(call.urgencies)
    return call.urgencies[position // (LEAST_URGENT - MOST_URGENT + 1)]


def run_urgency(call: RoutedCall) -> int | None:
    """Return the urgency of a request that runs a call; None leaves it to the upstream.

    It states a priority only: without customers, a prompt's size doesn't matter here.
    """
    if call.urgencies is None or call.prompt is None:
        return None
    return prefill_urgency(call)


def queue_ahead_s(queue_s: float, prioritized: bool) -> float:
    """Return how much of an engine's queue is prefilled before a long prompt."""
    return PRIORITIZED_QUEUE_SHARE * queue_s if prioritized else queue_s
