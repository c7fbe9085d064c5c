"""Gauges of a gateway, computed when the metrics are scraped."""

from collections import Counter
from dataclasses import dataclass

from .entry_duties import EntryDuties
from .entry_scheduling import EntryScheduling
from .process.clock import now_s
from .process.fleet_estimates import FleetEstimates
from .process.fleet_state import FleetState
from .process.member_list import MemberList
from .process.metrics import Gauge, Labels
from .process.request_limits import UNLIMITED
from .process.upstream_paths import UpstreamPaths
from .process.upstreams import Stage, Upstream
from .request.call_metrics import priority_label
from .request.shared_retry_budget import SharedRetryBudget
from .version.stage_supervisor import StageSupervisor, count_engines

UNCONFIRMED_AGE_S = -1.0
NO_REQUEST_LIMIT = -1.0


@dataclass(frozen=True)
class GatewayGauges:
    """Computes gauge values from the components of an entry."""

    state: FleetState
    members: MemberList
    estimates: FleetEstimates
    retry_budget: SharedRetryBudget
    stage_supervisor: StageSupervisor
    paths: UpstreamPaths
    scheduling: EntryScheduling
    duties: EntryDuties | None = None

    def read(self) -> dict[Gauge, dict[Labels, float]]:
        """Return the current values of all gauges, by their labels."""
        table = self.state.routes
        return {
            Gauge.CONFIGURATION_VERSION: {(): table.version if table else 0},
            Gauge.CONFIGURATION_AGE_SECONDS: {(): _age_s(self.state.confirmed_at_s)},
            Gauge.UPSTREAMS_AGE_SECONDS: {
                (): _age_s(self.state.upstreams_confirmed_at_s)
            },
            Gauge.UPSTREAMS_REACHABLE: {(): float(not self.paths.is_cut_off)},
            Gauge.ENTRIES: {(): len(self.members.living_records())},
            Gauge.PEER_AGE_SECONDS: self._peer_ages(),
            Gauge.DUTY_HELD: self.duties.held() if self.duties else {},
            **(self.duties.server_gauges() if self.duties else {}),
            **self._service_values(),
            **self._customer_values(),
            **self._upstream_values(),
        }

    def _peer_ages(self) -> dict[Labels, float]:
        return {
            (item.entry_id,): self.members.last_contact_age_s(item.entry_id)
            for item in self.members.living_others()
        }

    def _service_values(self) -> dict[Gauge, dict[Labels, float]]:
        table = self.state.routes
        services = table.services if table else {}
        engine_services = [
            name for name, spec in services.items() if spec.engine is not None
        ]
        utilization = self.estimates.utilization
        return {
            Gauge.LEASE_HELD: {
                (name,): float(is_held)
                for name, is_held in self.stage_supervisor.lease_states()
            },
            Gauge.RETRIES_LEFT: {
                (name,): self.retry_budget.remaining(name) for name in services
            },
            Gauge.CALLS_WAITING: {
                (name,): self.scheduling.calls_waiting(name) for name in services
            },
            Gauge.READING_DEMAND: {
                (name, stage.value): utilization.engines_needed(name, stage)
                for name in engine_services
                for stage in Stage
            },
            Gauge.STAGE_ENGINES: {
                (name, stage.value): count
                for name in engine_services
                for stage, count in count_engines(self.estimates, name).items()
            },
        }

    def _customer_values(self) -> dict[Gauge, dict[Labels, float]]:
        """Return what waits by priority; nothing without customers."""
        table = self.state.routes
        if table is None or table.customers is None:
            return {}
        by_priority: Counter[Labels] = Counter()
        customers = {}
        for name in table.services:
            turns = self.scheduling.waiting_turns(name)
            by_priority.update((name, priority_label(item.priority)) for item in turns)
            customers[name,] = len({item.customer for item in turns if item.customer})
        return {
            Gauge.PRIORITY_CALLS_WAITING: by_priority,
            Gauge.CUSTOMERS_WAITING: customers,
        }

    def _upstream_values(self) -> dict[Gauge, dict[Labels, float]]:
        loads, limits = self.estimates.loads, self.estimates.limits

        def by_upstream(value) -> dict[Labels, float]:
            return {(item.upstream_id,): value(item) for item in upstreams}

        def pace(upstream: Upstream) -> float:
            return loads.of(upstream.upstream_id).slowdown_at(now_s())

        upstreams = self.state.registry.listed()
        return {
            Gauge.REQUESTS_IN_FLIGHT: by_upstream(
                lambda item: loads.requests(item.upstream_id)
            ),
            Gauge.PROMPT_TOKENS_IN_FLIGHT: by_upstream(
                lambda item: loads.prompt_tokens(item.upstream_id)
            ),
            Gauge.UPSTREAM_PACE: by_upstream(pace),
            Gauge.UPSTREAM_SUSPENDED: by_upstream(
                lambda item: float(loads.is_suspended(item.upstream_id))
            ),
            Gauge.UPSTREAM_REQUEST_LIMIT: by_upstream(
                lambda item: _finite_limit(limits.per_s(item.upstream_id))
            ),
            Gauge.REQUESTS_SENT: by_upstream(lambda item: loads.sent(item.upstream_id)),
        }


def _finite_limit(per_s: float) -> float:
    return NO_REQUEST_LIMIT if per_s == UNLIMITED else per_s


def _age_s(at_s: float | None) -> float:
    return UNCONFIRMED_AGE_S if at_s is None else now_s() - at_s
