"""Configuration and upstreams in force at an entry, from the store or from peers.

It stands where ``ManifestWatcher`` stands for the own interface: peers compare its
generation and pass copies to an entry that can't reach the store.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import curio

from ..adapter import PlatformAdapter
from ..errors import ConfigError
from ..events import Event, EventLog
from ..version.route_table import RouteTable
from .clock import now_s
from .manifest_copy import ManifestCopy
from .row_copy import RowCopy
from .row_watch import RowWatch
from .rows import RowTable, StoredRow, StorePosition
from .table_news import TableNews
from .upstreams import Upstream, UpstreamRegistry

LEARN_PATIENCE_S = 0.4
CONTACT_WAITS = 2
FIRST_ROUTES_POLL_S = 0.02
# How long a start waits to hear others, and for a copy of what they have in force.
OTHERS_HEARD_WAIT_S = 0.3
OTHERS_COPY_WAIT_S = 2.0


class FleetState:
    """Owns the watches of both tables.

    A configuration that was in force stays so where the store has come back from an
    older copy, until the operator's next one. ``highest_elsewhere`` returns the newest
    version in force at another entry, None before any other was heard of.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        wait_s: float,
        log: EventLog,
        seed: int | None = None,
        is_due: Callable[[], bool] = lambda: True,
    ):
        self._adapter = adapter
        self._wait_s = wait_s
        self._log = log
        self._learned = curio.Event()
        self._learned_generation = StorePosition()
        self._started_at_s = now_s()
        self._in_force_row: StoredRow | None = None
        self.highest_elsewhere: Callable[[], int | None] = lambda: None
        self._unreadable: dict[str, int] = {}
        self._decoded: dict[StoredRow, Upstream] = {}
        self.routes: RouteTable | None = None
        self._configuration = RowWatch(
            adapter.rows,
            RowTable.CONFIGURATION,
            wait_s,
            log,
            self._take_configuration,
            seed,
            is_due,
        )
        self._upstream_rows = RowWatch(
            adapter.rows,
            RowTable.UPSTREAMS,
            wait_s,
            log,
            self._take_upstreams,
            seed,
            is_due,
        )
        self._watches = {
            RowTable.CONFIGURATION: self._configuration,
            RowTable.UPSTREAMS: self._upstream_rows,
        }
        self.registry = UpstreamRegistry(lambda: self._upstream_rows.regained_at_s, log)
        self._era = adapter.store_era
        self._era.follow(self._note_era)

    def task_mains(self) -> list[Callable]:
        """Return the tasks that must be running."""
        return [
            self._configuration.run,
            self._upstream_rows.run,
            self._follow_peers,
            self._take_first_configuration,
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

    def follow_seen(self, on_seen: Callable[[TableNews], Awaitable[None]]) -> None:
        """Have ``on_seen`` called with changes that this entry sees at the store."""
        for watch in self._watches.values():
            watch.on_seen = on_seen

    def confirmed_news(self) -> tuple[TableNews, ...]:
        """Return that both tables are as known; empty while the store is away."""
        news = [watch.confirmed_news() for watch in self._watches.values()]
        return () if None in news else tuple(news)

    def take_news(self, news: TableNews) -> bool:
        """Take in what a watcher tells; False where changes before it are missing."""
        self._era.note(news.era)
        return self._watches[news.table].take_news(news)

    def _note_era(self) -> None:
        """Take in that the store came back from an older copy."""
        self._log.write(Event.STORE_CAME_BACK, era=self._era.known)
        self.registry.hold_departed()

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

    def has_contact(self) -> bool:
        """Whether both tables were read not long ago."""
        age_s = CONTACT_WAITS * self._wait_s
        return self._configuration.has_contact(age_s) and (
            self._upstream_rows.has_contact(age_s)
        )

    async def learn(self, generation: StorePosition) -> None:
        """Read the tables soon, where a peer is ahead and the watches stay behind."""
        if generation > max(self.known_position, self._learned_generation):
            self._learned_generation = generation
            await self._learned.set()

    async def _follow_peers(self) -> None:
        while True:
            await self._learned.wait()
            self._learned.clear()
            await curio.sleep(LEARN_PATIENCE_S)
            if self.known_position < self._learned_generation:
                await self._configuration.refresh()
                await self._upstream_rows.refresh()

    def copy(self) -> ManifestCopy | None:
        """Return what is in force, for a peer that can't reach the store."""
        if self.routes is None:
            return None
        return ManifestCopy(
            head=self._upstream_rows.copy().encode(),
            body=replace(self._configuration.copy(), kept=self._kept_rows()).encode(),
            row_version=self.generation.version,
        )

    def _kept_rows(self) -> tuple[StoredRow, ...]:
        """Return the configuration in force where the store has an older one."""
        row = self._configuration.rows.get(self._adapter.configuration_key)
        if self._in_force_row is None or row is self._in_force_row:
            return ()
        return (self._in_force_row,)

    async def install_copy(self, copy: ManifestCopy) -> None:
        """Put a peer's copy in force where it is newer; raises ConfigError."""
        upstreams = RowCopy.decode(copy.head)
        configuration = RowCopy.decode(copy.body)
        self._era.note(max(upstreams.era, configuration.era))
        for row in configuration.kept:
            if row.key == self._adapter.configuration_key:
                self._put_in_force(row)
        self._configuration.install_copy(configuration)
        self._upstream_rows.install_copy(upstreams)

    async def _take_first_configuration(self) -> None:
        """Take the store's configuration once the others needn't be waited for."""
        while self.routes is None:
            await curio.sleep(FIRST_ROUTES_POLL_S)
            if self._configuration.rows:
                self._take_configuration()
        await curio.Event().wait()

    def _take_configuration(self) -> None:
        row = self._configuration.rows.get(self._adapter.configuration_key)
        if row is not None:
            self._put_in_force(row)

    def _put_in_force(self, row: StoredRow) -> None:
        """Put a configuration in force, where it isn't older than the present one."""
        try:
            table = self._adapter.decode_configuration(row)
        except ConfigError as exc:
            self._log.write(Event.CONFIGURATION_INVALID, error=str(exc))
            return
        if table.version < self.configuration_version:
            return
        if self.routes is None and self._may_be_older(table):
            return
        self.routes = table
        self._in_force_row = row
        self._log.write(
            Event.CONFIGURATION_IN_FORCE,
            version=table.version,
            row_version=row.version,
            routes=len(table.routes),
        )
        self._take_upstreams()

    def _may_be_older(self, table: RouteTable) -> bool:
        """Whether the others may have a later configuration than this first one.

        Only where the store has ever come back from an older copy. For a while, so that
        an entry serves by what the store has if the others can't be asked.
        """
        if self._era.known == 0:
            return False
        waited_s = now_s() - self._started_at_s
        elsewhere = self.highest_elsewhere()
        if elsewhere is None:
            return waited_s < OTHERS_HEARD_WAIT_S
        return table.version < elsewhere and waited_s < OTHERS_COPY_WAIT_S

    def _take_upstreams(self) -> None:
        rows = self._upstream_rows.rows
        decoded = (self._decode_upstream(row) for row in rows.values())
        self.registry.update(item for item in decoded if item is not None)
        self._decoded = {
            row: item for row, item in self._decoded.items() if rows.get(row.key) is row
        }
        self._unreadable = {
            key: version for key, version in self._unreadable.items() if key in rows
        }

    def _decode_upstream(self, row: StoredRow) -> Upstream | None:
        """Return the upstream of a row; a row that is known isn't decoded anew."""
        try:
            upstream = self._decoded.get(row)
            if upstream is None:
                upstream = self._adapter.decode_upstream(row)
                self._decoded[row] = upstream
            self._check_service(upstream)
        except ConfigError as exc:
            if self._unreadable.get(row.key) != row.version:
                self._log.write(Event.ROW_UNREADABLE, error=str(exc))
            self._unreadable[row.key] = row.version
            return None
        return upstream

    def _check_service(self, upstream: Upstream) -> None:
        if self.routes is not None and upstream.service not in self.routes.services:
            raise ConfigError(
                f"upstream {upstream.upstream_id!r}: got service {upstream.service!r}; "
                "expected one of the configuration"
            )
