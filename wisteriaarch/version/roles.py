"""Engine roles, and the interface of policies that change them."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class Role(StrEnum):
    """Phases of a request that an engine executes."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True)
class EngineObservation:
    """State of one engine by its last load report, ``report_age_s`` seconds old."""

    name: str
    zone: str
    role: Role
    queued: int
    running: int
    prefill_tokens_left: int
    report_age_s: float


@dataclass(frozen=True)
class RoleChange:
    """Decided change of an engine's role; ``reason`` is logged."""

    upstream: str
    role: Role
    reason: str


class RolePolicy(Protocol):
    """Decides on role changes of one upstream group."""

    def decide(
        self, observations: list[EngineObservation], now: float
    ) -> RoleChange | None:
        """Return at most one change; called at every control interval."""


class StaticRolePolicy:
    """Policy that never changes a role."""

    def decide(
        self, observations: list[EngineObservation], now: float
    ) -> RoleChange | None:
        """Return no change."""
        return None
