"""Estimates of upstreams that need no request to them."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Self

from .handoff_time import HandoffTime
from .offered_calls import OfferedCalls
from .prefill_rate import PrefillRate
from .prefix_cache_index import PrefixCacheIndex
from .request_limits import RequestLimits
from .service_times import ServiceTimes
from .stage_changes import StageChanges
from .stage_utilization import StageUtilization
from .transfer_sizes import TransferSizes
from .upstream_loads import UpstreamLoads
from .upstreams import UpstreamRegistry


@dataclass
class FleetEstimates:
    """Registrations and placed work, as far as this entry tracks them."""

    registry: UpstreamRegistry
    utilization: StageUtilization = field(default_factory=StageUtilization)
    loads: UpstreamLoads = field(default_factory=UpstreamLoads)
    limits: RequestLimits = field(init=False)
    offered: OfferedCalls = field(default_factory=OfferedCalls)
    stage_changes: StageChanges = field(default_factory=StageChanges)
    prefix_cache: PrefixCacheIndex = field(default_factory=PrefixCacheIndex)
    service_times: ServiceTimes = field(default_factory=ServiceTimes)
    transfer_sizes: TransferSizes = field(default_factory=TransferSizes)
    _handoff_times: dict[str, HandoffTime] = field(
        default_factory=lambda: defaultdict(HandoffTime)
    )
    _prefill_rates: dict[str, PrefillRate] = field(
        default_factory=lambda: defaultdict(PrefillRate)
    )

    def __post_init__(self):
        self.limits = RequestLimits(self._may_exist)

    def _may_exist(self, upstream_id: str) -> bool:
        registry = self.registry
        return registry.get(upstream_id) is not None or registry.may_be_incomplete()

    @classmethod
    def from_registry(cls, registry: UpstreamRegistry) -> Self:
        """Start from a registry alone, and discard upstreams that it reports lost."""
        estimates = cls(registry)
        registry.on_incarnation_ended = estimates.discard
        return estimates

    def discard(self, upstream_id: str) -> None:
        """Discard estimates of an upstream that has deregistered or restarted."""
        self.prefix_cache.discard(upstream_id)
        self.loads.discard(upstream_id)
        self.limits.discard(upstream_id)
        self.stage_changes.cancel(upstream_id)

    def prefill_rate(self, service: str) -> float:
        """Return the prefill rate of a service's engines, in tokens a second."""
        return self._prefill_rates[service].value

    def handoff_s(self, service: str) -> float:
        """Return the time from handing over a prefilled prompt to its first event."""
        return self._handoff_times[service].value_s

    def observe_handoff(self, service: str, first_event_s: float) -> None:
        """Observe the handoff time of one prompt."""
        self._handoff_times[service].observe(first_event_s)

    def observe_failed_handoff(self, service: str) -> None:
        """Observe a prompt that was prefilled in vain."""
        self._handoff_times[service].observe_failure()

    def set_prefill_rate(self, service: str, rate: float) -> None:
        """Set the prefill rate to the value learned by a scheduler."""
        self._prefill_rates[service].value = rate

    def observe_prefill(self, service: str, tokens: int, elapsed_s: float) -> None:
        """Observe the prefill time of one prompt on a service's engines."""
        self._prefill_rates[service].observe(tokens, elapsed_s)
