"""Order in which an engine admits what waits there: short work first.

Load pattern: a few very long prompts arrive among many of usual size and hold an
engine for as long as dozens of these. What reads little is admitted first, so that most
callers wait for little; long prompts give way only within their scale of sizes.
"""

import math

MOST_URGENT = 1
LEAST_URGENT = 8
SMALLEST_TOKENS = 512
SIZE_STEP = 4


def urgency_of(tokens: int) -> int:
    """Return the urgency of work that reads ``tokens``: 0 is first, 9 is last."""
    if tokens <= SMALLEST_TOKENS:
        return MOST_URGENT
    steps = math.ceil(math.log(tokens / SMALLEST_TOKENS, SIZE_STEP))
    return min(LEAST_URGENT, MOST_URGENT + steps)
