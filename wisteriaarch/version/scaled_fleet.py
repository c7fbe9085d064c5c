"""Servers of a service by zone and kind, and orders that change their number."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from .scaling_spec import ScalingSpec


@dataclass(frozen=True, order=True)
class ServerGroup:
    """Servers of one zone and kind."""

    zone: str
    is_spot: bool


Counts = Mapping[ServerGroup, int]


@dataclass(frozen=True)
class FleetState:
    """Servers of a service that aren't draining.

    ``present`` are registered, ``serving`` those of them that respond, ``booting``
    are ordered and not there yet. ``engines_by_stage`` is empty without engines.
    """

    present: Counts
    serving: Counts
    booting: Counts = field(default_factory=dict)
    engines_by_stage: Mapping[str, int] = field(default_factory=dict)


def by_zone(counts: Counts) -> Counter[str]:
    """Return the servers of both kinds in each zone."""
    zones: Counter[str] = Counter()
    for group, count in counts.items():
        zones[group.zone] += count
    return zones


def regular_count(counts: Counts) -> int:
    """Return the number of regular servers."""
    return sum(count for group, count in counts.items() if not group.is_spot)


def price_of(spec: ScalingSpec, counts: Counts) -> float:
    """Return what one second of some servers costs."""
    return sum(
        count * spec.price(group.zone, group.is_spot) for group, count in counts.items()
    )
