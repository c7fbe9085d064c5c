"""The stand-ins take what their command line says."""

import contextlib
import http.client
import signal
import socket
import unittest

from extras.cluster import Cluster, wait_until
from wisteriaarch.emulator.engine import CRASH_MARKER

from .support import MODEL

POISONS = 3


class EmulatorTest(unittest.TestCase):
    def test_engine_starts_in_its_role(self):
        with Cluster() as cluster:
            cluster.start_platform()
            engine = cluster.start_engine("engine-1", role="decode")
            self.assertEqual(engine.request("GET", "/orders").json()["role"], "decode")

    def test_stop_signal_ends_every_emulator(self):
        with Cluster() as cluster:
            cluster.start_platform()
            cluster.start_engine("engine-1")
            cluster.start_service("portal-1")
            cluster.start_proxy("proxy-1", cluster.platform.address)
            for name in reversed(cluster.processes):
                self.assertEqual(cluster.stop(name), 0, name)

    def test_requests_that_arrive_at_one_crash_are_one_crash(self):
        """Stops the engine so that all requests are there when it goes on."""
        with Cluster() as cluster:
            cluster.start_platform()
            engine = cluster.start_engine("engine-1", models=[f"{MODEL}@v1"])
            body = f'{{"model": "{MODEL}", "prompt": "{CRASH_MARKER}"}}'
            head = "POST /v1/completions HTTP/1.1\r\nHost: e\r\n"
            message = f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()
            host, _, port = engine.address.rpartition(":")
            with contextlib.ExitStack() as stack:
                conns = [
                    stack.enter_context(socket.create_connection((host, int(port))))
                    for _ in range(POISONS)
                ]
                self.assertTrue(engine.request("GET", "/orders").json()["models"])
                engine.send_signal(signal.SIGSTOP)
                for conn in conns:
                    conn.sendall(message)
                engine.send_signal(signal.SIGCONT)
                for conn in conns:
                    self.assertEqual(conn.recv(1), b"")
            wait_until(lambda: _answer(engine, "/orders").get("incarnation", 1) > 1)
            self.assertEqual(_answer(engine, "/orders")["incarnation"], 2)
            self.assertEqual(_answer(engine, "/journal")["crashes"], 1)


def _answer(engine, target) -> dict:
    """Send a request to an engine that may be restarting."""
    with contextlib.suppress(OSError, http.client.HTTPException):
        return engine.request("GET", target).json()
    return {}
