"""Entry daemon: builds its components and serves callers until it is stopped."""

import random
import secrets
from collections.abc import Awaitable, Callable
from functools import partial

import curio

from .connection.caller_connection import AnswerForm, CallerConnection
from .connection.client_servers import ClientServers
from .connection.peer_network import PeerNetwork
from .connection.relay_server import RelayServer
from .connection.upstream_connector import UpstreamConnector
from .connection.upstream_pool import UpstreamPool
from .event_log import EventLog
from .events import Event
from .process.clock import now_s
from .process.demand import DemandMeter
from .process.digest import EntryRecord, LimitRecord
from .process.fleet import Fleet
from .process.http_store import HttpInstanceList, HttpObjectStore, HttpTableStore
from .process.load_monitor import LoadMonitor
from .process.membership import Membership
from .process.metrics import Metrics
from .process.settings import EntrySettings
from .process.signals import StopSignals
from .process.staleness import ServingBasis, StalenessCheck
from .process.supervision import run_all_until, run_step
from .request.block_rows import BlockRows
from .request.limit_log import log_limit
from .request.policy import build_admission, build_router
from .request.request_limiter import RequestLimiter, entry_share
from .request.request_path import RequestPath
from .request.routes import Routes
from .request.signal_reader import SignalReader
from .sockets import listen_on
from .steps import Step, reach_step
from .version.control import ControlPlane
from .version.manifest import PolicySpec
from .version.manifest_settings_check import ManifestSettingsCheck
from .version.manifest_watcher import ManifestWatcher
from .version.role_policy import build_role_policy
from .version.roles import RolePolicy
from .version.served_manifest import ServedManifest
from .wire import Address, HttpRequest

CUT_TIME_S = 0.5
INCARNATION_BITS = 63


class Entry:
    """One entry instance; an async context manager that owns its components."""

    answer_form = AnswerForm()

    def __init__(self, settings: EntrySettings):
        self.settings = settings
        self.log = EventLog(settings.entry_id)
        self.metrics = Metrics()
        self.incarnation = secrets.randbits(INCARNATION_BITS)
        self.stopping = False
        self.closing = False
        self._ends_at_s = float("inf")
        platform = settings.platform.address()
        self.table = HttpTableStore(platform)
        self.objects = HttpObjectStore(platform)
        self.fleet = Fleet(
            HttpInstanceList(platform), settings.instances_poll_every_s, settings.seed
        )
        self.connector = UpstreamConnector.from_fleet(
            self.fleet, self._living_peers, settings.seed, self.log
        )
        self.loads = LoadMonitor(
            self.fleet,
            settings.load_poll_every_s,
            settings.entry_id,
            self._upstream_groups,
            settings.upstreams_per_group,
            corrects_reports="correction" not in settings.policy_off,
            polls_per_s=settings.load_polls_per_s,
            connect=self.connector.connect,
            paths=self.connector.paths,
        )
        self.demand = DemandMeter()
        self.watcher = ManifestWatcher(
            self.table,
            self.objects,
            settings.head_poll_every_s,
            self.log,
            settings.seed,
        )
        self.membership = Membership.from_config(
            settings, self._listed_entries, self.own_record
        )
        self.staleness = StalenessCheck(
            settings.freshness_bound_s, self.watcher, self.membership
        )
        self.active_manifest = ServedManifest(
            self.watcher, self.staleness, settings.freshness_bound_s
        ).require
        self.peers = PeerNetwork(
            settings,
            self.fleet,
            self.membership,
            self.watcher,
            self.log,
            relay=RelayServer(self.connector, self.log),
        )
        self.peers.hooks.sent_work = self.loads.export_sent_work
        self.peers.hooks.apply_sent_work = self.loads.replace_peer_work
        self.peers.hooks.limits = self.loads.limits.export
        self.peers.hooks.apply_limits = self._merge_limits
        self.control = ControlPlane(
            settings,
            str(self.incarnation),
            self.table,
            self.fleet,
            self.loads,
            self.membership,
            self.watcher,
            self.log,
            self._new_role_policy,
        )
        self.pool = UpstreamPool(self.connector)
        limiter = RequestLimiter(
            self.loads.limits, self._own_limit_share, random.Random(settings.seed)
        )
        router = build_router(settings, self.fleet, self.loads, limiter, self.log)
        self.admission = build_admission(
            settings, router, self.active_manifest, self.log, self.demand
        )
        self.requests = RequestPath.from_config(
            settings,
            self.incarnation,
            self.table,
            self.objects,
            self.fleet,
            self.active_manifest,
            router,
            self.admission,
            self.pool,
            limiter,
            SignalReader(self.loads.limits, self.log),
            self._living_peers,
            self.log,
        )
        self.runner = self.requests.runner
        quarantine = self.requests.quarantine
        self.peers.hooks.crash_records = quarantine.export
        self.peers.hooks.apply_crash_records = quarantine.merge
        self.peers.hooks.blocks = self.requests.blocks.export
        self.peers.hooks.apply_blocks = self.requests.blocks.merge
        self._routes = Routes(self)
        servers = ClientServers(settings, self.metrics, self.log)
        self._callers = servers.callers(self)

    def _is_first_entry(self) -> bool:
        own_id = self.settings.entry_id
        return own_id == min((own_id, *self._living_peers()))

    def _living_peers(self) -> list[str]:
        is_alive = self.membership.is_alive
        return [name for name in self.membership.known_peer_ids() if is_alive(name)]

    async def __aenter__(self) -> "Entry":
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.pool.close()

    async def run(self, announce: Callable[[Address], None]) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        with StopSignals() as signals, self.log.record_failure():
            await self._run_until(signals, announce)
        self.log.write(Event.ENTRY_STOPPED)

    async def _run_until(
        self, signals: StopSignals, announce: Callable[[Address], None]
    ) -> None:
        listen = self.settings.listen
        sock = listen_on("listen", Address(listen.host, listen.port))

        async def serve() -> None:
            await self._callers.start(sock)
            address = Address(*sock.getsockname())
            self.log.write(Event.ENTRY_STARTED, address=str(address))
            announce(address)
            await signals.wait()
            await self._stop_gracefully()

        await run_all_until(self._task_mains(), serve, self.log)

    def _task_mains(self) -> list[Callable[[], Awaitable]]:
        return [
            self.fleet.run,
            self.watcher.run,
            self.loads.run,
            self.peers.run,
            self.connector.run,
            self.control.run,
            BlockRows(
                self.requests.blocks, self.table, self._is_first_entry, self.log
            ).run,
            *self.requests.task_mains(),
            partial(self.staleness.log_changes, self.log),
            ManifestSettingsCheck(self.settings, self.watcher, self.log).run,
        ]

    async def _stop_gracefully(self) -> None:
        self.stopping = True
        self.log.write(Event.ENTRY_DRAINING, in_flight=self.admission.in_flight)
        settings = self.settings
        propagation_s = self.membership.propagation_s()
        await reach_step(Step.STOP_LEAVING)
        await run_step(self.control.stop, self.log)
        await reach_step(Step.STOP_RELEASED)
        await curio.sleep(propagation_s + settings.callers_keep_s)
        self.closing = True
        self._ends_at_s = now_s() + settings.stop_timeout_s
        await reach_step(Step.STOP_CLOSING)
        try:
            async with curio.timeout_after(settings.stop_timeout_s):
                await self._callers.close_connections()
                await run_step(self.requests.journal.close, self.log)
                await self._callers.stop()
            await reach_step(Step.STOP_DRAINED)
        except curio.TaskTimeout:
            self.log.write(
                Event.ENTRY_STOP_TIMED_OUT, in_flight=self.admission.in_flight
            )
        finally:
            await self._callers.end_requests(CUT_TIME_S)

    def _new_role_policy(self) -> RolePolicy:
        settings = self.settings
        off = "roles" in settings.policy_off
        return build_role_policy(
            "" if off else settings.policy,
            self.loads.speeds,
            self.demand,
            lambda: len(self._listed_entries()),
            self._policy_spec,
        )

    def _policy_spec(self) -> PolicySpec:
        current = self.watcher.current
        return current.manifest.policy if current else PolicySpec()

    def _upstream_groups(self) -> list[tuple[str, ...]]:
        current = self.watcher.current
        return [item.upstreams for item in current.manifest.groups] if current else []

    def is_ready(self, entry_id: str) -> bool:
        """Whether an entry accepts new requests, according to this entry's view."""
        if entry_id != self.settings.entry_id:
            return self.membership.is_ready(entry_id)
        return not self.stopping and self.staleness.basis() is not ServingBasis.NONE

    def is_alive(self, entry_id: str) -> bool:
        """Whether an entry runs and is not draining, according to this entry's view."""
        if entry_id != self.settings.entry_id:
            return self.membership.is_alive(entry_id)
        return not self.stopping

    def own_record(self) -> EntryRecord:
        """Return this entry's record for heartbeats."""
        confirmed_at_s = self.watcher.confirmed_at_s
        return EntryRecord(
            self.settings.entry_id,
            self.incarnation,
            self.watcher.generation,
            None if confirmed_at_s is None else now_s() - confirmed_at_s,
            leaving=self.stopping,
            ready=self.is_ready(self.settings.entry_id),
        )

    def _own_limit_share(self) -> float:
        """Return this entry's share of a request limit: an equal one."""
        return entry_share(len(self._listed_entries()), has_scheduler=False)

    def _merge_limits(self, records: tuple[LimitRecord, ...]) -> None:
        limits = self.loads.limits
        for name in limits.merge(records):
            log_limit(self.log, name, limits.per_s(name), source="entry")

    def _listed_entries(self) -> list[str]:
        return [item.instance_id for item in self.fleet.of_kind("entry")]

    def time_left_s(self) -> float:
        """Return how long a request that arrives now may take."""
        return max(0.0, self._ends_at_s - now_s())

    def request_id(self, _req: HttpRequest) -> str:
        """Return no id: this entry names the requests itself once they are parsed."""
        return ""

    async def handle(self, req: HttpRequest, conn: CallerConnection) -> None:
        """Answer one request; raises RequestError."""
        await self._routes.handle(req, conn)
