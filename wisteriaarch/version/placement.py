"""Placement: assignment of a group's models to its upstreams.

A placement keeps loaded models in place where it can, gives a replacement the models of
the upstream that it replaces, and spreads new replicas over availability zones.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..errors import PlacementError
from ..process.store import Instance
from .head import Head, MarkKind
from .manifest import GroupSpec, Manifest, ModelSpec
from .orders import LoadedModel

RANK_SAME_VERSION = 0
RANK_OTHER_VERSION = 1
RANK_REPLACEMENT = 2
RANK_MODEL_MISSING = 3


@dataclass(frozen=True)
class PlaceableEngine:
    """Upstream that models may be placed on.

    ``models`` has its models by the last report, ``inherited_models`` the names of its
    closed models and of the models of the upstreams that it replaces.
    """

    name: str
    zone: str
    models: dict[str, LoadedModel] = field(default_factory=dict)
    inherited_models: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Placement:
    """Models by upstream, and the number of unplaced replicas by model."""

    models: dict[str, dict[str, LoadedModel]]
    missing_replicas: dict[str, int]

    def upstreams(self, model: str) -> list[str]:
        """Return the upstreams that a model is placed on."""
        return sorted(name for name, models in self.models.items() if model in models)


def eligible_instances(
    group: GroupSpec, head: Head, instances: Iterable[Instance]
) -> list[Instance]:
    """Return the listed engines of a group without marked or leaving ones."""
    names = head.with_replacements(group.upstreams)
    return [
        item
        for item in _listed_engines(names, instances)
        if item.instance_id not in head.marks and not item.leaving
    ]


def _listed_engines(names: list[str], instances: Iterable[Instance]) -> list[Instance]:
    listed = {item.instance_id: item for item in instances if item.kind == "engine"}
    return [listed[name] for name in names if name in listed]


def check_placeable(
    manifest: Manifest, head: Head, instances: Sequence[Instance]
) -> None:
    """Raise PlacementError if a replica of any model can't be placed.

    Listed upstreams count unless they are shutting down or withdrawn. A draining one
    counts, since it returns to service or is replaced.
    """
    for group in manifest.groups:
        engines = [
            PlaceableEngine(item.instance_id, item.zone)
            for item in _listed_engines(
                head.with_replacements(group.upstreams), instances
            )
            if not item.leaving and not _is_withdrawn(head, item.instance_id)
        ]
        placement = place_group(group, manifest.models, engines)
        for model in manifest.models:
            if model.name in placement.missing_replicas and model.group == group.name:
                raise _placement_error(model, group, placement, len(engines))


def _is_withdrawn(head: Head, upstream: str) -> bool:
    mark = head.marks.get(upstream)
    return mark is not None and mark.mark is MarkKind.WITHDRAWN


def _placement_error(
    model: ModelSpec, group: GroupSpec, placement: Placement, engines: int
) -> PlacementError:
    placed = model.replicas - placement.missing_replicas[model.name]
    return PlacementError(
        f"field 'models.{model.name}.replicas': got {model.replicas}; expected at most "
        f"{placed}: {engines} upstreams of group {group.name!r} are in service, with "
        f"room for {group.models_per_engine} models each"
    )


def place_group(
    group: GroupSpec, models: Iterable[ModelSpec], engines: Sequence[PlaceableEngine]
) -> Placement:
    """Place the group's models, moving as few as possible.

    If replicas stay unplaced, loaded models are ignored where that places more.
    """
    group_models = sorted(
        (model for model in models if model.group == group.name),
        key=lambda model: (-model.replicas, model.name),
    )
    placement = _place_replicas(
        group_models, engines, group.models_per_engine, prefer_loaded=True
    )
    if placement.missing_replicas:
        packed = _place_replicas(
            group_models, engines, group.models_per_engine, prefer_loaded=False
        )
        if sum(packed.missing_replicas.values()) < sum(
            placement.missing_replicas.values()
        ):
            return packed
    return placement


def _place_replicas(
    models: list[ModelSpec],
    engines: Sequence[PlaceableEngine],
    models_per_engine: int,
    *,
    prefer_loaded: bool,
) -> Placement:
    placed: dict[str, dict[str, LoadedModel]] = defaultdict(dict)
    missing: dict[str, int] = {}
    for model in models:
        zones: Counter[str] = Counter()
        for replica in range(model.replicas):
            engine = _best_engine(
                model, engines, placed, zones, models_per_engine, prefer_loaded
            )
            if engine is None:
                missing[model.name] = model.replicas - replica
                break
            placed[engine.name][model.name] = target_model(model)
            zones[engine.zone] += 1
    return Placement(dict(placed), missing)


def _best_engine(
    model: ModelSpec,
    engines: Sequence[PlaceableEngine],
    placed: dict[str, dict[str, LoadedModel]],
    zones: Counter[str],
    models_per_engine: int,
    prefer_loaded: bool,
) -> PlaceableEngine | None:
    def cost(engine: PlaceableEngine) -> tuple:
        load = len(placed[engine.name])
        if not prefer_loaded:
            return load, zones[engine.zone], engine.name
        rank = _engine_rank(engine, model)
        displaces = rank >= RANK_REPLACEMENT and len(engine.models) >= models_per_engine
        return rank, displaces, zones[engine.zone], load, engine.name

    candidates = [
        engine
        for engine in engines
        if model.name not in placed[engine.name]
        and len(placed[engine.name]) < models_per_engine
    ]
    return min(candidates, key=cost, default=None)


def target_model(model: ModelSpec) -> LoadedModel:
    """Return the loaded model of an engine that serves the model as specified."""
    return LoadedModel(model.version, model.adapters)


def _engine_rank(engine: PlaceableEngine, model: ModelSpec) -> int:
    loaded = engine.models.get(model.name)
    if loaded == target_model(model):
        return RANK_SAME_VERSION
    if loaded is not None:
        return RANK_OTHER_VERSION
    if model.name in engine.inherited_models:
        return RANK_REPLACEMENT
    return RANK_MODEL_MISSING
