"""Short seeded run of the soak of request limits (``extras.limit_soak``)."""

import unittest

from extras.limit_soak import run_seed


class LimitSoakTest(unittest.TestCase):
    def test_limits_are_kept_while_entries_fail_and_limits_change(self):
        findings = run_seed(seed=1, soak_s=10.0)
        self.assertEqual(findings.violations, [], findings.faults)
        self.assertGreater(findings.statuses[200], 100)
