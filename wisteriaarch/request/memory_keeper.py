"""Frees the memory of prompts that were read and not used."""

import curio

from ..connection.pool import UpstreamPool
from ..errors import WisteriaError
from ..events import Event, EventLog
from .exchange import OWN_ANSWER_MAX_BYTES, Exchange
from .routed_call import RoutedCall
from .upstream_protocol import PromptMemory, UpstreamProtocol

RELEASE_TIMEOUT_S = 1.0


class MemoryKeeper:
    """Releases memories in tasks of their own, so that no answer waits for it."""

    def __init__(self, pool: UpstreamPool, protocol: UpstreamProtocol, log: EventLog):
        self._pool = pool
        self._protocol = protocol
        self._log = log

    async def release_unused(self, call: RoutedCall, memory: PromptMemory) -> None:
        """Free a memory unless an engine has run the call with it."""
        if call.attempts:
            return
        await curio.spawn(self._release, call, memory, daemon=True)

    async def _release(self, call: RoutedCall, memory: PromptMemory) -> None:
        req = self._protocol.release_request(memory)
        try:
            async with Exchange(
                self._pool, self._protocol, call, memory.upstream
            ) as exchange:
                await exchange.send(req, RELEASE_TIMEOUT_S)
                await exchange.read_body(OWN_ANSWER_MAX_BYTES)
        except (WisteriaError, OSError) as exc:
            self._log.write(
                Event.MEMORY_NOT_RELEASED,
                request=call.call_id,
                upstream=memory.upstream.upstream_id,
                error=str(exc),
            )
