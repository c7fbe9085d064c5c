"""Messages of the users' platform, as bytes, and malformed ones."""

import base64
import json
import random
import unittest
from unittest import mock

import curio

from extras.gateway_cluster import GatewayCluster
from wisteriaarch.errors import (
    ConfigError,
    RequestError,
    StoreUnavailable,
    WireError,
    WriteConflict,
    WriteOutcomeUnknown,
)
from wisteriaarch.events import Event
from wisteriaarch.platform.callers import decode_call
from wisteriaarch.platform.orders import PlatformOrders
from wisteriaarch.platform.rows import decode_configuration, decode_upstream
from wisteriaarch.platform.store import PlatformStore, _decode_rows
from wisteriaarch.platform.upstreams import PlatformUpstreams
from wisteriaarch.process.fleet_state import FleetState
from wisteriaarch.process.request_limits import UNLIMITED
from wisteriaarch.process.rows import StoredRow
from wisteriaarch.process.store import Put, Transaction
from wisteriaarch.process.upstream_health import BACKOFF_MAX_S
from wisteriaarch.process.upstream_loads import ReportedLoad
from wisteriaarch.process.upstream_signals import UpstreamSignals
from wisteriaarch.process.upstreams import Stage
from wisteriaarch.request.upstream_protocol import AttemptOptions, KvCacheHandle
from wisteriaarch.version.route_table import CallKind
from wisteriaarch.version.stage_orders import EngineReport, StageOrder
from wisteriaarch.wire import Address, HttpRequest, HttpResponse

from .route_support import upstream

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "split",
            "host": "books.example",
            "prefix": "/a/",
            "kind": "stream",
            "timeout-ms": 5000,
            "slo-ms": 500,
            "priority": 1,
            "traffic-split": [
                {"service": "one", "weight": 90},
                {"service": "two", "weight": 10},
            ],
            "max-attempts": 1,
            "sticky": True,
            "resumable": False,
            "gap-slo-ms": 150,
        },
        {
            "name": "deep",
            "host": "books.example",
            "prefix": "/a/b/",
            "kind": "non_idempotent",
            "timeout-ms": 1000,
            "slo-ms": 200,
            "service": "two",
        },
    ],
    "services": [
        {"name": "one", "engine": {"slots": 48, "kv-capacity-tokens": 495_255}},
        {"name": "two", "max-conns": 100},
    ],
    "limits": {},
}
SERVER = {
    "service": "one",
    "address": "10.128.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 48,
    "state": "ready",
    "cold-left-ms": 0,
    "stage": "decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
    "born": 1_777_000_000_000,
}
HEADERS = [
    ("Host", "books.example"),
    ("Attempt-Id", "9c41"),
    ("Model", "m"),
    ("Token-Counts", "1460,80"),
    ("Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    ("Deadline-Remaining", "3000"),
]


def row(content, key="i-1", version=3) -> StoredRow:
    value = content if isinstance(content, bytes) else json.dumps(content).encode()
    return StoredRow(key, version, value)


def read_request(headers=None, target="/a/2f", method="POST") -> HttpRequest:
    items = headers or HEADERS
    by_name = {name.lower(): value for name, value in items}
    return HttpRequest(method, target, by_name, b"body", items)


def read_call(headers=None, target="/a/2f"):
    table = decode_configuration(row(CONFIGURATION))
    return decode_call(read_request(headers, target), table, random.Random(1))


class ConfigurationTest(unittest.TestCase):
    def test_routes_and_services(self):
        table = decode_configuration(row(CONFIGURATION))
        route = table.find("books.example:8080", "/a/x")
        self.assertEqual((route.name, route.kind), ("split", CallKind.STREAM))
        self.assertEqual((route.timeout_s, route.objective_s), (5.0, 0.5))
        self.assertEqual(route.pause_s, 0.15)
        self.assertEqual([item.weight for item in route.services], [90, 10])
        self.assertEqual(table.services["one"].engine.cache_tokens, 495_255)

    def test_longest_prefix_wins(self):
        table = decode_configuration(row(CONFIGURATION))
        self.assertEqual(table.find("books.example", "/a/b/c").name, "deep")
        self.assertIsNone(table.find("books.example", "/ab"))
        self.assertIsNone(table.find("other.example", "/a/b"))

    def test_malformed_ones_name_the_row(self):
        for content in (b"\xff", b"[]", b"{}", {"version": 1, "routes": [3]}):
            with self.subTest(content=content), self.assertRaises(ConfigError):
                decode_configuration(row(content))


SCALING = {
    "min-replicas": 1,
    "max-replicas": 10,
    "boot-s": 4.0,
    "spot-price": 0.15,
    "zone-prices": {"accra-a": 1.0, "accra-b": 0.8},
}


def scaled_service(content):
    services = [{"name": "one", "autoscaling": content}, {"name": "two"}]
    table = decode_configuration(row({**CONFIGURATION, "services": services}))
    return table.services["one"], table


class ScalingTest(unittest.TestCase):
    def test_limits_and_prices(self):
        spec = scaled_service(SCALING)[0].scaling
        self.assertEqual((spec.replicas_min, spec.replicas_max), (1, 10))
        self.assertEqual((spec.boot_s, spec.price("accra-a", False)), (4.0, 1.0))
        self.assertAlmostEqual(spec.price("accra-b", True), 0.12)

    def test_service_without_scaling_has_none(self):
        table = decode_configuration(row(CONFIGURATION))
        for service in table.services.values():
            self.assertEqual((service.scaling, service.scaling_error), (None, ""))

    def test_invalid_scaling_leaves_the_rest_in_force(self):
        """A range that can't be met must not end the routing of all services."""
        changes = {
            "min-replicas": (11, -1, "1", None, True, 1.5),
            "max-replicas": (0, "10", None),
            "boot-s": (-1, "4", None, True),
            "spot-price": (-0.1, "x", True),
            "zone-prices": ({}, None, [], {"a": -1}, {"a": "1"}, {"": 1}),
        }
        contents = [{**SCALING, name: v} for name, vs in changes.items() for v in vs]
        for content in (*contents, [], 3, "x", {}):
            with self.subTest(content=content):
                service, table = scaled_service(content)
                self.assertIsNone(service.scaling)
                self.assertIn("autoscaling", service.scaling_error)
                self.assertEqual(len(table.routes), 2)
                self.assertIn("two", table.services)

    def test_invalid_scaling_is_logged(self):
        services = [{"name": "one", "autoscaling": {}}, {"name": "two"}]
        log = mock.Mock()
        adapter = mock.Mock(decode_configuration=decode_configuration)
        adapter.store_era.current = 0
        state = FleetState(adapter, 1.0, log)
        state._activate_configuration(row({**CONFIGURATION, "services": services}))
        written = {call.args[0]: call.kwargs for call in log.write.mock_calls}
        self.assertEqual(written[Event.SCALING_INVALID]["service"], "one")


class UpstreamRowTest(unittest.TestCase):
    def test_fields(self):
        upstream = decode_upstream(row(SERVER))
        self.assertEqual(upstream.address, Address("10.128.0.9", 8080))
        self.assertEqual((upstream.stage, upstream.is_draining), (Stage.DECODE, False))
        self.assertEqual(upstream.started_at_ms, SERVER["born"])
        self.assertEqual(upstream.software, "v1")

    def test_draining_is_leaving(self):
        self.assertTrue(
            decode_upstream(row({**SERVER, "state": "draining"})).is_draining
        )

    def test_spot_server_that_is_reclaimed(self):
        more = {"spot": True, "state": "draining", "leaves_ms": 2250}
        upstream = decode_upstream(row({**SERVER, **more}))
        self.assertTrue(upstream.is_spot and upstream.is_draining)
        self.assertEqual(upstream.leaves_ms, 2250.0)
        regular = decode_upstream(row(SERVER))
        self.assertEqual((regular.is_spot, regular.leaves_ms), (False, None))

    def test_malformed_ones_name_no_server(self):
        changes = {
            "service": (None, 3, ""),
            "address": ("nowhere", "1.2.3:4", "1.2.3.4:99999", "1.2.3.4", 7, None),
            "zone": (None, []),
            "slots": ("48", True, -1, 4.5, None),
            "state": ("asleep", None, 1, {}),
            "cold-left-ms": ("0", True),
            "stage": ("both", 3),
            "born": ("now", True, 1.5),
            "spot": (1, "true", None),
            "leaves_ms": ("2000", True, -1, 1e300),
            "version": (1, None, ["v1"], "v" * 300, "\ud800"),
        }
        for name, values in changes.items():
            for value in values:
                with self.subTest(name=name, value=value):
                    with self.assertRaises(ConfigError):
                        decode_upstream(row({**SERVER, name: value}))

    def test_missing_fields_and_unreadable_bytes(self):
        for name in ("service", "address", "zone", "slots", "state"):
            content = {key: value for key, value in SERVER.items() if key != name}
            with self.subTest(name=name), self.assertRaises(ConfigError):
                decode_upstream(row(content))
        for value in (b"", b"\xff\x00", b"[]", b"null", b'"x"', b"[" * 50_000):
            with self.subTest(value=value[:10]), self.assertRaises(ConfigError):
                decode_upstream(row(value))


class CallTest(unittest.TestCase):
    def test_prompt_and_deadline(self):
        call = read_call()
        self.assertEqual(call.call_id, "9c41")
        self.assertEqual(call.prompt.input_tokens, 1460)
        shared = [part.block_id for part in call.prompt.shared_blocks]
        self.assertEqual(shared, ["5c1e07a2", "91bd3f06"])
        self.assertEqual(call.prompt.last_shared_block_id, "91bd3f06")
        self.assertEqual(
            (call.prompt.own_tokens, call.prompt.shared_tokens), (250, 1210)
        )
        self.assertAlmostEqual(call.remaining_s(), 3.0, delta=0.2)

    def test_deadline_is_bounded_by_the_route(self):
        call = read_call([*HEADERS[:2], ("Deadline-Remaining", "60000")])
        self.assertLess(call.remaining_s(), 5.01)
        call = read_call([*HEADERS[:2], ("Deadline-Remaining", "soon")])
        self.assertLess(call.remaining_s(), 5.01)

    def test_resumed_stream_names_the_call_that_began_it(self):
        resumption = [("Last-Event-Id", "7"), ("Resumes", "41a0")]
        call = read_call([*HEADERS, *resumption])
        self.assertEqual((call.resume_after, call.resumes), ("7", "41a0"))
        self.assertEqual((read_call().resume_after, read_call().resumes), (None, ""))

    def test_system_headers_are_removed(self):
        forged = [("stage", "prefill"), ("KV-SOURCE", "x"), ("Server-Seal", "y")]
        names = {
            name.lower() for name, _value in read_call([*HEADERS, *forged]).headers
        }
        self.assertEqual(names & {"stage", "kv-source", "server-seal"}, set())
        self.assertLessEqual({"host", "attempt-id", "model", "token-counts"}, names)

    def test_malformed_counts_are_refused(self):
        for text in ("many", "1", "1,2,3", "1,x"):
            with self.subTest(text=text), self.assertRaises(RequestError):
                read_call([*HEADERS[:2], ("Token-Counts", text)])

    def test_unknown_route(self):
        with self.assertRaises(RequestError) as caught:
            read_call(target="/" + "x" * 5000)
        self.assertLess(len(caught.exception.value), 100)


class ServerMessageTest(unittest.TestCase):
    def setUp(self):
        self.protocol = PlatformUpstreams()
        self.upstream = decode_upstream(row(SERVER, "i-7"))

    def sent(self, req) -> dict[str, str]:
        return {name.lower(): value for name, value in req.headers}

    def test_run_carries_deadline_instance_and_memory(self):
        memory = KvCacheHandle(self.upstream, "3fa0", 1460)
        options = AttemptOptions(memory, fetch_from=self.upstream, resume_after="4")
        req = self.protocol.run_request(read_call(), self.upstream, options)
        headers = self.sent(req)
        self.assertEqual(headers["expect-instance"], "i-7")
        self.assertEqual(headers["kv-source"], "10.128.0.9:8080/3fa0")
        self.assertEqual(headers["kv-fetch"], "10.128.0.9:8080")
        self.assertEqual(headers["last-event-id"], "4")
        self.assertLessEqual(int(headers["deadline-remaining"]), 3000)
        self.assertEqual((req.method, req.target, req.body), ("POST", "/a/2f", b"body"))

    def test_prefill_carries_stage_and_urgency(self):
        options = AttemptOptions(urgency=3)
        req = self.protocol.prefill_request(read_call(), self.upstream, options)
        headers = self.sent(req)
        self.assertEqual(
            (headers["stage"], headers["request-urgency"]), ("prefill", "3")
        )

    def head(self, status, *headers):
        by_name = {name.lower(): value for name, value in headers}
        response = HttpResponse(status, by_name, header_list=list(headers))
        return self.protocol.read_head(read_call(), response)

    def test_answers(self):
        own = ("Attempt-Id", "9c41")
        self.assertFalse(self.head(200, own).foreign)
        self.assertTrue(self.head(200, ("Attempt-Id", "other")).foreign)
        self.assertTrue(self.head(200).foreign)
        self.assertTrue(self.head(503, ("Not-Executed", "1")).not_run)
        self.assertFalse(self.head(503, own).not_run)
        self.assertTrue(self.head(421).wrong_instance)
        self.assertEqual(
            self.head(200, own, ("Keep-Alive", "timeout=5")).keep_alive_s, 5.0
        )

    def test_draining_is_read_in_any_answer(self):
        own = ("Attempt-Id", "9c41")
        for status in (200, 500, 503):
            self.assertTrue(
                self.head(status, own, ("Server-Leaving", "1")).signals.is_draining
            )
        self.assertFalse(
            self.head(200, own, ("Server-Leaving", "0")).signals.is_draining
        )
        self.assertFalse(self.head(200, own).signals.is_draining)

    def test_requested_backoff_is_read_and_bounded(self):
        refused = ("Not-Executed", "1")

        def wait_s(text, status=503):
            return self.head(status, refused, ("Retry-After", text)).signals.backoff_s

        self.assertEqual(wait_s("2.5"), 2.5)
        self.assertEqual(wait_s("2.5", 500), 0.0)
        self.assertEqual(wait_s("-3"), 0.0)
        self.assertEqual(wait_s("inf"), BACKOFF_MAX_S)
        self.assertEqual(wait_s("1e300"), BACKOFF_MAX_S)
        for text in ("nan", "soon", ""):
            head = self.head(503, refused, ("Retry-After", text))
            self.assertEqual(
                (head.signals.backoff_s, head.unreadable_headers),
                (0.0, ("retry-after",)),
            )

    def test_load_report_is_read_if_well_formed(self):
        own = ("Attempt-Id", "9c41")
        head = self.head(200, own, ("Server-Load", "3, 2,8"))
        self.assertEqual(head.signals.load, ReportedLoad(running=3, waiting=2, slots=8))
        self.assertEqual(head.unreadable_headers, ())
        head = self.head(200, own, ("Server-Load", "3, 2,8, 140"))
        self.assertEqual(head.signals.load, ReportedLoad(3, 2, 8, slowdown=1.4))
        self.assertEqual(head.unreadable_headers, ())
        malformed = (
            "3,2",
            "3,2,8,9,1",
            "3,2,8,",
            "3,2,8,0",
            "3,2,8,-5",
            "3,2,8,1e2",
            "3,2,8," + "9" * 40,
            "a,b,c",
            "-1,0,8",
            "1.5,0,8",
            "9" * 40 + ",0,8",
        )
        for text in malformed:
            head = self.head(200, own, ("Server-Load", text))
            self.assertIsNone(head.signals.load)
            self.assertEqual(head.unreadable_headers, ("server-load",))
        self.assertEqual(self.head(200, own).unreadable_headers, ())

    def test_request_limit_is_read_in_any_answer(self):
        own = ("Attempt-Id", "9c41")
        for status in (200, 500, 503):
            for text, per_s in (("2.5", 2.5), ("40", 40.0), (" 0 ", 0.0)):
                head = self.head(status, own, ("Server-Limit", text))
                self.assertEqual(head.signals.limit_per_s, per_s)
        self.assertEqual(self.head(200, own).signals.limit_per_s, UNLIMITED)
        for status in (404, 500, 503):
            self.assertIsNone(self.head(status, own).signals.limit_per_s)
        other = self.head(421, ("Server-Limit", "2.5"))
        self.assertEqual(other.signals, UpstreamSignals())
        for text in ("-1", "nan", "inf", "1e3", "", "2,5", "1.2.3", "9" * 40):
            head = self.head(200, own, ("Server-Limit", text))
            self.assertIsNone(head.signals.limit_per_s, text)
            self.assertEqual(head.unreadable_headers, ("server-limit",))


class StoreAnswerTest(unittest.TestCase):
    def test_rows_and_removed_rows(self):
        value = base64.b64encode(b"node-1").decode()
        rows = [
            {"table": "t", "part": "", "key": "a", "value": value, "ver": 4},
            {"table": "t", "part": "", "key": "b", "ver": 5, "deleted": True},
        ]
        read = _decode_rows({"rows": rows, "ver": 9, "now-ms": 1})
        self.assertEqual(read.version, 9)
        self.assertEqual(read.rows[0].value, b"node-1")
        self.assertTrue(read.rows[1].deleted)

    def test_malformed_answers(self):
        for content in ([], {}, {"rows": [3], "ver": 1}, {"rows": [], "ver": "x"}):
            with self.subTest(content=content), self.assertRaises(StoreUnavailable):
                _decode_rows(content)


class OrderMessageTest(unittest.TestCase):
    def setUp(self):
        self.orders = PlatformOrders()
        self.engine = upstream("i-1", Stage.DECODE)

    def test_order_carries_instance_token_and_last_order(self):
        order = StageOrder(self.engine, Stage.PREFILL, "10.0.0.9", 41, 2)
        req = self.orders.order_request(order)
        self.assertEqual((req.method, req.target), ("POST", "/api/order"))
        self.assertIn(("Expect-Instance", "i-1"), req.headers)
        content = {
            "op": "stage",
            "stage": "prefill",
            "holder": "10.0.0.9",
            "fencing-token": 41,
            "if-rev": 2,
        }
        self.assertEqual(json.loads(req.body), content)

    def test_signals_are_read_in_answers_to_reports_and_orders(self):
        headers = {"server-limit": "2.5", "server-leaving": "1"}
        signals = self.orders.read_signals(HttpResponse(200, headers))
        self.assertEqual((signals.limit_per_s, signals.is_draining), (2.5, True))
        silent = self.orders.read_signals(HttpResponse(200, {}))
        self.assertIsNone(silent.limit_per_s)
        other = self.orders.read_signals(HttpResponse(421, headers))
        self.assertEqual(other, UpstreamSignals())

    def test_report(self):
        body = b'{"stage":"decode","busy":false,"seq":2,"num-waiting":1}'
        report = self.orders.read_report(body)
        self.assertEqual(report, EngineReport(Stage.DECODE, False, 2))

    def test_malformed_reports(self):
        for body in (b"", b"[]", b"{}", b'{"stage":"x","busy":0,"seq":1}', b"\xff"):
            with self.subTest(body=body), self.assertRaises(WireError):
                self.orders.read_report(body)

    def test_only_two_answers_accept_an_order(self):
        for status in (200, 202, 400, 409, 412, 421, 503):
            accepted = self.orders.is_accepted(HttpResponse(status, {}))
            self.assertEqual(accepted, status in (200, 202))


class StoreWriteTest(unittest.TestCase):
    """Conditional writes against the stand-in of the store."""

    def setUp(self):
        cluster = self.enterContext(GatewayCluster())
        cluster.start_store()
        self.process = cluster.processes["store"]
        self.store = PlatformStore(Address.parse(self.process.address))

    def write(self, value, version):
        put = Put("leases", "llm", value, version)
        curio.run(self.store.write, Transaction((put,)))

    def read(self):
        return curio.run(self.store.read, "leases", "llm")

    def test_row_is_written_on_its_condition_alone(self):
        self.assertFalse(self.read().exists)
        self.write({"holder": "a"}, 0)
        row = self.read()
        self.assertEqual(row.value, {"holder": "a"})
        with self.assertRaises(WriteConflict):
            self.write({"holder": "b"}, 0)
        self.write({"holder": "c"}, row.version)
        self.assertEqual(self.read().value, {"holder": "c"})
        self.write(None, self.read().version)
        self.assertFalse(self.read().exists)

    def test_refused_write_is_told_from_a_lost_answer(self):
        for refuse, error in ((503, StoreUnavailable), (500, WriteOutcomeUnknown)):
            self.process.request("POST", "/emulate", {"refuse": refuse})
            with self.subTest(refuse=refuse), self.assertRaises(error):
                self.write({}, 0)
        self.process.popen.kill()
        self.process.wait()
        with self.assertRaises(StoreUnavailable):
            self.write({}, 0)
