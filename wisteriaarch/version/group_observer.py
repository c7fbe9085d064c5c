"""Observation of a group by its lease holder: placement, engine states, closures."""

from collections.abc import Callable
from dataclasses import dataclass

from ..event_log import EventLog
from ..events import Event
from ..process.fleet import Fleet
from ..process.load_reports import LoadReport
from ..process.store import Instance
from .closures import Closures
from .engine_monitor import EngineMonitor
from .head import Head, MarkKind
from .manifest import GroupSpec
from .orders import EngineState
from .placement import (
    PlaceableEngine,
    Placement,
    eligible_instances,
    place_group,
)
from .publication import ActiveManifest
from .roles import Role
from .rollout_plan import GroupView


@dataclass
class GroupObserver:
    """Polls the engines of one group and places its models on them.

    ``last_load_report`` returns the last load report of an engine. Load reports arrive
    more often than engines are polled.
    """

    group: str
    fleet: Fleet
    monitor: EngineMonitor
    closures: Closures
    last_load_report: Callable[[str], LoadReport | None]
    log: EventLog
    _placement: Placement | None = None

    def reset(self) -> None:
        """Discard the state of the previous lease term."""
        self._placement = None

    async def observe(
        self, spec: GroupSpec, active: ActiveManifest, roles: dict[str, Role]
    ) -> GroupView:
        """Poll the group and return its view; ``roles`` has the changes under way."""
        self.closures.observe(active.head)
        instances = self.listed_engines(spec, active.head)
        await self.monitor.poll(
            instances.values(), spec.order_read_timeout_s, active.head.generation
        )
        return self._build_view(spec, active, instances, roles)

    def has_changed(self, spec: GroupSpec, head: Head, view: GroupView) -> bool:
        """Whether anything known without polling the engines differs from ``view``."""
        if head.generation != view.generation:
            return True
        if self.listed_engines(spec, head) != view.instances:
            return True
        return any(
            self._report_differs(name, state) for name, state in view.states.items()
        )

    def _report_differs(self, upstream: str, state: EngineState) -> bool:
        report = self.last_load_report(upstream)
        if report is None:
            return False
        versions = {name: loaded.version for name, loaded in state.models.items()}
        reported = (report.incarnation, report.role, report.models)
        return reported != (state.incarnation, state.role.value, versions)

    def listed_engines(self, spec: GroupSpec, head: Head) -> dict[str, Instance]:
        """Return the group's engines that are in the instance list, by name."""
        listed = [
            self.fleet.get(name) for name in head.with_replacements(spec.upstreams)
        ]
        return {
            item.instance_id: item
            for item in listed
            if item is not None and item.kind == "engine"
        }

    def _build_view(
        self,
        spec: GroupSpec,
        active: ActiveManifest,
        instances: dict[str, Instance],
        roles: dict[str, Role],
    ) -> GroupView:
        head = active.head
        eligible = [
            item
            for item in eligible_instances(spec, head, instances.values())
            if not self.monitor.is_failed(item.instance_id)
        ]
        placement = self._place_models(spec, active, eligible)
        withdrawn = {
            name for name, mark in head.marks.items() if mark.mark is MarkKind.WITHDRAWN
        }
        return GroupView(
            instances=instances,
            placement=placement,
            eligible=frozenset(item.instance_id for item in eligible),
            withdrawn=frozenset(withdrawn),
            states={
                name: state
                for name, state in self.monitor.settled_states().items()
                if name in instances
            },
            unsettled_orders=dict(self.monitor.unsettled_orders),
            closures={
                name: models
                for name, models in head.closures.items()
                if name in instances
            },
            is_drained=self._is_drained,
            models_per_engine=spec.models_per_engine,
            revision=head.revision,
            generation=head.generation,
            pending_roles=roles,
        )

    def _is_drained(self, upstream: str, model: str) -> bool:
        since_s = self.closures.in_force_since_s(upstream)
        if since_s is None:
            return False
        return self.monitor.is_idle(upstream, model, since_s)

    def _place_models(
        self, spec: GroupSpec, active: ActiveManifest, eligible: list[Instance]
    ) -> Placement:
        engines = [self._placeable_engine(item, active.head) for item in eligible]
        placement = place_group(spec, active.manifest.models, engines)
        if placement != self._placement:
            self._placement = placement
            self._log_placement(placement, engines)
        return placement

    def _placeable_engine(self, instance: Instance, head: Head) -> PlaceableEngine:
        name = instance.instance_id
        inherited_models = set(head.closures.get(name, ()))
        for marked, mark in head.marks.items():
            if mark.replacement == name:
                inherited_models.update(self.monitor.last_reported_models(marked))
        return PlaceableEngine(
            name,
            instance.zone,
            self.monitor.last_reported_models(name),
            frozenset(inherited_models),
        )

    def _log_placement(
        self, placement: Placement, engines: list[PlaceableEngine]
    ) -> None:
        self.log.write(
            Event.PLACEMENT_DECIDED,
            group=self.group,
            models={
                name: {model: target.version for model, target in models.items()}
                for name, models in placement.models.items()
            },
            weighed={
                engine.name: {
                    "zone": engine.zone,
                    "holds": {
                        model: loaded.version for model, loaded in engine.models.items()
                    },
                    "inherits": sorted(engine.inherited_models),
                }
                for engine in engines
            },
        )
        if placement.missing_replicas:
            self.log.write(
                Event.PLACEMENT_INCOMPLETE,
                group=self.group,
                missing=placement.missing_replicas,
            )
