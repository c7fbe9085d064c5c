"""Next steps that bring the engines of a group closer to their placement.

The plan is computed from the observed state at each control interval, so that a new
lease holder continues from any state that the previous holder left.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..process.store import Instance
from .head import ALL_MODELS
from .orders import EngineState, LoadedModel, Order, OrderAction, OrderRequest
from .placement import Placement
from .roles import Role

LOADS_IN_FLIGHT_MAX = 4


@dataclass(frozen=True)
class CloseModels:
    """Remove models of an upstream from routing; without models, reopen it."""

    upstream: str
    models: tuple[str, ...]


@dataclass(frozen=True)
class IssueOrder:
    """Issue an order to an upstream."""

    upstream: str
    request: OrderRequest


RolloutStep = CloseModels | IssueOrder


@dataclass(frozen=True)
class GroupView:
    """Snapshot of a group as observed by its lease holder.

    ``states`` has the reachable engines whose orders are settled; unsettled orders are
    listed by upstream. A model (or ALL_MODELS) on an upstream is drained once it is
    closed at every entry and has no streams left. ``pending_roles`` has the target
    roles of role changes under way.
    """

    instances: dict[str, Instance]
    placement: Placement
    eligible: frozenset[str]
    withdrawn: frozenset[str]
    states: dict[str, EngineState]
    unsettled_orders: dict[str, Order]
    closures: dict[str, tuple[str, ...]]
    is_drained: Callable[[str, str], bool]
    models_per_engine: int
    revision: int = 0
    generation: int = 0
    pending_roles: dict[str, Role] = field(default_factory=dict)

    def target_models(self, upstream: str) -> dict[str, LoadedModel]:
        """Return the models that are placed on an upstream."""
        return self.placement.models.get(upstream, {})

    def is_closed(self, upstream: str, model: str) -> bool:
        """Whether a model gets no new requests on an upstream."""
        closed = self.closures.get(upstream, ())
        return model in closed or ALL_MODELS in closed

    def is_stable(self) -> bool:
        """Whether every engine is reachable and no change is under way."""
        under_way = self.unsettled_orders or self.closures or self.pending_roles
        return not under_way and self.states.keys() == self.instances.keys()

    def serving_upstreams(self, model: str) -> list[str]:
        """Return the upstreams that a model's requests can be routed to."""
        return [
            name
            for name, state in self.states.items()
            if name in self.eligible
            and model in state.models
            and not self.is_closed(name, model)
        ]


class RolloutPlanner:
    """Plans the next steps, at most one for each upstream."""

    def __init__(self, view: GroupView):
        self._view = view
        self._loads_in_flight = sum(
            order.request.action is OrderAction.LOAD
            for order in view.unsettled_orders.values()
        )
        self._changing_models = {
            order.request.model for order in view.unsettled_orders.values()
        }

    def steps(self) -> list[RolloutStep]:
        """Return the steps to execute now."""
        steps: dict[str, RolloutStep] = {}
        for upstream in sorted(self._view.states):
            if upstream in self._view.eligible or upstream in self._view.withdrawn:
                step = self._next_step(upstream)
                if step is not None:
                    steps.setdefault(step.upstream, step)
        return list(steps.values())

    def _next_step(self, upstream: str) -> RolloutStep | None:
        role = self._view.pending_roles.get(upstream)
        if role not in (None, self._view.states[upstream].role):
            return self._change_role(upstream, role)
        return (
            self._unload_unwanted(upstream)
            or self._reopen(upstream)
            or self._load_missing(upstream)
        )

    def _change_role(self, upstream: str, role: Role) -> RolloutStep | None:
        if ALL_MODELS not in self._view.closures.get(upstream, ()):
            return CloseModels(upstream, (ALL_MODELS,))
        if not self._view.is_drained(upstream, ALL_MODELS):
            return None
        return IssueOrder(upstream, OrderRequest(OrderAction.ROLE, role=role.value))

    def _unwanted(self, upstream: str) -> list[str]:
        target = self._view.target_models(upstream)
        loaded = self._view.states[upstream].models
        return sorted(name for name in loaded if target.get(name) != loaded[name])

    def _unload_unwanted(self, upstream: str) -> RolloutStep | None:
        """Unload a model that isn't placed on the upstream, or close it first."""
        for model in self._unwanted(upstream):
            if not self._view.is_closed(upstream, model):
                step = self._close_or_load_elsewhere(upstream, model)
                if step is not None:
                    return step
            elif self._view.is_drained(upstream, model):
                request = OrderRequest(OrderAction.UNLOAD, model=model)
                return IssueOrder(upstream, request)
        return None

    def _close_or_load_elsewhere(self, upstream: str, model: str) -> RolloutStep | None:
        if not self._may_unload(upstream, model):
            return self._load_where_room(model)
        self._changing_models.add(model)
        closed = self._view.closures.get(upstream, ())
        return CloseModels(upstream, (*closed, model))

    def _may_unload(self, upstream: str, model: str) -> bool:
        """Whether the model keeps its replicas without this upstream."""
        placed = self._view.placement.upstreams(model)
        serving = self._view.serving_upstreams(model)
        if not placed or upstream not in serving:
            return True
        if model in self._changing_models or len(serving) < len(placed):
            return False
        return (
            len(serving) > len(placed) or self._find_upstream_with_room(model) is None
        )

    def _find_upstream_with_room(self, model: str) -> str | None:
        """Return an upstream with room for the model beside its placed models."""
        for name, state in sorted(self._view.states.items()):
            if name not in self._view.eligible or model in state.models:
                continue
            models = state.models.keys() | self._view.target_models(name).keys()
            if (
                len(models) < self._view.models_per_engine
                and name not in self._view.pending_roles
            ):
                return name
        return None

    def _load_where_room(self, model: str) -> RolloutStep | None:
        """Load the placed version where there is room, before the old is unloaded."""
        placed = self._view.placement.upstreams(model)
        upstream = self._find_upstream_with_room(model)
        complete = len(self._view.serving_upstreams(model)) == len(placed)
        if upstream is None or model in self._changing_models or not complete:
            return None
        return self._load(upstream, model, self._view.target_models(placed[0])[model])

    def _reopen(self, upstream: str) -> RolloutStep | None:
        """Reopen models that no longer need a closure."""
        closed = self._view.closures.get(upstream, ())
        target = self._view.target_models(upstream)
        loaded = self._view.states[upstream].models
        unwanted = self._unwanted(upstream)
        kept = tuple(
            model
            for model in closed
            if model in unwanted or (model in target and model not in loaded)
        )
        return CloseModels(upstream, kept) if kept != closed else None

    def _load_missing(self, upstream: str) -> RolloutStep | None:
        loaded = self._view.states[upstream].models
        if len(loaded) >= self._view.models_per_engine:
            return None
        for model, target in sorted(self._view.target_models(upstream).items()):
            if model not in loaded:
                return self._load(upstream, model, target)
        return None

    def _load(
        self, upstream: str, model: str, target: LoadedModel
    ) -> RolloutStep | None:
        if self._loads_in_flight >= LOADS_IN_FLIGHT_MAX:
            return None
        self._loads_in_flight += 1
        self._changing_models.add(model)
        request = OrderRequest(
            OrderAction.LOAD,
            model=model,
            version=target.version,
            adapters=target.adapters,
        )
        return IssueOrder(upstream, request)
