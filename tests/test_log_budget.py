"""Which log lines are written at a load that makes more of them than are allowed."""

import unittest
from collections import Counter

from wisteriaarch.log_budget import Importance, LogBudget

PROGRESS_EVENT, FAILURE_EVENT, STATE_EVENT = 310, 303, 210
LINES_PER_S = 100
LINE_BYTES = 200


class LogBudgetTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.budget = LogBudget(LINES_PER_S, 1e9, lambda: self.now_s)
        self.written = Counter()

    def offer(self, importance, event, count=1, size=LINE_BYTES):
        for _ in range(count):
            if self.budget.admits(importance, event):
                self.budget.record_written(size)
                self.written[event] += 1

    def play(self, seconds, progress_per_s=0, failures_per_s=0, states_per_s=0):
        for _ in range(int(seconds * 100)):
            self.now_s += 0.01
            self.offer(Importance.PROGRESS, PROGRESS_EVENT, progress_per_s // 100)
            self.offer(Importance.FAILURE, FAILURE_EVENT, failures_per_s // 100)
            self.offer(Importance.STATE, STATE_EVENT, states_per_s // 100)

    def test_all_lines_pass_at_an_ordinary_load(self):
        self.play(10, progress_per_s=100)
        self.assertEqual(self.written[PROGRESS_EVENT], 1000)
        self.assertIsNone(self.budget.take_suppressed())

    def test_lines_are_bounded_in_a_burst(self):
        """Fifty times as many requests as usual for ten seconds."""
        self.play(10, progress_per_s=5000)
        self.assertLessEqual(self.written.total(), 11 * LINES_PER_S)
        self.assertGreater(self.written.total(), 9 * LINES_PER_S)

    def test_failures_are_kept_while_progress_is_left_out(self):
        """A burst in which one request in fifty is refused."""
        self.play(10, progress_per_s=5000, failures_per_s=100)
        self.assertGreaterEqual(self.written[FAILURE_EVENT], 0.9 * 10 * LINES_PER_S)

    def test_state_changes_are_logged_while_every_request_fails(self):
        """All upstreams are down, and every request is refused."""
        self.play(10, progress_per_s=5000, failures_per_s=5000)
        before = self.written.total()
        self.offer(Importance.STATE, STATE_EVENT, 8)
        self.assertEqual(self.written[STATE_EVENT], 8)
        self.assertLessEqual(before, 11 * LINES_PER_S)

    def test_even_these_are_bounded(self):
        self.play(10, states_per_s=5000)
        self.assertLessEqual(self.written.total(), 11 * LINES_PER_S)

    def test_bytes_are_bounded_by_themselves(self):
        bytes_per_s = 20 * LINE_BYTES
        self.budget = LogBudget(1e9, bytes_per_s, lambda: self.now_s)
        self.play(10, progress_per_s=5000)
        written_bytes = LINE_BYTES * self.written.total()
        self.assertLessEqual(written_bytes, 11 * bytes_per_s + LINE_BYTES)

    def test_lines_left_out_are_counted_by_event(self):
        self.play(2, progress_per_s=5000)
        left_out = 2 * 5000 - self.written[PROGRESS_EVENT]
        self.assertEqual(self.budget.total_suppressed, left_out)
        self.assertEqual(self.budget.take_suppressed(), {PROGRESS_EVENT: left_out})
        self.assertIsNone(self.budget.take_suppressed())

    def test_progress_lines_resume_a_second_after_a_burst(self):
        self.play(5, progress_per_s=5000)
        self.now_s += 1.0
        self.written.clear()
        self.offer(Importance.PROGRESS, PROGRESS_EVENT, 40)
        self.assertEqual(self.written[PROGRESS_EVENT], 40)
