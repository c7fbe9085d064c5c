"""Servers of a service and the demand on them, as the service's scheduler sees them."""

from collections import Counter

from ..process.fleet_estimates import FleetEstimates
from ..process.upstreams import Stage, Upstream
from .scaled_fleet import FleetState, ServerGroup
from .scaling_forecast import ServiceDemand

# Shorter interruptions of a server end by themselves.
LOST_AFTER_S = 1.5


class ScalingView:
    """Observes one service from the estimates of the entry that schedules it."""

    def __init__(self, estimates: FleetEstimates, service: str):
        self._estimates = estimates
        self._service = service
        self._silent_since_s: dict[str, float] = {}

    @property
    def is_complete(self) -> bool:
        """Whether all registrations are known."""
        return not self._estimates.registry.may_be_incomplete()

    def fleet(self, now: float) -> FleetState:
        """Return the servers that aren't draining."""
        present = self._estimates.registry.usable(self._service)
        serving = [item for item in present if not self._is_lost(item, now)]
        names = {item.upstream_id for item in present}
        self._silent_since_s = {
            name: at_s for name, at_s in self._silent_since_s.items() if name in names
        }
        stages = {
            stage.value: sum(item.stage is stage for item in serving) for stage in Stage
        }
        has_engines = any(item.stage is not None for item in present)
        return FleetState(
            Counter(_group(item) for item in present),
            Counter(_group(item) for item in serving),
            engines_by_stage=stages if has_engines else {},
        )

    def demand(self) -> ServiceDemand:
        """Return how many servers the calls of all entries keep busy now."""
        estimates = self._estimates
        utilization = estimates.utilization
        occupied = sum(
            self._occupied(item) for item in estimates.registry.usable(self._service)
        )
        decode_engines = utilization.engines_needed(self._service, Stage.DECODE)
        return ServiceDemand(
            utilization.engines_needed(self._service, Stage.PREFILL),
            max(occupied, decode_engines),
            estimates.offered.urgent_share(self._service),
            estimates.offered.refused_share(self._service),
        )

    def _occupied(self, upstream: Upstream) -> float:
        """Return the occupied share of a server's slots.

        The work of prefill engines is known from the prompts placed there.
        """
        if upstream.stage is Stage.PREFILL:
            return 0.0
        requests = self._estimates.loads.requests(upstream.upstream_id)
        return requests / max(1, upstream.slots)

    def _is_lost(self, upstream: Upstream, now: float) -> bool:
        name = upstream.upstream_id
        if self._estimates.loads.is_responsive(name):
            self._silent_since_s.pop(name, None)
            return False
        return now - self._silent_since_s.setdefault(name, now) >= LOST_AFTER_S


def _group(upstream: Upstream) -> ServerGroup:
    return ServerGroup(upstream.zone, upstream.is_spot)
