"""Estimates of upstreams that need no request to them."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Self

from .cache_belief import CacheBelief
from .prefill_rate import PrefillRate
from .stage_busyness import StageBusyness
from .stage_changes import StageChanges
from .takeover_time import HandoffTime
from .upstream_loads import UpstreamLoads
from .upstreams import UpstreamRegistry


@dataclass
class FleetKnowledge:
    """Registrations and placed work, as far as this entry tracks them."""

    registry: UpstreamRegistry
    busyness: StageBusyness = field(default_factory=StageBusyness)
    loads: UpstreamLoads = field(default_factory=UpstreamLoads)
    changes: StageChanges = field(default_factory=StageChanges)
    cache: CacheBelief = field(default_factory=CacheBelief)
    _handoff_times: dict[str, HandoffTime] = field(
        default_factory=lambda: defaultdict(HandoffTime)
    )
    _prefill_rates: dict[str, PrefillRate] = field(
        default_factory=lambda: defaultdict(PrefillRate)
    )

    @classmethod
    def from_registry(cls, registry: UpstreamRegistry) -> Self:
        """Start from a registry alone, and discard upstreams that it reports lost."""
        estimates = cls(registry)
        registry.on_lost = estimates.discard
        return estimates

    def discard(self, upstream_id: str) -> None:
        """Discard estimates of an upstream that has deregistered or restarted."""
        self.cache.forget(upstream_id)
        self.loads.discard(upstream_id)
        self.changes.cancel(upstream_id)

    def rate_of(self, service: str) -> float:
        """Return the prefill rate of a service's engines, in tokens a second."""
        return self._prefill_rates[service].value

    def takeover_s(self, service: str) -> float:
        """Return the time from handing over a prefilled prompt to its first event."""
        return self._handoff_times[service].value_s

    def note_takeover(self, service: str, first_event_s: float) -> None:
        """Observe the handoff time of one prompt."""
        self._handoff_times[service].observe(first_event_s)

    def take_rate(self, service: str, rate: float) -> None:
        """Set the prefill rate to the value learned by a scheduler."""
        self._prefill_rates[service].value = rate

    def note_reading(self, service: str, tokens: int, elapsed_s: float) -> None:
        """Observe the prefill time of one prompt on a service's engines."""
        self._prefill_rates[service].note(tokens, elapsed_s)
