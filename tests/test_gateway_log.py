"""A slow reader of the log doesn't delay callers."""

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
# Each makes two lines of 300 bytes or more; a pipe takes 64 KB, the entry as much.
FILLING_REQUESTS = 400


class LogReaderTest(GatewayTestCase):
    def start(self, number, **settings):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        gateway = self.cluster.start_gateway(number, output=writer, **settings)
        os.close(writer)
        wait_until(lambda: is_ready(gateway))
        return gateway, reader

    def time_s(self, gateway, name) -> float:
        started_at_s = time.monotonic()
        answer = self.send("GET", "/get/x", name, gateway=gateway)
        elapsed_s = time.monotonic() - started_at_s
        self.assertEqual(answer.status, 200)
        return elapsed_s

    def test_stalled_log_reader_delays_no_answer(self):
        """Load: the collector of the logs hangs while requests go on.

        Both entries are asked by turns, so that the machine is as busy for both.
        """
        stopped, _reader = self.start(3)
        for number in range(FILLING_REQUESTS):
            self.time_s(stopped, f"fill-{number}")
        read, unread = [], []
        for number in range(REQUESTS):
            read.append(self.time_s(self.gateway, f"read-{number}"))
            unread.append(self.time_s(stopped, f"unread-{number}"))
        slower_s = statistics.median(unread) - statistics.median(read)
        self.assertLess(slower_s, SLOWER_MAX_S)
        self.assertLess(sorted(unread)[int(0.95 * REQUESTS)] - max(read), SLOWER_MAX_S)

    def test_lines_over_the_budget_are_suppressed_and_counted(self):
        gateway, reader = self.start(4, log={"form": "json", "lines_per_s": 5})
        for number in range(REQUESTS):
            self.time_s(gateway, f"over-{number}")
        time.sleep(1.2)
        self.assertEqual(
            self.send("GET", "/absent/x", "refused", gateway=gateway).status, 404
        )
        lines = [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]
        events = [line["event"] for line in lines]
        self.assertLess(events.count(312), REQUESTS / 2)
        self.assertIn(118, events)
        self.assertIn(303, events)
