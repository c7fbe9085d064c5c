"""Registered upstreams: what one said of its incarnation holds while that lasts."""

import unittest
from dataclasses import replace
from unittest import mock

from wisteriaarch.event_log import EventLog
from wisteriaarch.process import incarnations, upstreams
from wisteriaarch.process.upstreams import Upstream, UpstreamRegistry
from wisteriaarch.wire import Address

BORN_MS = 1_800_000_000_000
LEAVER = Upstream(
    "app-1", "app", Address("127.0.0.1", 80), "z", 8, started_at_ms=BORN_MS
)
OTHER = replace(LEAVER, upstream_id="app-2")
RESTARTED = replace(LEAVER, started_at_ms=BORN_MS + 1)


class LeavingUpstreamTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 1000.0
        patched = mock.patch.object(upstreams, "now_s", lambda: self.now_s)
        self.enterContext(patched)
        self.registry = UpstreamRegistry(lambda: None, mock.Mock(spec=EventLog))
        self.list(LEAVER, OTHER)

    def list(self, *listed):
        """Apply a list of registrations, a second after the last one."""
        self.now_s += 1.0
        self.registry.update(listed)

    def usable(self):
        return [item.upstream_id for item in self.registry.usable("app")]

    def test_late_heartbeat_brings_no_work_to_an_upstream_that_leaves(self):
        """Guards against new work after an answer that said Server-Leaving."""
        self.assertTrue(self.registry.record_draining("app-1", self.now_s))
        self.list(OTHER)
        self.list(LEAVER, OTHER)
        self.assertEqual(self.usable(), ["app-2"])
        self.assertIsNone(self.registry.get_usable("app-1"))

    def test_heartbeat_from_before_a_draining_one_brings_no_work(self):
        """Guards against a late registration as ready after one as draining."""
        self.list(replace(LEAVER, is_draining=True), OTHER)
        self.list(LEAVER, OTHER)
        self.assertEqual(self.usable(), ["app-2"])

    def test_answer_after_the_registration_ended_counts(self):
        """Guards against an answer that comes when its upstream isn't listed."""
        sent_at_s = self.now_s
        self.list(OTHER)
        self.assertTrue(self.registry.record_draining("app-1", sent_at_s))
        self.list(LEAVER, OTHER)
        self.assertEqual(self.usable(), ["app-2"])

    def test_restarted_upstream_is_used(self):
        """Guards against an upstream that is left out for a former incarnation."""
        self.registry.record_draining("app-1", self.now_s)
        self.list(OTHER)
        self.list(RESTARTED, OTHER)
        self.assertEqual(self.usable(), ["app-1", "app-2"])

    def test_late_answer_of_a_former_incarnation_leaves_out_nothing(self):
        """Guards against a present incarnation that is taken for leaving."""
        sent_at_s = self.now_s
        self.list(RESTARTED, OTHER)
        self.assertFalse(self.registry.record_draining("app-1", sent_at_s))
        self.assertEqual(self.usable(), ["app-1", "app-2"])

    def test_late_heartbeat_of_a_former_incarnation_makes_nothing_forgotten(self):
        """Guards against leaving upstreams that a row of before makes usable."""
        self.list(RESTARTED, OTHER)
        self.registry.record_draining("app-1", self.now_s)
        self.list(LEAVER, OTHER)
        self.list(RESTARTED, OTHER)
        self.assertEqual(self.usable(), ["app-2"])

    def test_unlisted_upstreams_are_forgotten(self):
        """Guards against records that grow with each upstream that ever was."""
        self.registry.record_draining("app-1", self.now_s)
        self.list(OTHER)
        self.now_s += incarnations.UNLISTED_RETENTION_S
        self.list(OTHER)
        known = self.registry._incarnations._newest
        self.assertEqual(list(known), ["app-2"])


if __name__ == "__main__":
    unittest.main()
