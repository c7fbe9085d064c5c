"""Role change policies: by expected goodput, and by a threshold on the token mix."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from ..process.demand import DemandMeter
from ..process.engine_speeds import SpeedEstimates
from .capacity import CapacityModel
from .manifest import PolicySpec
from .roles import EngineObservation, Role, RoleChange, RolePolicy, StaticRolePolicy

INITIAL_DOWNTIME_S = 3.0
DOWNTIME_WEIGHT = 0.3
# Durations as shares of the site's planning horizon.
DEMAND_DECAY_SHARE = 1 / 3
CONFIRMATION_SHARE = 1 / 8
DWELL_SHARE = 1 / 2
REPORT_AGE_MAX_S = 2.0
# Work of an output token relative to a prompt token.
OUTPUT_TOKEN_COST = 14.0
MIN_CONFIRMATIONS = 3
LOOKAHEAD_CHANGES = 3


@dataclass
class GoodputRolePolicy:
    """Changes a role if the goodput gained over the horizon exceeds the cost.

    The cost is the goodput lost while the engine is unavailable, plus the requests that
    one engine serves in that time, multiplied by the site's ``role_change_weight``.
    A change is decided on only after several consecutive evaluations agree, and after
    a dwell time since the last change. If only several changes together outweigh their
    cost, the first of them is made.
    """

    speeds: SpeedEstimates
    demand: DemandMeter
    entry_count: Callable[[], int]
    spec: Callable[[], PolicySpec]
    downtime_s: float = INITIAL_DOWNTIME_S
    _candidate: tuple[Role, Role] | None = None
    _candidate_since_s: float = 0.0
    _confirmations: int = 0
    _changed_at_s: float = float("-inf")
    _pending: RoleChange | None = None

    def decide(
        self, observations: list[EngineObservation], now: float
    ) -> RoleChange | None:
        """Return at most one change; called at every control interval."""
        horizon_s = self.spec().horizon_s
        self.demand.decay_s = horizon_s * DEMAND_DECAY_SHARE
        self._learn_downtime(observations, now)
        if now - self._changed_at_s < horizon_s * DWELL_SHARE:
            return None
        if any(item.report_age_s > REPORT_AGE_MAX_S for item in observations):
            return None
        best = self._best_move(observations, horizon_s)
        if not self._is_confirmed(best, now, horizon_s * CONFIRMATION_SHARE):
            return None
        return self._start_change(best, observations, now)

    def _learn_downtime(self, observations, now: float) -> None:
        """Update the downtime of a change once its engine reports the new role."""
        change = self._pending
        if change is None:
            return
        for item in observations:
            if item.name == change.upstream and item.role is change.role:
                downtime_s = now - self._changed_at_s
                self.downtime_s += DOWNTIME_WEIGHT * (downtime_s - self.downtime_s)
                self._pending = None

    def _best_move(self, observations, horizon_s: float) -> "Move | None":
        model = CapacityModel.from_speeds(self.speeds)
        demands = [
            item.scaled(max(1, self.entry_count()))
            for item in self.demand.demands().values()
            if item.requests_per_s
        ]
        if not model.capacities or not demands:
            return None
        counts = Counter(item.role for item in observations)
        served_now = model.served_share(counts, demands)
        if served_now >= 1.0:
            return None
        moves = [
            self._evaluate_move(
                model, counts, demands, served_now, (*move, changes), horizon_s
            )
            for move in _moves(observations)
            for changes in range(1, min(LOOKAHEAD_CHANGES, counts[move[0]]) + 1)
        ]
        best = max(moves, key=lambda move: move.gain - move.cost, default=None)
        return best if best is not None and best.gain > best.cost else None

    def _evaluate_move(
        self, model, counts, demands, served_now, move, horizon_s
    ) -> "Move":
        source, target, changes = move
        during = Counter(counts)
        during[source] -= 1
        after = Counter(counts)
        after[source] -= changes
        after[target] += changes
        rate = sum(item.requests_per_s for item in demands)
        downtime_s = self.downtime_s
        served_after = model.served_share(after, demands)
        served_during = model.served_share(during, demands)
        benefit_duration_s = max(0.0, horizon_s - changes * downtime_s)
        gain = (served_after - served_now) * rate * benefit_duration_s
        cost = (served_now - served_during) * rate
        cost += self.spec().role_change_weight * rate / counts.total()
        return Move(source, target, gain, cost * changes * downtime_s)

    def _is_confirmed(self, best, now: float, confirmation_s: float) -> bool:
        candidate = (best.source, best.target) if best else None
        if candidate != self._candidate:
            self._candidate, self._candidate_since_s = candidate, now
            self._confirmations = 0
        self._confirmations += 1
        return (
            candidate is not None
            and self._confirmations >= MIN_CONFIRMATIONS
            and now - self._candidate_since_s >= confirmation_s
        )

    def _start_change(self, best, observations, now: float) -> RoleChange | None:
        engine = _least_loaded(observations, best.source, best.target)
        if engine is None:
            return None
        self._changed_at_s = now
        self._candidate = None
        reason = f"gain of {best.gain:.1f} requests at a cost of {best.cost:.1f}"
        self._pending = RoleChange(engine.name, best.target, reason)
        return self._pending


@dataclass(frozen=True)
class Move:
    """Change from one role to another, with its gain and cost in requests."""

    source: Role
    target: Role
    gain: float
    cost: float


@dataclass
class ThresholdRolePolicy:
    """Keeps the share of prefill engines equal to the share of prompts in the work."""

    demand: DemandMeter
    decay_s: float = 1.0
    threshold_engines: float = 1.0

    def decide(
        self, observations: list[EngineObservation], now: float
    ) -> RoleChange | None:
        """Return a change if the number of prefill engines is off by the threshold."""
        self.demand.decay_s = self.decay_s
        target_engines = self._target_prefill_engines(len(observations))
        if target_engines is None:
            return None
        present = sum(item.role is Role.PREFILL for item in observations)
        if abs(target_engines - present) < self.threshold_engines:
            return None
        source, target = Role.DECODE, Role.PREFILL
        if target_engines < present:
            source, target = target, source
        engine = _least_loaded(observations, source, target)
        if engine is None:
            return None
        return RoleChange(
            engine.name, target, f"token mix needs {target_engines:.1f} prefill"
        )

    def _target_prefill_engines(self, engines: int) -> float | None:
        demands = self.demand.demands().values()
        prompt = sum(item.prompt_tokens_per_s for item in demands)
        output = sum(item.output_tokens_per_s for item in demands)
        work = prompt + output * OUTPUT_TOKEN_COST
        if work <= 0 or engines < 2:
            return None
        return min(engines - 1.0, max(1.0, engines * prompt / work))


def _moves(observations: list[EngineObservation]) -> list[tuple[Role, Role]]:
    """Return the moves that leave the minimum of engines in each role."""
    return [
        (source, target)
        for source in Role
        for target in Role
        if source is not target
        and _least_loaded(observations, source, target) is not None
    ]


def _least_loaded(
    observations: list[EngineObservation], source: Role, target: Role
) -> EngineObservation | None:
    """Return the least loaded engine of a role that may change; None if none may."""
    engines = [
        item
        for item in observations
        if item.role is source and _keeps_minimum_roles(observations, item, target)
    ]
    return min(
        engines, key=lambda item: (item.running + item.queued, item.name), default=None
    )


def _keeps_minimum_roles(observations, engine: EngineObservation, target: Role) -> bool:
    """Whether the fleet still prefills and decodes after the engine's change.

    The engine's zone must keep an engine that decodes, unless it has only one engine.
    """
    after = [target if item.name == engine.name else item.role for item in observations]
    if all(role is Role.PREFILL for role in after):
        return False
    if all(role is Role.DECODE for role in after):
        return False
    in_zone = [
        target if item.name == engine.name else item.role
        for item in observations
        if item.zone == engine.zone
    ]
    return len(in_zone) < 2 or any(role is not Role.PREFILL for role in in_zone)


def build_role_policy(
    policy: str,
    speeds: SpeedEstimates,
    demand: DemandMeter,
    entry_count: Callable[[], int],
    spec: Callable[[], PolicySpec],
) -> RolePolicy:
    """Return the role policy for a routing policy."""
    if policy == "predicted":
        return GoodputRolePolicy(speeds, demand, entry_count, spec)
    if policy == "reactive":
        return ThresholdRolePolicy(demand)
    return StaticRolePolicy()
