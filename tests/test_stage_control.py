"""Orders that change stages: the lease, the fencing token and unanswered orders."""

import unittest
from dataclasses import replace
from unittest import mock

import curio

from wisteriaarch.errors import (
    LeaseLost,
    OrderError,
    OrderFenced,
    OrderRefused,
    OrderUnconfirmed,
    StoreUnavailable,
)
from wisteriaarch.process.lease import Lease
from wisteriaarch.process.lease_record import Contender
from wisteriaarch.process.settings_models import LeaseSettings
from wisteriaarch.process.stage_changes import StageChanges
from wisteriaarch.process.upstreams import Stage
from wisteriaarch.version.stage_controller import (
    DECISION_INTERVAL_S,
    ORDER_ATTEMPTS_MAX,
    REFUSED_BACKOFF_S,
    UNCONFIRMED_BACKOFF_S,
    StageController,
    StageView,
)
from wisteriaarch.version.stage_loads import PrefillDemand
from wisteriaarch.version.stage_orders import EngineReport

from .lease_support import FakeTable
from .test_stage_decisions import engines

TERM_S = 3.0
SETTINGS = LeaseSettings(term_s=TERM_S, renew_every_s=0.75, drift_margin_s=0.3)
SHORT = PrefillDemand(prefill_engines=4.0, decode_engines=0.5)
CALM = PrefillDemand(prefill_engines=0.3, decode_engines=0.5)


class FakeOrders:
    """Engines that report and take orders; ``failure`` is raised by the next ones."""

    def __init__(self, clock):
        self.clock = clock
        self.given = []
        self.failure = None
        self.busy = False

    async def report(self, upstream):
        return EngineReport(upstream.stage, self.busy, 4)

    async def deliver(self, order, lease):
        lease.require_remaining(0.0)
        self.given.append((self.clock(), order))
        if self.failure is not None:
            raise self.failure


class Entry:
    """Control of one entry on the clock of the table."""

    def __init__(self, table, name, names, orders, incarnation="1", is_first=None):
        self.table = table
        self.log = mock.Mock()
        self.lease = Lease(
            "llm",
            Contender(name, incarnation),
            table,
            SETTINGS,
            lambda: names,
            self.log,
            is_first,
        )
        self.changes = StageChanges(lambda: table.now_s)
        self.engines = engines(1, 8)
        self.demand = SHORT
        self.orders = orders
        self.schedules = True
        self.control = StageController(
            "llm",
            name,
            self.lease,
            self.view,
            orders,
            self.changes,
            lambda: self.schedules,
            self.log,
        )

    def view(self):
        engines = (
            replace(item, stage=self.changes.target(item.upstream) or item.stage)
            for item in self.engines
        )
        return StageView(tuple(engines), self.demand)

    def events(self):
        return [call.args[0].name for call in self.log.write.call_args_list]


class StageControlTest(unittest.TestCase):
    def setUp(self):
        self.table = FakeTable()
        for module in ("process.lease", "version.stage_controller"):
            clock = mock.patch(f"wisteriaarch.{module}.now_s", lambda: self.table.now_s)
            self.enterContext(clock)
        self.orders = FakeOrders(lambda: self.table.now_s)
        self.names = ["entry-1", "entry-2"]
        entries = [
            Entry(self.table, name, self.names, self.orders) for name in self.names
        ]
        self.first, self.second = sorted(entries, key=lambda item: item.lease.rank)

    def play(self, seconds, *entries):
        """Run the controllers for some time; returns the orders issued meanwhile."""
        before = len(self.orders.given)

        async def steps():
            for entry in entries:
                await entry.control.step()

        for _ in range(round(seconds / DECISION_INTERVAL_S)):
            self.table.now_s += DECISION_INTERVAL_S
            curio.run(steps)
        return self.orders.given[before:]

    def test_nothing_is_written_at_low_load(self):
        self.first.demand = CALM
        self.play(30.0, self.first)
        self.assertEqual(self.table.rows, {})

    def test_order_names_the_token_and_the_last_order(self):
        order = self.play(1.2, self.first)[0][1]
        self.assertEqual((order.epoch, order.preceding_order), (1, 4))
        self.assertEqual(order.holder, self.first.control._holder)
        self.assertIs(self.first.changes.target(order.upstream), Stage.PREFILL)

    def test_entry_that_schedules_nothing_gives_no_order(self):
        """An entry that knows a part of the load would decide by that part."""
        self.first.schedules = False
        self.assertEqual(self.play(6.0, self.first), [])
        self.assertEqual(self.table.rows, {})

    def test_scheduler_orders_at_once_among_hundreds_of_entries(self):
        """The mix shifts at 195 entries; the scheduler has a low contender rank."""
        names = [f"entry-{number}" for number in range(195)]
        last = max(
            names,
            key=lambda name: Entry(self.table, name, names, self.orders).lease.rank,
        )
        entry = Entry(self.table, last, names, self.orders)
        self.assertEqual(self.play(6.0, entry), [])
        entry = Entry(self.table, last, names, self.orders, is_first=lambda: True)
        swing_at_s = self.table.now_s
        given = self.play(2.0, entry)
        self.assertTrue(given)
        self.assertLess(given[0][0] - swing_at_s, 1.5)

    def test_entry_that_no_longer_schedules_releases_its_lease(self):
        self.play(1.2, self.first)
        self.first.schedules = False
        self.play(2 * TERM_S, self.first)
        self.assertFalse(self.first.lease.is_held())

    def test_entry_that_is_not_first_leaves_the_lease_to_the_first(self):
        self.assertTrue(self.play(4.0, self.first, self.second))
        self.assertFalse(self.second.lease.is_held())

    def test_entry_that_is_not_first_acts_where_the_first_does_not(self):
        self.assertTrue(self.play(4.0, self.second))

    def test_lease_is_released_a_term_after_the_last_order(self):
        self.play(1.2, self.first)
        self.first.demand = CALM
        self.play(TERM_S - 0.6, self.first)
        self.assertTrue(self.first.lease.is_held())
        self.play(3.0, self.first)
        self.assertIn("LEASE_RELEASED", self.first.events())

    def test_successor_after_a_release_has_a_higher_fencing_token(self):
        self.play(1.2, self.first)
        self.first.demand = CALM
        self.play(6.0, self.first)
        order = self.play(3.0, self.second)[0][1]
        self.assertEqual(order.epoch, 2)

    def test_successor_of_a_killed_holder_waits_for_a_term(self):
        last_at_s = self.play(2.0, self.first, self.second)[-1][0]
        first_at_s, order = self.play(12.0, self.second)[0]
        self.assertGreater(first_at_s - last_at_s, TERM_S)
        self.assertEqual(order.epoch, 2)

    def test_lease_of_a_killed_holder_has_lapsed_when_the_next_swing_comes(self):
        """The lease holder is killed between two shifts of the mix."""
        self.play(1.2, self.first)
        self.names.remove(self.first.control._holder)
        self.second.demand = CALM
        self.play(2.5 * TERM_S, self.second)
        swing_at_s = self.table.now_s
        self.second.demand = SHORT
        given = self.play(3.0, self.second)
        self.assertTrue(given)
        self.assertLess(given[0][0] - swing_at_s, 1.5)

    def test_restarted_holder_need_not_wait_for_its_former_lease_at_a_swing(self):
        self.play(1.2, self.first)
        name = self.first.control._holder
        again = Entry(self.table, name, self.names, self.orders, incarnation="2")
        again.demand = CALM
        self.play(1.5 * TERM_S, again)
        swing_at_s = self.table.now_s
        again.demand = SHORT
        given = self.play(3.0, again)
        self.assertTrue(given)
        self.assertLess(given[0][0] - swing_at_s, 1.5)

    def test_lease_is_read_in_the_calm_only_where_entries_come_or_go(self):
        read = mock.AsyncMock(side_effect=self.table.read)
        self.table.read = read
        self.second.demand = CALM
        self.play(20.0, self.second)
        self.assertEqual(read.await_count, 1)
        self.names.append("entry-3")
        self.play(20.0, self.second)
        self.assertEqual(read.await_count, 2)

    def test_lease_that_cannot_be_read_is_tried_again_after_a_term(self):
        read = mock.AsyncMock(side_effect=StoreUnavailable("away"))
        self.table.read = read
        self.second.demand = CALM
        self.play(2.5 * TERM_S, self.second)
        self.assertEqual(read.await_count, 3)
        self.assertIn("LEASE_READ_FAILED", self.second.events())

    def test_holder_that_was_frozen_gives_no_order_with_its_former_token(self):
        self.play(1.2, self.first)
        self.play(12.0, self.second)
        given = self.play(4.0, self.first)
        self.assertTrue(all(order.epoch > 2 for _at_s, order in given))

    def test_refused_token_is_used_no_more(self):
        """An engine has received an order with a higher fencing token."""
        self.orders.failure = OrderFenced("a higher token was seen")
        (_at_s, first), *later = self.play(9.0, self.first)
        self.assertTrue(later)
        for _at_s, order in later:
            self.assertGreater(order.epoch, first.epoch)

    def test_refused_token_is_used_no_more_while_the_store_is_away(self):
        self.orders.failure = OrderFenced("a higher token was seen")
        write = self.table.write

        async def fail(transaction):
            if self.orders.given:
                raise StoreUnavailable("away")
            await write(transaction)

        self.table.write = fail
        given = self.play(9.0, self.first)
        self.assertEqual(len(given), 1)

    def test_unanswered_order_is_sent_again_as_it_was(self):
        """Engines don't answer orders, and execute them late."""
        self.orders.failure = OrderUnconfirmed("no answer")
        given = [order for _at_s, order in self.play(0.7, self.first)]
        self.assertEqual(given, [given[0]] * ORDER_ATTEMPTS_MAX)

    def test_unanswered_order_that_was_accepted_is_not_sent_again(self):
        async def deliver(order, _lease):
            self.orders.given.append((self.table.now_s, order))
            self.orders.busy = True
            raise OrderUnconfirmed("no answer")

        self.orders.deliver = deliver
        self.assertEqual(len(self.play(0.9, self.first)), 1)
        self.assertIn("ORDER_ACCEPTED", self.first.events())

    def test_engine_of_an_unanswered_order_gets_no_other_until_it_is_settled(self):
        self.orders.failure = OrderUnconfirmed("no answer")
        first = self.play(1.2, self.first)[0][1]
        later = self.play(UNCONFIRMED_BACKOFF_S - 1.0, self.first)
        self.assertNotIn(first.upstream, [order.upstream for _at_s, order in later])
        self.assertIsNone(self.first.changes.target(first.upstream))
        self.assertIn("ORDER_UNCONFIRMED", self.first.events())

    def test_unanswered_order_is_settled_also_where_the_lease_is_lost_meanwhile(self):
        async def deliver(order, lease):
            lease.require_remaining(0.0)
            self.orders.given.append((self.table.now_s, order))
            if len(self.orders.given) == 1:
                self.table.now_s += 2 * TERM_S
                raise OrderUnconfirmed("no answer")

        self.orders.deliver = deliver
        self.first.engines = engines(1, 4)
        (_at_s, first), *later = self.play(UNCONFIRMED_BACKOFF_S - 1.0, self.first)
        self.assertNotIn(first.upstream, [order.upstream for _at_s, order in later])

    def test_unanswered_order_is_settled_also_where_its_repeat_is_refused(self):
        async def deliver(order, _lease):
            self.orders.given.append((self.table.now_s, order))
            if len(self.orders.given) == 1:
                raise OrderUnconfirmed("no answer")
            raise OrderRefused("409")

        self.orders.deliver = deliver
        self.first.engines = engines(1, 4)
        first, repeat, *later = self.play(UNCONFIRMED_BACKOFF_S - 1.0, self.first)
        self.assertEqual(first[1], repeat[1])
        self.assertNotIn(first[1].upstream, [order.upstream for _at_s, order in later])

    def test_two_processes_of_one_entry_never_alternate_orders(self):
        """A paused entry is started again under its id elsewhere, and then resumes."""
        name = self.first.lease._contender.entry_id
        twin_orders = FakeOrders(lambda: self.table.now_s)
        twin = Entry(self.table, name, self.names, twin_orders, incarnation="2")
        for entry in (self.first, twin):
            entry.engines = engines(2, 16)
        self.play(2.0, self.first, twin)
        self.assertEqual(twin_orders.given, [])
        self.play(3 * TERM_S, twin)
        self.play(2 * TERM_S, self.first, twin)
        before, after = self.orders.given, twin_orders.given
        self.assertTrue(before and after)
        self.assertGreater(after[0][0], before[-1][0])
        epochs = [[order.epoch for _at_s, order in given] for given in (before, after)]
        self.assertGreater(min(epochs[1]), max(epochs[0]))

    def test_refused_order_ends_the_change(self):
        self.orders.failure = OrderRefused("409")
        order = self.play(1.2, self.first)[0][1]
        self.assertIsNone(self.first.changes.target(order.upstream))
        again = self.play(REFUSED_BACKOFF_S - 0.4, self.first)
        self.assertNotIn(order.upstream, [item.upstream for _at_s, item in again])

    def test_busy_engine_gets_no_order(self):
        self.orders.busy = True
        self.assertEqual(self.play(3.0, self.first), [])

    def test_order_is_not_sent_once_the_lease_is_lost(self):
        async def lose(_upstream):
            self.table.now_s += 2 * TERM_S
            return EngineReport(Stage.DECODE, False, 0)

        self.orders.report = lose
        self.assertEqual(self.play(1.2, self.first), [])
        self.assertIn("ORDER_ABANDONED", self.first.events())

    def test_engine_that_does_not_report_gets_no_order(self):
        self.orders.report = mock.AsyncMock(side_effect=OrderError("no report"))
        self.assertEqual(self.play(3.0, self.first), [])

    def test_lost_lease_is_distinguished_from_a_refusal(self):
        self.orders.failure = LeaseLost("taken over")
        self.play(1.2, self.first)
        self.assertIn("ORDER_ABANDONED", self.first.events())

    def test_stage_without_engines_is_logged_and_its_end_too(self):
        self.first.engines = engines(4, 0)
        self.first.demand = CALM
        self.play(DECISION_INTERVAL_S, self.first)
        self.assertIn("STAGE_UNSTAFFED", self.first.events())
        self.assertNotIn("STAGE_STAFFED", self.first.events())
        self.first.engines = engines(3, 1)
        self.play(DECISION_INTERVAL_S, self.first)
        self.assertIn("STAGE_STAFFED", self.first.events())
