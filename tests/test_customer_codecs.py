"""Customers and API keys: configuration rows, callers' headers and messages."""

import base64
import json
import random
import unittest

from wisteriaarch.connection.scheduling_decoder import decode_message
from wisteriaarch.connection.scheduling_encoder import encode_message
from wisteriaarch.connection.scheduling_messages import PlaceQuery
from wisteriaarch.connection.scheduling_schema import schema
from wisteriaarch.errors import ANSWERS, ConfigError, RequestError
from wisteriaarch.platform.callers import decode_call
from wisteriaarch.platform.customers import read_key_digest, without_keys
from wisteriaarch.platform.rows import decode_configuration
from wisteriaarch.platform.store import _decode_rows, _without_keys
from wisteriaarch.platform.upstreams import PlatformUpstreams
from wisteriaarch.process.rows import RowTable, StoredRow
from wisteriaarch.request.upstream_protocol import AttemptOptions
from wisteriaarch.version.customers import key_digest
from wisteriaarch.wire import HttpRequest

from .customer_support import check_for
from .route_support import upstream

KEYS = ("r26t-first-key", "nirt-second-key", "olla-third-key")
ROUTE = {
    "name": "deep",
    "host": "books.example",
    "prefix": "/a/",
    "kind": "idempotent",
    "timeout-ms": 1000,
    "slo-ms": 200,
    "service": "app",
    "priority": 3,
}
HUKA = {"name": "huka270", "api-keys": [KEYS[0], KEYS[1]], "priority": 1}
TARO = {"name": "taro 3", "api-keys": [KEYS[2]]}


def row(*customers, **more) -> StoredRow:
    """Return a configuration row; ``more`` replaces fields, None leaves one out."""
    content = {
        "version": 7,
        "routes": [ROUTE, {**ROUTE, "name": "open", "prefix": "/o/", "public": True}],
        "services": [{"name": "app"}],
        "tenants": customers,
        **more,
    }
    kept = {name: value for name, value in content.items() if value is not None}
    return StoredRow("config", 3, json.dumps(kept).encode())


def decode_all(*customers, **more):
    return decode_configuration(row(*customers, **more)).customers


def make_request(target="/a/x", **headers) -> HttpRequest:
    items = [("Host", "books.example"), *headers.items()]
    by_name = {name.lower(): value for name, value in items}
    return HttpRequest("GET", target, by_name, b"", items)


def admitted_call(table, target="/a/x", **headers):
    call = decode_call(make_request(target, **headers), table, random.Random(1))
    check_for(table).admit(call, table)
    return call


class CustomerRowTest(unittest.TestCase):
    def test_customer_is_found_by_each_of_its_keys(self):
        directory = decode_all(HUKA, TARO)
        for key, name in zip(KEYS, ("huka270", "huka270", "taro 3"), strict=True):
            self.assertEqual(directory.find(key_digest(key)).name, name)
        self.assertIsNone(directory.find(key_digest("other")))
        self.assertIsNone(directory.find(KEYS[0]))
        self.assertEqual(directory.errors, ())

    def test_configuration_without_customers_differs_from_an_empty_list(self):
        self.assertIsNone(decode_all(tenants=None))
        self.assertEqual(decode_all().customers, ())

    def test_invalid_customers_are_left_out_and_their_errors_hold_no_key(self):
        key = "a-key-of-an-invalid-entry"
        for item in (
            key,
            [key],
            {"api-keys": [key]},
            {"name": "", "api-keys": [key]},
            {"name": 3, "api-keys": [key]},
            {"name": "two\r\nlines", "api-keys": [key]},
            {"name": "ünal", "api-keys": [key]},
            {"name": "n" * 201, "api-keys": [key]},
            {"name": "n"},
            {"name": "n", "api-keys": key},
            {"name": "n", "api-keys": [key, ""]},
            {"name": "n", "api-keys": [key, 4]},
            {"name": "n", "api-keys": [key], "priority": -1},
            {"name": "n", "api-keys": [key], "priority": 65_535},
            {"name": "n", "api-keys": [key], "priority": True},
            {"name": "n", "api-keys": [key], "priority": "0"},
            {"name": "taro 3", "api-keys": [key]},
            {"name": "n", "api-keys": [key, KEYS[2]]},
        ):
            with self.subTest(item=item):
                directory = decode_all(TARO, item, HUKA)
                names = [customer.name for customer in directory.customers]
                self.assertEqual(names, ["taro 3", "huka270"])
                self.assertIsNone(directory.find(key_digest(key)))
                self.assertEqual(len(directory.errors), 1)
                self.assertNotIn(key, directory.errors[0])
                self.assertNotIn(KEYS[2], directory.errors[0])

    def test_unreadable_list_admits_nobody_and_leaves_the_routes_in_force(self):
        for customers in ({}, None, 3, "x", {"name": KEYS[0]}):
            with self.subTest(customers=customers):
                content = json.loads(row().value)
                content["tenants"] = customers
                value = without_keys(json.dumps(content).encode())
                table = decode_configuration(StoredRow("config", 3, value))
                self.assertEqual(table.customers.customers, ())
                self.assertEqual(len(table.customers.errors), 1)
                self.assertIsNotNone(table.find("books.example", "/a/"))


class StoredKeysTest(unittest.TestCase):
    """The rows that an entry holds and sends to others are without keys."""

    def test_rows_are_read_without_keys(self):
        stored = row(HUKA, TARO)
        value = base64.b64encode(stored.value).decode()
        item = {"key": "config", "ver": 3, "value": value}
        read = _decode_rows({"rows": [item], "ver": 3})
        kept = _without_keys(RowTable.CONFIGURATION, read).rows[0]
        for key in KEYS:
            self.assertNotIn(key.encode(), kept.value)
        directory = decode_configuration(kept).customers
        self.assertEqual(directory, decode_all(HUKA, TARO))
        self.assertEqual(directory.find(key_digest(KEYS[1])).priority, 1)

    def test_reading_twice_changes_nothing(self):
        """An entry that reads a row and one that gets it from a peer hold the same."""
        once = without_keys(row(HUKA, {"name": "x"}, 3).value)
        self.assertEqual(without_keys(once), once)

    def test_values_without_customers_are_unchanged(self):
        for value in (row(tenants=None).value, b'{"a" : 1}', b"", b"\xff", b"[1]"):
            self.assertEqual(without_keys(value), value)

    def test_keys_at_unexpected_places_are_removed(self):
        key = "a-key"
        for customers in (
            [{"name": "n", "api-keys": key}],
            [{"name": "n", "api-keys": [[key]]}],
            [{"name": "n", "api_keys": [key]}],
            [[key], key],
            {"n": [key]},
            key,
        ):
            content = {"version": 1, "tenants": customers}
            with self.subTest(customers=customers):
                value = without_keys(json.dumps(content).encode())
                self.assertNotIn(key, json.dumps(json.loads(value)))

    def test_error_of_an_unreadable_configuration_holds_no_key(self):
        """The repr of a decoding error quotes all bytes that can't be decoded."""
        for broken in (row(HUKA).value + b"\xff", row(HUKA).value[:-1]):
            kept = StoredRow("config", 3, without_keys(broken))
            with self.assertRaises(ConfigError) as caught:
                decode_configuration(kept)
            self.assertNotIn(KEYS[0], str(caught.exception))

    def test_key_is_in_no_representation_of_a_call(self):
        table = decode_configuration(row(HUKA))
        call = admitted_call(table, Authorization=f"Bearer {KEYS[0]}")
        for text in (
            repr(call),
            repr(table),
            repr(encode_message(PlaceQuery(1, call))),
        ):
            self.assertNotIn(KEYS[0], text)


class CredentialTest(unittest.TestCase):
    def digest(self, *values):
        return read_key_digest([("authorization", value) for value in values])

    def test_bearer_key_is_read(self):
        for value in ("Bearer k1", "bearer k1", "BEARER   k1 "):
            self.assertEqual(self.digest(value), key_digest("k1"))
        latin = "Bearer " + "kö".encode().decode("latin-1")
        self.assertEqual(self.digest(latin), key_digest("kö"))

    def test_other_credentials_are_no_key(self):
        for values in ((), ("",), ("Bearer",), ("Bearer ",), ("Basic k1",), ("k1",)):
            self.assertIsNone(self.digest(*values))

    def test_two_credentials_are_none(self):
        """Of two keys, it isn't clear whose request it is."""
        self.assertIsNone(self.digest("Bearer k1", "Bearer k1"))

    def test_bytes_beyond_utf8_are_an_unknown_key(self):
        self.assertIsNotNone(self.digest("Bearer \xff\xfe"))


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.table = decode_configuration(row(HUKA, TARO))

    def assert_refused(self, target="/a/x", **headers):
        with self.assertRaises(RequestError) as caught:
            admitted_call(self.table, target, **headers)
        answer = ANSWERS[caught.exception.kind]
        self.assertIsNone(answer.retry_after_s)
        return answer.status

    def test_priority_is_that_of_the_customer_else_of_the_route(self):
        for key, name, priority in ((KEYS[1], "huka270", 1), (KEYS[2], "taro 3", 3)):
            call = admitted_call(self.table, Authorization=f"Bearer {key}")
            self.assertEqual((call.customer, call.priority), (name, priority))

    def test_missing_and_unknown_keys_are_401_and_no_route_is_404(self):
        self.assertEqual(self.assert_refused(), 401)
        self.assertEqual(self.assert_refused(Authorization="Bearer x"), 401)
        self.assertEqual(self.assert_refused(Authorization="Basic x"), 401)
        self.assertEqual(self.assert_refused("/none"), 404)

    def test_empty_list_of_customers_refuses_all_but_public_routes(self):
        self.table = decode_configuration(row())
        header = {"Authorization": f"Bearer {KEYS[0]}"}
        self.assertEqual(self.assert_refused(**header), 401)
        self.assertEqual(admitted_call(self.table, "/o/x", **header).customer, "")

    def test_public_route_takes_any_request_and_knows_a_customer(self):
        for headers, name in (
            ({}, ""),
            ({"Authorization": "Bearer x"}, ""),
            ({"Authorization": f"Bearer {KEYS[0]}"}, "huka270"),
        ):
            call = admitted_call(self.table, "/o/x", **headers)
            self.assertEqual(call.customer, name)
            self.assertEqual(self.sent(call).get("authorization"), None)

    def test_only_true_makes_a_route_public(self):
        """A route must not be open to all because of a value of another type."""
        for value in ("false", 1, [0], None):
            routes = [{**ROUTE, "public": value}]
            self.table = decode_configuration(row(HUKA, routes=routes))
            self.assertEqual(self.assert_refused(), 401)

    def sent(self, call, method="run_request"):
        make = getattr(PlatformUpstreams(), method)
        req = make(call, upstream("u"), AttemptOptions())
        names = [name.lower() for name, _value in req.headers]
        self.assertEqual(len(names), len(set(names)))
        return {name.lower(): value for name, value in req.headers}

    def test_upstream_gets_the_customer_and_no_key(self):
        call = admitted_call(
            self.table,
            Authorization=f"Bearer {KEYS[0]}",
            Tenant="taro 3",
            Custom="kept",
        )
        for method in ("run_request", "prefill_request"):
            sent = self.sent(call, method)
            self.assertEqual(sent["tenant"], "huka270")
            self.assertEqual(sent["custom"], "kept")
            self.assertNotIn("authorization", sent)

    def test_caller_cannot_name_a_customer_on_a_public_route(self):
        call = admitted_call(self.table, "/o/x", TENANT="taro 3")
        self.assertNotIn("tenant", self.sent(call))

    def test_without_customers_both_headers_are_forwarded(self):
        table = decode_configuration(row(tenants=None))
        call = admitted_call(table, Authorization="Bearer x", Tenant="taro 3")
        self.assertEqual((call.customer, call.key_digest), ("", None))
        sent = self.sent(call)
        self.assertEqual(
            (sent["authorization"], sent["tenant"]), ("Bearer x", "taro 3")
        )


class PlaceMessageTest(unittest.TestCase):
    def make_call(self):
        table = decode_configuration(row(HUKA))
        return admitted_call(table, Authorization=f"Bearer {KEYS[0]}")

    def test_query_carries_customer_and_priority(self):
        call = decode_message(encode_message(PlaceQuery(1, self.make_call()))).call
        self.assertEqual((call.customer, call.priority), ("huka270", 1))
        self.assertEqual(call.route.priority, 3)

    def test_query_of_an_older_entry_has_no_customer_and_the_routes_priority(self):
        """Without the default, a call of an older entry would be the most urgent."""
        place = {"service": "app", "route": {"kind": "idempotent", "priority": 3}}
        data = schema.Message.new_message(place=place).to_bytes()
        call = decode_message(data).call
        self.assertEqual((call.customer, call.priority), ("", 3))
