"""Upstreams that are down are told from an entry that has lost its links to them."""

import unittest

from wisteriaarch.process.upstream_paths import (
    DETOUR_S,
    PROBE_INTERVAL_S,
    SILENCE_S,
    UpstreamPaths,
)
from wisteriaarch.wire import Address

ADDRESS = Address("10.0.0.1", 80)


class UpstreamPathsTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.paths = UpstreamPaths(lambda: self.now_s)

    def probe(self, answers=False, probed=3, known=9):
        since_s = self.now_s
        self.paths.begin_probe()
        self.now_s += 0.3
        if answers:
            self.paths.record_answer(ADDRESS)
        return self.paths.conclude_probe(since_s, probed, known)

    def test_no_probe_while_answers_arrive(self):
        with self.paths.waiting_unless(is_relayed=False):
            for _ in range(20):
                self.now_s += SILENCE_S / 2
                self.paths.record_answer(ADDRESS)
                self.assertFalse(self.paths.needs_probe())

    def test_silence_of_all_upstreams_is_probed(self):
        self.assertFalse(self.paths.needs_probe())
        with self.paths.waiting_unless(is_relayed=False):
            self.now_s += SILENCE_S - 0.01
            self.assertFalse(self.paths.needs_probe())
            self.now_s += 0.02
            self.assertTrue(self.paths.needs_probe())
        self.assertFalse(self.paths.needs_probe())

    def test_failed_connection_is_probed_at_once_unless_another_upstream_answers(self):
        self.paths.record_failure()
        self.assertTrue(self.paths.needs_probe())
        self.now_s += 0.01
        self.paths.record_answer(ADDRESS)
        self.assertFalse(self.paths.needs_probe())

    def test_one_silent_upstream_is_not_the_entrys_fault(self):
        with self.paths.waiting_unless(is_relayed=False):
            self.now_s += SILENCE_S + 0.01
            self.assertFalse(self.probe(answers=True))
        self.assertFalse(self.paths.is_cut_off)

    def test_entry_is_cut_off_until_an_upstream_answers(self):
        self.assertTrue(self.probe())
        self.assertTrue(self.paths.is_cut_off)
        self.now_s += PROBE_INTERVAL_S
        self.assertTrue(self.paths.needs_probe())
        self.assertFalse(self.probe())
        self.assertTrue(self.probe(answers=True))
        self.assertFalse(self.paths.is_cut_off)

    def test_few_upstreams_are_all_probed(self):
        self.assertFalse(self.probe(probed=2, known=9))
        self.assertTrue(self.probe(probed=2, known=2))

    def test_upstream_that_no_entry_reaches_is_asked_for_once_a_second(self):
        self.assertTrue(self.paths.may_have_detour(ADDRESS))
        self.paths.record_no_detour(ADDRESS)
        self.assertFalse(self.paths.may_have_detour(ADDRESS))
        self.now_s += DETOUR_S + 0.01
        self.assertTrue(self.paths.may_have_detour(ADDRESS))
        self.paths.record_no_detour(ADDRESS)
        self.paths.record_answer(ADDRESS)
        self.assertTrue(self.paths.may_have_detour(ADDRESS))

    def test_single_upstream_is_reached_through_another_entry_for_a_while(self):
        other = Address("10.0.0.2", 80)
        self.paths.record_detour(ADDRESS)
        self.assertTrue(self.paths.needs_detour(ADDRESS))
        self.assertFalse(self.paths.needs_detour(other))
        self.now_s += DETOUR_S + 0.01
        self.assertFalse(self.paths.needs_detour(ADDRESS))
