"""What callers and the platform ask of an entry before any request."""

from collections.abc import Iterable
from urllib.parse import parse_qs

from ..wire import Address, HttpRequest

READY_PATH = "/api/readiness"
RESOLVE_PATH = "/api/resolve"
ADDRESSES_MAX = 64


def asker_zone(req: HttpRequest) -> str:
    """Return the availability zone that a question names; empty without one."""
    query = parse_qs(req.target.partition("?")[2])
    return query.get("zone", [""])[0]


def encode_addresses(addresses: Iterable[Address], keep_s: float) -> dict:
    """Return the answer: addresses to use, and how long to keep them (seconds)."""
    listed = [str(address) for address in addresses][:ADDRESSES_MAX]
    return {"addresses": listed, "ttl-s": keep_s}
