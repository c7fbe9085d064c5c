"""Waits for a shared prompt part that an engine is reading already.

Load pattern: several prompts with the same new part arrive within the time that it
takes to read it. An engine reads it again for each of them, since a part can be used
once it was read whole; at a peak this takes a sixth of all reading.
"""

from collections.abc import Awaitable, Callable, Sequence

import curio

from ..events import Event, EventLog
from ..process.cache_belief import Holding
from ..process.clock import now_s
from .candidate import Candidate
from .routed_call import Prompt, RoutedCall

WAIT_POLL_S = 0.02
# How much longer than predicted the wait may take.
PATIENCE = 1.5
WAIT_SHARE_OF_TIME_LEFT = 0.3
SHARED_MIN_TOKENS = 2048


OnWait = Callable[[], Awaitable[None]]


async def ignore_wait() -> None:
    """Do nothing where a call begins to wait."""


def wait_limit_s(candidates: Sequence[Candidate], prompt: Prompt, rate: float) -> float:
    """Return how long to wait for a part that is being read; 0 where it doesn't pay.

    The part is there once its engine has read all that waits there. ``rate`` is how
    many tokens an engine reads in a second.
    """
    held = max((item.tokens_held(prompt) for item in candidates), default=0)
    missing = prompt.shared_tokens - held
    if missing < SHARED_MIN_TOKENS:
        return 0.0
    queues = [item.prompt_tokens for item in candidates if _is_reading(item)]
    if not queues:
        return 0.0
    return PATIENCE * max(missing, *queues) / rate


async def wait_for_part(
    call: RoutedCall,
    candidates: list[Candidate],
    find: Callable[[], list[Candidate]],
    rate: float,
    log: EventLog,
    on_wait: OnWait = ignore_wait,
    clock: Callable[[], float] = now_s,
    sleep: Callable[[float], Awaitable] = curio.sleep,
) -> list[Candidate]:
    """Return the candidates once no part that the call needs is worth waiting for.

    ``candidates`` are those of now, ``find`` returns later ones.
    """
    began_at_s = clock()
    left_s = WAIT_SHARE_OF_TIME_LEFT * call.remaining_s()
    waited_s = 0.0
    while True:
        limit_s = min(left_s, wait_limit_s(candidates, call.prompt, rate))
        if waited_s >= limit_s:
            break
        if not waited_s:
            await on_wait()
        await sleep(min(WAIT_POLL_S, limit_s - waited_s))
        waited_s = clock() - began_at_s
        candidates = find()
    if waited_s:
        log.write(Event.CALL_WAITED_FOR_PART, request=call.call_id, seconds=waited_s)
    return candidates


def _is_reading(item: Candidate) -> bool:
    return item.holding is Holding.READING and not item.suspended
