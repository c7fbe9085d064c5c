"""Callers that disconnect or stall, and addresses reused by another server."""

import contextlib
import os
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from extras.cluster import request, wait_until
from extras.gateway_cluster import HOST, server_row

from .gateway_support import GatewayTestCase

APPS = ("app-1", "app-2")
LEFT_WITHIN_S = 0.5
STALLED_CALLERS = 300
SERVED_WITHIN_S = 0.5
MEMORY_MAX_KB = 40_000
DESCRIPTORS_PER_CALLER = 2


class CallerTestCase(GatewayTestCase):
    """Opens connections of callers by hand."""

    def connect(self):
        host, _, port = self.gateway.address.rpartition(":")
        return socket.create_connection((host, int(port)))


class LeavingCallerTest(CallerTestCase):
    def test_work_is_cancelled_when_its_caller_disconnects(self):
        self.fail_next(APPS, "silent")
        with self.connect() as caller:
            caller.sendall(
                f"GET /get/left HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: l1\r\n"
                "Deadline-Remaining: 1500\r\n\r\n".encode()
            )
            wait_until(lambda: self.in_flight() == 1)
        left_at = time.monotonic()
        wait_until(lambda: self.in_flight() == 0)
        self.assertLess(time.monotonic() - left_at, LEFT_WITHIN_S)
        wait_until(lambda: self.requests_left() == ["l1"])

    def requests_left(self):
        """Return the logged requests whose callers disconnected."""
        lines = self.gateway.log_lines()
        return [line["request"] for line in lines if line["event"] == 304]

    def in_flight(self):
        """Return the entry's requests in flight on plain servers."""
        text = request(self.gateway.metrics_address, "GET", "/metrics").body.decode()
        return sum(
            float(line.split()[1])
            for line in text.splitlines()
            if line.startswith("wisteriaarch_requests_in_flight{") and "app-" in line
        )


class StalledCallersTest(CallerTestCase):
    """Half of the callers send nothing, the others half of a request's head."""

    def test_stalled_callers_use_little_memory_and_delay_no_other(self):
        memory_kb, descriptors = self.memory_kb(), self.descriptors()
        with contextlib.ExitStack() as stack:
            for number in range(STALLED_CALLERS):
                caller = stack.enter_context(self.connect())
                if number % 2:
                    caller.sendall(f"GET /get/x HTTP/1.1\r\nHost: {HOST}\r\n".encode())
            for number in range(10):
                began_at = time.monotonic()
                self.assertEqual(self.send("GET", "/get/x", f"s{number}").status, 200)
                self.assertLess(time.monotonic() - began_at, SERVED_WITHIN_S)
            self.assertLess(self.memory_kb() - memory_kb, MEMORY_MAX_KB)
            limit = descriptors + DESCRIPTORS_PER_CALLER * STALLED_CALLERS
            self.assertLess(self.descriptors(), limit)
        wait_until(lambda: self.descriptors() < descriptors + 20)

    def memory_kb(self):
        status = Path(f"/proc/{self.gateway.popen.pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0])

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.gateway.popen.pid}/fd"))


class ReusedAddressTest(GatewayTestCase):
    def test_request_runs_at_no_server_that_took_over_an_address(self):
        """A registration names an address that a server of another service has now."""
        other = self.cluster.processes["dec-1"]
        self.cluster.write("servers", "app-gone", server_row(other, "app"))
        self.addCleanup(self.cluster.remove, "servers", "app-gone")
        wait_until(lambda: "app-gone" in self.listed())
        # Both right servers decline one request, which goes to the wrong one then.
        self.fail_next(APPS, "shed")
        self.assertEqual(self.send_body(20).status, 200)
        with ThreadPoolExecutor(6) as pool:
            answers = list(pool.map(self.send_body, range(20)))
        for answer in answers:
            self.assertEqual(answer.status, 200)
            self.assertIn(answer.headers["server-seal"], APPS)
        seen = self.cluster.control("dec-1")["seen"]
        wrong = [item for item in seen if item["expect-instance"] == "app-gone"]
        self.assertTrue(wrong, "no request tried the address")
        self.assertEqual(
            [self.ran(f"r{n}") for n in range(21) if "dec-1" in self.ran(f"r{n}")], []
        )

    def listed(self) -> set[str]:
        """Return the registered upstreams that the entry knows."""
        lines = self.gateway.log_lines()
        return {line["upstream"] for line in lines if line["event"] == 220}

    def send_body(self, number):
        return self.send("POST", "/post/x", f"r{number}", b"body")
