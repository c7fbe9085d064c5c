"""Leases: one holder at a time, whatever is paused, killed or lost."""

import signal
import unittest
from unittest import mock

import curio

from extras.cluster import wait_until
from wisteriaarch.errors import LeaseLost
from wisteriaarch.event_log import EventLog
from wisteriaarch.process.lease import CONTENDERS_MAX, Lease
from wisteriaarch.process.lease_record import Contender
from wisteriaarch.process.settings_models import LeaseSettings
from wisteriaarch.steps import Step

from .control_support import GROUP, LEASE, ControlTestCase, control_manifest
from .lease_support import FakeTable

PAIR = ("entry-1", "entry-2")
LONG_LEASE = {**LEASE, "term_s": 30.0}


class LeaseTest(ControlTestCase):
    def start_pair(self, **settings):
        self.start_engine()
        for name in PAIR:
            self.start_entry(name, **settings)
        self.apply(control_manifest())

    def other(self, name):
        return next(item for item in PAIR if item != name)

    def test_successor_of_a_killed_holder_has_the_next_epoch(self):
        self.start_pair()
        holder = self.wait_for_holder(*PAIR)
        self.assertEqual(self.holders(*PAIR), [holder])
        self.cluster.processes[holder].send_signal(signal.SIGKILL)
        epoch = self.epoch()
        self.wait_for_holder(self.other(holder))
        self.assertGreater(self.epoch(), epoch)

    def test_holder_paused_past_its_term_has_lost_the_lease(self):
        self.start_pair()
        self.wait_for_holder(*PAIR)
        for step in (Step.LEASE_READ, Step.LEASE_WRITE, Step.LEASE_RENEWED):
            with self.subTest(step=step):
                self._pause_holder_at(step)

    def _pause_holder_at(self, step):
        epoch = self.epoch()
        holder = self.wait_for_holder(*PAIR)
        while True:
            stopped = self.stop_at(step)
            stopped.wait()
            if self.name_of(stopped.pid) == holder:
                break
            stopped.resume()
        self.wait_for_holder(self.other(holder))
        self.assertEqual(self.epoch(), epoch + 1)
        stopped.resume()
        lost = {"event": 401, "epoch": epoch}
        wait_until(lambda: self._has_logged(holder, lost))
        self.assertEqual(self.holders(*PAIR), [self.other(holder)])

    def _has_logged(self, name, fields):
        lines = self.cluster.processes[name].log_lines()
        return any(fields.items() <= line.items() for line in lines)

    def test_graceful_stop_releases_the_lease_long_before_its_end(self):
        self.start_pair(lease=LONG_LEASE)
        holder = self.wait_for_holder(*PAIR)
        self.assertEqual(self.cluster.stop(holder), 0)
        self.wait_for_holder(self.other(holder), timeout_s=LONG_LEASE["term_s"] / 2)

    def test_lost_answer_to_the_takeover_is_settled_by_reading_back(self):
        self.start_engine()
        self.controller.arm(
            Step.LEASE_WRITE, lambda _pid: self.cluster.set_faults(lose_answers=1)
        )
        self.start_entry("entry-1", lease=LONG_LEASE)
        self.apply(control_manifest())
        self.wait_for_holder("entry-1")
        self.assertEqual(self.epoch(), 1)

    def test_two_processes_with_one_id_are_two_contenders(self):
        self.start_engine()
        for name in PAIR:
            self.start_entry(name, entry_id="entry-1", lease={**LEASE, "term_s": 3.0})
        self.apply(control_manifest())
        holder = self.wait_for_holder(*PAIR)
        self.wait_for_version("v1")
        self.assertEqual(self.holders(*PAIR), [holder])
        self.assertEqual(self.epoch(), 1)
        self.assertEqual(self.row("leases", GROUP)["value"]["holder"], "entry-1")
        self.cluster.processes[holder].send_signal(signal.SIGKILL)
        self.wait_for_holder(self.other(holder))
        self.assertEqual(self.epoch(), 2)


class LeaseTimeTest(unittest.TestCase):
    """The margins of time, on a clock that the test sets."""

    def setUp(self):
        self.table = FakeTable()
        clock = mock.patch("wisteriaarch.process.lease.now_s", lambda: self.table.now_s)
        self.enterContext(clock)
        self.enterContext(mock.patch.object(EventLog, "write"))

    def lease(self, name, candidates=()):
        settings = LeaseSettings(term_s=3.0, renew_every_s=0.5, drift_margin_s=0.25)
        contender = Contender(name, f"{name}-1")
        log = EventLog(name)
        return Lease(GROUP, contender, self.table, settings, lambda: candidates, log)

    def advance(self, lease, seconds=0.0):
        self.table.now_s += seconds
        curio.run(lease.acquire_or_renew)

    def test_term_counts_from_before_the_renewal_is_sent(self):
        lease = self.lease("a")
        self.advance(lease)
        self.table.write_s = 2.0
        self.advance(lease, 0.5)
        lease.require_remaining(0.9)
        with self.assertRaises(LeaseLost):
            lease.require_remaining(1.0)

    def test_contender_waits_for_term_and_margin_since_the_last_renewal(self):
        holder, contender = self.lease("a"), self.lease("b")
        self.advance(holder)
        self.advance(contender)
        self.advance(holder, 2.0)
        self.advance(contender, 1.5)
        self.advance(contender, 3.2)
        self.assertFalse(contender.is_held())
        self.advance(contender, 0.1)
        self.assertTrue(contender.is_held())
        self.assertFalse(holder.is_held())
        self.assertEqual(contender.lease_term.epoch, 2)

    def test_successor_waits_for_a_term_after_the_last_possible_order(self):
        """Two holders must not issue orders within one term."""
        holder, contender = self.lease("a"), self.lease("b")
        self.advance(holder)
        self.advance(contender)
        holder_ends_at_s = holder.lease_term.expires_at_s
        self.advance(contender, 3.3)
        self.assertTrue(contender.is_held())
        self.table.now_s = holder_ends_at_s + 2.9
        self.advance(contender)
        self.assertFalse(contender.may_issue_orders())
        self.table.now_s = holder_ends_at_s + 3.1
        self.assertTrue(contender.may_issue_orders())

    def test_successor_after_a_release_orders_at_once(self):
        holder, successor = self.lease("a"), self.lease("b")
        self.advance(holder)
        curio.run(holder.release)
        self.advance(successor)
        self.assertTrue(successor.may_issue_orders())

    def test_restarted_holder_orders_as_soon_as_it_has_the_lease(self):
        self.advance(self.lease("a"))
        again = self.lease("a")
        again._contender = Contender("a", "a-2")
        self.advance(again)
        self.advance(again, 3.3)
        self.assertTrue(again.may_issue_orders())

    def test_few_of_many_entries_read_the_lease(self):
        names = [f"entry-{number}" for number in range(400)]
        readers = set()
        read = self.table.read

        async def note_reader(table, key):
            readers.add(name)
            return await read(table, key)

        self.table.read = note_reader
        for name in names:
            self.advance(self.lease(name, names))
        self.assertEqual(len(readers), CONTENDERS_MAX)

    def test_renewal_after_a_lapse_keeps_the_epoch_when_nobody_took_over(self):
        lease = self.lease("a")
        self.advance(lease)
        self.advance(lease, 10.0)
        self.assertTrue(lease.is_held())
        self.assertEqual(lease.lease_term.epoch, 1)
