"""Peers send bytes without end to the peer port of one entry, many at once."""

import contextlib
import socket
import threading
import time

from extras.cluster import wait_until
from extras.gateway_cluster import GatewayCluster, is_ready
from tests.endless_support import BLOCK, PEAK_MAX_KB, peak_kb
from tests.gateway_support import RouteCluster
from wisteriaarch.connection.frames import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    encode_frame,
)
from wisteriaarch.connection.scheduling_encoder import encode_message
from wisteriaarch.connection.scheduling_messages import CopyQuery

PEERS = 50
SEND_S = 3.0
SEND_TIMEOUT_S = 5.0


class EndlessFramesTest(RouteCluster):
    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        self.cluster.start_store()
        self.cluster.start_server("app-1", "app")
        self.entry = self.cluster.start_gateway()
        wait_until(lambda: is_ready(self.entry))
        wait_until(lambda: self.call_sound() == 200)

    def call_sound(self):
        return self.ask("GET", "/get/x", "sound", self.entry).status

    def send(self, beginning, block, size):
        """Send up to ``size`` bytes, and keep the connection open until the end."""
        host = self.entry.address.rpartition(":")[0]
        peer_port = self.entry.ports[3]
        end_at_s = time.monotonic() + SEND_S
        with (
            contextlib.suppress(OSError),
            socket.create_connection((host, peer_port), SEND_TIMEOUT_S) as sock,
        ):
            sock.sendall(beginning)
            while time.monotonic() < end_at_s:
                if size < len(block):
                    time.sleep(0.05)
                    continue
                sock.sendall(block)
                size -= len(block)

    def assert_harmless(self, *arguments):
        peers = [
            threading.Thread(target=self.send, args=arguments) for _ in range(PEERS)
        ]
        for thread in peers:
            thread.start()
        sound = []
        while any(thread.is_alive() for thread in peers) or not sound:
            sound.append(self.call_sound())
        self.assertIsNone(self.entry.popen.poll())
        self.assertLess(peak_kb(self.entry), PEAK_MAX_KB)
        self.assertEqual(set(sound), {200})

    def test_many_unfinished_frames(self):
        length = MAX_FRAME_BYTES.to_bytes(LENGTH_BYTES, "big")
        self.assert_harmless(length, BLOCK, MAX_FRAME_BYTES - 1)

    def test_many_endless_queries(self):
        query = encode_frame(encode_message(CopyQuery()))
        self.assert_harmless(b"", query * 200, 1 << 30)
