"""The platform's translations put together."""

import random
from collections.abc import Iterable

from ..process.rows import StoredRow
from ..process.upstreams import Upstream
from ..request.routed_call import RoutedCall
from ..version.route_table import RouteTable
from ..wire import Address, HttpRequest
from . import callers, directory, rows
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

    def decode_call(
        self, req: HttpRequest, table: RouteTable, rng: random.Random
    ) -> RoutedCall:
        """Return the call of a caller's request; raises RequestError."""
        return callers.decode_call(req, table, rng)

    def decode_configuration(self, row: StoredRow) -> RouteTable:
        """Return the routes of a configuration row; raises ConfigError."""
        return rows.decode_configuration(row)

    def decode_upstream(self, row: StoredRow) -> Upstream:
        """Return a registered upstream; raises ConfigError."""
        return rows.decode_upstream(row)

    def is_readiness(self, req: HttpRequest) -> bool:
        """Whether a request asks if this entry is ready."""
        return req.path == directory.READY_PATH

    def is_address_query(self, req: HttpRequest) -> bool:
        """Whether a request asks which entries to use."""
        return req.path == directory.RESOLVE_PATH

    def asker_zone(self, req: HttpRequest) -> str:
        """Return the availability zone of whoever asks; empty where it isn't said."""
        return directory.asker_zone(req)

    def encode_addresses(self, addresses: Iterable[Address], keep_s: float) -> dict:
        """Return the answer to such a question; callers keep it for ``keep_s``."""
        return directory.encode_addresses(addresses, keep_s)
