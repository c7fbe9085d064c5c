"""What an entry knows of upstreams without asking any of them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Self

from .cache_belief import CacheBelief
from .heartbeat import DigestHooks
from .stage_busyness import StageBusyness
from .stage_changes import StageChanges
from .upstream_loads import UpstreamLoads
from .upstreams import UpstreamRegistry


@dataclass
class FleetKnowledge:
    """Registrations, and what this entry and its peers have placed where."""

    registry: UpstreamRegistry
    busyness: StageBusyness
    loads: UpstreamLoads = field(default_factory=UpstreamLoads)
    changes: StageChanges = field(default_factory=StageChanges)
    cache: CacheBelief = field(default_factory=CacheBelief)

    @classmethod
    def from_registry(
        cls, registry: UpstreamRegistry, count_entries: Callable[[], int]
    ) -> Self:
        """Start with nothing known but what is registered; follow who is lost there."""
        knowledge = cls(registry, StageBusyness(count_entries))
        registry.on_lost = knowledge.forget
        return knowledge

    def forget(self, upstream_id: str) -> None:
        """Drop what is known of an upstream that is gone or has restarted."""
        self.cache.forget(upstream_id)
        self.loads.forget(upstream_id)
        self.changes.cancel(upstream_id)

    def add_to(self, hooks: DigestHooks) -> None:
        """Exchange all of it with the peers."""
        hooks.sent_work = self.loads.export_sent
        hooks.absorb_sent_work = self.loads.absorb_sent
        hooks.placed_parts = self.cache.export
        hooks.absorb_placed_parts = self.cache.absorb
        hooks.reading = self.busyness.export
        hooks.absorb_reading = self.busyness.absorb
        hooks.stage_notices = self.changes.export
        hooks.absorb_stage_notices = self.changes.absorb
