"""What callers and the platform ask of an entry before any request."""

from collections.abc import Iterable

from ..wire import Address

READY_PATH = "/api/readiness"
RESOLVE_PATH = "/api/resolve"
ADDRESSES_MAX = 64


def encode_addresses(addresses: Iterable[Address], keep_s: float) -> dict:
    """Return the answer: addresses to use, and how long to keep them (seconds)."""
    listed = [str(address) for address in addresses][:ADDRESSES_MAX]
    return {"addresses": listed, "ttl-s": keep_s}
