"""Counts of requests by customer and window, and the time that dates them."""

import contextlib
import unittest
from unittest import mock

from wisteriaarch.connection.usage_codec import usage_fields, usage_from
from wisteriaarch.errors import FrameError
from wisteriaarch.process.true_time import TrueTime
from wisteriaarch.process.usage_counts import UsageCounts, UsageTotals, UsageUpdate
from wisteriaarch.request.attempt_failures import AttemptFailed, FailureReason
from wisteriaarch.request.run_counter import RunCounter
from wisteriaarch.version.route_table import CallKind


class TrueTimeTest(unittest.TestCase):
    def setUp(self):
        self.boot_s, self.step_s = 100.0, 0.0
        self.time = TrueTime(
            lambda: 5000.0 + self.boot_s + self.step_s, lambda: self.boot_s
        )

    def test_step_of_the_own_clock_is_ignored(self):
        """Guards against an entry without peers whose clock jumps for some seconds."""
        for _ in range(20):
            self.boot_s += 1.0
            self.time.now()
        self.step_s = 2.0
        for _ in range(8):
            self.boot_s += 1.0
            self.assertEqual(self.time.now(), 5000.0 + self.boot_s)

    def test_wrong_clock_at_the_start_is_outvoted(self):
        """Guards against an entry that starts while its clock is off."""
        self.step_s = 2.0
        self.time = TrueTime(
            lambda: 5000.0 + self.boot_s + self.step_s, lambda: self.boot_s
        )
        for index in range(3):
            self.time.observe_peer(f"e{index}", 5000.0 + self.boot_s)
        self.assertEqual(self.time.now(), 5000.0 + self.boot_s)

    def test_estimates_that_waited_for_a_paused_process_are_ignored(self):
        """Guards against requests in wrong windows after a pause."""
        self.time.now()
        before_pause_s = self.boot_s
        self.boot_s += 8.0
        for index in range(3):
            self.time.observe_peer(f"e{index}", 5000.0 + before_pause_s)
        self.assertEqual(self.time.now(), 5000.0 + self.boot_s)


class RunCounterTest(unittest.TestCase):
    def setUp(self):
        self.counter = RunCounter()
        self.counter.counts = mock.Mock()

    def call(self, kind):
        return mock.Mock(route=mock.Mock(kind=kind), customer="huka270")

    def counted(self, kind, failure=None):
        with contextlib.suppress(AttemptFailed):
            with self.counter.count_plain(self.call(kind)):
                if failure is not None:
                    raise AttemptFailed(failure)
        counts = self.counter.counts
        return counts.add.call_count - counts.take_back.call_count

    def test_plain_attempts_count_unless_they_have_not_run(self):
        """Guards against refused attempts that count, and lost ones that don't."""
        for failure, expected in (
            (None, 1),
            (FailureReason.DECLINED, 0),
            (FailureReason.NOT_CONNECTED, 0),
            (FailureReason.WRONG_INSTANCE, 0),
            (FailureReason.CLOSED, 1),
            (FailureReason.SILENT, 1),
        ):
            with self.subTest(failure=failure):
                self.setUp()
                counted = self.counted(CallKind.IDEMPOTENT, failure)
                self.assertEqual(counted, expected)

    def test_stream_counts_with_its_first_event_alone(self):
        """Guards against streams that count before their first token."""
        self.assertEqual(self.counted(CallKind.STREAM), 0)
        self.counter.count_stream(self.call(CallKind.STREAM))
        self.counter.counts.add.assert_called_once()


class UsageCountsTest(unittest.TestCase):
    def setUp(self):
        self.counts = UsageCounts(5.0, TrueTime(lambda: 100.0, lambda: 100.0))

    def update(self, number, counts, entry_id="a", incarnation=1):
        return UsageUpdate(entry_id, incarnation, number, 0, counts)

    def test_repeated_and_late_updates_change_nothing(self):
        """Guards against messages that arrive twice or out of order."""
        totals = UsageTotals()
        for number, count in ((2, 7), (2, 7), (1, 3)):
            totals.apply(self.update(number, {20: {"huka270": count}}))
        totals.apply(self.update(1, {20: {"huka270": 2}}, incarnation=2))
        self.assertEqual(totals.of_window(20), {"huka270": 9})

    def test_request_that_was_refused_is_taken_back(self):
        """Guards against counts of requests that an upstream refused."""
        window = self.counts.add("huka270", 100.0)
        self.counts.take_back("huka270", window)
        self.assertEqual(self.counts.changed_since(0), {20: {"huka270": 0}})

    def test_nothing_is_added_to_a_closed_window(self):
        """Guards against requests that a report can't have, after a step of time."""
        boot_s, step_s = 104.0, 2.0
        time = TrueTime(lambda: boot_s + step_s, lambda: boot_s)
        counts = UsageCounts(5.0, time)
        self.assertEqual(counts.close_windows(0.1), 21)
        for index in range(3):
            time.observe_peer(f"e{index}", boot_s)
        self.assertEqual(counts.close_windows(0.1), 21)
        self.assertEqual(counts.add("huka270", boot_s), 21)

    def test_message_of_a_large_entry_stays_small(self):
        """Guards against counts that exceed the bounds of control traffic."""
        names = {f"customer{index}": index for index in range(830)}
        data = usage_fields(self.update(1, {20: names}))["counts"]
        self.assertLess(len(data), 6 * 1024)

    def test_malformed_counts_are_refused(self):
        """Guards against a peer's bytes that aren't counts."""
        for data in (b"", b"x", usage_fields(self.update(1, []))["counts"]):
            item = mock.Mock(counts=data)
            with self.assertRaises(FrameError):
                usage_from(item)
