"""Runs one suspect at a time on an upstream, so that a crash identifies its cause.

A suspect is a request that was in flight at a crash; see ``quarantine``.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import curio

from ..errors import RequestError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.upstream_view import UpstreamView
from ..steps import Step, reach_step
from .call import Call
from .crash_rows import IsolationLocks

POLL_DELAY_S = 0.1

ChooseUpstream = Callable[[set[str]], UpstreamView]


class Isolation:
    """Upstreams on which this entry runs suspects, and the requests run there."""

    def __init__(self, locks: IsolationLocks, log: EventLog):
        self._locks = locks
        self._log = log
        self._held_upstreams: set[str] = set()
        self._held_requests: set[str] = set()
        self._released = curio.Event()

    @property
    def is_busy(self) -> bool:
        """Whether this entry holds any upstream or request."""
        return bool(self._held_upstreams or self._held_requests)

    @asynccontextmanager
    async def hold(
        self, call: Call, choose: ChooseUpstream, wait_s: float
    ) -> AsyncIterator[UpstreamView]:
        """Wait for an upstream on which no other suspect runs, and hold it.

        No other copy of the call runs isolated at any entry during that time. Otherwise
        copies of a request that crashes its upstream could crash several at once.
        ``choose`` returns an upstream that is not in the set passed to it. Its
        RequestError is raised if it finds none for ``wait_s`` while nothing is held.
        """
        async with self._hold_request(f"request {call.fingerprint()}"):
            view = await self._acquire_upstream(choose, now_s() + wait_s)
            self._log.write(
                Event.REQUEST_ISOLATED, request=call.request_id, upstream=view.name
            )
            try:
                await reach_step(Step.SUSPECT_ISOLATED)
                yield view
            finally:
                # Released in the background: the answer must not wait for the table.
                await curio.spawn(
                    self._release, view.name, self._held_upstreams, daemon=True
                )

    @asynccontextmanager
    async def _hold_request(self, request: str) -> AsyncIterator[None]:
        while True:
            if request not in self._held_requests:
                self._held_requests.add(request)
                if await self._acquire_lock(request, self._held_requests):
                    break
            async with curio.ignore_after(POLL_DELAY_S):
                await self._released.wait()
        try:
            yield
        finally:
            await curio.spawn(self._release, request, self._held_requests, daemon=True)

    async def _acquire_upstream(
        self, choose: ChooseUpstream, wait_until_s: float
    ) -> UpstreamView:
        held_elsewhere: set[str] = set()
        while True:
            try:
                view = choose(self._held_upstreams | held_elsewhere)
            except RequestError:
                nothing_held = not self._held_upstreams and not held_elsewhere
                if nothing_held and now_s() >= wait_until_s:
                    raise
                held_elsewhere.clear()
                async with curio.ignore_after(POLL_DELAY_S):
                    await self._released.wait()
                continue
            self._held_upstreams.add(view.name)
            if await self._acquire_lock(view.name, self._held_upstreams):
                return view
            held_elsewhere.add(view.name)

    async def _acquire_lock(self, name: str, held: set[str]) -> bool:
        try:
            acquired = await self._locks.acquire(name)
        except BaseException:
            # The row may have been written before the call was cancelled.
            await curio.spawn(self._release, name, held, daemon=True)
            raise
        if not acquired:
            held.discard(name)
        return acquired

    async def _release(self, name: str, held: set[str]) -> None:
        await self._locks.release(name)
        held.discard(name)
        await self._released.set()
        self._released.clear()
