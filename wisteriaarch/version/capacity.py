"""Capacity model: expected share of a demand that a fleet serves on time."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..process.demand import Demand
from ..process.engine_speeds import RoleSpeeds, SpeedEstimates
from .roles import Role

DEMAND_SLICES = 24
PENALTY_EXPONENT = 4
TARGET_UTILIZATION = 0.85
DEFAULT_SLOTS = 16.0

RoleCounts = Mapping[Role, int]


@dataclass(frozen=True)
class RoleCapacity:
    """Step time constants and limits of one engine in a role; times in seconds.

    A step takes ``base_s``, plus ``per_sequence_s`` for each running sequence, plus
    ``per_token_s`` for each prefilled token. ``chunk_tokens`` is the most prompt tokens
    that a step prefills, ``slots`` the most sequences that run at once.
    """

    base_s: float
    per_sequence_s: float
    per_token_s: float
    chunk_tokens: float
    slots: float

    def utilization(self, prompt_per_s: float, output_per_s: float) -> float:
        """Return the utilization of an engine at these token rates; may exceed 1."""
        steps = max(prompt_per_s / self.chunk_tokens, output_per_s / self.slots)
        return (
            steps * self.base_s
            + output_per_s * self.per_sequence_s
            + prompt_per_s * self.per_token_s
        )

    def scaled_by(self, factors: "RoleCapacity") -> "RoleCapacity":
        """Return this capacity with each constant multiplied by that of ``factors``."""
        return RoleCapacity(
            self.base_s * factors.base_s,
            self.per_sequence_s * factors.per_sequence_s,
            self.per_token_s * factors.per_token_s,
            self.chunk_tokens * factors.chunk_tokens,
            self.slots * factors.slots,
        )


# Factors (not seconds) relative to MIXED, assumed until a role's capacity is measured.
DEFAULT_ROLE_FACTORS = {
    Role.MIXED: RoleCapacity(1.0, 1.0, 1.0, 1.0, 1.0),
    Role.PREFILL: RoleCapacity(1.1, 1.1, 0.75, 2.0, 0.5),
    Role.DECODE: RoleCapacity(0.9, 0.9, 1.3, 0.25, 2.0),
}


@dataclass
class _RoleLoad:
    capacity: RoleCapacity
    engines: int
    prompt_per_s: float = 0.0
    output_per_s: float = 0.0

    def utilization_with(self, demand: Demand) -> float:
        return self.capacity.utilization(
            (self.prompt_per_s + demand.prompt_tokens_per_s) / self.engines,
            (self.output_per_s + demand.output_tokens_per_s) / self.engines,
        )

    def penalty_increase(self, demand: Demand) -> float:
        """Return the increase of the load penalty by an added demand."""
        before = self.utilization_with(Demand()) ** PENALTY_EXPONENT
        after = self.utilization_with(demand) ** PENALTY_EXPONENT
        return self.engines * (after - before)

    def add(self, demand: Demand) -> None:
        self.prompt_per_s += demand.prompt_tokens_per_s
        self.output_per_s += demand.output_tokens_per_s


@dataclass
class CapacityModel:
    """Capacity of each role; learned speeds take precedence over defaults."""

    capacities: dict[Role, RoleCapacity] = field(default_factory=dict)

    @classmethod
    def from_speeds(cls, speeds: SpeedEstimates) -> "CapacityModel":
        """Return the model for the speeds learned so far.

        Without any learned speeds it has no capacities.
        """
        learned = {
            role: _learned_capacity(speeds.role(role))
            for role in Role
            if speeds.role(role).has_enough_samples
        }
        if not learned:
            return cls({})
        reference_role = Role.MIXED if Role.MIXED in learned else next(iter(learned))
        mixed_capacity = _divided(
            learned[reference_role], DEFAULT_ROLE_FACTORS[reference_role]
        )
        return cls(
            {
                role: learned.get(role)
                or mixed_capacity.scaled_by(DEFAULT_ROLE_FACTORS[role])
                for role in Role
            }
        )

    def utilization(self, counts: RoleCounts, demands: list[Demand]) -> float:
        """Return the highest utilization of any role when load is balanced.

        Demand is assigned in slices to the role whose penalty increases least. The
        penalty grows faster than the utilization, so each kind of demand goes to the
        role that serves it at the lowest cost and no role is overloaded first.
        """
        loads = [
            _RoleLoad(self.capacities[role], count)
            for role, count in counts.items()
            if count > 0
        ]
        if not loads:
            return float("inf")
        slices = [demand.scaled(1 / DEMAND_SLICES) for demand in demands]
        for _ in range(DEMAND_SLICES):
            for demand_slice in slices:
                best = min(loads, key=lambda load: load.penalty_increase(demand_slice))
                best.add(demand_slice)
        return max(load.utilization_with(Demand()) for load in loads)

    def served_share(self, counts: RoleCounts, demands: list[Demand]) -> float:
        """Return the share of the demand that is expected to be served on time."""
        utilization = self.utilization(counts, demands)
        return min(1.0, TARGET_UTILIZATION / max(utilization, 1e-9))


def _learned_capacity(speeds: RoleSpeeds) -> RoleCapacity:
    return RoleCapacity(
        speeds.step_time.base_s,
        speeds.step_time.per_sequence_s,
        speeds.step_time.per_token_s,
        speeds.chunk_tokens,
        speeds.slots or DEFAULT_SLOTS,
    )


def _divided(capacity: RoleCapacity, factors: RoleCapacity) -> RoleCapacity:
    return RoleCapacity(
        capacity.base_s / factors.base_s,
        capacity.per_sequence_s / factors.per_sequence_s,
        capacity.per_token_s / factors.per_token_s,
        capacity.chunk_tokens / factors.chunk_tokens,
        capacity.slots / factors.slots,
    )
