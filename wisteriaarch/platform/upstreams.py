"""Encoding of requests to the platform's servers and decoding of their responses."""

from ..errors import WireError
from ..process.request_limits import UNLIMITED, parse_rate
from ..process.upstream_loads import ReportedLoad
from ..process.upstream_signals import NO_SIGNALS, UpstreamSignals, parse_backoff_s
from ..process.upstreams import Upstream
from ..request.routed_call import RoutedCall
from ..request.upstream_protocol import (
    AttemptOptions,
    KvCacheHandle,
    OutgoingRequest,
    UpstreamHead,
)
from ..wire import Headers, HttpResponse, end_to_end_headers, load_json
from . import names

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
LOAD_FIELD_COUNT = 3
COUNT_DIGITS_MAX = 7
EXCERPT_BYTES = 80


class PlatformUpstreams:
    """Implements ``UpstreamProtocol`` for the platform's servers."""

    def run_request(
        self, call: RoutedCall, upstream: Upstream, options: AttemptOptions
    ) -> OutgoingRequest:
        """Return the request that executes a call."""
        headers = _headers(call, upstream, options)
        resume_after = options.resume_after or call.resume_after
        if resume_after is not None:
            headers.append((names.LAST_EVENT_ID, resume_after))
        if options.kv_cache is not None:
            kv_cache = options.kv_cache
            source = f"{kv_cache.upstream.address}/{kv_cache.handle}"
            headers.append((names.KV_SOURCE, source))
        return OutgoingRequest(call.method, call.target, headers, call.body)

    def prefill_request(
        self, call: RoutedCall, upstream: Upstream, options: AttemptOptions
    ) -> OutgoingRequest:
        """Return the request that only prefills the call's prompt."""
        headers = _headers(call, upstream, options)
        headers.append((names.STAGE, names.PREFILL))
        return OutgoingRequest(call.method, call.target, headers, call.body)

    def release_request(self, kv_cache: KvCacheHandle) -> OutgoingRequest:
        """Return the request that releases a KV cache."""
        headers = [(names.EXPECT_INSTANCE, kv_cache.upstream.upstream_id)]
        return OutgoingRequest("DELETE", f"/api/kv-handle/{kv_cache.handle}", headers)

    def read_head(self, call: RoutedCall, head: HttpResponse) -> UpstreamHead:
        """Interpret the head of a response."""
        wrong_instance = head.status == MISDIRECTED_STATUS
        not_run = wrong_instance or names.NOT_EXECUTED in head.headers
        echoed_id = head.headers.get(names.ATTEMPT_ID.lower())
        # A refusal may lack the attempt id, and then names no request; the response to
        # an executed request always has one.
        foreign = (
            echoed_id != call.call_id
            if echoed_id
            else not not_run and bool(call.call_id)
        )
        signals, unreadable = read_signals(head)
        return UpstreamHead(
            head.status,
            end_to_end_headers(head.header_list),
            not_run=not_run,
            wrong_instance=wrong_instance,
            foreign=foreign,
            is_identified=bool(echoed_id) or not call.call_id,
            keep_alive_s=_keep_alive_s(head),
            signals=NO_SIGNALS if wrong_instance else signals,
            unreadable_headers=unreadable,
        )

    def read_kv_cache_handle(self, upstream: Upstream, body: bytes) -> KvCacheHandle:
        """Interpret the response to a prefill request; raises WireError."""
        try:
            content = load_json(body)
            return KvCacheHandle(upstream, str(content["handle"]), content["tokens"])
        except (ValueError, KeyError, TypeError) as exc:
            raise WireError(f"no handle in {body[:EXCERPT_BYTES]!r}") from exc


def read_signals(head: HttpResponse) -> tuple[UpstreamSignals, tuple[str, ...]]:
    """Return a server's signals, and the names of those headers that are malformed."""
    backoff_s, load = _backoff_s(head), _reported_load(head)
    limit_per_s = _request_limit(head)
    unreadable = {
        names.RETRY_AFTER: backoff_s is None,
        names.SERVER_LOAD: load is None and names.SERVER_LOAD in head.headers,
        names.SERVER_LIMIT: limit_per_s is None,
    }
    signals = UpstreamSignals(
        backoff_s=backoff_s or 0.0,
        is_draining=head.headers.get(names.SERVER_LEAVING, "").strip() == "1",
        load=load,
        limit_per_s=limit_per_s,
    )
    bad_names = tuple(name for name, is_bad in unreadable.items() if is_bad)
    return signals.for_status(head.status), bad_names


def _headers(call: RoutedCall, upstream: Upstream, options: AttemptOptions) -> Headers:
    remaining_ms = max(1, int(call.remaining_s() * names.MS_PER_S))
    headers = [
        *call.headers,
        (names.DEADLINE, str(remaining_ms)),
        (names.EXPECT_INSTANCE, upstream.upstream_id),
    ]
    if call.customer:
        headers.append((names.TENANT, call.customer))
    if options.urgency is not None:
        headers.append((names.URGENCY, str(options.urgency)))
    if options.fetch_from is not None:
        headers.append((names.KV_FETCH, str(options.fetch_from.address)))
    return headers


def _backoff_s(head: HttpResponse) -> float | None:
    """Return the backoff requested by a server that declined a request, 0 for none.

    Returns None if the header is malformed.
    """
    text = head.headers.get(names.RETRY_AFTER)
    if head.status != UNAVAILABLE_STATUS or text is None:
        return 0.0
    try:
        return parse_backoff_s(text)
    except ValueError:
        return None


def _reported_load(head: HttpResponse) -> ReportedLoad | None:
    """Return the load reported by a server; None if it is absent or malformed."""
    counts = head.headers.get(names.SERVER_LOAD, "").split(",")
    if len(counts) != LOAD_FIELD_COUNT or not all(
        item.strip().isdecimal() and len(item) <= COUNT_DIGITS_MAX for item in counts
    ):
        return None
    return ReportedLoad(*(int(item) for item in counts))


def _request_limit(head: HttpResponse) -> float | None:
    """Return the limit stated by a server in requests/s, UNLIMITED if it states none.

    Returns None if the header is malformed.
    """
    text = head.headers.get(names.SERVER_LIMIT)
    if text is None:
        return UNLIMITED
    try:
        return parse_rate(text)
    except ValueError:
        return None


def _keep_alive_s(head: HttpResponse) -> float | None:
    for item in head.headers.get("keep-alive", "").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout":
            try:
                return float(value)
            except ValueError:
                return None
    return None
