"""Long outage of the platform and its return."""

import time

from extras.cluster import wait_until

from .support import ClusterTestCase

READS_PER_ENTRY_S = 5.0
BOUND_S = 1.5
WINDOW_S = 2.0


class StoreOutageTest(ClusterTestCase):
    """Entries with the default times; 2,000 reads a second over 400 are 5 for each."""

    services = ()
    entries = ("entry-1", "entry-2", "entry-3", "entry-4")

    @classmethod
    def start_entries(cls):
        for name in cls.entries:
            cls.cluster.start_entry(
                name,
                freshness_bound_s=BOUND_S,
                heartbeat_every_s=0.25,
                head_poll_every_s=0.5,
                instances_poll_every_s=1.0,
            )

    def count(self, counter):
        return self.cluster.platform.request("GET", "/counters").json()[counter]

    def rate(self, counter):
        """Return a counter's growth per entry and second, while serving goes on."""
        before, since_s = self.count(counter), time.monotonic()
        while time.monotonic() - since_s < WINDOW_S:
            for name in self.entries:
                self.assertEqual(self.complete(entry=name).status, 200)
        grown = self.count(counter) - before
        return grown / len(self.entries) / (time.monotonic() - since_s)

    def basis(self, name):
        return self.process(name).request("GET", "/v1/status").json()["basis"]

    def test_serving_continues_and_the_recovery_is_no_stampede(self):
        self.assertLess(self.rate("reads"), READS_PER_ENTRY_S)
        self.cluster.set_faults(outage=True)
        self.assertLess(self.rate("requests"), READS_PER_ENTRY_S)
        for name in self.entries:
            wait_until(lambda name=name: self.basis(name) == "outage")
        self.assertLess(self.rate("requests"), READS_PER_ENTRY_S)
        self.cluster.set_faults(outage=False)
        self.assertLess(self.rate("reads"), READS_PER_ENTRY_S)
        for name in self.entries:
            wait_until(lambda name=name: self.basis(name) == "table")
        events = [line["event"] for line in self.process("entry-1").log_lines()]
        self.assertIn(204, events)
        self.assertNotIn(202, events)
