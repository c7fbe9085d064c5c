"""Orders for servers: the duty, refusals, unanswered orders and takeovers."""

import random
import unittest
from collections import Counter
from dataclasses import replace
from unittest import mock

import curio

from extras.scaling_trial import SPEC
from wisteriaarch.errors import LeaseLost, StoreUnavailable
from wisteriaarch.events import Event
from wisteriaarch.process.duty_messages import DutyAuthority, DutyResult, ScalingOrder
from wisteriaarch.process.fleet_estimates import FleetEstimates
from wisteriaarch.process.offered_calls import OfferedCalls
from wisteriaarch.process.upstreams import Stage, UpstreamRegistry
from wisteriaarch.version.issued_orders import (
    REMOVAL_LAG_S,
    UNANSWERED_MAX_S,
    IssuedOrders,
    group_of,
)
from wisteriaarch.version.scale_controller import (
    CALLS_AT_ONCE_MAX,
    DECISION_INTERVAL_S,
    DUTY_KEPT_S,
    CallBudget,
    ScaleController,
)
from wisteriaarch.version.scaled_fleet import FleetState, ServerGroup, regular_count
from wisteriaarch.version.scaling_forecast import ServiceDemand
from wisteriaarch.version.scaling_view import LOST_AFTER_S, ScalingView
from wisteriaarch.version.server_scaling import STOCK_RETRY_S

from .route_support import upstream

CALM = ServiceDemand(1.8, 4.2, 0.5)
SPOT_A = ServerGroup("a", True)
ORDER = ScalingOrder("s", "a", 3, True)
ZONES = tuple(SPEC.zone_prices)


class FakeCloud:
    """Servers on a clock; the next answers are taken from ``results``."""

    def __init__(self, counts):
        self.now_s = 100.0
        self.counts = Counter(counts)
        self.booting = []
        self.results = []
        self.result_of = {}
        self.calls = []
        self.executes_unanswered = False
        self.demand_now = CALM
        self.is_complete = True

    def execute(self, order):
        group = group_of(order)
        expected = self.counts[group] + sum(g == group for _, g in self.booting)
        for _ in range(order.desired - expected):
            self.booting.append((self.now_s + SPEC.boot_s, group))
        if order.desired < self.counts[group]:
            self.counts[group] = order.desired

    def fleet(self, _now):
        for at_s, group in list(self.booting):
            if at_s <= self.now_s:
                self.booting.remove((at_s, group))
                self.counts[group] += 1
        counts = +self.counts
        return FleetState(counts, counts, {}, {"prefill": 3, "decode": 6})

    def demand(self):
        return self.demand_now


class FakeSender:
    """Duty of one entry, which is held while ``is_held``."""

    def __init__(self, cloud):
        self.cloud = cloud
        self.is_held = True
        self.error = None

    def authority(self):
        if not self.is_held:
            raise LeaseLost("not held")
        return DutyAuthority("n", 1)

    async def send(self, order):
        if self.error is not None:
            raise self.error
        cloud = self.cloud
        result = cloud.result_of.get(order.zone, DutyResult.ACCEPTED)
        if cloud.results:
            result = cloud.results.pop(0)
        cloud.calls.append((cloud.now_s, order, result))
        is_late = result is DutyResult.UNKNOWN and cloud.executes_unanswered
        if result is DutyResult.ACCEPTED or is_late:
            cloud.execute(order)
        return result


class Entry:
    def __init__(self, cloud):
        self.cloud = cloud
        self.spec = SPEC
        self.schedules = True
        self.log = mock.Mock()
        self.sender = FakeSender(cloud)
        self.control = ScaleController(
            "s",
            lambda: self.spec,
            True,
            cloud,
            self.sender,
            lambda: self.schedules,
            self.log,
        )

    def written(self, event):
        calls = self.log.write.call_args_list
        return [call.kwargs for call in calls if call.args[0] is event]


class ControlTestCase(unittest.TestCase):
    def setUp(self):
        self.use_cloud({ServerGroup(zone, False): 2 for zone in ZONES})

    def use_cloud(self, counts):
        self.cloud = FakeCloud(counts)
        self.enterContext(
            mock.patch(
                "wisteriaarch.version.scale_controller.now_s",
                lambda: self.cloud.now_s,
            )
        )
        self.entry = Entry(self.cloud)

    def play(self, seconds, *entries):
        """Run controllers for some time; returns the calls made meanwhile."""
        before = len(self.cloud.calls)

        async def steps():
            for entry in entries or (self.entry,):
                await entry.control.step()

        for _ in range(round(seconds / DECISION_INTERVAL_S)):
            self.cloud.now_s += DECISION_INTERVAL_S
            curio.run(steps)
        return self.cloud.calls[before:]


class ControlTest(ControlTestCase):
    def test_missing_servers_are_ordered_once(self):
        """Servers that boot were ordered again with each decision."""
        calls = self.play(SPEC.boot_s)
        groups = [group_of(order) for _, order, _ in calls]
        self.assertTrue(groups)
        self.assertEqual(len(groups), len(set(groups)))
        decided = self.entry.written(Event.SCALING_DECIDED)
        self.assertEqual(len(decided), len(calls))
        self.assertEqual(decided[0]["decode"], 4.2)

    def test_calls_end_once_the_fleet_is_settled(self):
        self.play(120.0)
        self.assertEqual(self.play(60.0), [])
        self.assertLessEqual(regular_count(self.cloud.counts), 3)

    def test_calls_stay_within_one_a_second(self):
        self.use_cloud({ServerGroup(zone, False): 5 for zone in ZONES})
        calls = self.play(60.0)
        self.assertLessEqual(len(calls), 60 + CALLS_AT_ONCE_MAX)
        budget = CallBudget()
        used = sum(budget.try_acquire(100.0 + n / 10) for n in range(101))
        self.assertLessEqual(used, CALLS_AT_ONCE_MAX + 10)

    def test_duty_is_wanted_only_while_orders_are_due(self):
        self.assertFalse(self.entry.control.wants_duty)
        self.entry.sender.is_held = False
        self.assertEqual(self.play(2.0), [])
        self.assertTrue(self.entry.control.wants_duty)
        self.entry.sender.is_held = True
        self.play(150.0)
        self.play(DUTY_KEPT_S + 1.0)
        self.assertFalse(self.entry.control.wants_duty)

    def test_entry_that_does_not_schedule_sends_nothing(self):
        self.entry.schedules = False
        self.assertEqual(self.play(30.0), [])
        self.assertFalse(self.entry.control.wants_duty)

    def test_service_without_scaling_gets_no_orders(self):
        self.entry.spec = None
        self.assertEqual(self.play(30.0), [])

    def test_nothing_is_decided_while_registrations_may_be_missing(self):
        self.cloud.is_complete = False
        self.assertEqual(self.play(10.0), [])

    def test_zone_without_stock_is_left_for_some_seconds_while_others_are_asked(self):
        self.cloud.result_of = {"b": DutyResult.UNAVAILABLE}
        calls = self.play(20.0)
        in_b = [
            at_s
            for at_s, order, _ in calls
            if group_of(order) == ServerGroup("b", True)
        ]
        self.assertTrue(in_b)
        for before, after in zip(in_b, in_b[1:], strict=False):
            self.assertGreaterEqual(after - before, STOCK_RETRY_S)
        spot = sum(n for g, n in self.cloud.counts.items() if g.is_spot)
        self.assertGreaterEqual(spot, 8)

    def test_unanswered_order_is_repeated_unchanged_and_not_doubled(self):
        self.cloud.executes_unanswered = True
        self.cloud.results = [DutyResult.UNKNOWN]
        calls = self.play(SPEC.boot_s)
        first = calls[0][1]
        repeats = [order for _, order, _ in calls if group_of(order) == group_of(first)]
        self.assertEqual(repeats, [first, first])
        self.play(SPEC.boot_s)
        self.assertEqual(self.cloud.counts[group_of(first)], first.desired)

    def ordered(self):
        """Return the latest desired number of each group that was ordered."""
        return {group_of(order): order.desired for _, order, _ in self.cloud.calls}

    def test_unanswered_order_counts_as_carried_out(self):
        """Other zones got the same servers again while an answer was awaited."""
        self.play(3.0)
        answered = self.ordered()
        self.use_cloud({ServerGroup(zone, False): 2 for zone in ZONES})
        self.cloud.result_of = {"b": DutyResult.UNKNOWN}
        self.play(3.0)
        self.assertEqual(self.ordered(), answered)

    def test_rising_demand_is_met_in_zones_whose_orders_are_answered(self):
        """What was to be added to a group with an unanswered order was left out."""
        totals = []
        group = ServerGroup("b", True)
        for results in ({}, {"b": DutyResult.UNKNOWN}):
            self.use_cloud({ServerGroup(zone, False): 2 for zone in ZONES})
            self.cloud.result_of = results
            # Without room in the other zones they couldn't stand in.
            self.entry.spec = replace(SPEC, replicas_max=20)
            self.play(2.0)
            before = self.ordered()
            self.cloud.demand_now = ServiceDemand(3.6, 8.4, 0.5)
            self.play(9.0)
            totals.append(sum(self.ordered().values()))
        self.assertEqual(self.ordered()[group], before[group])
        # An uneven spread may need more for the loss of a zone, never less.
        self.assertGreaterEqual(totals[1], totals[0])

    def test_other_zones_are_used_while_orders_stay_unanswered(self):
        self.cloud.result_of = {"a": DutyResult.UNKNOWN}
        self.play(UNANSWERED_MAX_S + 8.0)
        ordered = {order for _, order, _ in self.cloud.calls if order.zone == "a"}
        spot = {group for group in self.cloud.counts if group.is_spot}
        self.assertLessEqual(len(ordered), 3)
        self.assertEqual(spot, {ServerGroup(zone, True) for zone in "bcd"})

    def test_order_that_nobody_can_send_is_decided_anew(self):
        for error in (LeaseLost("x"), StoreUnavailable("x")):
            self.entry.sender.error = error
            self.assertEqual(self.play(3.0), [])
        self.entry.sender.error = None
        self.assertTrue(self.play(2.0))

    def test_throttled_orders_are_sent_later(self):
        self.cloud.results = [DutyResult.THROTTLED]
        calls = self.play(4.0)
        self.assertGreaterEqual(calls[1][0] - calls[0][0], 1.0)
        self.assertEqual(calls[1][1], calls[0][1])

    def test_throttled_removal_is_sent_later(self):
        """A removal is decided only every two seconds, and was lost."""
        self.use_cloud({ServerGroup(zone, False): 5 for zone in ZONES})
        while not (calls := self.play(0.5)) or calls[0][0] < 120.0:
            self.cloud.results = []
        self.cloud.results = [DutyResult.THROTTLED]
        calls = self.play(6.0)
        self.assertEqual(calls[0][1], calls[1][1])

    def test_successor_reads_the_servers_and_removes_nothing_at_first(self):
        self.play(150.0)
        self.entry.schedules = False
        successor = Entry(self.cloud)
        before = Counter(self.cloud.counts)
        self.assertEqual(self.play(15.0, self.entry, successor), [])
        self.assertEqual(self.cloud.counts, before)

    def test_servers_that_never_come_are_ordered_elsewhere(self):
        self.cloud.execute = lambda order: None
        self.play(30.0)
        reasons = {
            item["reason"] for item in self.entry.written(Event.SCALING_ORDER_FAILED)
        }
        self.assertIn("no effect in time", reasons)
        self.assertGreater(len(self.cloud.calls), 8)

    def test_changed_scaling_is_applied(self):
        self.play(20.0)
        self.entry.spec = replace(SPEC, replicas_min=6)
        self.play(20.0)
        zones = Counter()
        for group, count in self.cloud.counts.items():
            zones[group.zone] += count
        self.assertGreaterEqual(min(zones.values()), 6)

    def test_counts_of_the_gauges(self):
        self.play(1.0)
        counts = {group: (w, p) for group, w, p in self.entry.control.counts()}
        self.assertEqual(counts[ServerGroup("a", False)], (2, 2))
        wanted, present = counts[SPOT_A]
        self.assertGreater(wanted, 0)
        self.assertEqual(present, 0)


class UnreliableCloud(FakeCloud):
    """Answers at random; some unanswered orders are executed seconds later."""

    def __init__(self, counts, rng):
        super().__init__(counts)
        self.rng = rng
        self.late = []
        self.until_s = self.now_s + 60.0

    def fleet(self, now):
        for item in list(self.late):
            if item[0] <= self.now_s:
                self.late.remove(item)
                self.execute(item[1])
        if self.now_s < self.until_s and self.rng.random() < 0.01:
            self.counts[ServerGroup(self.rng.choice(ZONES), True)] = 0
        return super().fleet(now)

    def answer(self, order):
        result = self.rng.choice([DutyResult.ACCEPTED, *DutyResult])
        if result is DutyResult.UNKNOWN and self.rng.random() < 0.5:
            self.late.append((self.now_s + self.rng.uniform(0.0, 6.0), order))
        return result


class UnreliableSender(FakeSender):
    """Loses the duty for some time, now and then."""

    def authority(self):
        cloud = self.cloud
        if cloud.now_s < cloud.until_s and int(cloud.now_s) % 13 in (0, 1, 2):
            raise LeaseLost("not held")
        return super().authority()

    async def send(self, order):
        if self.cloud.now_s < self.cloud.until_s:
            self.cloud.results = [self.cloud.answer(order)]
        return await super().send(order)


class UnreliableCloudTest(ControlTestCase):
    def test_fleet_settles_after_random_answers_and_reclaims(self):
        """Late orders undid newer ones, or were compensated again and again."""
        for seed in range(20):
            rng = random.Random(seed)
            with self.subTest(seed=seed):
                self.use_cloud({})
                cloud = UnreliableCloud(
                    {ServerGroup(zone, False): 5 for zone in ZONES}, rng
                )
                self.cloud = cloud
                self.entry = Entry(cloud)
                sender = UnreliableSender(cloud)
                self.entry.control._sender = sender
                for _ in range(140):
                    self.play(0.5)
                    # The most urgent calls need 5 of the 6 servers' work of demand.
                    self.assertGreaterEqual(cloud.counts.total(), 5)
                self.play(60.0)
                self.assertEqual(self.play(30.0), [])
                self.assertGreaterEqual(cloud.counts.total(), 13)
                self.assertLessEqual(regular_count(cloud.counts), 4)


class IssuedOrdersTest(unittest.TestCase):
    def setUp(self):
        self.issued = IssuedOrders(4.0)

    def fleet(self, count):
        return FleetState({SPOT_A: count}, {SPOT_A: count})

    def test_ordered_servers_boot_until_they_are_registered(self):
        self.issued.record(ORDER, True, True, 0.0)
        self.assertEqual(self.issued.apply(self.fleet(1)).booting, {SPOT_A: 2})
        self.assertEqual(self.issued.expire(self.fleet(3), 4.0), [])
        self.assertEqual(self.issued.apply(self.fleet(3)).booting, {})

    def test_order_without_effect_is_reported(self):
        self.issued.record(ORDER, True, True, 0.0)
        self.assertEqual(self.issued.expire(self.fleet(1), 6.5), [])
        self.assertEqual(self.issued.expire(self.fleet(1), 7.5), [ORDER])

    def test_removed_server_serves_no_more_before_it_drains(self):
        self.issued.record(ORDER, False, True, 0.0)
        self.assertEqual(self.issued.apply(self.fleet(4)).serving, {SPOT_A: 3})
        self.assertEqual(self.issued.expire(self.fleet(4), REMOVAL_LAG_S), [ORDER])

    def test_unanswered_order_is_kept_until_it_cannot_be_executed(self):
        self.issued.record(ORDER, True, False, 0.0)
        self.issued.record(ORDER, True, False, 5.0)
        self.assertEqual(self.issued.expire(self.fleet(3), 11.0), [])
        self.assertEqual(self.issued.unanswered(), [ORDER])
        self.assertEqual(self.issued.to_repeat(6.0), [])
        self.assertEqual(self.issued.to_repeat(7.0), [(ORDER, True)])
        self.issued.expire(self.fleet(0), UNANSWERED_MAX_S)
        self.assertEqual(self.issued.unanswered(), [])


class ViewTest(unittest.TestCase):
    def setUp(self):
        self.registry = UpstreamRegistry(lambda: None, mock.Mock())
        self.estimates = FleetEstimates.from_registry(self.registry)
        self.servers = [
            upstream("p1", Stage.PREFILL, "a"),
            replace(upstream("d1", Stage.DECODE, "a"), is_spot=True),
            replace(upstream("d2", Stage.DECODE, "b"), is_spot=True),
            replace(upstream("d3", Stage.DECODE, "b"), is_draining=True),
            replace(upstream("x", Stage.DECODE, "b"), service="other"),
        ]
        self.registry.update(self.servers)
        self.view = ScalingView(self.estimates, "s")

    def test_servers_by_zone_and_kind_without_draining_ones(self):
        fleet = self.view.fleet(0.0)
        expected = {ServerGroup("a", False): 1, SPOT_A: 1, ServerGroup("b", True): 1}
        self.assertEqual(fleet.present, expected)
        self.assertEqual(fleet.serving, expected)
        self.assertEqual(fleet.engines_by_stage, {"prefill": 1, "decode": 2})

    def test_silent_server_counts_as_lost_after_some_time(self):
        """A suspension of some 100 ms was answered with an order."""
        self.estimates.loads.is_responsive = lambda name: name != "d2"
        self.view.fleet(0.0)
        self.assertEqual(self.view.fleet(1.0).serving.total(), 3)
        fleet = self.view.fleet(LOST_AFTER_S)
        self.assertEqual((fleet.serving.total(), fleet.present.total()), (2, 3))

    def test_demand_by_kind(self):
        for _ in range(4):
            self.estimates.loads.begin("d1", 0)
            self.estimates.loads.begin("p1", 100)
        self.estimates.utilization.record_prefill("s", Stage.PREFILL, 0.5)
        demand = self.view.demand()
        self.assertAlmostEqual(demand.prefill, 0.5, places=2)
        self.assertEqual(demand.decode, 4 / 8)
        self.assertEqual((demand.urgent_share, demand.refused_share), (1.0, 0.0))


class OfferedCallsTest(unittest.TestCase):
    def test_shares(self):
        now = [0.0]
        calls = OfferedCalls(lambda: now[0])
        for priority, work in ((1, 10.0), (2, 30.0)):
            calls.record("s", priority, work)
        calls.record_refused("s", 10.0)
        self.assertAlmostEqual(calls.urgent_share("s"), 0.25)
        self.assertAlmostEqual(calls.refused_share("s"), 0.25)
        now[0] = 60.0
        calls.record("s", 2, 30.0)
        self.assertAlmostEqual(calls.refused_share("s"), 0.0, places=3)
        # The urgent calls of a minute ago must not make all present ones less urgent.
        self.assertAlmostEqual(calls.urgent_share("s"), 1.0, places=3)
        self.assertEqual(calls.urgent_share("other"), 1.0)


if __name__ == "__main__":
    unittest.main()
