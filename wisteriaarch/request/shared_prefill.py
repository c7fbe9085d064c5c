"""Waits for a shared prefix that an engine is already prefilling.

Several prompts with the same new prefix may arrive while it is being prefilled. A
prefix block can be reused only once its prefill is complete, so an engine would prefill
it again for each prompt; at peak load this takes a sixth of all prefill work.
"""

from collections.abc import Awaitable, Callable, Sequence

import curio

from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.prefix_cache_index import CacheState
from .candidate import Candidate
from .routed_call import Prompt, RoutedCall

WAIT_POLL_S = 0.02
# Ratio of the longest wait to the predicted prefill time.
WAIT_FACTOR = 1.5
WAIT_SHARE_OF_TIME_LEFT = 0.3
MISSING_MIN_TOKENS = 2048


OnWait = Callable[[], Awaitable[None]]


async def ignore_wait() -> None:
    """Do nothing when a call starts to wait."""


def wait_limit_s(candidates: Sequence[Candidate], prompt: Prompt, rate: float) -> float:
    """Return how long to wait for a prefix in prefill; 0 if waiting doesn't pay.

    The prefix is available once its engine has prefilled its queue. ``rate`` is the
    prefill rate of an engine in tokens a second.
    """
    cached = max((item.cached_tokens(prompt) for item in candidates), default=0)
    missing = prompt.shared_tokens - cached
    if missing < MISSING_MIN_TOKENS:
        return 0.0
    queues = [item.prompt_tokens for item in candidates if _is_prefilling(item)]
    if not queues:
        return 0.0
    return WAIT_FACTOR * max(missing, *queues) / rate


async def wait_for_prefix(
    call: RoutedCall,
    candidates: list[Candidate],
    find: Callable[[], list[Candidate]],
    rate: float,
    log: EventLog,
    on_wait: OnWait = ignore_wait,
    clock: Callable[[], float] = now_s,
    sleep: Callable[[float], Awaitable] = curio.sleep,
) -> list[Candidate]:
    """Return the candidates once no prefix in prefill is worth waiting for.

    ``candidates`` are the current ones, ``find`` returns updated ones.
    """
    started_at_s = clock()
    left_s = WAIT_SHARE_OF_TIME_LEFT * call.remaining_s()
    waited_s = 0.0
    while True:
        limit_s = min(left_s, wait_limit_s(candidates, call.prompt, rate))
        if waited_s >= limit_s:
            break
        if not waited_s:
            await on_wait()
        await sleep(min(WAIT_POLL_S, limit_s - waited_s))
        waited_s = clock() - started_at_s
        candidates = find()
    if waited_s:
        log.write(Event.CALL_WAITED_FOR_PREFIX, request=call.call_id, seconds=waited_s)
    return candidates


def _is_prefilling(item: Candidate) -> bool:
    return item.cache_state is CacheState.READING and not item.is_suspended
