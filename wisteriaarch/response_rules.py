"""What the heads of answers may hold, and how the ends of their bodies are known.

All readers of answers share these rules (RFC 9112).
"""

from .wire import STATUSES_WITHOUT_BODY, HttpResponse

FRAMING_HEADERS = ("content-length", "transfer-encoding")


def has_no_body(method: str, head: HttpResponse) -> bool:
    """Whether an answer to this method has no body, regardless of its headers."""
    return method == "HEAD" or head.status in STATUSES_WITHOUT_BODY


def ends_with_connection(method: str, head: HttpResponse) -> bool:
    """Whether the end of the connection is the end of an answer's body."""
    has_length = any(name in head.headers for name in FRAMING_HEADERS)
    return not (has_length or has_no_body(method, head))
