"""Interface of a platform: everything that an entry needs translated."""

import random
from collections.abc import Iterable
from typing import Protocol

from .process.rows import RowSource, StoredRow
from .process.store import RowStore
from .process.store_era import StoreEra
from .process.upstreams import Upstream
from .request.routed_call import RoutedCall
from .request.upstream_protocol import UpstreamProtocol
from .version.route_table import RouteTable
from .version.stage_orders import OrderProtocol
from .wire import Address, HttpRequest


class PlatformAdapter(Protocol):
    """Translates between a platform's messages and the types of the core."""

    rows: RowSource
    table: RowStore
    store_era: StoreEra
    upstreams: UpstreamProtocol
    orders: OrderProtocol
    configuration_key: str

    def decode_call(
        self, req: HttpRequest, table: RouteTable, rng: random.Random
    ) -> RoutedCall:
        """Return the call of a caller's request; raises RequestError."""

    def decode_configuration(self, row: StoredRow) -> RouteTable:
        """Return the routes of a configuration row; raises ConfigError."""

    def decode_upstream(self, row: StoredRow) -> Upstream:
        """Return a registered upstream; raises ConfigError."""

    def is_readiness(self, req: HttpRequest) -> bool:
        """Whether a request asks if this entry is ready."""

    def is_address_query(self, req: HttpRequest) -> bool:
        """Whether a request asks which entries to use."""

    def asker_zone(self, req: HttpRequest) -> str:
        """Return the availability zone of whoever asks; empty where it isn't said."""

    def encode_addresses(self, addresses: Iterable[Address], keep_s: float) -> dict:
        """Return the answer to such a question; callers keep it for ``keep_s``."""
