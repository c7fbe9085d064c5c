"""Requests cut or mangled, and settings lost, as an entry stops or starts."""

import http.client
import json
import resource
import signal
import socket
import tempfile
import time
import unittest
from pathlib import Path
from types import SimpleNamespace

import curio
from curio.io import Socket

from extras.cluster import wait_until
from extras.gateway_cluster import HOST, GatewayCluster, is_ready
from wisteriaarch.connection.caller_connection import AnswerForm, CallerConnection
from wisteriaarch.connection.caller_server import CallerServer
from wisteriaarch.event_log import EventLog
from wisteriaarch.process.gateway_settings import GatewaySettings
from wisteriaarch.process.limit_reports import LimitReports
from wisteriaarch.process.metrics import Metrics
from wisteriaarch.process.settings_models import LimitSettings
from wisteriaarch.process.settings_watch import SettingsWatch
from wisteriaarch.process.signals import StopSignals

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
EVENT = b"data: " + b"x" * 40_000_000 + b"\n\n"


class App:
    """Answers each request with ``answer``."""

    answer_form = AnswerForm()

    def __init__(self, answer):
        self.answer = answer
        self.log = EventLog("stop")
        self.metrics = Metrics()
        self.closing = False
        limits = LimitSettings(head_bytes=8192, body_bytes=8192, idle_timeout_s=10.0)
        self.settings = SimpleNamespace(limits=limits)

    def time_left_s(self):
        return float("inf")

    def request_id(self, _req):
        return ""

    async def handle(self, req, conn):
        await self.answer(req, conn)


async def serve(app, sock):
    reports = LimitReports(app.metrics, app.log)
    server = CallerServer(
        lambda client: CallerConnection(client, app, reports), app.log
    )
    await server.start(sock)
    return server


def listen():
    return Socket(socket.create_server(("127.0.0.1", 0)))


class StopTest(unittest.TestCase):
    def test_error_event_at_the_cut_is_no_part_of_a_stream_event(self):
        curio.run(self.cut_slow_reader)

    async def cut_slow_reader(self):
        async def answer(_req, conn):
            await conn.start_stream([("Content-Type", "text/event-stream")])
            await conn.send_block(EVENT)

        app = App(answer)
        sock = listen()
        server = await serve(app, sock)
        client = await curio.open_connection(*sock.getsockname())
        await client.sendall(REQUEST)
        await curio.sleep(0.2)
        app.closing = True
        ending = await curio.spawn(server.end_requests, 1.0)
        received = b""
        while data := await client.recv(1_000_000):
            received += data
        await ending.join()
        _, _, body = received.partition(b"\r\n\r\n")
        size, _, body = body.partition(b"\r\n")
        self.assertFalse(b"event: error" in body[: int(size, 16)])

    def test_body_that_never_comes_ends_at_the_cut_on_a_connection_once_idle(self):
        app = App(None)
        started_at_s = time.monotonic()
        curio.run(self.cut_late_body, app)
        self.assertLess(time.monotonic() - started_at_s, 3.0)

    async def cut_late_body(self, app):
        sock = listen()
        server = await serve(app, sock)
        client = await curio.open_connection(*sock.getsockname())
        await curio.sleep(0.1)
        app.closing = True
        closing = await curio.spawn(server.close_connections)
        await curio.sleep(0.1)
        await client.sendall(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1"
        )
        await curio.sleep(0.2)
        await closing.cancel()
        await server.end_requests(0.5)
        async with curio.timeout_after(0.5):
            self.assertIn(b" 503 ", await client.recv(1000))


class SettingsTest(unittest.TestCase):
    def test_settings_changed_while_the_entry_starts_come_into_force(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "entry.json"
            content = {
                "entry_id": "127.0.0.2",
                "zone": "z1",
                "front": "127.0.0.2:1",
                "ready": "127.0.0.2:2",
                "directory": "127.0.0.2:3",
                "metrics_port": 4,
                "peer_port": 5,
                "store": "127.0.0.1:6",
                "settings_poll_every_s": 0.05,
            }
            path.write_text(json.dumps(content), encoding="utf-8")
            settings = GatewaySettings.from_file(str(path))
            content["callers_keep_s"] = 7.5
            path.write_text(json.dumps(content), encoding="utf-8")
            applied = []
            watch = SettingsWatch(str(path), settings, applied.append, EventLog("s"))

            async def run():
                async with curio.ignore_after(0.5):
                    await watch.run()

            curio.run(run)
        self.assertEqual([item.callers_keep_s for item in applied], [7.5])


class HangUpTest(unittest.TestCase):
    def test_process_that_ignores_hang_ups_goes_on_ignoring_them(self):
        before = signal.signal(signal.SIGHUP, signal.SIG_IGN)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        with StopSignals():
            self.assertIs(signal.getsignal(signal.SIGHUP), signal.SIG_IGN)


class GraceTest(unittest.TestCase):
    def test_half_a_body_keeps_no_entry_beyond_its_grace(self):
        with GatewayCluster() as cluster:
            cluster.start_store()
            entry = cluster.start_gateway(stop_grace_s=4.0, callers_keep_s=0.1)
            wait_until(lambda: is_ready(entry))
            host, _, port = entry.address.rpartition(":")
            with socket.create_connection((host, int(port)), 5) as conn:
                conn.sendall(
                    b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1"
                )
                time.sleep(0.3)
                signalled_at_s = time.monotonic()
                entry.send_signal(signal.SIGTERM)
                entry.wait()
                self.assertLess(time.monotonic() - signalled_at_s, 4.0)
                self.assertIn(b" 503 ", conn.recv(1000))


class DescriptorTest(unittest.TestCase):
    def test_lack_of_descriptors_at_the_close_cuts_no_stream(self):
        with GatewayCluster() as cluster:
            cluster.start_store()
            cluster.start_server("dec-1", "llm", "decode")
            cluster.control("dec-1", event_interval_s=0.47)
            entry = cluster.start_gateway(stop_grace_s=1.7, callers_keep_s=0.1)
            wait_until(lambda: is_ready(entry))
            wait_until(lambda: self.begin(entry, "warm").read().count(b"\n\n") == 4)
            answer = self.begin(entry, "open")
            resource.prlimit(entry.popen.pid, resource.RLIMIT_NOFILE, (4, 4))
            entry.send_signal(signal.SIGTERM)
            try:
                events = answer.read().count(b"\n\n")
            except http.client.IncompleteRead as exc:
                events = exc.partial.count(b"\n\n")
            self.assertEqual((events, entry.wait()), (4, 0))

    def begin(self, entry, call_id):
        host, _, port = entry.address.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=10)
        headers = {
            "Host": HOST,
            "Attempt-Id": call_id,
            "Deadline-Remaining": "9000",
            "Model": "m",
            "Token-Counts": "200,40",
        }
        conn.request("POST", "/chat/x", b"{}", headers)
        return conn.getresponse()
