"""Role changes: none on a steady mix, few where they cost much, never hastily."""

import random
import unittest
from unittest import mock

from wisteriaarch.process.demand import DemandMeter
from wisteriaarch.version.manifest import PolicySpec
from wisteriaarch.version.role_policy import GoodputRolePolicy, ThresholdRolePolicy
from wisteriaarch.version.roles import EngineObservation, Role

from .policy_support import learned_speeds

DECIDE_EVERY_S = 0.2
PROMPT_HEAVY = (2000, 16)
OUTPUT_HEAVY = (100, 30)


class RoleFleet:
    """Nine engines whose role changes take three seconds, with random calls."""

    def __init__(self, policy_of, seed=1):
        self.now = 1000.0
        self.random = random.Random(seed)
        with mock.patch("wisteriaarch.process.demand.now_s", self.clock):
            self.demand = DemandMeter()
        self.policy = policy_of(self.demand)
        self.roles = [Role.MIXED] * 9
        self.changes = []
        self.report_age_s = 0.3

    def clock(self):
        return self.now

    def observations(self):
        return [
            EngineObservation(
                f"engine-{n}", f"zone-{n % 3}", role, 0, n, 0, self.report_age_s
            )
            for n, role in enumerate(self.roles)
        ]

    def run(self, duration_s, prompts_per_s, outputs_per_s):
        with mock.patch("wisteriaarch.process.demand.now_s", self.clock):
            end = self.now + duration_s
            while self.now < end:
                self._step(prompts_per_s, outputs_per_s)

    def _step(self, prompts_per_s, outputs_per_s):
        self.now += DECIDE_EVERY_S
        for rate, sizes in (
            (prompts_per_s, PROMPT_HEAVY),
            (outputs_per_s, OUTPUT_HEAVY),
        ):
            for _ in range(20):
                if self.random.random() < rate * DECIDE_EVERY_S / 20:
                    self.demand.record_call(*sizes)
        change = self.policy.decide(self.observations(), self.now)
        if change is not None:
            self.changes.append((self.now, change))
            self.roles[int(change.upstream.rpartition("-")[2])] = change.role


def goodput_policy(weight, horizon_s=60.0):
    spec = PolicySpec(role_change_weight=weight, horizon_s=horizon_s)
    speeds = learned_speeds()

    def build(demand):
        return GoodputRolePolicy(speeds, demand, lambda: 1, lambda: spec)

    return build


class RolePolicyTest(unittest.TestCase):
    def test_steady_mix_changes_no_role(self):
        for seed in range(3):
            fleet = RoleFleet(goodput_policy(0.5), seed)
            fleet.run(120.0, 8.0, 20.0)
            self.assertEqual(fleet.changes, [])

    def test_lasting_shift_changes_roles_but_not_at_once(self):
        fleet = RoleFleet(goodput_policy(0.5))
        fleet.run(60.0, 8.0, 20.0)
        shift_at = fleet.now
        fleet.run(90.0, 22.0, 2.0)
        self.assertTrue(fleet.changes)
        times = [at for at, _change in fleet.changes]
        self.assertGreater(times[0] - shift_at, 5.0)
        gaps = [later - at for at, later in zip(times, times[1:], strict=False)]
        self.assertTrue(all(gap >= 30.0 for gap in gaps), gaps)
        self.assertTrue(all(change.role is Role.PREFILL for _, change in fleet.changes))

    def test_short_swings_cost_few_changes_at_a_high_weight(self):
        reactive = RoleFleet(ThresholdRolePolicy)
        reactive.roles = [Role.PREFILL] * 5 + [Role.DECODE] * 4
        careful = RoleFleet(goodput_policy(4.0))
        for fleet in (reactive, careful):
            for _ in range(4):
                fleet.run(20.0, 22.0, 2.0)
                fleet.run(20.0, 3.0, 60.0)
        self.assertGreater(len(reactive.changes), 3)
        self.assertLessEqual(len(careful.changes), len(reactive.changes) / 3)

    def test_weight_of_the_site_can_forbid_a_change(self):
        fleet = RoleFleet(goodput_policy(200.0))
        fleet.run(150.0, 22.0, 2.0)
        self.assertEqual(fleet.changes, [])

    def test_old_reports_change_nothing(self):
        fleet = RoleFleet(goodput_policy(0.5))
        fleet.report_age_s = 4.0
        fleet.run(120.0, 22.0, 2.0)
        self.assertEqual(fleet.changes, [])

    def test_floors_keep_an_engine_for_outputs_in_each_zone(self):
        fleet = RoleFleet(ThresholdRolePolicy)
        fleet.roles = [Role.DECODE] * 9
        fleet.run(60.0, 40.0, 0.0)
        for zone in range(3):
            roles = fleet.roles[zone::3]
            self.assertIn(Role.DECODE, roles)
