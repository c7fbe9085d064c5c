"""Releases the KV caches of prompts that were prefilled but not decoded."""

import curio

from ..connection.upstream_pool import UpstreamPool
from ..errors import WisteriaError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from .estimate_updater import EstimateUpdater
from .exchange import CONTROL_ANSWER_MAX_BYTES, Exchange
from .routed_call import RoutedCall
from .upstream_protocol import KvCacheHandle, UpstreamProtocol

RELEASE_TIMEOUT_S = 1.0


class KvCacheReleaser:
    """Releases KV caches in background tasks, so that no answer is delayed."""

    def __init__(
        self,
        pool: UpstreamPool,
        protocol: UpstreamProtocol,
        estimate_updater: EstimateUpdater,
        log: EventLog,
    ):
        self._pool = pool
        self._protocol = protocol
        self._estimate_updater = estimate_updater
        self._log = log

    async def release_unused(self, call: RoutedCall, kv_cache: KvCacheHandle) -> None:
        """Release a KV cache unless an attempt of the call may have run."""
        if call.attempts:
            return
        await curio.spawn(self._release, call, kv_cache, daemon=True)

    async def _release(self, call: RoutedCall, kv_cache: KvCacheHandle) -> None:
        req = self._protocol.release_request(kv_cache)
        sent_at_s = now_s()
        try:
            async with Exchange(
                self._pool, self._protocol, call, kv_cache.upstream
            ) as exchange:
                head = await exchange.send(req, RELEASE_TIMEOUT_S)
                self._estimate_updater.observe_signals(
                    kv_cache.upstream.upstream_id,
                    head.signals.without_absent_limit(),
                    sent_at_s,
                )
                await exchange.read_body(CONTROL_ANSWER_MAX_BYTES)
        except (WisteriaError, OSError) as exc:
            self._log.write(
                Event.KV_CACHE_RELEASE_FAILED,
                request=call.call_id,
                upstream=kv_cache.upstream.upstream_id,
                error=str(exc),
            )
