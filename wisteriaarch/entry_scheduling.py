"""Placement of calls by a gateway entry, for itself and for the other entries."""

import random
from collections.abc import Callable

from .adapter import PlatformAdapter
from .connection.fleet_placer import FleetPlacer
from .entry_network import EntryNetwork
from .event_log import EventLog
from .process.fleet_estimates import FleetEstimates
from .process.gateway_settings import GatewaySettings
from .process.lease_record import Contender
from .process.scheduler_choice import SchedulerChoice
from .process.upstream_signals import SignalsObserver
from .process.version_records import VersionRecords
from .request.fair_queue import Turn
from .request.own_shares import OwnShares
from .request.scheduler import Scheduler, SchedulingParts
from .request.shared_retry_budget import SCHEDULER_SHARE, SharedRetryBudget
from .request.size_fairness import SizeFairness
from .request.stream_versions import StreamVersions
from .request.zone_cost import TransferPrice
from .version.route_table import resumable_services
from .version.stage_supervisor import StageSupervisor


class EntryScheduling:
    """Owns the schedulers of an entry.

    ``shared_scheduler`` places calls of all entries; ``placer`` uses it, that of
    another entry, or this entry's own fallback, which uses ``retry_budget``.
    ``estimates`` and ``choice`` are those that it schedules by.
    """

    def __init__(
        self,
        network: EntryNetwork,
        estimates: FleetEstimates,
        scheduler_choice: SchedulerChoice,
        adapter: PlatformAdapter,
        settings: GatewaySettings,
        rng: random.Random,
        log: EventLog,
    ):
        self._network = network
        self._settings = settings
        self.estimates = estimates
        self.choice = scheduler_choice
        self._adapter = adapter
        self._log = log
        self.stream_versions = self._build_stream_versions(
            estimates, scheduler_choice, adapter, log
        )
        retry = settings.retry
        shares = OwnShares(
            network.count_entries,
            lambda: self.placer.last_answered_at_s,
            lambda: self._settings.retry.window_s,
        )
        parts = SchedulingParts.from_estimates(
            estimates,
            lambda: network.state.routes,
            log,
            shares.limit_share,
            rng,
            self.stream_versions,
        )
        parts.zone_costs.price = TransferPrice.from_config(settings.zone_transfer)
        self.retry_budget = SharedRetryBudget(
            retry.ratio,
            retry.slack,
            retry.window_s,
            network.count_entries,
            share=shares.retry_share,
        )
        self._shared_retry_budget = SharedRetryBudget(
            retry.ratio,
            retry.slack,
            retry.window_s,
            lambda: 1,
            share=lambda: SCHEDULER_SHARE,
            ramps_up=True,
        )
        self.shared_scheduler = Scheduler(
            parts, self._shared_retry_budget, serves_fleet=True
        )
        self.placer = FleetPlacer(
            settings.entry_id,
            scheduler_choice,
            network.state.registry,
            self.shared_scheduler,
            Scheduler(parts, self.retry_budget),
            network.peer_address,
            log,
        )

    def _build_stream_versions(
        self,
        estimates: FleetEstimates,
        scheduler_choice: SchedulerChoice,
        adapter: PlatformAdapter,
        log: EventLog,
    ) -> StreamVersions:
        own = self._network.members.own_record
        writer = f"{own.entry_id}-{own.incarnation}"
        versions = StreamVersions(
            estimates,
            VersionRecords(adapter.table, adapter.store_era, writer),
            lambda: resumable_services(self._network.state.routes),
            scheduler_choice.is_local,
            log,
        )
        adapter.store_era.subscribe(versions.handle_new_era)
        return versions

    def make_stage_supervisor(
        self, is_closing: Callable[[], bool], observe_signals: SignalsObserver
    ) -> StageSupervisor:
        """Return the supervisor of the stage changes of this entry's services."""
        members = self._network.members
        return StageSupervisor(
            Contender(self._settings.entry_id, str(members.own_record.incarnation)),
            self._adapter.table,
            self._settings.lease,
            self._adapter.orders,
            self.estimates,
            lambda: self._network.state.routes,
            lambda: [item.entry_id for item in members.living_records()],
            self.choice.is_local,
            is_closing,
            self._adapter.store_era,
            self._log,
            observe_signals,
        )

    @property
    def fairness(self) -> SizeFairness:
        """Shares of prompts of different sizes."""
        return self.shared_scheduler.parts.fairness

    def calls_waiting(self, service: str) -> int:
        """Return how many plain calls of a service wait here for an upstream."""
        return self.shared_scheduler.parts.service_planner.queue_length(service)

    def waiting_turns(self, service: str) -> list[Turn]:
        """Return the turns of all calls of a service that wait here."""
        parts = self.shared_scheduler.parts
        prompts = parts.planner.queues.waiting(service)
        return prompts + parts.service_planner.waiting(service)

    def configure(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        self._settings = settings
        self.shared_scheduler.parts.zone_costs.price = TransferPrice.from_config(
            settings.zone_transfer
        )
        retry = settings.retry
        for budget in (self.retry_budget, self._shared_retry_budget):
            budget.configure(retry.ratio, retry.slack, retry.window_s)
