"""Routes by host and path prefix on the own interface."""

import json
import random
import unittest
from collections import Counter

from wisteriaarch.errors import ConfigError, ErrorKind, RequestError
from wisteriaarch.request.request_parsing import parse_route_call
from wisteriaarch.version.manifest import Manifest
from wisteriaarch.wire import HttpRequest

from .support import (
    AUTHORIZATION,
    ClusterTestCase,
    caller_spec,
    manifest_content,
    request,
)

HOST = "libro.example"
SERVICES = ("portal", "archive")
ROUTES = [
    {"name": "all", "host": HOST, "services": [{"service": "portal"}]},
    {
        "name": "old",
        "host": HOST,
        "prefix": "/old/",
        "services": [{"service": "archive"}],
        "attempts_max": 1,
        "timeout_s": 0.5,
    },
    {
        "name": "orders",
        "host": HOST,
        "prefix": "/orders",
        "kind": "non_idempotent",
        "services": [{"service": "portal"}],
    },
    {
        "name": "split",
        "host": "split.example",
        "services": [
            {"service": "portal", "weight": 3},
            {"service": "archive", "weight": 1},
        ],
    },
]


def routed_content(**more) -> dict:
    services = [{"name": name, "upstreams": [f"{name}-1"]} for name in SERVICES]
    return manifest_content(
        services=services,
        routes=ROUTES,
        callers=[
            caller_spec(services=SERVICES),
            caller_spec("other", "other-credential", services=["archive"]),
        ],
        **more,
    )


class RouteManifestTest(unittest.TestCase):
    def test_same_host_and_prefix_twice_is_refused(self):
        again = {**ROUTES[0], "name": "again", "host": HOST.upper()}
        self.assert_refused("routes.prefix", routes=[*ROUTES, again])

    def test_unknown_service_is_named(self):
        route = {**ROUTES[0], "services": [{"service": "absent"}]}
        self.assert_refused("routes.all.services", routes=[route])

    def test_prefix_begins_with_a_slash(self):
        self.assert_refused("prefix", routes=[{**ROUTES[0], "prefix": "old"}])

    def assert_refused(self, field, **more):
        with self.assertRaises(ConfigError) as caught:
            Manifest.parse(json.dumps({**routed_content(), **more}), "test")
        self.assertIn(field, str(caught.exception))


class RouteChoiceTest(unittest.TestCase):
    def setUp(self):
        self.manifest = Manifest.parse(json.dumps(routed_content()), "test")
        self.rng = random.Random(1)

    def parse(self, host, path, credential=None):
        authorization = AUTHORIZATION["Authorization"]
        if credential:
            authorization = f"Bearer {credential}"
        headers = {"host": host, "authorization": authorization}
        req = HttpRequest("GET", path, headers, header_list=list(headers.items()))
        route = self.manifest.route_index.find(host, req.path)
        return parse_route_call(req, self.manifest, route, self.rng)

    def test_weights_share_the_requests(self):
        """A new version of a service gets a quarter of a route's requests."""
        drawn = Counter(
            self.parse("split.example", "/").service.name for _ in range(4000)
        )
        self.assertAlmostEqual(drawn["archive"] / 4000, 0.25, delta=0.03)

    def test_only_services_of_the_caller_are_drawn(self):
        for _ in range(20):
            call = self.parse("split.example", "/", "other-credential")
            self.assertEqual(call.service.name, "archive")

    def test_caller_without_a_service_of_the_route_is_refused(self):
        with self.assertRaises(RequestError) as caught:
            self.parse(HOST, "/", "other-credential")
        self.assertIs(caught.exception.kind, ErrorKind.UNKNOWN_SERVICE)

    def test_longest_prefix_decides_its_attempts_and_timeout(self):
        call = self.parse(f"{HOST}:80", "/old/a?b=c")
        self.assertEqual((call.service.name, call.attempts_max), ("archive", 1))
        self.assertEqual(call.upstream_target, "/old/a?b=c")
        self.assertLess(call.remaining_s(), 0.51)


class RoutedPathTest(ClusterTestCase):
    services = ("portal-1", "archive-1")

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        done = cls.cluster.apply(routed_content())
        if done.returncode:
            raise RuntimeError(done.stderr + done.stdout)

    def ask(self, path, method="GET", host=HOST, **headers):
        address = self.process("entry-1").address
        headers = {**AUTHORIZATION, "Host": host, **headers}
        return request(address, method, path, b"", headers)

    def control(self, name, **content):
        self.process(name).request("POST", "/control", content)

    def test_longest_prefix_leads_to_its_service(self):
        for path, service in (("/a/b", "portal-1"), ("/old/b", "archive-1")):
            answer = self.ask(path).json()
            self.assertEqual((answer["service"], answer["target"]), (service, path))

    def test_paths_of_the_entry_go_before_routes(self):
        self.assertEqual(self.ask("/healthz").json(), {"status": "ok"})
        self.assertEqual(self.ask("/v1/completions").status, 405)

    def test_host_without_a_route_is_unknown(self):
        self.assertEqual(self.ask("/a", host="absent.example").status, 404)

    def test_non_idempotent_route_needs_a_key_and_runs_once(self):
        self.assertEqual(self.ask("/orders", "POST").json()["kind"], "key_required")
        key = {"Idempotency-Key": "order-1"}
        answers = [self.ask("/orders", "POST", **key) for _ in range(2)]
        self.assertEqual([answer.status for answer in answers], [200, 200])
        runs = self.process("portal-1").request("GET", "/runs").json()
        self.assertEqual(runs["order-1"], 1)

    def test_attempts_of_a_route_are_bounded(self):
        self.control("archive-1", die="during")
        answer = self.ask("/old/a")
        self.assertGreaterEqual(answer.status, 500)
        self.assertEqual(answer.json()["ran"], "unknown")

    def test_timeout_of_a_route_ends_its_requests(self):
        self.control("archive-1", delay_s=2.0)
        self.addCleanup(self.control, "archive-1", delay_s=0.0)
        self.assertEqual(self.ask("/old/a").json()["kind"], "deadline_exceeded")
