"""Duties of a gateway entry: calls to the cloud's address by one entry at a time."""

from collections.abc import Awaitable, Callable
from typing import Self

import curio

from .adapter import PlatformAdapter
from .connection.duty_client import DutyClient
from .connection.usage_reporter import UsageReporter
from .connection.usage_sender import UsageSender
from .entry_network import EntryNetwork
from .entry_scheduling import EntryScheduling
from .event_log import EventLog
from .process.duty import Duty
from .process.duty_context import DutyContext
from .process.duty_settings import AUTOSCALE_DUTY, USAGE_DUTY, DutySettings
from .process.gateway_settings import GatewaySettings
from .process.lease_record import Contender
from .process.member_list import MemberState
from .process.metrics import Gauge, Labels, Metrics
from .process.true_time import TrueTime
from .process.usage_counts import UsageCounts, UsageTotals, UsageUpdate
from .request.run_counter import RunCounter
from .version.scale_supervisor import ScaleSupervisor

RELEASE_TIMEOUT_S = 1.0


class UsageParts:
    """Counting and reporting of the usage at one entry."""

    def __init__(
        self,
        cfg: DutySettings,
        context: DutyContext,
        client: DutyClient,
        adapter: PlatformAdapter,
        network: EntryNetwork,
        is_wanted: Callable[[], bool],
        metrics: Metrics,
    ):
        own = network.members.own_record
        true_time = TrueTime()
        network.exchange_times(true_time.own_estimate, true_time.observe_peer)
        self.counts = UsageCounts(cfg.window_s, true_time)
        self.totals = UsageTotals()
        self.duty = Duty.from_config(context, USAGE_DUTY, is_wanted=is_wanted)
        self.sender = UsageSender(
            self.duty.key,
            own.entry_id,
            own.incarnation,
            self.counts,
            self.totals,
            context.candidates,
            network.peer_address,
            lambda: self.duty.holder_id,
        )
        self.reporter = UsageReporter(
            cfg,
            self.duty,
            client,
            adapter.duties,
            self.counts,
            self.totals,
            context.candidates,
            metrics,
            context.log,
        )

    def apply(self, update: UsageUpdate) -> str:
        """Apply the counts of another entry; returns the id of the duty's holder."""
        self.totals.apply(update)
        return self.duty.holder_id


class EntryDuties:
    """Owns what the duties of one entry share, the usage duty and those of scaling.

    ``context`` and ``client`` serve any further duty.
    """

    def __init__(
        self,
        cfg: DutySettings,
        settings: GatewaySettings,
        adapter: PlatformAdapter,
        network: EntryNetwork,
        metrics: Metrics,
        log: EventLog,
    ):
        self._cfg = cfg
        self._network = network
        self._protocol = adapter.duties
        self._members = network.members
        self._is_closing = False
        self._scaling: ScaleSupervisor | None = None
        own = network.members.own_record
        self.context = DutyContext(
            settings.node or settings.entry_id,
            Contender(settings.entry_id, str(own.incarnation)),
            adapter.table,
            settings.duty_lease,
            self._candidates,
            adapter.store_era,
            log,
        )
        self.client = DutyClient.from_config(cfg, adapter.duties, log)
        self.usage: UsageParts | None = None
        if cfg.has(USAGE_DUTY):
            self.usage = UsageParts(
                cfg,
                self.context,
                self.client,
                adapter,
                network,
                lambda: not self._is_closing,
                metrics,
            )

    @classmethod
    def from_config(
        cls,
        settings: GatewaySettings,
        adapter: PlatformAdapter,
        network: EntryNetwork,
        runs: RunCounter,
        metrics: Metrics,
        log: EventLog,
    ) -> Self | None:
        """Return the duties of the settings, None without any."""
        if settings.duties is None:
            return None
        duties = cls(settings.duties, settings, adapter, network, metrics, log)
        if duties.usage is not None:
            runs.counts = duties.usage.counts
        return duties

    def scale_servers(
        self, scheduling: EntryScheduling, is_closing: Callable[[], bool]
    ) -> None:
        """Change the number of servers of services, where the settings say so."""
        if self._cfg.has(AUTOSCALE_DUTY):
            self._scaling = ScaleSupervisor(
                self.context,
                self.client.call,
                self._protocol,
                scheduling.estimates,
                lambda: self._network.state.routes,
                scheduling.choice.is_local,
                is_closing,
            )

    def _candidates(self) -> list[str]:
        return [
            item.entry_id
            for item in self._members.living_records()
            if item.state is MemberState.ALIVE
        ]

    def task_mains(self) -> list[Callable[[], Awaitable]]:
        """Return the main functions of the tasks."""
        scaling = [self._scaling.run] if self._scaling else []
        usage = self.usage
        if usage is None:
            return scaling
        return [usage.duty.run, usage.sender.run, usage.reporter.run, *scaling]

    @property
    def on_usage(self) -> Callable[[UsageUpdate], str] | None:
        """Handler of the counts of other entries."""
        return self.usage and self.usage.apply

    def held(self) -> dict[Labels, float]:
        """Return whether this entry holds each duty, by its name."""
        duties = [self.usage.duty] if self.usage else []
        held = {(duty.name,): float(duty.is_held) for duty in duties}
        for service, is_held in self._scaling.held() if self._scaling else ():
            held[f"{AUTOSCALE_DUTY} {service}",] = float(is_held)
        return held

    def server_gauges(self) -> dict[Gauge, dict[Labels, float]]:
        """Return the wanted and the present servers by service, zone and kind."""
        wanted: dict[Labels, float] = {}
        present: dict[Labels, float] = {}
        counts = self._scaling.counts() if self._scaling else ()
        for service, group, wanted_count, present_count in counts:
            labels = (service, group.zone, "spot" if group.is_spot else "regular")
            wanted[labels], present[labels] = wanted_count, present_count
        return {Gauge.SERVERS_WANTED: wanted, Gauge.SERVERS_PRESENT: present}

    async def close(self) -> None:
        """Send the last counts and release the duty, so that a successor takes over."""
        if self.usage is None:
            return
        self._is_closing = True
        async with curio.ignore_after(RELEASE_TIMEOUT_S):
            await self.usage.sender.flush(self._candidates())
            async with self.usage.duty.call_lock:
                await self.usage.duty.release()
