"""Distinguishes a crash of an upstream from the loss of one connection."""

import uuid
from functools import singledispatchmethod

import curio

from ..errors import WireError
from ..http_client import HttpClientConnection, fetch
from ..process.clock import now_s
from ..process.upstream_view import UpstreamView
from .call import Call, CompletionCall, ServiceCall

PROBE_TIMEOUT_S = 0.5
RECHECK_DELAY_S = 0.1
SAME_CRASH_WINDOW_S = 1.0


class CrashProbe:
    """Checks after a connection failure whether the upstream has crashed."""

    def __init__(self):
        self._last_crash_ids: dict[str, str] = {}
        self._found_down_at_s: dict[str, float] = {}

    @singledispatchmethod
    async def find_crash(
        self, call: Call, view: UpstreamView, incarnation: int | None
    ) -> str | None:
        """Return the id of the crash, or None if the upstream did not crash.

        ``incarnation`` is the engine's incarnation when the call was sent.
        """
        raise TypeError(f"calls of type {type(call).__name__} can't be sent")

    @find_crash.register
    async def _(self, call: CompletionCall, view, incarnation) -> str | None:
        if await self._has_incarnation(view, incarnation):
            # A crashing engine may still respond until its sockets are closed.
            await curio.sleep(RECHECK_DELAY_S)
            if await self._has_incarnation(view, incarnation):
                return None
        return f"{view.name}/{incarnation}"

    async def _has_incarnation(
        self, view: UpstreamView, incarnation: int | None
    ) -> bool:
        """Whether the engine still has that incarnation.

        This queries the engine's current state, since load reports lag behind.
        """
        try:
            response = await fetch(
                view.instance.address, "GET", "/orders", timeout_s=PROBE_TIMEOUT_S
            )
            return response.json().get("incarnation") == incarnation
        except (OSError, WireError):
            return False

    @find_crash.register
    async def _(self, call: ServiceCall, view, incarnation) -> str | None:
        try:
            conn = await HttpClientConnection.connect(
                view.instance.address, PROBE_TIMEOUT_S
            )
        except OSError:
            return self._current_crash_id(view.name)
        await conn.close()
        return None

    def _current_crash_id(self, upstream: str) -> str:
        """Return the crash id, equal for calls that find the upstream down together."""
        now = now_s()
        if (
            now - self._found_down_at_s.get(upstream, -SAME_CRASH_WINDOW_S)
            >= SAME_CRASH_WINDOW_S
        ):
            self._last_crash_ids[upstream] = f"{upstream}/{uuid.uuid4().hex}"
        self._found_down_at_s[upstream] = now
        return self._last_crash_ids[upstream]
