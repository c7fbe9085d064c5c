"""The log of an entry costs its callers nothing, whoever reads it."""

import json
import os
import statistics
import time

from extras.cluster import wait_until
from extras.gateway_cluster import is_ready

from .gateway_support import GatewayTestCase

REQUESTS = 150
# What an answer may take longer where nobody reads the log.
SLOWER_MAX_S = 0.005
PIPE_BYTES = 64 * 1024


class LogReaderTest(GatewayTestCase):
    def start(self, number, **settings):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        gateway = self.cluster.start_gateway(number, output=writer, **settings)
        os.close(writer)
        wait_until(lambda: is_ready(gateway))
        return gateway, reader

    def times_s(self, gateway, name) -> list[float]:
        times_s = []
        for number in range(REQUESTS):
            started_at_s = time.monotonic()
            answer = self.send("GET", "/get/x", f"{name}-{number}", gateway=gateway)
            times_s.append(time.monotonic() - started_at_s)
            self.assertEqual(answer.status, 200)
        return sorted(times_s)

    def test_reader_that_stops_delays_no_answer(self):
        """Load: the collector of the logs hangs while requests go on."""
        read = self.times_s(self.gateway, "read")
        stopped, reader = self.start(3)
        os.set_blocking(reader, False)
        while self._fill(stopped) < PIPE_BYTES:
            continue
        unread = self.times_s(stopped, "unread")
        slower_s = statistics.median(unread) - statistics.median(read)
        self.assertLess(slower_s, SLOWER_MAX_S)
        self.assertLess(unread[int(0.95 * REQUESTS)] - read[-1], SLOWER_MAX_S)

    def _fill(self, gateway) -> int:
        """Send requests; return how many bytes of log they made at least."""
        self.filled = getattr(self, "filled", 0) + 1
        self.times_s(gateway, f"fill-{self.filled}")
        return self.filled * REQUESTS * 2 * 100

    def test_lines_over_the_budget_are_left_out_and_told(self):
        gateway, reader = self.start(4, log={"form": "json", "lines_per_s": 5})
        self.times_s(gateway, "over")
        time.sleep(1.2)
        self.assertEqual(
            self.send("GET", "/absent/x", "refused", gateway=gateway).status, 404
        )
        lines = [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]
        events = [line["event"] for line in lines]
        self.assertLess(events.count(312), REQUESTS / 2)
        self.assertIn(118, events)
        self.assertIn(303, events)
