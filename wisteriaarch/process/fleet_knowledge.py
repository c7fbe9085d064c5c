"""What an entry knows of upstreams without asking any of them."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Self

from .cache_belief import CacheBelief
from .prefill_rate import PrefillRate
from .stage_busyness import StageBusyness
from .stage_changes import StageChanges
from .takeover_time import TakeoverTime
from .upstream_loads import UpstreamLoads
from .upstreams import UpstreamRegistry


@dataclass
class FleetKnowledge:
    """Registrations, and what was placed where, as far as it is known here."""

    registry: UpstreamRegistry
    busyness: StageBusyness = field(default_factory=StageBusyness)
    loads: UpstreamLoads = field(default_factory=UpstreamLoads)
    changes: StageChanges = field(default_factory=StageChanges)
    cache: CacheBelief = field(default_factory=CacheBelief)
    _takeovers: dict[str, TakeoverTime] = field(
        default_factory=lambda: defaultdict(TakeoverTime)
    )
    _rates: dict[str, PrefillRate] = field(
        default_factory=lambda: defaultdict(PrefillRate)
    )

    @classmethod
    def from_registry(cls, registry: UpstreamRegistry) -> Self:
        """Start with nothing known but what is registered; follow who is lost there."""
        knowledge = cls(registry)
        registry.on_lost = knowledge.forget
        return knowledge

    def forget(self, upstream_id: str) -> None:
        """Drop what is known of an upstream that is gone or has restarted."""
        self.cache.forget(upstream_id)
        self.loads.forget(upstream_id)
        self.changes.cancel(upstream_id)

    def rate_of(self, service: str) -> float:
        """Return how many tokens an engine of a service reads in a second."""
        return self._rates[service].value

    def takeover_s(self, service: str) -> float:
        """Return how long a prompt read elsewhere takes to its first event."""
        return self._takeovers[service].value_s

    def note_takeover(self, service: str, first_event_s: float) -> None:
        """Learn that time from one prompt."""
        self._takeovers[service].note(first_event_s)

    def take_rate(self, service: str, rate: float) -> None:
        """Take over the reading speed that a scheduler has learnt."""
        self._rates[service].value = rate

    def note_reading(self, service: str, tokens: int, elapsed_s: float) -> None:
        """Learn the reading speed of a service's engines from one prompt."""
        self._rates[service].note(tokens, elapsed_s)
