"""Customers of a configuration, and the look-up of a customer by its API key.

Load: every request at every entry is looked up, with 830 customers of several keys
each. Keys are held as digests only, so that neither memory nor messages contain them.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

# 128 bits rule out that two keys have the same digest, and keep the copies of a
# configuration that entries exchange as small as with the keys themselves.
DIGEST_BYTES = 16


def key_digest(key: str) -> str:
    """Return the digest of an API key, in hexadecimal digits."""
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


@dataclass(frozen=True)
class Customer:
    """Customer that is identified by its API keys.

    ``priority`` replaces that of a route, where 0 is the most urgent; None keeps it.
    """

    name: str
    key_digests: frozenset[str] = field(repr=False)
    priority: int | None = None


@dataclass(frozen=True)
class CustomerDirectory:
    """Customers of one configuration version.

    ``errors`` describes the entries that are left out, without their keys.
    """

    customers: tuple[Customer, ...] = ()
    errors: tuple[str, ...] = ()
    _by_digest: dict[str, Customer] = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        by_digest = {
            digest: customer
            for customer in self.customers
            for digest in customer.key_digests
        }
        object.__setattr__(self, "_by_digest", by_digest)

    @classmethod
    def from_customers(
        cls, customers: Iterable[Customer], errors: Iterable[str] = ()
    ) -> "CustomerDirectory":
        """Create a directory; the first of entries with one name or key counts."""
        kept: list[Customer] = []
        problems = list(errors)
        names: set[str] = set()
        digests: set[str] = set()
        for customer in customers:
            if customer.name in names:
                problems.append(f"customer {customer.name!r} is listed more than once")
            elif customer.key_digests & digests:
                problems.append(f"customer {customer.name!r} has a key of another one")
            else:
                kept.append(customer)
                names.add(customer.name)
                digests |= customer.key_digests
        return cls(tuple(kept), tuple(problems))

    def find(self, digest: str) -> Customer | None:
        """Return the customer of a key's digest; None if the key is unknown."""
        return self._by_digest.get(digest)
