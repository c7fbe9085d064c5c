"""What the heads of answers may hold, and how the ends of their bodies are known.

All readers of answers share these rules (RFC 9110, RFC 9112). h11 checks the form of
each line, but joins a line that begins with a blank to the one before: a header that
is hidden so may be the one that frames the body.
"""

import re

import h11

from .errors import WireError
from .wire import (
    STATUSES_WITHOUT_BODY,
    HttpResponse,
    decoded_header_list,
    decoded_headers,
)

STATUSES = range(100, 600)
MAJOR_VERSION = b"1."
VERSION_WITHOUT_CHUNKS = b"1.0"
FRAMING_HEADERS = ("content-length", "transfer-encoding")
HEAD_END = re.compile(rb"\n\r?\n")
CONTINUED_LINE = re.compile(rb"\n[ \t]")
# A match of either pattern may begin that many bytes before those that arrive later.
OVERLAP_BYTES = 2


def check_head_lines(received: bytes, start: int) -> int:
    """Check the lines of a head as far as it has arrived; raises WireError.

    Bytes before ``start`` have been checked. Returns where the next check has to begin
    once more bytes have arrived; 0 if the head is complete.
    """
    end = HEAD_END.search(received, start)
    limit = end.end() if end else len(received)
    if CONTINUED_LINE.search(received, start, limit):
        raise WireError("a line of the head begins with a blank")
    return 0 if end else max(0, limit - OVERLAP_BYTES)


def check_head(event: h11.Response | h11.InformationalResponse) -> None:
    """Check what a complete head says; raises WireError."""
    if event.status_code not in STATUSES:
        raise WireError(f"the status is {event.status_code}")
    if not event.http_version.startswith(MAJOR_VERSION):
        raise WireError(f"the version of HTTP is {event.http_version!r}")
    names = {name for name, _value in event.headers}
    if b"transfer-encoding" not in names:
        return
    if b"content-length" in names:
        raise WireError("the body's length is given twice")
    if event.http_version == VERSION_WITHOUT_CHUNKS:
        raise WireError("HTTP/1.0 has no transfer encodings")


def response_from_event(event: h11.Response) -> HttpResponse:
    """Return the head of an answer, without its body."""
    return HttpResponse(
        event.status_code,
        decoded_headers(event),
        header_list=decoded_header_list(event),
    )


def has_no_body(method: str, head: HttpResponse) -> bool:
    """Whether an answer to this method has no body, regardless of its headers."""
    return method == "HEAD" or head.status in STATUSES_WITHOUT_BODY


def ends_with_connection(method: str, head: HttpResponse) -> bool:
    """Whether the end of the connection is the end of an answer's body."""
    has_length = any(name in head.headers for name in FRAMING_HEADERS)
    return not (has_length or has_no_body(method, head))
