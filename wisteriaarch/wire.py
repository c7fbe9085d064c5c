"""HTTP/1.1 messages and addresses, shared by the client and the server side."""

import ipaddress
import json
import re
from dataclasses import dataclass, field
from typing import Any

from .errors import WireError

READ_BYTES = 64 * 1024
PORT_MAX = 65535
STATUSES_WITHOUT_BODY = (204, 304)

Headers = list[tuple[str, str]]

HOP_BY_HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade")
)
PROXY_HEADER_PREFIX = "proxy-"
CREDENTIAL_PATTERN = re.compile(r"(authorization|bearer).*", re.DOTALL | re.IGNORECASE)


@dataclass(frozen=True)
class Address:
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``host:port``; raises ValueError on any other form."""
        host, _, port = text.rpartition(":")
        if not host or not 0 <= int(port) <= PORT_MAX:
            raise ValueError(f"expected host:port, got {text!r}")
        return cls(host, int(port))


def is_ipv4(text: str) -> bool:
    """Whether a text is an IPv4 address in decimal notation."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


@dataclass
class HttpRequest:
    """Head of a received request; ``target`` is the raw path with its query.

    ``headers`` is keyed by lower-case name; ``header_list`` keeps the received order
    and repeated headers.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    header_list: Headers = field(default_factory=list)

    @property
    def path(self) -> str:
        """Path without the query, and without scheme and host of an absolute target."""
        target = self.target
        if target.startswith("http://"):
            target = "/" + target.removeprefix("http://").partition("/")[2]
        return target.partition("?")[0]


@dataclass(frozen=True)
class OutgoingRequest:
    """Request to be sent to an upstream."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""


@dataclass
class HttpResponse:
    """Head of a received response, and the body if it was read completely.

    ``headers`` is keyed by lower-case name; ``header_list`` keeps the received order
    and repeated headers.
    """

    status: int
    headers: dict[str, str]
    body: bytes = b""
    header_list: Headers = field(default_factory=list)

    def json(self) -> Any:
        """Decode the body; raises WireError if it isn't valid JSON."""
        try:
            return load_json(self.body)
        except ValueError as exc:
            raise WireError(f"the response body is not JSON: {exc}") from exc


# What code that takes decoded JSON apart may raise: a number may be infinite or too
# large for a float, and a message may repeat a value that is nested too deeply.
INVALID_CONTENT_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def load_json(data: bytes | str) -> Any:
    """Decode JSON; raises ValueError, also for excessive nesting."""
    try:
        return json.loads(data)
    except RecursionError as exc:
        raise ValueError("nested too deeply") from exc


def decoded_headers(event: Any) -> dict[str, str]:
    """Return an h11 event's headers by lower-case name."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in event.headers
    }


def decoded_header_list(event: Any) -> Headers:
    """Return an h11 event's headers in received order, including repeated ones."""
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in event.headers.raw_items()
    ]


def without_credential(text: str) -> str:
    """Return an error text without the credential of a header line that it quotes."""
    return CREDENTIAL_PATTERN.sub(r"\1", text)


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that a proxy forwards (RFC 9110, section 7.6.1)."""
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(option.strip().lower() for option in value.split(","))
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and not name.lower().startswith(PROXY_HEADER_PREFIX)
    ]
