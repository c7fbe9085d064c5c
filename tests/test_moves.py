"""Upstreams that move between groups: no order of the former group gets past."""

import time
import unittest
from unittest import mock

import curio

from extras.cluster import wait_until
from wisteriaarch.errors import UpstreamReassigned, WriteConflict
from wisteriaarch.event_log import EventLog
from wisteriaarch.process.lease import Lease
from wisteriaarch.process.lease_record import Contender
from wisteriaarch.process.settings_models import LeaseSettings
from wisteriaarch.steps import Step
from wisteriaarch.version.order_window import SEND_DELAY_MAX_S
from wisteriaarch.version.orders import OrderAction, OrderRequest, OrderStore

from .control_support import GROUP, ControlTestCase, control_manifest
from .lease_support import FakeTable
from .support import MODEL, caller_spec

OTHER = "medellin"
OTHER_MODEL = "citation-small"
FORMER_EPOCH = 7
MOVING = "engine-1"


def two_groups(first, second, version="v1", *, checks=False):
    """Return a manifest with a model on all engines of each of two groups."""
    manifest = control_manifest(version, first, checks=checks)
    group, model = manifest["groups"][0], manifest["models"][0]
    names = {"name": OTHER, "upstreams": list(second)}
    manifest["groups"].append({**group, **names})
    more = {"name": OTHER_MODEL, "version": "w1", "group": OTHER}
    manifest["models"].append({**model, **more, "replicas": len(second)})
    manifest["callers"] = [caller_spec(models=[MODEL, OTHER_MODEL])]
    return manifest


class MoveTest(ControlTestCase):
    """The former group's epoch is higher than that of the group moved to."""

    def start_groups(self, *, checks=False):
        value = {"epoch": FORMER_EPOCH, "entry_id": "gone", "incarnation": "0"}
        row = {"table": "epochs", "key": GROUP, "value": value, "expected_version": 0}
        write = {"write_id": "past", "puts": [row], "checks": []}
        self.cluster.platform.request("POST", "/transact", write)
        for name in (MOVING, "engine-2", "engine-3"):
            self.start_engine(name, checks=checks)
        for name in ("entry-1", "entry-2"):
            self.start_entry(name)
        names = ((MOVING, "engine-2"), ("engine-3",))
        self.apply(two_groups(*names, checks=checks))
        self.wait_for_models(MOVING, {MODEL: "v1"})
        self.wait_for_models("engine-2", {MODEL: "v1"})
        # An order to engine-3 that is still under way would be held in the place of
        # one to the engine that moves.
        self.wait_for_models("engine-3", {OTHER_MODEL: "w1"})

    def wait_for_models(self, name, models):
        wait_until(lambda: self.engine_state(name)["models"] == models, 40.0)

    def move(self, *, checks=False):
        names = (("engine-2",), (MOVING, "engine-3"))
        self.apply(two_groups(*names, "v2", checks=checks))

    def holds(self, model):
        state = self.engine_state(MOVING)
        return model in state["models"] and not state["changing"]

    def groups_of_orders(self):
        return [order["group"] for order in self.journal(MOVING)["orders"]]

    def test_checking_engine_takes_the_orders_of_its_new_group(self):
        self.start_groups(checks=True)
        self.move(checks=True)
        self.wait_for_models(MOVING, {OTHER_MODEL: "w1"})
        self.assert_orders_sound(MOVING)
        epochs = [order["epoch"] for order in self.journal(MOVING)["orders"]]
        self.assertEqual(epochs, [FORMER_EPOCH + 1] + 2 * [FORMER_EPOCH + 2])

    def test_order_of_the_former_group_is_waited_for_or_never_sent(self):
        for held_s in (SEND_DELAY_MAX_S - 0.8, 30.0):
            with self.subTest(held_s=held_s):
                self.doCleanups()
                self.setUp()
                self._move_while_an_order_is_held(held_s)

    def _move_while_an_order_is_held(self, held_s):
        """Hold an order after its record until the other group's are carried out."""
        recorded = []

        def hold(_pid):
            recorded.append(time.monotonic())
            until_s = recorded[0] + held_s
            while time.monotonic() < until_s and not self.holds(OTHER_MODEL):
                time.sleep(0.05)

        self.start_groups()
        self.controller.arm(Step.ORDER_RECORDED, hold)
        names = ((MOVING, "engine-2"), ("engine-3",))
        self.apply(two_groups(*names, "v2"))
        wait_until(lambda: recorded)
        self.move()
        self.wait_for_models(MOVING, {OTHER_MODEL: "w1"})
        self.assert_orders_sound(MOVING)
        sent = self.groups_of_orders().count(GROUP)
        self.assertEqual(sent, 2 if held_s < SEND_DELAY_MAX_S else 1)


class OwnershipTest(unittest.TestCase):
    """Which group may record an order, by the generation that it follows."""

    def setUp(self):
        self.enterContext(mock.patch.object(EventLog, "write"))
        table = FakeTable()
        clock = mock.patch("wisteriaarch.process.lease.now_s", lambda: table.now_s)
        self.enterContext(clock)
        self.first, self.second = (self.book(table, name) for name in "ab")

    def book(self, table, group):
        contender, log = Contender(group, "1"), EventLog(group)
        lease = Lease(group, contender, table, LeaseSettings(), list, log)
        curio.run(lease.acquire_or_renew)
        return OrderStore(group, table, lease)

    def own(self, book, generation):
        return curio.run(book.take_over, "e1", generation)

    def record(self, book, generation):
        request = OrderRequest(OrderAction.UNLOAD, "m")
        return curio.run(book.record, "e1", 1, request, generation)

    def test_newer_generation_decides(self):
        self.assertFalse(self.own(self.first, 5))
        self.record(self.first, 5)
        curio.run(self.first.last_record, "e1")
        with self.assertRaises(UpstreamReassigned):
            self.own(self.second, 5)
        self.second.clear_cache()
        curio.run(self.second.lease.raise_epoch, 1)
        curio.run(self.second.lease.acquire_or_renew)
        self.assertTrue(self.own(self.second, 6))
        taken = curio.run(self.second.last_record, "e1").order
        self.assertEqual((taken.number, taken.epoch, taken.former_group), (1, 2, "a"))
        with self.assertRaises(WriteConflict):
            self.record(self.first, 5)
        with self.assertRaises(UpstreamReassigned):
            self.own(self.first, 5)
