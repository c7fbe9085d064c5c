"""Faulty servers send bytes without end to many callers of one entry at once."""

import threading
import time
from functools import partial

from extras.cluster import Cluster, request, wait_until
from extras.gateway_cluster import (
    GatewayCluster,
    configuration,
    is_ready,
    route_row,
    server_row,
)
from tests.endless_support import (
    PEAK_MAX_KB,
    STREAMED,
    WAYS,
    EndlessServer,
    peak_kb,
)
from tests.gateway_support import RouteCluster
from tests.support import AUTHORIZATION, MODEL, caller_spec, manifest_content

CALLERS = 50
DEADLINE_MS = 1500
ENDED_TIMEOUT_S = 6.0
CALL_TIMEOUT_S = 5.0


class EndlessServersTestCase(RouteCluster):
    def assert_harmless(self, server, faulty_call, sound_call):
        """Check that many calls to a faulty server harm no others."""
        ends, sound = [], []

        def call(number):
            began_at_s = time.monotonic()
            try:
                status = faulty_call(number)
            except OSError:
                status = 0
            ends.append((status, time.monotonic() - began_at_s))

        threads = [threading.Thread(target=call, args=(n,)) for n in range(CALLERS)]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads) or not sound:
            sound.append(sound_call())
        for thread in threads:
            thread.join()
        self.assertIsNone(self.entry.popen.poll())
        self.assertLess(peak_kb(self.entry), PEAK_MAX_KB)
        self.assertEqual(set(sound), {200})
        self.assertEqual(len(ends), CALLERS)
        self.assertLess(max(taken_s for _status, taken_s in ends), CALL_TIMEOUT_S)
        self.assertGreater(server.accepted, 0)
        wait_until(lambda: sound_call() and not server.open, ENDED_TIMEOUT_S)


class GatewayEndlessServersTest(EndlessServersTestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(GatewayCluster())
        kinds = {True: "stream", False: "idempotent"}
        routes = [
            route_row(way, f"/{way}/", kinds[way in STREAMED], way) for way in WAYS
        ]
        content = configuration(routes=routes)
        content["services"] += [
            {"name": way, "health-path": "/health", "max-conns": 100} for way in WAYS
        ]
        cls.cluster.start_store(content)
        cls.cluster.start_server("app-1", "app")
        cls.servers = {way: EndlessServer(way) for way in WAYS}
        for way, server in cls.servers.items():
            row = server_row(server, way, slots=CALLERS)
            cls.cluster.write("servers", f"faulty-{way}", row)
            cls.addClassCleanup(server.close)
        cls.entry = cls.cluster.start_gateway()
        wait_until(lambda: is_ready(cls.entry))
        wait_until(lambda: cls.ask("GET", "/get/warm", "warm", cls.entry).status == 200)

    def call(self, path, number=0, method="POST"):
        return self.ask(method, path, f"{path}-{number}", self.entry, b"{}").status

    def test_many_endless_answers(self):
        for way, server in self.servers.items():
            method = "HEAD" if way == "no-content" else "POST"
            with self.subTest(way):
                self.assert_harmless(
                    server,
                    partial(self.call, f"/{way}/x", method=method),
                    partial(self.call, "/get/x"),
                )


class EntryEndlessServersTest(EndlessServersTestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(Cluster())
        cls.cluster.start_platform()
        engine = cls.cluster.start_engine("engine-1", models=[f"{MODEL}@v1"])
        cls.engine = cls.start_faulty("engine-1", "engine", ("127.0.0.1", engine.port))
        cls.cluster.start_service("portal-1")
        services = {f"faulty-{way}": way for way in WAYS}
        cls.servers = {
            way: cls.start_faulty(name, "service") for name, way in services.items()
        }
        for way, server in cls.servers.items():
            server.way = way
        cls.entry = cls.cluster.start_entry("entry-1")
        caller = caller_spec(services=["portal", *services])
        content = manifest_content(callers=[caller])
        content["services"] += [
            {"name": name, "upstreams": [name]} for name in services
        ]
        done = cls.cluster.apply(content)
        if done.returncode:
            raise RuntimeError(done.stderr + done.stdout)

    @classmethod
    def start_faulty(cls, name, kind, sound=None):
        server = EndlessServer("", sound)
        cls.addClassCleanup(server.close)
        cls.cluster.register(name, kind, server.address, "zone-a")
        return server

    def call(self, path, _number=0, method="POST", body=b""):
        headers = {**AUTHORIZATION, "X-Deadline-Ms": str(DEADLINE_MS)}
        return request(self.entry.address, method, path, body, headers).status

    def complete(self, way, number):
        body = {"model": MODEL, "max_tokens": 4, "stream": way in STREAMED}
        body["prompt"] = f"{way} {number}"
        return self.call("/v1/completions", body=body)

    def test_many_endless_answers_of_services(self):
        for way, server in self.servers.items():
            method = "HEAD" if way == "no-content" else "POST"
            path = f"/services/faulty-{way}/x"
            with self.subTest(way):
                self.assert_harmless(
                    server,
                    partial(self.call, path, method=method),
                    partial(self.call, "/services/portal/x"),
                )

    def test_many_endless_answers_of_an_engine(self):
        for way in WAYS:
            self.engine.way = way
            with self.subTest(way):
                self.assert_harmless(
                    self.engine,
                    partial(self.complete, way),
                    partial(self.call, "/services/portal/x"),
                )
