"""Platform adapter assembled from its codecs and clients."""

import random
from collections.abc import Iterable

from ..process.rows import StoredRow
from ..process.upstreams import Upstream
from ..request.routed_call import RoutedCall
from ..version.route_table import RouteTable
from ..wire import Address, HttpRequest
from . import callers, directory, rows
from .duties import PlatformDuties
from .orders import PlatformOrders
from .store import PlatformStore
from .upstreams import PlatformUpstreams


class Platform:
    """Implements ``PlatformAdapter`` for the users' platform."""

    configuration_key = rows.CONFIG_KEY

    def __init__(self, store: Address):
        self.rows = self.table = PlatformStore(store)
        self.store_era = self.rows.era
        self.upstreams = PlatformUpstreams()
        self.orders = PlatformOrders()
        self.duties = PlatformDuties()

    def call_id(self, req: HttpRequest) -> str:
        """Return the id that the caller gave a request; empty if there is none."""
        return callers.call_id(req)

    def decode_call(
        self, req: HttpRequest, table: RouteTable, rng: random.Random
    ) -> RoutedCall:
        """Decode a caller's request; raises RequestError."""
        return callers.decode_call(req, table, rng)

    def decode_configuration(self, row: StoredRow) -> RouteTable:
        """Decode a configuration row into routes; raises ConfigError."""
        return rows.decode_configuration(row)

    def decode_upstream(self, row: StoredRow) -> Upstream:
        """Decode the row of a registered upstream; raises ConfigError."""
        return rows.decode_upstream(row)

    def is_readiness_check(self, req: HttpRequest) -> bool:
        """Whether a request is a readiness check of this entry."""
        return req.path == directory.READY_PATH

    def is_address_query(self, req: HttpRequest) -> bool:
        """Whether a request queries the addresses of the entries."""
        return req.path == directory.RESOLVE_PATH

    def query_zone(self, req: HttpRequest) -> str:
        """Return the availability zone named in an address query; empty if absent."""
        return directory.query_zone(req)

    def encode_addresses(self, addresses: Iterable[Address], ttl_s: float) -> dict:
        """Encode the answer to an address query; callers cache it for ``ttl_s``."""
        return directory.encode_addresses(addresses, ttl_s)
