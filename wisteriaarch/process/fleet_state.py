"""Configuration and upstreams in force at an entry, from the store or from peers.

Counterpart of ``ManifestWatcher`` for the platform interface: peers compare its
generation and send copies to an entry that can't reach the store.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import curio

from ..adapter import PlatformAdapter
from ..errors import ConfigError
from ..event_log import EventLog
from ..events import Event
from ..version.route_table import RouteTable
from .clock import now_s
from .invalid_parts import log_invalid_parts
from .manifest_copy import ManifestCopy
from .row_copy import RowCopy
from .row_watch import RowWatch
from .rows import RowTable, StoredRow, StorePosition
from .table_update import TableUpdate
from .upstreams import Upstream, UpstreamRegistry

CATCH_UP_DELAY_S = 0.4
CONTACT_MAX_WAITS = 2
FIRST_ROUTES_POLL_S = 0.02
# How long a start waits for contact with peers, and for a copy of their configuration.
PEER_CONTACT_WAIT_S = 0.3
PEER_COPY_WAIT_S = 2.0


class FleetState:
    """Watches the configuration and upstream tables, and holds the state in force.

    If the store is restored from an older snapshot, the configuration in force stays
    in force until the operator publishes the next one. ``newest_peer_configuration``
    returns the newest version in force at another entry, None before contact with any.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        wait_s: float,
        log: EventLog,
        seed: int | None = None,
        should_watch: Callable[[], bool] = lambda: True,
    ):
        self._adapter = adapter
        self._wait_s = wait_s
        self._log = log
        self._catch_up_requested = curio.Event()
        self._catch_up_position = StorePosition()
        self._started_at_s = now_s()
        self._active_row: StoredRow | None = None
        self.newest_peer_configuration: Callable[[], int | None] = lambda: None
        self._unreadable_versions: dict[str, int] = {}
        self._decoded: dict[StoredRow, Upstream] = {}
        self.routes: RouteTable | None = None
        self._configuration = RowWatch(
            adapter.rows,
            RowTable.CONFIGURATION,
            wait_s,
            log,
            self._apply_configuration,
            seed,
            should_watch,
        )
        self._upstream_rows = RowWatch(
            adapter.rows,
            RowTable.UPSTREAMS,
            wait_s,
            log,
            self._apply_upstreams,
            seed,
            should_watch,
        )
        self._watches = {
            RowTable.CONFIGURATION: self._configuration,
            RowTable.UPSTREAMS: self._upstream_rows,
        }
        self.registry = UpstreamRegistry(
            lambda: self._upstream_rows.recovered_at_s, log
        )
        self._era = adapter.store_era
        self._era.subscribe(self._handle_new_era)

    def task_mains(self) -> list[Callable]:
        """Return the main functions of the tasks that must be running."""
        return [
            self._configuration.run,
            self._upstream_rows.run,
            self._catch_up_with_peers,
            self._apply_first_configuration,
        ]

    @property
    def generation(self) -> StorePosition:
        """Position in the store's history of the newest change in force here."""
        return max(
            self._configuration.changed_position, self._upstream_rows.changed_position
        )

    @property
    def known_position(self) -> StorePosition:
        """Position up to which all changes of both tables are known here."""
        return min(self._configuration.position, self._upstream_rows.position)

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force here; 0 before the first."""
        return 0 if self.routes is None else self.routes.version

    def set_change_listener(
        self, on_change: Callable[[TableUpdate], Awaitable[None]]
    ) -> None:
        """Call ``on_change`` with each change that this entry reads at the store."""
        for watch in self._watches.values():
            watch.on_update = on_change

    def confirmation_updates(self) -> tuple[TableUpdate, ...]:
        """Return updates that confirm both tables; none if the store is unreachable."""
        updates = [watch.confirmation_update() for watch in self._watches.values()]
        return () if None in updates else tuple(updates)

    def apply_update(self, update: TableUpdate) -> bool:
        """Apply a watching entry's update; False where earlier changes are missing."""
        self._era.observe(update.era)
        return self._watches[update.table].apply_update(update)

    def _handle_new_era(self) -> None:
        """Handle a store that was restored from an older snapshot."""
        self._log.write(Event.STORE_RESTORED, era=self._era.current)
        self.registry.exclude_departed()

    @property
    def confirmed_at_s(self) -> float | None:
        """When the store last confirmed the configuration; None for never."""
        return self._configuration.confirmed_at_s

    async def wait_for_routes(self, timeout_s: float) -> RouteTable | None:
        """Return the routes in force; waits for the first ones after a start."""
        give_up_at_s = now_s() + timeout_s
        while self.routes is None and now_s() < give_up_at_s:
            await curio.sleep(FIRST_ROUTES_POLL_S)
        return self.routes

    @property
    def upstreams_confirmed_at_s(self) -> float | None:
        """When the store last confirmed the registrations; None for never."""
        return self._upstream_rows.confirmed_at_s

    def has_store_contact(self) -> bool:
        """Whether both tables were read recently."""
        age_s = CONTACT_MAX_WAITS * self._wait_s
        return self._configuration.has_contact(age_s) and (
            self._upstream_rows.has_contact(age_s)
        )

    async def catch_up(self, generation: StorePosition) -> None:
        """Schedule a read of the tables, where a peer is ahead and the watches lag."""
        if generation > max(self.known_position, self._catch_up_position):
            self._catch_up_position = generation
            await self._catch_up_requested.set()

    async def _catch_up_with_peers(self) -> None:
        while True:
            await self._catch_up_requested.wait()
            self._catch_up_requested.clear()
            await curio.sleep(CATCH_UP_DELAY_S)
            if self.known_position < self._catch_up_position:
                await self._configuration.refresh()
                await self._upstream_rows.refresh()

    def make_copy(self) -> ManifestCopy | None:
        """Return the state in force, for a peer that can't reach the store."""
        if self.routes is None:
            return None
        return ManifestCopy(
            head=self._upstream_rows.make_copy().encode(),
            body=replace(
                self._configuration.make_copy(), retained_rows=self._retained_rows()
            ).encode(),
            row_version=self.generation.version,
        )

    def _retained_rows(self) -> tuple[StoredRow, ...]:
        """Return the configuration in force where the store has an older one."""
        row = self._configuration.rows.get(self._adapter.configuration_key)
        if self._active_row is None or row is self._active_row:
            return ()
        return (self._active_row,)

    async def install_copy(self, copy: ManifestCopy) -> None:
        """Put a peer's copy in force where it is newer; raises ConfigError."""
        upstreams = RowCopy.decode(copy.head)
        configuration = RowCopy.decode(copy.body)
        self._era.observe(max(upstreams.era, configuration.era))
        for row in configuration.retained_rows:
            if row.key == self._adapter.configuration_key:
                self._activate_configuration(row)
        self._configuration.install_copy(configuration)
        self._upstream_rows.install_copy(upstreams)

    async def _apply_first_configuration(self) -> None:
        """Apply the store's configuration once no newer one is expected from peers."""
        while self.routes is None:
            await curio.sleep(FIRST_ROUTES_POLL_S)
            if self._configuration.rows:
                self._apply_configuration()
        await curio.Event().wait()

    def _apply_configuration(self) -> None:
        row = self._configuration.rows.get(self._adapter.configuration_key)
        if row is not None:
            self._activate_configuration(row)

    def _activate_configuration(self, row: StoredRow) -> None:
        """Put a configuration in force, unless it is older than the present one."""
        try:
            table = self._adapter.decode_configuration(row)
        except ConfigError as exc:
            self._log.write(Event.CONFIGURATION_INVALID, error=str(exc))
            return
        if table.version < self.configuration_version:
            return
        if self.routes is None and self._may_be_outdated(table):
            return
        if table.version != self.configuration_version:
            log_invalid_parts(table, self._log)
        self.routes = table
        self._active_row = row
        self._log.write(
            Event.CONFIGURATION_IN_FORCE,
            version=table.version,
            row_version=row.version,
            routes=len(table.routes),
        )
        self._apply_upstreams()

    def _may_be_outdated(self, table: RouteTable) -> bool:
        """Whether peers may have a later configuration than this first one.

        This is possible only if the store was ever restored from an older snapshot. The
        wait is bounded, so that an entry serves by the store's configuration if no peer
        responds.
        """
        if self._era.current == 0:
            return False
        waited_s = now_s() - self._started_at_s
        newest_at_peers = self.newest_peer_configuration()
        if newest_at_peers is None:
            return waited_s < PEER_CONTACT_WAIT_S
        return table.version < newest_at_peers and waited_s < PEER_COPY_WAIT_S

    def _apply_upstreams(self) -> None:
        rows = self._upstream_rows.rows
        decoded = (self._decode_upstream(row) for row in rows.values())
        self.registry.update(item for item in decoded if item is not None)
        self._decoded = {
            row: item for row, item in self._decoded.items() if rows.get(row.key) is row
        }
        self._unreadable_versions = {
            key: version
            for key, version in self._unreadable_versions.items()
            if key in rows
        }

    def _decode_upstream(self, row: StoredRow) -> Upstream | None:
        """Return the upstream of a row; an unchanged row isn't decoded again."""
        try:
            upstream = self._decoded.get(row)
            if upstream is None:
                upstream = self._adapter.decode_upstream(row)
                self._decoded[row] = upstream
            self._check_service(upstream)
        except ConfigError as exc:
            if self._unreadable_versions.get(row.key) != row.version:
                self._log.write(Event.REGISTRATION_INVALID, error=str(exc))
            self._unreadable_versions[row.key] = row.version
            return None
        return upstream

    def _check_service(self, upstream: Upstream) -> None:
        if self.routes is not None and upstream.service not in self.routes.services:
            raise ConfigError(
                f"upstream {upstream.upstream_id!r}: got service {upstream.service!r}; "
                "expected one of the configuration"
            )
