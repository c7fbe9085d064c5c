"""Requests from h11's events, and the errors of malformed ones."""

import h11

from .errors import ErrorKind, RequestError
from .wire import (
    HttpRequest,
    decoded_header_list,
    decoded_headers,
    without_credential,
)

EXCERPT_CHARS = 120


def request_from_event(event: h11.Request) -> HttpRequest:
    """Return the request of an event; raises RequestError for an ambiguous length."""
    headers = decoded_headers(event)
    if "transfer-encoding" in headers and "content-length" in headers:
        raise RequestError(
            ErrorKind.MALFORMED_REQUEST,
            "the body's length is given twice",
            field="Content-Length",
            value=headers["content-length"],
            expected="either Content-Length or Transfer-Encoding, not both",
        )
    method = event.method.decode("ascii")
    return HttpRequest(
        method,
        event.target.decode("latin-1"),
        headers,
        header_list=decoded_header_list(event),
    )


def no_memory() -> RequestError:
    """Return the error of a body that can't be held."""
    return RequestError(
        ErrorKind.MEMORY_EXHAUSTED, "too many large requests arrive at the same time"
    )


def malformed(exc: h11.RemoteProtocolError, max_head_bytes: int) -> RequestError:
    """Return the error of a head or body that breaks HTTP."""
    if exc.error_status_hint == 431:
        return RequestError(
            ErrorKind.HEAD_TOO_LARGE,
            "the request head is too large",
            field="head",
            value=f"more than {max_head_bytes} bytes",
            expected=f"at most {max_head_bytes} bytes",
        )
    excerpt = without_credential(str(exc))[:EXCERPT_CHARS]
    return RequestError(
        ErrorKind.MALFORMED_REQUEST,
        f"the request is malformed: {excerpt}",
        field="request",
        value=excerpt,
        expected="a message of HTTP/1.1 (RFC 9112)",
    )
