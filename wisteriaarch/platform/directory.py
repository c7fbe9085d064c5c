"""Readiness checks of the platform and address queries of callers."""

from collections.abc import Iterable
from urllib.parse import parse_qs

from ..wire import Address, HttpRequest

READY_PATH = "/api/readiness"
RESOLVE_PATH = "/api/resolve"
ADDRESS_COUNT_MAX = 64


def query_zone(req: HttpRequest) -> str:
    """Return the availability zone named in an address query; empty if absent."""
    query = parse_qs(req.target.partition("?")[2])
    return query.get("zone", [""])[0]


def encode_addresses(addresses: Iterable[Address], ttl_s: float) -> dict:
    """Encode entry addresses and the time to cache them (seconds)."""
    listed = [str(address) for address in addresses][:ADDRESS_COUNT_MAX]
    return {"addresses": listed, "ttl-s": ttl_s}
