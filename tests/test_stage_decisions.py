"""Decisions on stage changes, and notices of them, without I/O."""

import unittest
from dataclasses import replace
from unittest import mock

from wisteriaarch.process.clock import now_s
from wisteriaarch.process.fleet_estimates import FleetEstimates
from wisteriaarch.process.stage_changes import CHANGE_TIMEOUT_S, StageChanges
from wisteriaarch.process.upstreams import Stage
from wisteriaarch.version.stage_loads import EngineLoad, PrefillDemand
from wisteriaarch.version.stage_policy import StagePolicy
from wisteriaarch.version.stage_supervisor import count_engines

from .route_support import upstream

STEP_S = 0.2
CALM = PrefillDemand(prefill_engines=0.8, decode_engines=1.0)
LONG_PROMPTS = PrefillDemand(prefill_engines=2.4, decode_engines=1.0)
LONG_ANSWERS = PrefillDemand(prefill_engines=0.4, decode_engines=4.5)


def engines(prefills, decodes, **more):
    stages = [Stage.PREFILL] * prefills + [Stage.DECODE] * decodes
    return [
        EngineLoad(upstream(f"e{number}", stage, f"z{number % 3}"), stage, **more)
        for number, stage in enumerate(stages)
    ]


class Fleet:
    """Engines that carry each change out, with the policy on a clock of its own."""

    def __init__(self, prefills, decodes):
        self.engines = engines(prefills, decodes)
        self.policy = StagePolicy()
        self.now = 0.0
        self.changes = []

    def play(self, demand, seconds):
        """Keep a demand for some time; returns the changes made meanwhile."""
        before = len(self.changes)
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            change = self.policy.decide(self.engines, demand, self.now)
            if change is not None:
                self.carry_out(change)
        return self.changes[before:]

    def carry_out(self, change):
        self.changes.append(change)
        self.policy.record_change(change.stage, self.now)
        self.engines = [
            EngineLoad(item.upstream, change.stage)
            if item.upstream == change.upstream
            else item
            for item in self.engines
        ]

    def count(self, stage):
        return sum(item.stage is stage for item in self.engines)


class StagePolicyTest(unittest.TestCase):
    def test_low_load_changes_no_stage(self):
        self.assertEqual(Fleet(3, 6).play(CALM, 60.0), [])

    def test_lasting_shift_to_long_prompts_is_followed_soon(self):
        fleet = Fleet(2, 7)
        fleet.play(CALM, 10.0)
        fleet.play(LONG_PROMPTS, 4.0)
        self.assertGreaterEqual(fleet.count(Stage.PREFILL), 4)
        self.assertEqual(fleet.play(LONG_PROMPTS, 60.0), [])

    def test_lost_engines_of_a_stage_are_replaced(self):
        fleet = Fleet(3, 6)
        fleet.play(CALM, 10.0)
        fleet.engines = fleet.engines[2:]
        fleet.play(CALM, 4.0)
        self.assertEqual(fleet.count(Stage.PREFILL), 2)

    def test_reversed_shift_of_the_mix_is_followed_too(self):
        fleet = Fleet(5, 4)
        fleet.play(LONG_ANSWERS, 20.0)
        self.assertGreaterEqual(fleet.count(Stage.DECODE), 7)

    def test_short_peak_changes_nothing(self):
        fleet = Fleet(2, 7)
        fleet.play(CALM, 10.0)
        self.assertEqual(fleet.play(LONG_PROMPTS, 0.4), [])

    def test_alternating_mix_costs_few_changes(self):
        fleet = Fleet(3, 6)
        for _ in range(10):
            fleet.play(LONG_PROMPTS, 5.0)
            fleet.play(LONG_ANSWERS, 5.0)
        self.assertLessEqual(len(fleet.changes), 40)

    def test_slow_engines_count_as_a_part_of_one(self):
        """Peak load on both stages while two decode engines are slow."""
        fleet = Fleet(3, 5)
        fleet.engines[-2:] = [
            replace(item, slowdown=5.0) for item in fleet.engines[-2:]
        ]
        demand = PrefillDemand(prefill_engines=2.4, decode_engines=1.4)
        self.assertEqual(fleet.play(demand, 5.0), [])
        fleet.engines[-2:] = [
            replace(item, slowdown=1.0) for item in fleet.engines[-2:]
        ]
        self.assertNotEqual(fleet.play(demand, 5.0), [])

    def test_rise_of_the_other_demand_counts_at_once(self):
        fleet = Fleet(2, 5)
        fleet.play(PrefillDemand(prefill_engines=1.5, decode_engines=1.7), 10.0)
        before = len(fleet.changes)
        self.assertEqual(fleet.play(PrefillDemand(1.5, decode_engines=2.6), 0.2), [])
        self.assertEqual(len(fleet.changes), before)

    def test_wrong_stage_change_is_reversed_within_seconds(self):
        """The other stage lacks an engine right after one was moved."""
        fleet = Fleet(2, 7)
        fleet.play(LONG_PROMPTS, 3.0)
        fleet.play(PrefillDemand(prefill_engines=0.8, decode_engines=5.0), 6.0)
        self.assertGreaterEqual(fleet.count(Stage.DECODE), 7)

    def test_no_stage_takes_an_engine_that_the_other_needs(self):
        both = PrefillDemand(prefill_engines=2.5, decode_engines=4.0)
        self.assertEqual(Fleet(3, 6).play(both, 20.0), [])

    def test_last_engine_of_a_stage_stays(self):
        fleet = Fleet(1, 1)
        self.assertEqual(fleet.play(LONG_PROMPTS, 20.0), [])

    def test_each_stage_keeps_its_part_of_the_engines(self):
        """Only prompts of one size, and then the loss of an engine."""
        fleet = Fleet(3, 6)
        fleet.play(PrefillDemand(prefill_engines=9.0, decode_engines=0.1), 60.0)
        self.assertEqual(fleet.count(Stage.DECODE), 3)
        fleet.play(PrefillDemand(prefill_engines=0.1, decode_engines=9.0), 60.0)
        self.assertEqual(fleet.count(Stage.PREFILL), 2)

    def test_full_batches_keep_their_engines(self):
        fleet = Fleet(2, 4)
        fleet.engines = engines(2, 4, requests=8)
        self.assertEqual(fleet.play(LONG_PROMPTS, 5.0), [])

    def test_idle_engine_goes_first_and_the_last_of_a_zone_at_need_only(self):
        fleet = Fleet(1, 0)
        names = (("a", "z1", 0), ("b", "z2", 1), ("c", "z2", 2))
        fleet.engines += [
            EngineLoad(upstream(name, Stage.DECODE, zone), Stage.DECODE, requests)
            for name, zone, requests in names
        ]
        changes = fleet.play(
            PrefillDemand(prefill_engines=2.4, decode_engines=0.3), 20.0
        )
        self.assertEqual(changes[0].upstream.upstream_id, "b")


class StageChangesTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.changes = StageChanges(lambda: self.now)
        self.engine = upstream("e", Stage.DECODE)

    def test_change_ends_with_the_registration_of_the_new_stage(self):
        self.changes.begin("e", Stage.PREFILL)
        self.assertIs(self.changes.target(self.engine), Stage.PREFILL)
        self.assertIsNone(self.changes.target(upstream("e", Stage.PREFILL)))
        self.assertIsNone(self.changes.target(self.engine))

    def test_change_that_is_never_observed_expires(self):
        self.changes.begin("e", Stage.PREFILL)
        self.now = CHANGE_TIMEOUT_S
        self.assertIsNone(self.changes.target(self.engine))


class RecoverTest(unittest.TestCase):
    """Service stayed away while idle prefill engines were all that was left."""

    NO_DEMAND = PrefillDemand(prefill_engines=0.0, decode_engines=0.0)
    WITHIN_S = 3.0

    def test_lost_decode_stage_is_staffed_again(self):
        for prefills, decodes in ((1, 1), (4, 2), (2, 4), (20, 9), (1200, 2000)):
            with self.subTest(prefills=prefills, decodes=decodes):
                fleet = Fleet(prefills, decodes)
                fleet.play(CALM, 2.0)
                fleet.engines = [
                    item for item in fleet.engines if item.stage is Stage.PREFILL
                ]
                fleet.play(self.NO_DEMAND, self.WITHIN_S)
                self.assertGreaterEqual(fleet.count(Stage.DECODE), 1)

    def test_scheduler_that_has_just_started_staffs_the_decode_stage(self):
        fleet = Fleet(4, 0)
        fleet.play(self.NO_DEMAND, self.WITHIN_S)
        self.assertGreaterEqual(fleet.count(Stage.DECODE), 1)

    def test_nothing_is_changed_while_registrations_may_be_missing(self):
        policy, fleet = StagePolicy(), engines(4, 0)
        changes = [
            policy.decide(fleet, self.NO_DEMAND, step * STEP_S, is_complete=step > 20)
            for step in range(30)
        ]
        self.assertEqual(changes[:21], [None] * 21)
        self.assertIsNotNone(changes[-1])

    def test_recent_change_to_prefill_does_not_delay_it(self):
        fleet = Fleet(3, 6)
        fleet.play(LONG_PROMPTS, 1.0)
        fleet.engines = [item for item in fleet.engines if item.stage is Stage.PREFILL]
        fleet.play(self.NO_DEMAND, self.WITHIN_S)
        self.assertGreaterEqual(fleet.count(Stage.DECODE), 1)

    def test_blink_of_the_only_decode_engine_changes_no_stage(self):
        fleet = Fleet(4, 1)
        fleet.play(self.NO_DEMAND, 10.0)
        decodes = [item for item in fleet.engines if item.stage is Stage.DECODE]
        fleet.engines = [item for item in fleet.engines if item.stage is Stage.PREFILL]
        self.assertEqual(fleet.play(self.NO_DEMAND, 0.6), [])
        fleet.engines += decodes
        self.assertEqual(fleet.play(self.NO_DEMAND, 10.0), [])

    def test_version_keeps_decode_engines_whatever_prompts_ask_for(self):
        fleet = self.fleet_of_versions("v1 PDDDDD", "v2 DDD")
        fleet.play(LONG_PROMPTS, 30.0)
        for version in ("v1", "v2"):
            self.assertGreaterEqual(self.decodes(fleet, version), 2)
        self.assertGreater(fleet.count(Stage.PREFILL), 1)

    def test_version_without_a_decode_engine_gets_one(self):
        fleet = self.fleet_of_versions("v1 PDDDDD", "v2 PP")
        fleet.play(CALM, self.WITHIN_S)
        self.assertEqual(self.decodes(fleet, "v2"), 1)
        fleet = self.fleet_of_versions("v1 PDDDDD", "v2 PPD")
        fleet.play(CALM, self.WITHIN_S)
        self.assertEqual(self.decodes(fleet, "v2"), 2)
        self.assertEqual(fleet.play(CALM, 30.0), [])

    def test_single_engine_of_a_version_keeps_its_stage(self):
        fleet = self.fleet_of_versions("v1 PDDD", "v2 P")
        self.assertEqual(fleet.play(CALM, 30.0), [])

    def fleet_of_versions(self, *specs):
        """Return a fleet; "v1 PDD" is a prefill engine and two to decode, of v1."""
        fleet = Fleet(0, 0)
        stages = {"P": Stage.PREFILL, "D": Stage.DECODE}
        for spec in specs:
            version, _, letters = spec.partition(" ")
            for number, letter in enumerate(letters):
                stage, name = stages[letter], f"{version}-{number}"
                item = upstream(name, stage, f"z{number % 3}")
                item = replace(item, software=version)
                fleet.engines.append(EngineLoad(item, stage))
        return fleet

    def decodes(self, fleet, version):
        return sum(
            item.stage is Stage.DECODE and item.upstream.software == version
            for item in fleet.engines
        )

    def test_silent_engines_do_not_count_as_a_stage(self):
        registry = mock.Mock()
        listed = [upstream("pre", Stage.PREFILL), upstream("dec", Stage.DECODE)]
        registry.usable.return_value = listed
        registry.may_be_incomplete.return_value = False
        estimates = FleetEstimates.from_registry(registry)
        health = estimates.loads.of("dec").health
        health.record_unreachable(now_s() - 60.0)
        self.assertEqual(count_engines(estimates, "llm")[Stage.DECODE], 0)
        health.record_overload(now_s() - 60.0)
        self.assertEqual(count_engines(estimates, "llm")[Stage.DECODE], 1)
        health.record_unreachable(now_s() - 60.0)
        health.record_success(now_s())
        self.assertEqual(count_engines(estimates, "llm")[Stage.DECODE], 1)
