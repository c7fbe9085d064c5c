"""Upstreams that state request limits, before several entries of the own interface."""

import json
import time

from .limit_support import SteadyLoad, allowed_requests, boot_time_s, most_in_window
from .support import ClusterTestCase, manifest_content

LIMIT_PER_S = 2.5
# Within this time all entries have heard of a limit, or of its end.
KNOWN_AFTER_S = 1.5
LOADED_S = 6.0
# Calls for this time after the end of a limit tell every entry that it has ended.
FORGOTTEN_AFTER_S = 3.0
HEADER = "X-Request-Limit"


class TwoPortalsTestCase(ClusterTestCase):
    """Cluster whose service has two upstreams."""

    services = ("portal-1", "portal-2")

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        portal = {"name": "portal", "upstreams": list(cls.services)}
        content = manifest_content(cls.engines, services=[portal])
        done = cls.cluster.apply(content)
        if done.returncode:
            raise RuntimeError(done.stderr + done.stdout)


class EntryLimitTest(TwoPortalsTestCase):
    """All entries together get calls for a multiple of an upstream's request limit."""

    engines = ("engine-1", "engine-2")
    entries = ("entry-1", "entry-2", "entry-3")

    def tearDown(self):
        """End all limits, and wait until every entry knows it.

        Until then an entry may refuse calls of the next test.
        """
        for name in (*self.services, "engine-1"):
            self.state_limit(name)
        with SteadyLoad(self.call, 20), SteadyLoad(self.completion, 10):
            time.sleep(FORGOTTEN_AFTER_S)

    def entry(self, number) -> str:
        return self.entries[number % len(self.entries)]

    def call(self, number) -> int:
        return self.call_service("/x", entry=self.entry(number)).status

    def completion(self, number) -> int:
        return self.complete({"max_tokens": 1}, self.entry(number)).status

    def state_limit(self, name, limit=None) -> float:
        """Have an upstream state a limit, and return when entries must know of it."""
        headers = [[HEADER, str(limit)]] if limit is not None else []
        if name in self.services:
            self.process(name).request("POST", "/control", {"headers": headers})
        else:
            self.process(name).request("POST", "/answer-headers", headers)
        return boot_time_s() + KNOWN_AFTER_S

    def arrivals(self, name) -> list[float]:
        if name in self.services:
            return self.process(name).request("GET", "/arrivals").json()
        return self.process(name).request("GET", "/journal").json()["arrivals"]

    def assert_kept(self, name, send, per_s):
        with SteadyLoad(send, per_s) as load:
            since_s = self.state_limit(name, LIMIT_PER_S)
            time.sleep(KNOWN_AFTER_S + LOADED_S)
        most = most_in_window(self.arrivals(name), since_s)
        self.assertLessEqual(most, allowed_requests(LIMIT_PER_S))
        self.assertEqual(set(load.statuses), {200})

    def test_limited_plain_service_gets_no_more_from_all_entries(self):
        self.assert_kept("portal-1", self.call, 40)

    def test_limited_engine_gets_no_more_from_all_entries(self):
        self.assert_kept("engine-1", self.completion, 30)

    def test_call_that_no_service_has_room_for_is_refused_at_once(self):
        for name in self.services:
            self.state_limit(name, LIMIT_PER_S)
        with SteadyLoad(self.call, 40):
            time.sleep(KNOWN_AFTER_S + 2.0)
            asked_at_s = time.monotonic()
            answers = [self.call_service("/x") for _ in range(10)]
            elapsed_s = time.monotonic() - asked_at_s
        refused = [answer for answer in answers if answer.status == 503]
        self.assertTrue(refused)
        self.assertLess(elapsed_s, 10 * 0.5)
        for answer in refused:
            self.assertGreater(int(answer.headers["retry-after"]), 0)
            self.assertEqual(json.loads(answer.body)["ran"], "no")


class BackoffTest(TwoPortalsTestCase):
    def count_arrivals(self) -> int:
        return len(self.process("portal-1").request("GET", "/arrivals").json())

    def test_requested_backoff_of_a_service_is_kept(self):
        portal = self.process("portal-1")
        back = {"status": 200, "headers": []}
        self.addCleanup(portal.request, "POST", "/control", back)
        refusal = {"status": 503, "headers": [["Retry-After", "2"]]}
        portal.request("POST", "/control", refusal)
        statuses = [self.call_service("/x").status for _ in range(20)]
        self.assertEqual(statuses.count(503), 1)
        portal.request("POST", "/control", back)
        before = self.count_arrivals()
        time.sleep(2.1)
        self.assertEqual({self.call_service("/x").status for _ in range(20)}, {200})
        self.assertGreater(self.count_arrivals(), before)
