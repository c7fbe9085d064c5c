"""Entry that serves routes on a platform: puts the parts together."""

import json
import random
import secrets
from collections.abc import Awaitable, Callable
from functools import partial

import curio

from .adapter import PlatformAdapter
from .connection.caller import AnswerForm, CallerConnection
from .connection.callers import CallerServer
from .connection.info_server import InfoAnswer, InfoServer
from .connection.peers import PeerNetwork
from .connection.pool import UpstreamPool
from .errors import ErrorKind, RequestError
from .events import Event, EventLog
from .gauges import GatewayGauges
from .process.clock import now_s
from .process.digest import EntryRecord
from .process.entry_list import EntryList
from .process.fleet import Fleet
from .process.fleet_knowledge import FleetKnowledge
from .process.fleet_state import FleetState
from .process.gateway_settings import GatewaySettings
from .process.lease_record import Contender
from .process.membership import Membership
from .process.metrics import Metrics
from .process.settings_watch import SettingsWatch
from .process.signals import RELOAD_SIGNAL, ProcessSignals
from .process.supervision import run_supervised
from .request.call_runner import CallRunner
from .request.retry_share import RetryShare
from .sockets import listen_on
from .version.stage_supervisor import StageSupervisor
from .wire import Address, HttpRequest

INCARNATION_BITS = 63
JSON_HEADERS = [("Content-Type", "application/json")]
TEXT_HEADERS = [("Content-Type", "text/plain; version=0.0.4")]
KEPT_TIMES = 3
STOP_MARGIN_S = 0.5
FIRST_ROUTES_WAIT_S = 0.3


class Gateway:
    """One such entry; an async context manager that owns its parts."""

    answer_form = AnswerForm(retry_after_decimals=2, error_events=False)

    def __init__(self, settings: GatewaySettings, adapter: PlatformAdapter):
        self.settings = settings
        self.log = EventLog(settings.entry_id)
        self.metrics = Metrics()
        self.closing = False
        self._incarnation = secrets.randbits(INCARNATION_BITS)
        self._adapter = adapter
        self._rng = random.Random(settings.seed)
        self.state = FleetState(adapter, settings.watch_wait_s, self.log, settings.seed)
        self._entries = EntryList(
            adapter.rows,
            settings.entry_id,
            settings.zone,
            settings.front.port,
            settings.peer_port,
            tuple(Address.parse(seed).host for seed in settings.seeds),
        )
        self._fleet = Fleet(
            self._entries,
            settings.entries_poll_every_s,
            settings.seed,
            self._entries.known(),
        )
        self.membership = Membership.from_config(
            settings, self._listed_entries, self._own_record
        )
        self._peers = PeerNetwork(
            settings, self._fleet, self.membership, self.state, self.log
        )
        self.knowledge = FleetKnowledge.from_registry(
            self.state.registry, self._count_entries
        )
        self.knowledge.add_to(self._peers.hooks)
        self._pool = UpstreamPool()
        self.retries = RetryShare(
            settings.retry.ratio,
            settings.retry.slack,
            settings.retry.window_s,
            self._count_entries,
        )
        self._runner = CallRunner(
            settings.zone,
            adapter.upstreams,
            self.knowledge,
            lambda: self.state.routes,
            self._pool,
            self.retries,
            self._peers.announce,
            self.metrics,
            self.log,
        )
        self._peers.hooks.crash_records = self._runner.crashes.export
        self._peers.hooks.absorb_crash_records = self._runner.crashes.absorb
        self._stages = self._build_stage_supervisor()
        self._gauges = GatewayGauges(
            self.state, self.membership, self.knowledge, self.retries, self._stages
        )
        self._callers = CallerServer(partial(CallerConnection, app=self), self.log)

    def _build_stage_supervisor(self) -> StageSupervisor:
        return StageSupervisor(
            Contender(self.settings.entry_id, str(self._incarnation)),
            self._adapter.table,
            self.settings.lease,
            self._adapter.orders,
            self.knowledge,
            lambda: self.state.routes,
            lambda: [self.settings.entry_id, *self.membership.known()],
            self._peers.announce,
            lambda: self.closing,
            self.log,
        )

    async def __aenter__(self) -> "Gateway":
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._pool.close()

    async def run(self, settings_path: str | None = None) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        with ProcessSignals() as signals:
            await self._run_until(signals, settings_path)
        self.log.write(Event.ENTRY_STOPPED)

    async def _run_until(
        self, signals: ProcessSignals, settings_path: str | None
    ) -> None:
        front = self.settings.front.address()
        sock = listen_on("front", front)
        async with curio.TaskGroup(wait=any) as group:
            for task_main in self._task_mains():
                await group.spawn(run_supervised, task_main, self.log)
            accept = partial(self._callers.run, sock)
            accepting = await curio.spawn(run_supervised, accept, self.log)
            watch = SettingsWatch(
                settings_path, self.settings, self._apply_settings, self.log
            )
            await group.spawn(run_supervised, watch.run, self.log)
            self.log.write(
                Event.ENTRY_STARTED, address=str(front), node=self.settings.node
            )
            await group.spawn(self._follow_signals, signals, watch, sock, accepting)

    def _task_mains(self) -> list[Callable[[], Awaitable]]:
        settings = self.settings
        return [
            self._entries.register,
            self._fleet.run,
            self._peers.run,
            *self.state.task_mains(),
            *([self._stages.run] if settings.change_stages else ()),
            InfoServer("ready", settings.ready.address(), self._answer_info).run,
            InfoServer(
                "directory", settings.directory.address(), self._answer_info
            ).run,
            InfoServer(
                "metrics_port", settings.metrics_listen.address(), self._answer_metrics
            ).run,
        ]

    async def _follow_signals(
        self, signals: ProcessSignals, watch: SettingsWatch, sock, accepting
    ) -> None:
        while await signals.next() == RELOAD_SIGNAL:
            watch.reload()
        await self._stop_gracefully(sock, accepting)

    async def _stop_gracefully(self, sock, accepting) -> None:
        """Leave the addresses, serve whoever kept them, then end the connections."""
        self.closing = True
        self.log.write(Event.ENTRY_LEAVING)
        settings = self.settings
        limit_s = settings.stop_grace_s - STOP_MARGIN_S
        serve_s = self.membership.spread_s() + KEPT_TIMES * settings.callers_keep_s
        try:
            async with curio.timeout_after(limit_s):
                await curio.sleep(min(serve_s, limit_s))
                await self._callers.end_connections()
                await accepting.cancel()
                await self._callers.close(sock)
        except curio.TaskTimeout:
            self.log.write(Event.ENTRY_STOP_TIMED_OUT)

    def _apply_settings(self, settings: GatewaySettings) -> None:
        self.settings = settings
        retry = settings.retry
        self.retries.configure(retry.ratio, retry.slack, retry.window_s)

    async def handle(self, req: HttpRequest, conn: CallerConnection) -> None:
        """Answer one request; raises RequestError."""
        table = await self.state.wait_for_routes(FIRST_ROUTES_WAIT_S)
        if table is None:
            raise RequestError(
                ErrorKind.NO_CONFIGURATION, "no configuration was read yet"
            )
        call = self._adapter.decode_call(req, table, self._rng)
        conn.request_id = call.call_id
        await self._runner.run(call, conn)

    @property
    def is_ready(self) -> bool:
        """Whether this entry takes new callers."""
        return self.state.routes is not None and not self.closing

    def _answer_info(self, req: HttpRequest) -> InfoAnswer:
        if self._adapter.is_readiness(req):
            return InfoAnswer(200 if self.is_ready else 503)
        if not self._adapter.is_address_query(req):
            return InfoAnswer(404)
        addresses = self._ready_addresses()
        if not addresses:
            return InfoAnswer(503)
        content = self._adapter.encode_addresses(
            addresses, self.settings.callers_keep_s
        )
        return InfoAnswer(200, json.dumps(content).encode(), JSON_HEADERS)

    def _ready_addresses(self) -> list[Address]:
        own = self.settings.entry_id
        names = {
            name for name in self.membership.known() if self.membership.is_ready(name)
        }
        if self.is_ready:
            names.add(own)
        elif not names and not self.closing:
            return []
        return [self._entries.instance(name).address for name in sorted(names)]

    def _answer_metrics(self, _req: HttpRequest) -> InfoAnswer:
        text = self.metrics.render(self._gauges.read())
        return InfoAnswer(200, text.encode(), TEXT_HEADERS)

    def _own_record(self) -> EntryRecord:
        confirmed_at_s = self.state.confirmed_at_s
        return EntryRecord(
            self.settings.entry_id,
            self._incarnation,
            self.state.generation,
            None if confirmed_at_s is None else now_s() - confirmed_at_s,
            leaving=self.closing,
            ready=self.is_ready,
        )

    def _listed_entries(self) -> list[str]:
        return [item.instance_id for item in self._fleet.of_kind("entry")]

    def _count_entries(self) -> int:
        return len(self.membership.known()) + 1
