"""Handoffs of prefilled prompts that fail count in the choice of a plan."""

import unittest
from unittest import mock

from wisteriaarch.process.fleet_estimates import FleetEstimates
from wisteriaarch.process.handoff_time import DECAY_S, INITIAL_S, HandoffTime
from wisteriaarch.process.upstreams import Stage
from wisteriaarch.request.attempt_failures import FailureReason
from wisteriaarch.request.attempt_outcome import (
    ANSWERED,
    AttemptOutcome,
    AttemptStage,
)
from wisteriaarch.request.candidate import Choice
from wisteriaarch.request.estimate_updater import EstimateUpdater
from wisteriaarch.request.stage_plan import FleetLoad, plan_stages

from .route_support import candidate, fleet, prompt

RATE = 300_000.0
HANDOFFS = 20
DECLINED = AttemptOutcome(FailureReason.DECLINED.value, 0.01)


class HandoffTest(unittest.TestCase):
    """Prompts were prefilled in vain for as long as handoffs were refused."""

    def setUp(self):
        self.now = 0.0
        registry = mock.Mock()
        registry.may_be_incomplete.return_value = False
        registry.get.return_value = None
        self.estimates = FleetEstimates.from_registry(registry)
        self.time = HandoffTime(clock=lambda: self.now)
        self.estimates._handoff_times["s"] = self.time
        self.updater = EstimateUpdater(self.estimates, mock.Mock())
        self.call = mock.Mock(
            service="s", prompt=prompt(9_000, shared=6_000), work=9_000
        )

    def hand_off(self, outcome, includes_prefill=False, **load):
        choice = Choice(candidate("d0", Stage.DECODE, **load), 0.01)
        for _ in range(HANDOFFS):
            self.updater.observe_outcome(
                self.call, choice, AttemptStage.RUN, outcome, includes_prefill
            )

    def prefills_apart(self):
        load = FleetLoad(RATE, handoff_s=self.estimates.handoff_s("s"))
        plan = plan_stages(fleet(), prompt(12_000), load, "z1", 0.15)
        return plan.prefill is not None

    def test_refused_handoffs_have_engines_prefill_for_themselves(self):
        self.assertTrue(self.prefills_apart())
        self.hand_off(DECLINED)
        self.assertFalse(self.prefills_apart())

    def test_handoffs_are_tried_again_after_some_seconds(self):
        self.hand_off(DECLINED)
        self.now += 10 * DECAY_S
        self.assertTrue(self.prefills_apart())

    def test_silent_handoffs_count_too(self):
        self.hand_off(AttemptOutcome(FailureReason.SILENT.value, 1.0))
        self.assertFalse(self.prefills_apart())

    def test_other_failures_are_no_failed_handoffs(self):
        self.hand_off(DECLINED, includes_prefill=True)
        self.hand_off(DECLINED, requests=8)
        self.hand_off(AttemptOutcome(FailureReason.SILENT.value, 0.1, is_down=True))
        self.hand_off(AttemptOutcome(FailureReason.FAILED.value, 0.1))
        self.assertEqual(self.time.value_s, INITIAL_S)

    def test_long_handoffs_that_go_on_are_not_forgotten(self):
        for _ in range(60):
            self.now += 0.2
            self.hand_off(AttemptOutcome(ANSWERED, 0.4, 0.3))
        self.assertAlmostEqual(self.time.value_s, 0.3, delta=0.03)
