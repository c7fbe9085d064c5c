"""Placement and the steps towards it, without processes."""

import unittest

from wisteriaarch.errors import PlacementError
from wisteriaarch.process.store import Instance
from wisteriaarch.version.head import Head, MarkKind, UpstreamMark
from wisteriaarch.version.manifest import GroupSpec, Manifest, ModelSpec
from wisteriaarch.version.orders import (
    EngineState,
    LoadedModel,
    Order,
    OrderAction,
    OrderRequest,
)
from wisteriaarch.version.placement import (
    PlaceableEngine,
    check_placeable,
    place_group,
)
from wisteriaarch.version.roles import Role
from wisteriaarch.version.rollout_plan import (
    CloseModels,
    GroupView,
    IssueOrder,
    RolloutPlanner,
)
from wisteriaarch.wire import Address

from .support import caller_spec, manifest_content

NAMES = ("e1", "e2", "e3")
V1, V2 = LoadedModel("v1"), LoadedModel("v2")
M = ("m",)


def group(per_engine=1):
    return GroupSpec(name="g", upstreams=NAMES, models_per_engine=per_engine)


def model(name="m", version="v2", replicas=2):
    return ModelSpec(name=name, version=version, replicas=replicas, group="g")


def engine(name, zone="z", inherits=(), **models):
    return PlaceableEngine(name, zone, models, frozenset(inherits))


class PlacementTest(unittest.TestCase):
    def place(self, models, engines, per_engine=1):
        return place_group(group(per_engine), models, engines)

    def test_replicas_spread_over_zones(self):
        engines = [engine("e1", "a"), engine("e2", "a"), engine("e3", "b")]
        self.assertEqual(self.place([model()], engines).upstreams("m"), ["e1", "e3"])

    def test_loaded_replicas_are_not_moved(self):
        engines = [engine("e1"), engine("e2", m=V1), engine("e3", m=V2)]
        self.assertEqual(self.place([model()], engines).upstreams("m"), ["e2", "e3"])

    def test_restarted_engine_gets_its_model_back_beside_another_model(self):
        engines = [engine("e1", other=V1), engine("e2", m=V2), engine("e3")]
        placement = self.place([model(), model("other", "v1", 1)], engines)
        self.assertEqual(placement.upstreams("m"), ["e2", "e3"])
        self.assertEqual(placement.upstreams("other"), ["e1"])

    def test_replacement_takes_the_place_of_the_replaced(self):
        engines = [engine("e1"), engine("e2", m=V2), engine("e3", inherits=["m"])]
        self.assertEqual(self.place([model()], engines).upstreams("m"), ["e2", "e3"])

    def test_loaded_models_move_if_a_replica_can_not_be_placed_otherwise(self):
        engines = [engine("e1", a=V2), engine("e2", a=V2), engine("e3", a=V2, c=V2)]
        placement = self.place([model("a"), model("b"), model("c")], engines, 2)
        self.assertEqual(placement.missing_replicas, {})

    def test_missing_places_are_counted(self):
        placement = self.place([model(replicas=4)], [engine("e1"), engine("e2")])
        self.assertEqual(placement.missing_replicas, {"m": 2})


class AcceptanceTest(unittest.TestCase):
    def check(self, replicas, **marks):
        content = manifest_content(
            NAMES,
            callers=[caller_spec(models=["m"])],
            groups=[{"name": "g", "upstreams": NAMES}],
            models=[model(replicas=replicas).model_dump()],
        )
        head = Head(marks={n: UpstreamMark(mark) for n, mark in marks.items()})
        address = Address("127.0.0.1", 1)
        listed = [Instance(name, "engine", "z", address) for name in NAMES]
        check_placeable(Manifest.model_validate(content), head, listed)

    def test_draining_upstream_counts_and_a_withdrawn_one_does_not(self):
        self.check(3, e1=MarkKind.DRAINING)
        with self.assertRaisesRegex(
            PlacementError, r"'models\.m\.replicas': got 3; expected at most 2"
        ):
            self.check(3, e1=MarkKind.WITHDRAWN)


class RolloutPlanTest(unittest.TestCase):
    """Two replicas of model ``m`` go from v1 to v2."""

    def steps(self, held, *, closed=(), released=False, unsettled=(), replicas=2):
        engines = [engine(name, **models) for name, models in held.items()]
        placement = place_group(group(), [model(replicas=replicas)], engines)
        load = OrderRequest(OrderAction.LOAD, model="m", version="v2")
        view = GroupView(
            instances={},
            placement=placement,
            eligible=frozenset(held),
            withdrawn=frozenset(),
            states={
                name: EngineState(1, Role.MIXED, models, False, 0, {})
                for name, models in held.items()
                if name not in unsettled
            },
            unsettled_orders={name: Order(1, 1, "g", 1, load) for name in unsettled},
            closures=closed if isinstance(closed, dict) else dict.fromkeys(closed, M),
            is_drained=lambda upstream, model: released,
            models_per_engine=1,
        )
        return RolloutPlanner(view).steps()

    def unload(self, name):
        return IssueOrder(name, OrderRequest(OrderAction.UNLOAD, model="m"))

    def load(self, name):
        return IssueOrder(name, OrderRequest(OrderAction.LOAD, "m", "v2"))

    def test_one_upstream_is_closed_at_a_time(self):
        held = {"e1": {"m": V1}, "e2": {"m": V1}}
        self.assertEqual(self.steps(held), [CloseModels("e1", ("m",))])
        self.assertEqual(self.steps(held, closed=["e1"]), [])

    def test_unload_waits_for_the_release_and_load_for_the_unload(self):
        held = {"e1": {"m": V1}, "e2": {"m": V1}}
        self.assertEqual(self.steps(held, closed=["e1"]), [])
        steps = self.steps(held, closed=["e1"], released=True)
        self.assertEqual(steps, [self.unload("e1")])
        held = {"e1": {"old": V1}, "e2": {"m": V2}}
        self.assertEqual(self.steps(held, closed={"e1": ("old",)}), [])
        steps = self.steps({"e1": {}, "e2": {"m": V1}}, closed=["e1"])
        self.assertEqual(steps, [self.load("e1")])

    def test_reopened_upstream_comes_before_the_next_closure(self):
        held = {"e1": {"m": V2}, "e2": {"m": V1}}
        steps = self.steps(held, closed=["e1"])
        self.assertEqual(steps, [CloseModels("e1", ())])
        self.assertEqual(self.steps(held), [CloseModels("e2", ("m",))])

    def test_spare_is_loaded_before_anything_is_closed(self):
        held = {"e1": {"m": V1}, "e2": {"m": V1}, "e3": {}}
        self.assertEqual(self.steps(held), [self.load("e3")])
        self.assertEqual(self.steps(held, unsettled=["e3"]), [])
        held["e3"] = {"m": V2}
        steps = self.steps(held)
        self.assertEqual([type(step) for step in steps], [CloseModels])

    def test_nothing_is_closed_while_a_replica_is_missing(self):
        held = {"e1": {"m": V1}, "e2": {"m": V1}, "e3": {}}
        for unsettled in ((), ("e2",)):
            steps = self.steps(held, unsettled=unsettled, replicas=3)
            self.assertEqual(steps, [self.load("e3")])

    def test_model_of_no_manifest_is_closed_then_unloaded(self):
        held = {"e1": {"old": V1}, "e2": {"m": V2}, "e3": {"m": V2}}
        self.assertEqual(self.steps(held), [CloseModels("e1", ("old",))])
