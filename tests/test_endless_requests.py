"""Callers send bytes without end to one entry, many at once."""

import contextlib
import socket
import threading
import time

from extras.cluster import wait_until
from extras.gateway_cluster import HOST, GatewayCluster, is_ready
from tests.endless_support import BLOCK, PEAK_MAX_KB, peak_kb
from tests.gateway_support import RouteCluster
from tests.support import CREDENTIAL, ClusterTestCase

CALLERS = 50
SEND_S = 2.0
# A caller whose body is read no further learns of it after the linger time.
CLOSED_TIMEOUT_S = 8.0
HEAD = b"POST %b HTTP/1.1\r\nHost: %b\r\nAuthorization: Bearer %b\r\n"
IDS = b"Attempt-Id: %d\r\nDeadline-Remaining: 1500\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# What each caller sends after its first headers, and then again and again.
WAYS = {
    "chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "length": (b"Content-Length: 8000000\r\n\r\n", BLOCK),
    "small-chunks": (CHUNKED, b"2\r\nxx\r\n" * 4096),
    "extension": (CHUNKED + b"1;", BLOCK),
    "trailer": (CHUNKED + b"0\r\n", b"A: " + b"x" * 4096 + b"\r\n"),
    "head": (b"", b"A: " + b"x" * 4096 + b"\r\n"),
    "pipelined": (b"\r\n", BLOCK),
}


class EndlessCaller:
    """Sends until the entry closes the connection, or for SEND_S."""

    def __init__(self, address, beginning, block):
        self._address = address
        self._beginning = beginning
        self._block = block
        self.thread = threading.Thread(target=self._send, daemon=True)
        self.thread.start()

    def _send(self):
        stop_at_s = time.monotonic() + SEND_S
        host, _, port = self._address.rpartition(":")
        with (
            contextlib.suppress(OSError),
            socket.create_connection((host, int(port)), CLOSED_TIMEOUT_S) as sock,
        ):
            sock.sendall(self._beginning)
            while time.monotonic() < stop_at_s:
                sock.sendall(self._block)


class EndlessRequests:
    """Checks that endless requests harm no other callers of ``entry``."""

    path = b""

    def assert_harmless(self, way):
        beginning, block = WAYS[way]
        head = HEAD % (self.path, HOST.encode(), CREDENTIAL.encode())
        callers = [
            EndlessCaller(self.entry.address, head + IDS % number + beginning, block)
            for number in range(CALLERS)
        ]
        sound = []
        while any(item.thread.is_alive() for item in callers) or not sound:
            sound.append(self.call_sound())
        self.assertIsNone(self.entry.popen.poll())
        self.assertLess(peak_kb(self.entry), PEAK_MAX_KB)
        self.assertEqual(set(sound), {200})

    def test_many_endless_requests(self):
        for way in WAYS:
            with self.subTest(way):
                self.assert_harmless(way)


class GatewayEndlessRequestsTest(EndlessRequests, RouteCluster):
    path = b"/post/x"

    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(GatewayCluster())
        cls.cluster.start_store()
        cls.cluster.start_server("app-1", "app")
        cls.entry = cls.cluster.start_gateway()
        wait_until(lambda: is_ready(cls.entry))
        wait_until(lambda: cls.call_sound() == 200)

    @classmethod
    def call_sound(cls):
        return cls.ask("GET", "/get/x", "sound", cls.entry).status


class EntryEndlessRequestsTest(EndlessRequests, ClusterTestCase):
    path = b"/services/portal/x"

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.entry = cls.cluster.processes["entry-1"]

    def call_sound(self):
        return self.call_service("/x").status
