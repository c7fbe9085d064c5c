"""Interface between an entry and the platform it runs on."""

import random
from collections.abc import Iterable
from typing import Protocol

from .process.duty_messages import DutyProtocol
from .process.rows import RowSource, StoredRow
from .process.store import TableStore
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
    table: TableStore
    store_era: StoreEra
    upstreams: UpstreamProtocol
    orders: OrderProtocol
    duties: DutyProtocol
    configuration_key: str

    def call_id(self, req: HttpRequest) -> str:
        """Return the id that the caller gave a request; empty if there is none."""

    def decode_call(
        self, req: HttpRequest, table: RouteTable, rng: random.Random
    ) -> RoutedCall:
        """Decode a caller's request; raises RequestError."""

    def decode_configuration(self, row: StoredRow) -> RouteTable:
        """Decode a configuration row into routes; raises ConfigError."""

    def decode_upstream(self, row: StoredRow) -> Upstream:
        """Decode the row of a registered upstream; raises ConfigError."""

    def is_readiness_check(self, req: HttpRequest) -> bool:
        """Whether a request is a readiness check of this entry."""

    def is_address_query(self, req: HttpRequest) -> bool:
        """Whether a request queries the addresses of the entries."""

    def query_zone(self, req: HttpRequest) -> str:
        """Return the availability zone named in an address query; empty if absent."""

    def encode_addresses(self, addresses: Iterable[Address], ttl_s: float) -> dict:
        """Encode the answer to an address query; callers cache it for ``ttl_s``."""
