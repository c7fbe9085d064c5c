"""Duties after the store was restored from a copy without the last records."""

import unittest
from unittest import mock

from extras import duty_cloud, duty_drill
from extras.duty_drill import CUSTOMERS, EPOCH_S, WINDOW_S, World, play
from extras.duty_simulation import Simulation
from wisteriaarch.connection import usage_sender
from wisteriaarch.process.note_recovery import NoteRecovery

SEEDS = range(1, 9)
DURATION_S = 120.0
COPY_AGE_S = 5.5
NO_SCALING = "none"


def note_of(_recovery, record, _last_sent_s):
    """Return the note as the store has it."""
    return record.note


class RestoredStoreTest(unittest.TestCase):
    def setUp(self):
        self.sim = Simulation(1)
        for module in duty_drill.MODULES:
            self.enterContext(mock.patch.object(module, "now_s", self.now_s))
        self.enterContext(mock.patch.object(usage_sender, "UsageLink", duty_drill.Link))
        self.enterContext(mock.patch.object(World, "_move_scheduler"))
        answer = duty_cloud.answer_at_once
        self.enterContext(
            mock.patch.object(duty_cloud.Client, "_exchange", answer),
        )
        self.world = World(self.sim, False, faults=False)
        self.world.scheduler = NO_SCALING
        self.run_until_report()

    def now_s(self):
        return self.sim.now_s

    def run_until_report(self):
        """Run for some windows, until a moment after a window was reported."""
        self.sim.run(20.0)
        count = len(self.world.cloud.reports)
        while len(self.world.cloud.reports) == count:
            self.sim.run(0.1)

    def holder(self):
        return next(item for item in self.world.entries.values() if item.usage.is_held)

    def add_late_counts(self):
        """Let another entry send counts of all windows, as one that stood still."""
        other = next(
            item for item in self.world.entries.values() if not item.usage.is_held
        )
        for window in self.world.cloud.reports:
            other.counts._change(window, CUSTOMERS[0], 1)

    def restore_store(self):
        self.world.store.is_down = True
        self.sim.run(0.5)
        self.world.store.restore(COPY_AGE_S)
        self.world.store.is_down = False

    def next_holder(self):
        """Run until the lease is taken in the new era, and return its holder."""
        while True:
            self.sim.run(0.1)
            lease = self.world.store.read("leases", "duty-usage").value
            if lease["era"] == self.world.store.era:
                return lease["holder"]

    def current_window(self):
        return int((EPOCH_S + self.sim.now_s) // WINDOW_S)

    def test_another_holder_does_not_report_a_window_again(self):
        """Guards against two reports of a window whose record the store has lost."""
        former = self.holder()
        self.add_late_counts()
        former.process.cut.add("store")
        self.sim.run(0.5)
        self.restore_store()
        self.sim.run(10.0)
        self.assertIsNot(self.holder(), former)
        since = self.current_window()
        self.sim.run(20.0)
        self.assertEqual(self.world.cloud.violations, [])
        self.assertIn(since, self.world.cloud.reports)

    def test_third_holder_does_not_report_a_window_again(self):
        """Guards against a note of the new era that leaves out what was lost."""
        former = self.holder()
        self.add_late_counts()
        former.process.cut.add("store")
        self.restore_store()
        second = self.world.entries[self.next_holder()]
        self.sim.run(0.5)
        self.world._kill(second)
        self.sim.run(30.0)
        self.assertEqual(self.world.cloud.violations, [])

    def test_same_holder_reports_every_window(self):
        """Guards against windows left out by a holder that knows what it sent."""
        former = self.holder()
        before = self.current_window()
        self.restore_store()
        self.sim.run(30.0)
        self.assertIs(self.holder(), former)
        self.assertEqual(self.world.cloud.violations, [])
        windows = range(before, self.current_window() - 1)
        self.assertLessEqual(set(windows), self.world.cloud.reports.keys())

    def test_note_of_a_former_term_is_not_complete(self):
        """Guards against an era that ends between a new term and its record's read."""
        duty = self.holder().usage
        epoch = duty._read_epoch
        self.assertIsNotNone(duty._note_of(epoch))
        self.assertIsNone(duty._note_of(epoch + 1))


class RestoredStoreDrillTest(unittest.TestCase):
    """Drawn orders of events, with late calls, lost answers and moving schedulers."""

    def test_no_order_of_events_breaks_a_rule(self):
        """Guards against restorations amid pauses, cuts, kills and late calls."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = play(seed, False, DURATION_S, restores=True)
                self.assertEqual(world.cloud.violations, [])

    def test_drill_finds_a_holder_that_trusts_an_older_note(self):
        """Guards against a drill that would find nothing."""
        with mock.patch.object(NoteRecovery, "note_after", note_of):
            worlds = [play(seed, False, restores=True) for seed in SEEDS]
        self.assertTrue(any(world.cloud.violations for world in worlds))


if __name__ == "__main__":
    unittest.main()
