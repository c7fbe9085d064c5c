"""Gateway: an entry that serves the routes of a platform's configuration."""

import json
import random
from collections.abc import Awaitable, Callable
from itertools import islice

import curio

from .adapter import PlatformAdapter
from .connection.caller_connection import AnswerForm, CallerConnection
from .connection.client_servers import ClientServers
from .connection.info_server import InfoAnswer
from .connection.planned_stop import PlannedStop
from .connection.relay_client import RelayClient
from .connection.relay_server import RelayServer
from .connection.scheduling_server import SchedulingServer
from .connection.upstream_connector import UpstreamConnector
from .connection.upstream_pool import UpstreamPool
from .entry_duties import EntryDuties
from .entry_network import EntryNetwork
from .entry_scheduling import EntryScheduling
from .errors import ErrorKind, RequestError, cut_error
from .event_log import EventLog
from .events import Event
from .gauges import GatewayGauges
from .process.clock import now_s
from .process.fleet_estimates import FleetEstimates
from .process.gateway_settings import GatewaySettings
from .process.metrics import Metrics
from .process.scheduler_choice import SchedulerChoice
from .process.settings_watch import SettingsWatch
from .process.signals import RELOAD_SIGNAL, ProcessSignals
from .process.stop_schedule import StopSchedule
from .process.supervision import run_all_until
from .request.block_quarantine import TrialPolicy
from .request.block_rows import BlockRows
from .request.call_runner import CallRunner
from .request.crash_history_rows import CrashHistoryRows
from .request.kept_records import KeptRecords
from .request.key_check import KeyCheck
from .request.revocable_placer import RevocablePlacer
from .request.stop_admission import StopAdmission
from .sockets import listen_on
from .wire import HttpRequest

JSON_HEADERS = [("Content-Type", "application/json")]
TEXT_HEADERS = [("Content-Type", "text/plain; version=0.0.4")]
SERVED_KEEP_PERIODS = 3
# Within this time the other entries have received the notice that this one drains.
LEAVE_PROPAGATION_S = 0.3
FIRST_ROUTES_WAIT_S = 0.3
FIRST_ROUTES_POLL_S = 0.05
CRASHES_ANNOUNCED_MAX = 16
BLOCK_CRASHES_ANNOUNCED_MAX = 32
# Name by which the entry that writes the rows of blocks is chosen.
KEPT_RECORDS_DUTY = "block records"


class Gateway:
    """One gateway entry; an async context manager that owns its components."""

    answer_form = AnswerForm(retry_after_decimals=2, error_events=False)

    def __init__(self, settings: GatewaySettings, adapter: PlatformAdapter):
        self.settings = settings
        self.log = EventLog(settings.entry_id)
        self.metrics = Metrics()
        self._servers = ClientServers(settings, self.metrics, self.log)
        self.closing = False
        self._is_announced = False
        self._adapter = adapter
        self._rng = random.Random(settings.seed)
        self.network = EntryNetwork(settings, adapter, self.log)
        self.state = self.network.state
        self._scheduler_choice = SchedulerChoice(self.network.members)
        self.estimates = FleetEstimates.from_registry(self.state.registry)
        self._stop_admission = StopAdmission()
        self._key_check = KeyCheck(
            lambda: self.settings,
            lambda: self.state.routes,
            lambda: self.state.confirmed_at_s,
            self.metrics,
        )
        self._connector = UpstreamConnector(
            self.state.registry.addresses,
            self.log,
            self._rng,
            RelayClient(self.network.peer_addresses, self._rng),
        )
        self._pool = UpstreamPool(self._connector)
        self._scheduling = EntryScheduling(
            self.network,
            self.estimates,
            self._scheduler_choice,
            adapter,
            settings,
            self._rng,
            self.log,
        )
        self._placer = RevocablePlacer(self._scheduling.placer, self._key_check)
        self._runner = CallRunner(
            adapter.upstreams,
            self.estimates,
            self._pool,
            self._placer,
            self._scheduling.fairness,
            TrialPolicy(self._scheduler_choice.is_local, self.network.count_entries),
            self._announce_crashes,
            self.metrics,
            self.log,
            self._key_check.check_again,
        )
        self.network.exchange_crashes(
            self._runner.crashes.export, self._runner.crashes.merge
        )
        self.network.exchange_blocks(
            self._runner.blocks.export, self._runner.blocks.merge
        )
        self.network.exchange_limits(
            self.estimates.limits.export, self._runner.estimate_updater.merge_limits
        )
        self._stage_supervisor = self._scheduling.make_stage_supervisor(
            lambda: self.closing, self._runner.estimate_updater.observe_signals
        )
        self._duties = EntryDuties.from_config(
            settings, adapter, self.network, self._runner.runs, self.metrics, self.log
        )
        if self._duties:
            self._duties.scale_servers(self._scheduling, lambda: self.closing)
        self._gauges = GatewayGauges(
            self.state,
            self.network.members,
            self.estimates,
            self._scheduling.retry_budget,
            self._stage_supervisor,
            self._connector.paths,
            self._scheduling,
            self._duties,
        )
        self._callers = self._servers.callers(self)

    async def __aenter__(self) -> "Gateway":
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._scheduling.placer.close()
        await self._pool.close()

    async def run(self, settings_path: str | None = None) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        with ProcessSignals() as signals, self.log.record_failure():
            await self._run_until(signals, settings_path)
        self.log.write(Event.ENTRY_STOPPED)

    async def _run_until(
        self, signals: ProcessSignals, settings_path: str | None
    ) -> None:
        front = self.settings.front.address()
        sock = listen_on("front", front)
        watch = SettingsWatch(
            settings_path, self.settings, self._apply_settings, self.log
        )

        async def serve() -> None:
            await self._callers.start(sock)
            self.log.write(
                Event.ENTRY_STARTED, address=str(front), node=self.settings.node
            )
            while await signals.next_signal() == RELOAD_SIGNAL:
                await watch.request_reload()
            await self._stop_gracefully(signals)

        await run_all_until((*self._task_mains(), watch.run), serve, self.log)

    def _task_mains(self) -> list[Callable[[], Awaitable]]:
        settings = self.settings
        return [
            *self.network.task_mains(),
            self._announce_readiness,
            self._scheduling.stream_versions.run,
            self._placer.run,
            *(records.run for records in self._kept_records()),
            self._connector.run,
            SchedulingServer(
                self.network.peer_address(settings.entry_id),
                self._scheduling.shared_scheduler,
                self._runner.estimate_updater,
                self.state,
                self.log,
                RelayServer(self._connector, self.log),
                self._duties and self._duties.on_usage,
            ).run,
            *(self._duties.task_mains() if self._duties else ()),
            *([self._stage_supervisor.run] if settings.change_stages else ()),
            self._servers.info("ready", settings.ready, self._answer_info).run,
            self._servers.info("directory", settings.directory, self._answer_info).run,
            self._servers.info(
                "metrics_port", settings.metrics_address, self._answer_metrics
            ).run,
        ]

    def _kept_records(self) -> tuple[KeptRecords, ...]:
        """Return what one entry keeps in the store for all of them."""
        table, era = self._adapter.table, self._adapter.store_era

        def is_writer() -> bool:
            return self._scheduler_choice.is_local(KEPT_RECORDS_DUTY)

        return (
            BlockRows(self._runner.blocks, table, is_writer, self.log, era),
            CrashHistoryRows(self._runner.crashes, table, is_writer, self.log, era),
        )

    async def _stop_gracefully(self, signals: ProcessSignals) -> None:
        self.closing = True
        schedule = self._stop_schedule(signals)
        self._stop_admission.begin(schedule)
        await PlannedStop(self._callers, self._announce_own_state, self.log).run(
            schedule
        )
        if self._duties:
            await self._duties.close()

    def _stop_schedule(self, signals: ProcessSignals) -> StopSchedule:
        settings = self.settings
        serve_s = LEAVE_PROPAGATION_S + SERVED_KEEP_PERIODS * settings.callers_keep_s
        return StopSchedule.from_grace(
            signals.stop_requested_at_s, settings.stop_grace_s, serve_s
        )

    def _apply_settings(self, settings: GatewaySettings) -> None:
        self.settings = settings
        self._scheduling.configure(settings)

    async def _announce_readiness(self) -> None:
        """Announce this entry to the others once it has routes and takes callers."""
        while self.state.routes is None:
            await curio.sleep(FIRST_ROUTES_POLL_S)
        await self._announce_own_state()
        self._is_announced = True
        await curio.Event().wait()

    async def _announce_own_state(self) -> None:
        await self.network.announce(ready=self.is_ready, leaving=self.closing)

    async def _announce_crashes(self) -> None:
        records = self._runner.crashes.export()
        await self.network.announce_crashes(
            islice(records, CRASHES_ANNOUNCED_MAX),
            self._runner.blocks.export(BLOCK_CRASHES_ANNOUNCED_MAX),
        )

    def time_left_s(self) -> float:
        """Return how long a request that arrives now may take."""
        return self._stop_admission.left_s()

    def request_id(self, req: HttpRequest) -> str:
        """Return the id that the caller gave a request; empty if there is none."""
        return self._adapter.call_id(req)

    async def handle(self, req: HttpRequest, conn: CallerConnection) -> None:
        """Answer one request; raises RequestError."""
        table = await self.state.wait_for_routes(FIRST_ROUTES_WAIT_S)
        if table is None:
            raise RequestError(
                ErrorKind.NO_CONFIGURATION,
                "no configuration was read yet",
            )
        call = self._adapter.decode_call(req, table, self._rng)
        self._key_check.admit(call, table)
        call.zone = self.settings.zone
        self._stop_admission.check(call)
        try:
            await self._runner.run(call, conn)
        except curio.TaskCancelled as exc:
            raise cut_error(call.known_ran) from exc
        self._stop_admission.observe(call, now_s() - call.arrived_at_s)

    @property
    def is_ready(self) -> bool:
        """Whether this entry accepts new callers."""
        return self.state.routes is not None and not self.closing

    def _answer_info(self, req: HttpRequest) -> InfoAnswer:
        if self._adapter.is_readiness_check(req):
            return InfoAnswer(200 if self.is_ready and self._is_announced else 503)
        if not self._adapter.is_address_query(req):
            return InfoAnswer(404)
        addresses = self.network.caller_addresses(self._adapter.query_zone(req))
        if not addresses:
            return InfoAnswer(503)
        content = self._adapter.encode_addresses(
            addresses, self.settings.callers_keep_s
        )
        return InfoAnswer(200, json.dumps(content).encode(), JSON_HEADERS)

    def _answer_metrics(self, _req: HttpRequest) -> InfoAnswer:
        text = self.metrics.render(self._gauges.read())
        return InfoAnswer(200, text.encode(), TEXT_HEADERS)
