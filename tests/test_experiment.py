"""Pure parts of the experiment: seeded arrivals and verdicts on the targets."""

import unittest

from wisteriaarch.experiment.outcome import Ending, Outcome, PatternResult
from wisteriaarch.experiment.patterns import PATTERNS, generate_arrivals
from wisteriaarch.experiment.sites import SITES
from wisteriaarch.experiment.targets import check_targets


def result(policy, in_time, pattern="swing", role_changes=0):
    outcomes = [Outcome("chat", "owners", Ending.ON_TIME)] * in_time
    outcomes += [Outcome("chat", "owners", Ending.FAILED)] * (100 - in_time)
    return PatternResult("serrano", policy, pattern, 1, outcomes, role_changes)


class ExperimentTest(unittest.TestCase):
    def test_same_seed_gives_the_same_arrivals(self):
        site, pattern = SITES["serrano"], PATTERNS[1]
        first = generate_arrivals(site, pattern, 1)
        self.assertEqual(first, generate_arrivals(site, pattern, 1))
        self.assertNotEqual(first, generate_arrivals(site, pattern, 2))

    def test_missed_targets_are_reported(self):
        results = [
            result("predicted", 62, role_changes=2),
            result("static_split", 50),
            result("least_load", 40),
            result("reactive", 63, role_changes=3),
        ]
        met = {verdict.target: verdict.met for verdict in check_targets(results)}
        self.assertEqual(
            met,
            {
                "serrano swing: goodput of the best baseline": False,
                "serrano swing: 1.25 x static_split": False,
                "serrano swing: 1.15 x least_load": True,
                "serrano: a third of reactive's role changes": False,
            },
        )
