"""Polls under a budget: none while all fit, then active upstreams first."""

import unittest
from collections import defaultdict

from wisteriaarch.process.poll_schedule import (
    ACTIVE_WEIGHT,
    PollCandidate,
    PollSchedule,
)

ROUND_S = 0.25
ROUNDS = 2000


def poll_times(upstreams, active, polls_per_s):
    """Return when each upstream was polled, and the schedule."""
    schedule = PollSchedule(ROUND_S, polls_per_s)
    candidates = [PollCandidate(name, name in active) for name in upstreams]
    times = defaultdict(list)
    for number in range(ROUNDS):
        now_s = number * ROUND_S
        for name in schedule.choose(candidates, now_s):
            times[name].append(now_s)
    return times, schedule


def intervals(times):
    return [after - before for before, after in zip(times, times[1:], strict=False)]


class PollScheduleTest(unittest.TestCase):
    def test_few_upstreams_are_polled_in_every_round(self):
        times, schedule = poll_times(range(10), {1}, polls_per_s=40.0)
        self.assertEqual({len(item) for item in times.values()}, {ROUNDS})
        self.assertEqual(schedule.report_valid_s(5.0), 5.0)

    def test_budget_holds_and_active_upstreams_come_more_often(self):
        active = {3, 40}
        times, schedule = poll_times(range(64), active, polls_per_s=6.0)
        polls = sum(len(item) for item in times.values())
        self.assertLessEqual(polls, 64 + 6.0 * ROUNDS * ROUND_S + 1)
        longest = {name: max(intervals(item)) for name, item in times.items()}
        expected_s = (62 + ACTIVE_WEIGHT * 2) / 6.0
        for name in range(64):
            bound_s = expected_s / ACTIVE_WEIGHT if name in active else expected_s
            self.assertLessEqual(longest[name], 1.25 * bound_s + ROUND_S)
            self.assertLess(longest[name], schedule.report_valid_s(0.0) / 2)

    def test_new_upstreams_are_polled_at_once(self):
        schedule = PollSchedule(ROUND_S, 1.0)
        first = [PollCandidate(name, False) for name in range(20)]
        self.assertEqual(len(schedule.choose(first, 0.0)), 20)
        added = [*first, PollCandidate(99, False)]
        self.assertEqual(schedule.choose(added, ROUND_S), [99])
