"""Placer whose waiting calls are refused when their API keys are removed.

Load: calls that are queued for up to their deadline while a configuration removes their
key. Each call with a key is placed in a task of its own, which is cancelled when the
key is removed; its place in the queue is given up as for a caller that leaves.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import curio

from ..errors import Ran
from ..process.upstreams import Upstream
from .attempt_failures import AttemptFailed
from .attempt_outcome import ABANDONED, AttemptOutcome
from .key_check import KeyCheck
from .placer import DecodePlacement, Placement, Placer
from .routed_call import RoutedCall

# A waiting call is refused within this time after its key's removal is known.
POLL_INTERVAL_S = 0.1


@dataclass(frozen=True)
class Settled:
    """Result of a placement, or the error that it raised.

    curio logs the stack trace of a task that raises, and refusals are normal outcomes.
    """

    placement: Placement | DecodePlacement | None = None
    error: Exception | None = None


class RevocablePlacer:
    """Places calls through ``placer`` unless their keys are removed before it ends."""

    def __init__(self, placer: Placer, keys: KeyCheck):
        self._placer = placer
        self._keys = keys
        self._waiting: dict[curio.Task, RoutedCall] = {}

    async def run(self) -> None:
        """Refuse waiting calls whose keys are removed; never returns."""
        while True:
            await curio.sleep(POLL_INTERVAL_S)
            for task, call in tuple(self._waiting.items()):
                if self._keys.is_key_removed(call):
                    await task.cancel(blocking=False)

    async def place(self, call: RoutedCall) -> Placement:
        """Return the plan of a call; raises RequestError, AttemptFailed."""
        return await self._place(call, partial(self._placer.place, call))

    async def place_decode(
        self, call: RoutedCall, prefill_engine: Upstream
    ) -> DecodePlacement:
        """Return the engine to decode on; raises RequestError, AttemptFailed."""
        place = partial(self._placer.place_decode, call, prefill_engine)
        return await self._place(call, place)

    async def _place(self, call: RoutedCall, place: Callable[[], Awaitable]):
        if call.key_digest is None or call.ran is not Ran.NO:
            return await place()
        self._keys.check_again(call)
        settled = await self._settle(call, place)
        if settled is None:
            self._keys.check_again(call)
            raise AttemptFailed.nothing_sent("the API key was removed and added again")
        if settled.error is not None:
            raise settled.error
        return settled.placement

    async def _settle(
        self, call: RoutedCall, place: Callable[[], Awaitable]
    ) -> Settled | None:
        """Place a call in a task of its own; None if that task was cancelled."""
        task = await curio.spawn(_settle, place, daemon=True)
        self._waiting[task] = call
        try:
            await task.wait()
        except curio.CancelledError:
            await task.cancel()
            await _abandon(task)
            raise
        finally:
            del self._waiting[task]
        return None if task.exception is not None else task.result


async def _settle(place: Callable[[], Awaitable]) -> Settled:
    try:
        return Settled(placement=await place())
    except Exception as exc:
        return Settled(error=exc)


async def _abandon(task: curio.Task) -> None:
    """Report that a placement isn't used, if there was one before the cancellation."""
    if task.exception is None and task.result.placement is not None:
        outcome = AttemptOutcome(ABANDONED, 0.0)
        await task.result.placement.ticket.observe_outcome(outcome)
