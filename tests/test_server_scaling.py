"""Decisions on the number of servers, over generated demand and faults, without I/O."""

import random
import unittest
from collections import Counter
from dataclasses import replace
from itertools import pairwise

from extras.scaling_cloud import Cloud, Server
from extras.scaling_trial import CASES, SPEC, Case, simulate
from wisteriaarch.version.scaled_fleet import (
    FleetState,
    ServerGroup,
    by_zone,
    regular_count,
)
from wisteriaarch.version.scaling_forecast import (
    HOLD_S,
    SETTLING_S,
    DemandForecast,
    ServerNeed,
    ServiceDemand,
)
from wisteriaarch.version.scaling_plan import ScalingPlan
from wisteriaarch.version.server_scaling import (
    REMOVAL_INTERVAL_S,
    REPLACED_INTERVAL_S,
    ServerScaling,
)

STEP_S = 0.5
ZONES = tuple(SPEC.zone_prices)
ALL_GROUPS = [ServerGroup(zone, is_spot) for zone in ZONES for is_spot in (True, False)]
TWO_STAGES = {"prefill": 6, "decode": 13}
CALM = ServiceDemand(1.8, 4.2, 0.5)


def regular(count) -> Counter:
    return Counter(ServerGroup(ZONES[n % len(ZONES)], False) for n in range(count))


def additions(need, counts=None, in_stock=None, spec=SPEC, booting=None):
    fleet = FleetState(counts or {}, counts or {}, booting or {})
    return ScalingPlan(
        spec, need, fleet, ALL_GROUPS if in_stock is None else in_stock
    ).additions()


class Decider:
    """Applies orders at once, on a clock of its own."""

    def __init__(self, counts, spec=SPEC, has_engines=True):
        self.scaling = ServerScaling("s", spec, has_engines)
        self.counts = Counter(counts)
        self.stages = dict(TWO_STAGES)
        self.now = 0.0

    def play(self, demand, seconds):
        """Keep a demand for some time; returns the orders of each decision."""
        rounds = []
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            fleet = FleetState(self.counts, self.counts, {}, self.stages)
            orders = self.scaling.decide(demand, fleet, self.now).orders
            for order in orders:
                self.counts[ServerGroup(order.zone, order.spot)] = order.desired
            if orders:
                rounds.append((self.now, orders))
        return rounds


class StartTest(unittest.TestCase):
    """A service begins with 19 regular servers, before its callers come."""

    def setUp(self):
        self.decider = Decider(regular(19))
        self.decider.play(ServiceDemand(0.0, 0.0), 30)

    def test_number_stays_until_demand_is_known_and_cheaper_servers_replace_others(
        self,
    ):
        """Guards against calls that are refused as the first ones find few servers."""
        self.assertEqual(regular_count(self.decider.counts), 2)
        self.assertGreaterEqual(self.decider.counts.total(), 19)
        self.assertLess(regular_count(self.decider.counts), 10)
        self.decider.play(ServiceDemand(0.5, 0.5), HOLD_S / 2)
        self.assertGreaterEqual(self.decider.counts.total(), 19)

    def test_number_follows_demand_once_a_whole_wave_was_seen(self):
        self.decider.play(ServiceDemand(0.5, 0.5), 3 * HOLD_S)
        self.assertLess(self.decider.counts.total(), 12)

    def test_each_stage_keeps_engines_for_the_first_calls(self):
        """Guards against prompts that wait for seconds until stages are changed."""
        decider = Decider(regular(19))
        decider.stages = {"prefill": 5, "decode": 14}
        rounds = decider.play(ServiceDemand(0.0, 0.0), 10)
        removed = [order for _, orders in rounds for order in orders if not order.spot]
        self.assertEqual([order.desired for order in removed], [4, 4])

    def test_calls_that_test_a_route_are_no_demand(self):
        self.decider.play(ServiceDemand(0.05, 0.05), 3 * HOLD_S)
        self.assertGreaterEqual(self.decider.counts.total(), 19)


class TrialTest(unittest.TestCase):
    def test_callers_are_served_as_by_the_fixed_fleet_for_less(self):
        for case in CASES:
            with self.subTest(case=case.name):
                fixed = simulate(case, "fixed number")
                decided = simulate(case, "decision")
                self.assertGreaterEqual(decided.served, fixed.served - 0.01)
                self.assertGreaterEqual(
                    decided.served_urgent, fixed.served_urgent - 0.001
                )
                self.assertLess(decided.server_seconds, 0.75 * fixed.server_seconds)
                self.assertEqual(decided.reversals, 0)

    def test_more_is_served_and_less_changed_than_with_a_target_utilization(self):
        for case in CASES:
            with self.subTest(case=case.name):
                target = simulate(case, "target utilization")
                decided = simulate(case, "decision")
                self.assertGreater(decided.served, target.served)
                self.assertLess(decided.orders, target.orders)

    def test_noise_of_other_seeds_loses_no_urgent_work(self):
        for case in CASES[3:]:
            for seed in (2, 3, 4):
                with self.subTest(case=case.name, seed=seed):
                    result = simulate(case, "decision", seed)
                    self.assertGreaterEqual(result.served_urgent, 0.999)
                    self.assertGreaterEqual(result.served, 0.99)

    def test_large_load_is_followed_from_too_few_servers(self):
        case = Case("step", lambda at_s: 3.0 if at_s < 60 else 14.0)
        result = simulate(case, "decision")
        self.assertGreaterEqual(result.served, 0.95)


class ForecastTest(unittest.TestCase):
    def play(self, forecast, values, start_s=0.0):
        for number, value in enumerate(values):
            forecast.observe(value, start_s + number * STEP_S)

    def test_burst_shorter_than_a_boot_is_not_followed(self):
        forecast = DemandForecast(4.0)
        self.play(forecast, [5.0] * 60 + [10.0] * 6 + [5.0] * 20)
        self.assertEqual(forecast.peak, 5.0)

    def test_lasting_rise_is_followed_ahead_of_demand(self):
        forecast = DemandForecast(4.0)
        self.play(forecast, [5.0] * 60 + [5.0 + 0.25 * n for n in range(20)])
        self.assertGreater(forecast.peak, 5.0 + 0.25 * 19 - 0.5)

    def test_peak_is_held_longer_than_a_wave(self):
        forecast = DemandForecast(4.0)
        self.play(forecast, [10.0] * 20 + [5.0] * 30)
        self.assertEqual(forecast.peak, 10.0)
        self.play(forecast, [5.0] * 40, 25.0)
        self.assertEqual(forecast.peak, 5.0)


class PlanTest(unittest.TestCase):
    def test_full_zones_make_room_for_spot_servers(self):
        """Regular servers that filled the zones were kept for ever."""
        decider = Decider(regular(19), replace(SPEC, replicas_max=5))
        decider.play(ServiceDemand(3.0, 7.0, 0.5), 300.0)
        self.assertLessEqual(regular_count(decider.counts), 3)
        self.assertGreaterEqual(decider.counts.total(), 19)

    def test_loss_of_a_zone_or_a_sixth_leaves_enough_for_urgent_calls(self):
        """Checked over random fleets; a reclaim is a part of a zone's loss."""
        rng = random.Random(7)
        for _ in range(300):
            counts = Counter({g: rng.randrange(3) for g in ALL_GROUPS})
            urgent = rng.randrange(1, 16)
            need = ServerNeed(
                urgent + rng.randrange(8), urgent, urgent, 1 + urgent // 3
            )
            counts += additions(need, counts)
            total = counts.total()
            with self.subTest(need=need, counts=counts):
                self.assertGreaterEqual(total, need.total)
                self.assertGreaterEqual(total - max(by_zone(counts).values()), urgent)
                self.assertGreaterEqual(total - -(-total // 6), urgent)
                self.assertGreaterEqual(regular_count(counts), need.regular)
                self.assertLessEqual(max(by_zone(counts).values()), SPEC.replicas_max)

    def test_spot_servers_carry_what_is_above_the_reserve(self):
        added = additions(ServerNeed(14, 14, 5, 2))
        self.assertEqual(regular_count(added), 2)
        self.assertEqual(added.total(), 14)

    def test_zone_without_stock_is_left_out(self):
        in_stock = [group for group in ALL_GROUPS if group.zone != "b"]
        added = additions(ServerNeed(9, 9, 4, 2), in_stock=in_stock)
        self.assertNotIn("b", by_zone(added))
        self.assertGreaterEqual(added.total(), 9)

    def test_regular_servers_stand_in_where_no_spot_server_is_available(self):
        in_stock = [group for group in ALL_GROUPS if not group.is_spot]
        added = additions(ServerNeed(9, 9, 4, 2), in_stock=in_stock)
        self.assertEqual(regular_count(added), 9)

    def test_limits_of_a_zone_apply_to_both_kinds_together(self):
        spec = replace(SPEC, replicas_max=3)
        counts = regular(8)
        added = additions(ServerNeed(40, 40, 20, 6), counts, spec=spec)
        self.assertEqual(set(by_zone(counts + added).values()), {3})
        spec = replace(SPEC, replicas_min=2)
        added = additions(ServerNeed(1, 1, 1, 1), spec=spec)
        self.assertEqual(set(by_zone(added).values()), {2})

    def test_single_zone_survives_the_reclaim_of_its_spot_servers(self):
        spec = replace(SPEC, zone_prices={"a": 1.0})
        groups = [group for group in ALL_GROUPS if group.zone == "a"]
        added = additions(ServerNeed(6, 6, 4, 2), in_stock=groups, spec=spec)
        self.assertGreaterEqual(regular_count(added), 4)

    def test_servers_that_boot_are_not_ordered_again(self):
        booting = additions(ServerNeed(12, 12, 5, 2))
        self.assertFalse(additions(ServerNeed(12, 12, 5, 2), booting=booting))

    def test_unchanged_need_is_met_by_its_own_additions(self):
        """Without this, each decision would order something."""
        rng = random.Random(8)
        for _ in range(200):
            urgent = rng.randrange(1, 12)
            need = ServerNeed(
                urgent + rng.randrange(6), urgent, urgent, 1 + urgent // 3
            )
            counts = Counter({g: rng.randrange(3) for g in ALL_GROUPS})
            counts += additions(need, counts)
            with self.subTest(need=need, counts=counts):
                self.assertFalse(additions(need, counts))


class ScalingTest(unittest.TestCase):
    def test_regular_fleet_is_replaced_only_once_spot_servers_serve(self):
        decider = Decider(regular(19))
        scaling, counts = decider.scaling, decider.counts
        for step in range(200):
            # Ordered servers never serve, so nothing may be removed.
            ordered = Counter({ServerGroup("a", True): 5, ServerGroup("c", True): 5})
            fleet = FleetState(counts, Counter(), ordered, TWO_STAGES)
            for order in scaling.decide(CALM, fleet, step * STEP_S).orders:
                group = ServerGroup(order.zone, order.spot)
                self.assertGreaterEqual(order.desired, counts[group])

    def test_calm_fleet_ends_with_few_regular_servers_and_no_more_orders(self):
        decider = Decider(regular(19))
        decider.play(CALM, 120.0)
        self.assertLessEqual(regular_count(decider.counts), 3)
        self.assertEqual(decider.play(CALM, 60.0), [])

    def test_nothing_is_removed_before_half_a_wave_was_observed(self):
        """A new scheduler has seen no demand yet."""
        decider = Decider(regular(19))
        for _, orders in decider.play(ServiceDemand(0.0, 0.0), SETTLING_S - 1):
            for order in orders:
                self.assertGreater(order.desired, 0)
        self.assertEqual(regular_count(decider.counts), 19)

    def test_addition_waits_a_boot_time_after_a_removal_while_there_is_enough(self):
        decider = Decider(regular(19))
        removed_at_s = decider.play(CALM, 60.0)[-1][0]
        rising = ServiceDemand(2.6, 6.2, 0.5)
        rounds = decider.play(rising, 20.0)
        added = [
            at_s
            for at_s, orders in rounds
            if any(order.spot and order.desired for order in orders)
        ]
        self.assertTrue(added)
        self.assertGreaterEqual(added[0] - removed_at_s, SPEC.boot_s)

    def test_removals_are_apart(self):
        decider = Decider(regular(19))
        decider.play(CALM, SETTLING_S)
        for demand, interval_s in (
            (CALM, REPLACED_INTERVAL_S),
            (ServiceDemand(0.6, 1.4, 0.5), REMOVAL_INTERVAL_S),
        ):
            rounds = decider.play(demand, 100.0)
            gaps = [after - before for (before, _), (after, _) in pairwise(rounds)]
            self.assertGreaterEqual(min(gaps), interval_s)

    def test_group_without_servers_loses_none(self):
        """An order for a negative number was sent for a group that had become empty."""
        decider = Decider({**regular(19), ServerGroup("a", True): 0})
        for _at_s, orders in decider.play(CALM, 200.0):
            self.assertGreaterEqual(min(order.desired for order in orders), 0)

    def test_stage_keeps_its_last_engine(self):
        decider = Decider(regular(19))
        decider.stages = {"prefill": 1, "decode": 18}
        decider.play(CALM, 120.0)
        self.assertEqual(regular_count(decider.counts), 19)

    def test_zone_without_stock_is_asked_again_after_some_seconds(self):
        decider = Decider(regular(8))
        group = ServerGroup("b", True)
        decider.scaling.block_group(group, 0.0)
        for _at_s, orders in decider.play(CALM, 3.5):
            self.assertNotIn(group, [ServerGroup(o.zone, o.spot) for o in orders])
        decider.counts.clear()
        rounds = decider.play(CALM, 10.0)
        groups = [ServerGroup(o.zone, o.spot) for _, os in rounds for o in os]
        self.assertIn(group, groups)

    def test_refused_calls_count_as_demand(self):
        """Placed calls alone never exceed the servers that exist."""
        few, many = Decider(regular(8)), Decider(regular(8))
        few.play(CALM, 10.0)
        many.play(replace(CALM, refused_share=0.4), 10.0)
        self.assertGreater(many.counts.total(), few.counts.total())

    def test_service_without_spot_price_uses_regular_servers(self):
        decider = Decider(regular(4), replace(SPEC, spot_price=None), False)
        decider.play(ServiceDemand(0.0, 4.0), 30.0)
        self.assertEqual(regular_count(decider.counts), decider.counts.total())
        # At the full price the room for bursts isn't worth it: 4 servers' work at 0.7.
        self.assertIn(decider.counts.total(), (6, 7))

    def test_waves_change_the_number_of_servers_rarely(self):
        case = next(item for item in CASES if item.name == "wave")
        decider = Decider(regular(19))
        changes = []
        for step in range(400):
            work = case.demand(step * STEP_S)
            demand = ServiceDemand(0.3 * work, 0.7 * work, 0.5)
            rounds = decider.play(demand, STEP_S)
            changes.extend(at_s for at_s, _ in rounds if at_s > 140)
        self.assertEqual(changes, [])


class CloudTest(unittest.TestCase):
    def test_crash_takes_a_sixth(self):
        """Servers of one group were equal, so that more than half of all crashed."""
        groups = [ServerGroup(zone, False) for zone in ZONES]
        cloud = Cloud(SPEC, [Server(groups[n % 4], 0.0) for n in range(18)])
        cloud.inflict("sixth", 1.0)
        self.assertEqual(cloud.step(1.1)[0], 15)

    def test_reclaimed_servers_serve_no_more(self):
        """The simulation must show the faults that the decision is tested against."""
        cloud = Cloud(SPEC, [Server(ServerGroup("b", True), 0.0) for _ in range(4)])
        cloud.inflict("reclaim", 1.0)
        self.assertEqual(cloud.step(1.1)[0], 0)
        self.assertGreater(cloud.step(1.1)[1], 0)
        self.assertEqual(cloud.step(9.0)[1], 0)


if __name__ == "__main__":
    unittest.main()
