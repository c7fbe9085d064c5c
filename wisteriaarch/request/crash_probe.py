"""Distinguishes a crash of an upstream from the loss of one connection."""

import uuid
from functools import singledispatchmethod

import curio

from ..connection.upstream_connector import UpstreamConnector
from ..errors import WireError
from ..process.clock import now_s
from ..process.upstream_view import UpstreamView
from ..wire import Address, HttpResponse
from .call import Call, CompletionCall, ServiceCall

PROBE_TIMEOUT_S = 0.5
RECHECK_DELAY_S = 0.1
SAME_CRASH_WINDOW_S = 1.0


class CrashProbe:
    """Checks after a connection failure whether the upstream has crashed."""

    def __init__(self, connector: UpstreamConnector | None = None):
        self._connector = connector or UpstreamConnector()
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
            async with curio.timeout_after(PROBE_TIMEOUT_S):
                response = await self._fetch_state(view.instance.address)
            return response.json().get("incarnation") == incarnation
        except (OSError, WireError, curio.TaskTimeout) as exc:
            return self._is_own_fault(exc)

    async def _fetch_state(self, address: Address) -> HttpResponse:
        async with await self._connector.connect(address) as conn:
            await conn.send_request("GET", "/orders", [])
            response = await conn.read_head()
            response.body = await conn.read_body()
            return response

    def _is_own_fault(self, exc: Exception) -> bool:
        """Whether this entry can't tell, since it has lost its links."""
        is_refused = isinstance(exc, ConnectionRefusedError)
        return self._connector.paths.is_cut_off and not is_refused

    @find_crash.register
    async def _(self, call: ServiceCall, view, incarnation) -> str | None:
        try:
            conn = await self._connector.connect(view.instance.address, PROBE_TIMEOUT_S)
        except OSError as exc:
            if self._is_own_fault(exc):
                return None
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
