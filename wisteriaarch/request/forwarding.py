"""Requests forwarded to upstreams, and answer headers returned to callers."""

from functools import singledispatch

from ..response_rules import has_no_body
from ..wire import (
    Headers,
    HttpResponse,
    end_to_end_headers,
)
from .call import Call, CompletionCall, ServiceCall
from .signal_reader import LIMIT_HEADER

FORWARDED_HEADERS = ("content-type", "accept", "idempotency-key")
RETURNED_HEADERS = ("content-type", "cache-control", "location", "etag")
REPLACED_SERVICE_HEADERS = frozenset(
    ("authorization", "host", "content-length", "expect", "x-request-id")
)
RAN_HEADER = "x-ran"
SOFTWARE_HEADER = "X-Software-Version"
LENGTH_HEADER = "content-length"


@singledispatch
def outgoing_request(call: Call, events: int) -> tuple[str, str, Headers, bytes]:
    """Return method, target, headers and body; ``events`` counts delivered events."""
    raise TypeError(f"calls of type {type(call).__name__} can't be sent")


@outgoing_request.register
def _(call: ServiceCall, events: int) -> tuple[str, str, Headers, bytes]:
    headers = [
        (name, value)
        for name, value in end_to_end_headers(call.header_list)
        if name.lower() not in REPLACED_SERVICE_HEADERS
    ]
    headers.append(("X-Request-Id", call.request_id))
    return call.method, call.upstream_target, headers, call.body


@outgoing_request.register
def _(call: CompletionCall, events: int) -> tuple[str, str, Headers, bytes]:
    headers = [
        (name, call.headers[name]) for name in FORWARDED_HEADERS if name in call.headers
    ]
    priority = call.sent_request.priority if call.sent_request else call.caller.priority
    headers += [
        ("X-Request-Id", call.request_id),
        ("X-Priority", str(priority)),
        ("X-Model-Version", call.version or call.model.version),
    ]
    if events:
        headers.append(("X-Resume-From", str(events)))
        headers.append((SOFTWARE_HEADER, call.software or ""))
    return call.method, call.target, headers, call.body


@singledispatch
def returned_headers(call: Call, head: HttpResponse) -> Headers:
    """Return the headers of an upstream's answer that are passed to the caller."""
    raise TypeError(f"calls of type {type(call).__name__} have no answers")


@returned_headers.register
def _(call: ServiceCall, head: HttpResponse) -> Headers:
    # Only the entry reports whether a call ran: it tracks all of its attempts.
    # A request limit is meant for the entries.
    dropped = {RAN_HEADER, LIMIT_HEADER}
    if not has_no_body(call.method, head):
        dropped.add(LENGTH_HEADER)
    return [
        (name, value)
        for name, value in end_to_end_headers(head.header_list)
        if name.lower() not in dropped
    ]


@returned_headers.register
def _(call: CompletionCall, head: HttpResponse) -> Headers:
    return [
        (name, head.headers[name]) for name in RETURNED_HEADERS if name in head.headers
    ]
