"""Urgency of the work queued at an engine: short work is admitted first.

A few very long prompts among many of usual size would occupy an engine for as long as
dozens of these. Short prompts are admitted first, so that most callers wait only
briefly. Urgency follows a coarse logarithmic scale of sizes, which limits how far long
prompts are delayed.
"""

import math

MOST_URGENT = 1
LEAST_URGENT = 8
SMALLEST_TOKENS = 512
SIZE_STEP = 4
# A prioritized prompt is as urgent as one of this size.
PRIORITIZED_TOKENS = 2048
# Share of a queue ahead of a prioritized prompt: shorter and other prioritized ones.
PRIORITIZED_QUEUE_SHARE = 0.7


def urgency_of(tokens: int, prioritized: bool = False) -> int:
    """Return the urgency of a prefill of ``tokens``, from 1 (first) to 8 (last).

    The scale of upstreams also has 0 and 9, which aren't used here.
    """
    if prioritized:
        tokens = min(tokens, PRIORITIZED_TOKENS)
    if tokens <= SMALLEST_TOKENS:
        return MOST_URGENT
    steps = math.ceil(math.log(tokens / SMALLEST_TOKENS, SIZE_STEP))
    return min(LEAST_URGENT, MOST_URGENT + steps)


def queue_ahead_s(queue_s: float, prioritized: bool) -> float:
    """Return how much of an engine's queue is prefilled before a long prompt."""
    return PRIORITIZED_QUEUE_SHARE * queue_s if prioritized else queue_s
