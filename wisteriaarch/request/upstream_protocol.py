"""Interface of the protocol adapter for upstreams, and its neutral messages."""

from dataclasses import dataclass
from typing import Protocol

from ..process.upstream_signals import NO_SIGNALS, UpstreamSignals
from ..process.upstreams import Upstream
from ..wire import Headers, HttpResponse, OutgoingRequest
from .routed_call import RoutedCall


@dataclass(frozen=True)
class KvCacheHandle:
    """KV cache of a prefilled prompt, retained by its engine for a single use."""

    upstream: Upstream
    handle: str
    tokens: int


@dataclass(frozen=True)
class AttemptOptions:
    """Options of one attempt.

    ``kv_cache`` is the KV cache of a prompt that another engine has prefilled,
    ``fetch_from`` an upstream whose cache may contain prefix blocks of the prompt,
    ``resume_after`` the id of the last event that the caller has received, ``urgency``
    the rank in the engine's queue, from 0 (first) to 9 (last).
    """

    kv_cache: KvCacheHandle | None = None
    fetch_from: Upstream | None = None
    resume_after: str | None = None
    urgency: int | None = None


@dataclass(frozen=True)
class UpstreamHead:
    """Head of an upstream's answer.

    With ``not_run`` the upstream states that it has not run the request. ``foreign``
    marks an answer to another request, ``is_identified`` one that names its request.
    ``keep_alive_s`` is the upstream's keep-alive
    timeout for idle connections if it reports one. ``unreadable_headers`` names headers
    whose values can't be parsed.
    """

    status: int
    headers: Headers
    not_run: bool = False
    wrong_instance: bool = False
    foreign: bool = False
    is_identified: bool = True
    keep_alive_s: float | None = None
    signals: UpstreamSignals = NO_SIGNALS
    unreadable_headers: tuple[str, ...] = ()


class UpstreamProtocol(Protocol):
    """Converts calls to requests to an upstream, and interprets its answers."""

    def run_request(
        self, call: RoutedCall, upstream: Upstream, options: AttemptOptions
    ) -> OutgoingRequest:
        """Return the request that runs a call."""

    def prefill_request(
        self, call: RoutedCall, upstream: Upstream, options: AttemptOptions
    ) -> OutgoingRequest:
        """Return the request that only prefills the call's prompt."""

    def release_request(self, kv_cache: KvCacheHandle) -> OutgoingRequest:
        """Return the request that releases the KV cache of a prompt."""

    def read_head(self, call: RoutedCall, head: HttpResponse) -> UpstreamHead:
        """Interpret the head of an answer."""

    def read_kv_cache_handle(self, upstream: Upstream, body: bytes) -> KvCacheHandle:
        """Interpret the answer to a prefill request; raises WireError."""
