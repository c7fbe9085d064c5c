"""Engines, groups, models and services of a lane."""

from dataclasses import dataclass, field

CHECKING = "checking"


@dataclass(frozen=True)
class Layout:
    """Engines of each group and group of each model.

    The engines of the group CHECKING refuse orders with an old epoch; all others ignore
    the epoch.
    """

    groups: dict[str, tuple[str, ...]]
    models: dict[str, str]
    services: tuple[str, ...] = ("portal-1", "portal-2")
    roles: dict[str, str] = field(default_factory=dict)
    policy: str = "predicted"

    @property
    def engines(self) -> tuple[str, ...]:
        """Engines of all groups."""
        return tuple(name for names in self.groups.values() for name in names)

    def group_of(self, engine: str) -> str:
        """Return the group of an engine."""
        return next(group for group, names in self.groups.items() if engine in names)


TWO_GROUPS = Layout(
    groups={CHECKING: ("engine-1", "engine-2"), "ignoring": ("engine-3", "engine-4")},
    models={"formatter": CHECKING, "rounds": "ignoring"},
)
SPLIT_ROLES = Layout(
    groups={"ignoring": ("engine-1", "engine-2", "engine-3")},
    models={"rounds": "ignoring"},
    roles={"engine-1": "prefill", "engine-2": "decode", "engine-3": "decode"},
    policy="reactive",
)
