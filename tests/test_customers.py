"""Customers and their API keys, with real processes and the platform's stand-ins."""

import http.client
import json
import signal
import socket
import threading
import time
import unittest
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor

import curio

from extras.cluster import request, wait_until
from extras.gateway_cluster import (
    HOST,
    GatewayCluster,
    configuration,
    is_ready,
    route_row,
)
from wisteriaarch.connection.message_link import MessageLink
from wisteriaarch.connection.scheduling_messages import CopyQuery
from wisteriaarch.process.row_copy import RowCopy
from wisteriaarch.wire import Address

FIRST_KEY = "r26t-first-key"
SECOND_KEY = "nirt-second-key"
TARO_KEY = "olla-taro-key"
UNKNOWN_KEY = "a-key-of-nobody"
BAD_ENTRY_KEY = "a-key-of-an-invalid-entry"
PLAIN = ("app-1",)
ENGINES = ("pre-1", "dec-1", "dec-2")
# Of a call that waits for a permit of its upstream; below its deadline.
REFUSAL_MAX_S = 0.7
IN_FORCE_S = 3.0
LONG_PROMPT = {
    "Model": "m",
    "Token-Counts": "12000,40",
    "Prefix-Hash": "ab12:6000,cd34:6000",
}
SHORT_PROMPT = {"Model": "m", "Token-Counts": "200,40", "Prefix-Hash": "ef56:200"}
PUBLIC = route_row("open", "/open/", "idempotent", "app", public=True)


def customer(name, *keys, **more) -> dict:
    return {"name": name, "api-keys": list(keys), **more}


def version(number, *customers) -> dict:
    return {**configuration(number, [PUBLIC]), "tenants": list(customers)}


def bearer(key) -> dict:
    return {"Authorization": f"Bearer {key}"}


class KeptConnection:
    """One connection over which several requests are sent."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._conn = http.client.HTTPConnection(host, int(port), timeout=10)
        self._conn.connect()
        self._sock = self._conn.sock

    def ask(self, path, attempt, method="GET", **headers) -> http.client.HTTPResponse:
        all_headers = {"Host": HOST, "Attempt-Id": attempt, **headers}
        self._conn.request(method, path, None, all_headers)
        answer = self._conn.getresponse()
        answer.read()
        if self._conn.sock is not self._sock:
            raise AssertionError("the entry closed the connection")
        return answer

    def status(self, path, attempt, key=None) -> int:
        return self.ask(path, attempt, **(bearer(key) if key else {})).status

    def close(self):
        self._conn.close()


class CustomerCase(unittest.TestCase):
    """Two entries before a plain server and engines of both stages."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(GatewayCluster())
        cls.cluster.start_store()
        for name in PLAIN:
            cls.cluster.start_server(name, "app")
        cls.cluster.start_server("pre-1", "llm", "prefill")
        for name in ENGINES[1:]:
            cls.cluster.start_server(name, "llm", "decode")
        cls.first = cls.cluster.start_gateway(2)
        cls.second = cls.cluster.start_gateway(3, ports=cls.first.ports)
        cls.entries = (cls.first, cls.second)
        cls.version = 1
        for entry in cls.entries:
            wait_until(lambda entry=entry: is_ready(entry))
            conn = KeptConnection(entry.address)
            wait_until(lambda conn=conn: conn.status("/get/x", "warm") == 200)
            wait_until(
                lambda conn=conn: (
                    conn.ask("/chat/x", "warm2", "POST", **LONG_PROMPT).status == 200
                )
            )
            conn.close()

    @classmethod
    def put_in_force(cls, *customers):
        """Write a configuration and wait until both entries have it in force."""
        cls.version += 1
        cls.cluster.write("op", "config", version(cls.version, *customers))
        cls.wait_in_force()

    @classmethod
    def put_without_customers(cls):
        """Write a configuration without customers and wait until it is in force."""
        cls.version += 1
        cls.cluster.write("op", "config", configuration(cls.version, [PUBLIC]))
        cls.wait_in_force()

    @classmethod
    def wait_in_force(cls):
        wait_until(lambda: cls.versions() == {cls.version}, IN_FORCE_S)

    @classmethod
    def versions(cls) -> set[int]:
        name = "wisteriaarch_configuration_version "
        lines = [
            line
            for entry in cls.entries
            for line in cls.metrics(entry).splitlines()
            if line.startswith(name)
        ]
        return {int(float(line.split()[-1])) for line in lines}

    @staticmethod
    def metrics(entry) -> str:
        return request(entry.metrics_address, "GET", "/metrics").body.decode()

    def connect(self, entry=None) -> KeptConnection:
        conn = KeptConnection((entry or self.first).address)
        self.addCleanup(conn.close)
        return conn

    def seen(self, attempt) -> list[dict]:
        """Return what upstreams received for one call."""
        return [
            item
            for name in (*PLAIN, *ENGINES)
            for item in self.cluster.control(name)["seen"]
            if item.get("attempt-id") == attempt
        ]


class KeyLifeTest(CustomerCase):
    def test_keys_come_and_go_on_a_kept_connection(self):
        self.put_in_force(customer("huka270", FIRST_KEY))
        conns = [self.connect(entry) for entry in self.entries]

        def statuses(key, path="/get/x"):
            return {conn.status(path, "life", key) for conn in conns}

        self.assertEqual(statuses(FIRST_KEY), {200})
        self.assertEqual(statuses(SECOND_KEY), {401})
        self.assertEqual(statuses(None), {401})
        self.assertEqual(statuses(None, "/nowhere/"), {404})
        self.assertEqual(statuses(None, "/open/x"), {200})
        self.put_in_force(customer("huka270", FIRST_KEY, SECOND_KEY))
        self.assertEqual(statuses(SECOND_KEY), {200})
        self.put_in_force(customer("huka270", SECOND_KEY))
        self.assertEqual(statuses(FIRST_KEY), {401})
        self.assertEqual(statuses(SECOND_KEY), {200})
        self.put_in_force()
        self.assertEqual(statuses(SECOND_KEY), {401})
        self.assertEqual(statuses(None, "/open/x"), {200})

    def test_refusal_has_not_run_and_asks_for_no_repeat(self):
        self.put_in_force(customer("huka270", FIRST_KEY))
        answer = self.connect().ask("/get/x", "refused", **bearer(UNKNOWN_KEY))
        self.assertEqual((answer.status, answer.headers["X-Ran"]), (401, "no"))
        self.assertNotIn("Retry-After", answer.headers)
        self.assertEqual(self.seen("refused"), [])

    def test_upstreams_get_the_customer_and_never_the_key(self):
        """Load: a plain call, a prefill with its run, and a stream that is resumed."""
        self.put_in_force(customer("huka270", FIRST_KEY))
        headers = {**bearer(FIRST_KEY), "Tenant": "forged"}
        conn = self.connect()
        conn.ask("/get/x", "plain", **headers)
        self.cluster.control("app-1", fault="shed", count=1)
        conn.ask("/get/x", "shed", **headers)
        long = conn.ask("/chat/x", "long", "POST", **headers, **LONG_PROMPT)
        self.cluster.control("dec-1", fault="cut", count=1)
        self.addCleanup(self.cluster.control, "dec-1", fault="", count=0)

        def stream(number):
            # At the same time, so that they go to both engines.
            conn = self.connect()
            conn.ask("/again/x", f"cut{number}", "POST", **headers, **SHORT_PROMPT)

        with ThreadPoolExecutor(3) as pool:
            list(pool.map(stream, range(3)))
        self.assertEqual(long.status, 200)
        self.assertEqual(
            [item.get("stage") for item in self.seen("long")], ["prefill", None]
        )
        resumed = [
            item
            for number in range(3)
            for item in self.seen(f"cut{number}")
            if "last-event-id" in item
        ]
        self.assertTrue(resumed)
        for attempt in ("plain", "shed", "long", "cut0", "cut1", "cut2"):
            items = self.seen(attempt)
            self.assertTrue(items, attempt)
            for item in items:
                self.assertEqual(item["tenant"], "huka270")
                self.assertNotIn("authorization", item)
                self.assertNotIn(FIRST_KEY, json.dumps(item))

    def test_public_route_passes_on_a_known_customer_and_no_credential(self):
        self.put_in_force(customer("huka270", FIRST_KEY))
        conn = self.connect()
        conn.ask("/open/x", "known", **bearer(FIRST_KEY))
        conn.ask("/open/x", "unknown", Tenant="huka270", **bearer(UNKNOWN_KEY))
        (known,), (unknown,) = self.seen("known"), self.seen("unknown")
        self.assertEqual(known["tenant"], "huka270")
        self.assertNotIn("tenant", unknown)
        for item in (known, unknown):
            self.assertNotIn("authorization", item)

    def test_without_customers_headers_are_forwarded_as_before(self):
        self.put_without_customers()
        headers = {**bearer(FIRST_KEY), "Tenant": "any"}
        self.assertEqual(self.connect().ask("/get/x", "as-is", **headers).status, 200)
        (item,) = self.seen("as-is")
        self.assertEqual(item["authorization"], f"Bearer {FIRST_KEY}")
        self.assertEqual(item["tenant"], "any")

    def test_headers_of_the_system_never_reach_an_upstream(self):
        """Kv-Hold and the others would make an engine keep or copy a cache."""
        forged = {
            "Kv-Hold": "60000",
            "Pin-Ms": "60000",
            "Kv-Backup": "127.0.0.1:1",
            "Kv-Source": "127.0.0.1:1/abc",
        }
        self.put_in_force(customer("huka270", FIRST_KEY))
        for name, key in (("keyed", FIRST_KEY), ("public", None)):
            path = "/get/x" if key else "/open/x"
            headers = {**forged, **(bearer(key) if key else {})}
            self.connect().ask(path, name, **headers)
        self.connect().ask(
            "/chat/x", "stream", "POST", **forged, **SHORT_PROMPT, **bearer(FIRST_KEY)
        )
        self.put_without_customers()
        self.connect().ask("/get/x", "open", **{k.upper(): forged[k] for k in forged})
        for attempt in ("keyed", "public", "stream", "open"):
            (item,) = self.seen(attempt)
            for header in forged:
                self.assertNotIn(header.lower(), item)


class WaitingCallTest(CustomerCase):
    def test_call_that_waits_is_refused_when_its_key_is_removed(self):
        """The other entry schedules the service of one of the two calls' entries."""
        self.put_in_force(customer("huka270", FIRST_KEY), customer("taro", TARO_KEY))
        self.cluster.control("app-1", limit="1")
        self.addCleanup(self.cluster.control, "app-1", limit="")
        answers = defaultdict(list)

        def ask(entry, key, attempt):
            conn = KeptConnection(entry.address)
            status = conn.status("/post/x", attempt, key)
            answers[key].append((status, time.monotonic(), attempt))
            conn.close()

        for entry in self.entries:
            ask(entry, FIRST_KEY, "states the limit")
        answers.clear()
        threads = [
            threading.Thread(target=ask, args=(entry, key, f"{key}-{number}-{index}"))
            for number in range(2)
            for key in (TARO_KEY, FIRST_KEY)
            for index, entry in enumerate(self.entries)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        removed_at_s = time.monotonic()
        self.put_in_force(customer("taro", TARO_KEY))
        for thread in threads:
            thread.join()
        refused = [item for item in answers[FIRST_KEY] if item[0] == 401]
        self.assertTrue(refused, answers)
        for _status, at_s, attempt in refused:
            self.assertLess(at_s - removed_at_s, REFUSAL_MAX_S)
            self.assertEqual(self.seen(attempt), [])
        self.assertNotIn(401, [item[0] for item in answers[TARO_KEY]])
        text = "".join(self.metrics(entry) for entry in self.entries)
        self.assertIn('keys_refused_total{reason="removed"}', text)


class HiddenKeyTest(CustomerCase):
    """A key that is shown anywhere can be used by whoever reads it there."""

    def test_no_log_metric_answer_or_message_shows_a_key(self):
        keys = (FIRST_KEY, SECOND_KEY, TARO_KEY, UNKNOWN_KEY, BAD_ENTRY_KEY)
        entries = [
            customer("huka270", FIRST_KEY, SECOND_KEY),
            customer("", BAD_ENTRY_KEY),
            {"name": "n", "api-keys": BAD_ENTRY_KEY},
            {"api-keys": [BAD_ENTRY_KEY]},
            customer("twice", SECOND_KEY),
            BAD_ENTRY_KEY,
            customer("taro", TARO_KEY),
        ]
        self.put_in_force(*entries)
        conns = [self.connect(entry) for entry in self.entries]
        for conn in conns:
            for key in (FIRST_KEY, TARO_KEY):
                self.assertEqual(conn.status("/get/x", "hid", key), 200)
            for key in (UNKNOWN_KEY, BAD_ENTRY_KEY):
                answer = conn.ask("/get/x", "hidden", **bearer(key))
                self.assertEqual(answer.status, 401)
        malformed = [self.send_malformed(entry) for entry in self.entries]
        broken = json.dumps(version(99, *entries)).encode()
        for content in (broken[:-2], broken + b"\xff"):
            self.cluster.write("op", "config", content)
            time.sleep(0.3)
        self.put_in_force(*entries[::-1])
        texts = [
            *malformed,
            *(entry.log_path.read_text() for entry in self.entries),
            *(self.metrics(entry) for entry in self.entries),
            *(curio.run(self.fetch_copy, entry) for entry in self.entries),
        ]
        for text in texts:
            for key in keys:
                self.assertNotIn(key, text)

    def test_invalid_customers_are_logged_once_for_each_version(self):
        before = [len(self.invalid_lines(entry)) for entry in self.entries]
        self.put_in_force(customer("huka270", FIRST_KEY), customer("", TARO_KEY), 3)
        self.cluster.write("op", "other", {})
        time.sleep(0.3)
        for entry, count in zip(self.entries, before, strict=True):
            (line,) = self.invalid_lines(entry)[count:]
            self.assertEqual((line["version"], line["left_out"]), (self.version, 2))

    def invalid_lines(self, entry) -> list[dict]:
        return [line for line in entry.log_lines() if line["event"] == 208]

    def send_malformed(self, entry) -> str:
        """Send header lines that the parser quotes in its error."""
        host, _, port = entry.address.rpartition(":")
        answers = []
        for line in (
            f"Authorization : Bearer {FIRST_KEY}",
            f"Authorization Bearer {FIRST_KEY}",
            f"Authorization: Bearer {FIRST_KEY}\0",
        ):
            with socket.create_connection((host, int(port)), 5) as conn:
                text = f"GET /get/x HTTP/1.1\r\nHost: {HOST}\r\n{line}\r\n\r\n"
                conn.sendall(text.encode())
                answers.append(conn.recv(65536).decode())
        self.assertEqual({answer.split()[1] for answer in answers}, {"400"})
        return "".join(answers)

    async def fetch_copy(self, entry) -> str:
        """Return the rows that an entry sends to another one."""
        host = entry.address.rpartition(":")[0]
        link = await MessageLink.connect(Address(host, entry.ports[3]), 1.0)
        copies = []

        async def take(message):
            copies.append(message.copy)
            raise ConnectionError

        await link.send(CopyQuery())
        try:
            await link.run(take)
        except OSError:
            await link.close()
        rows = RowCopy.decode(copies[0].body).rows
        text = " ".join(row.value.decode() for row in rows)
        self.assertIn("huka270", text)
        return text


class StoreOutageTest(unittest.TestCase):
    """Load: calls of two customers at two entries while the store doesn't answer."""

    def test_newest_known_version_serves_unless_settings_are_strict(self):
        cluster = self.enterContext(GatewayCluster())
        cluster.start_store(version(1, customer("huka270", FIRST_KEY)))
        cluster.start_server("app-1", "app")
        lenient = cluster.start_gateway(2)
        strict = cluster.start_gateway(
            3, ports=lenient.ports, strict_revoke=True, revoke_ms=3000
        )
        conns = []
        for entry in (lenient, strict):
            wait_until(lambda entry=entry: is_ready(entry))
            conn = KeptConnection(entry.address)
            self.addCleanup(conn.close)
            wait_until(lambda conn=conn: conn.status("/get/x", "a", FIRST_KEY) == 200)
            conns.append(conn)
        store = cluster.processes["store"]
        store.send_signal(signal.SIGSTOP)
        try:
            wait_until(lambda: conns[1].status("/get/x", "b", FIRST_KEY) == 503, 12)
            self.assertEqual(conns[1].status("/get/x", "c", UNKNOWN_KEY), 503)
            self.assertEqual(conns[1].status("/get/x", "d"), 401)
            self.assertEqual(conns[1].status("/open/x", "e"), 200)
            self.assertEqual(conns[0].status("/get/x", "f", FIRST_KEY), 200)
            self.assertEqual(conns[0].status("/get/x", "g", UNKNOWN_KEY), 401)
        finally:
            store.send_signal(signal.SIGCONT)
        wait_until(lambda: conns[1].status("/get/x", "h", FIRST_KEY) == 200)
        cluster.write("op", "config", version(2, customer("huka270", SECOND_KEY)))
        for conn in conns:
            wait_until(
                lambda conn=conn: conn.status("/get/x", "i", FIRST_KEY) == 401,
                IN_FORCE_S,
            )
            self.assertEqual(conn.status("/get/x", "j", SECOND_KEY), 200)


class KeyChangesUnderLoadTest(unittest.TestCase):
    """Load: three customers on kept connections, one key comes and goes each 0.3 s.

    In between, an entry is killed and started again.
    """

    CHANGES = 8

    def test_only_the_calls_of_the_removed_key_are_refused(self):
        cluster = self.enterContext(GatewayCluster())
        kept = (customer("huka270", FIRST_KEY), customer("taro", TARO_KEY))
        both = (*kept, customer("rimu", SECOND_KEY))
        cluster.start_store(version(1, *both))
        cluster.start_server("app-1", "app")
        cluster.start_server("app-2", "app")
        first = cluster.start_gateway(2)
        second = cluster.start_gateway(3, ports=first.ports)
        for entry in (first, second):
            wait_until(lambda entry=entry: is_ready(entry))
            conn = KeptConnection(entry.address)
            wait_until(lambda conn=conn: conn.status("/get/x", "w", FIRST_KEY) == 200)
            conn.close()
        answers = defaultdict(list)
        ended = threading.Event()

        def call(key):
            conn = KeptConnection(first.address)
            number = 0
            while not ended.is_set():
                number += 1
                sent_at_s = time.monotonic()
                status = conn.status("/get/x", f"{key}-{number}", key)
                answers[key].append((sent_at_s, status))
                time.sleep(0.01)
            conn.close()

        threads = [
            threading.Thread(target=call, args=(key,))
            for key in (FIRST_KEY, TARO_KEY, SECOND_KEY)
        ]
        for thread in threads:
            thread.start()
        for number in range(self.CHANGES):
            if number == self.CHANGES // 2:
                second.send_signal(signal.SIGKILL)
                cluster.start_gateway(3, ports=first.ports)
            customers = kept if number % 2 == 0 else both
            cluster.write("op", "config", version(2 + number, *customers))
            time.sleep(0.3)
        cluster.write("op", "config", version(2 + self.CHANGES, *kept))
        written_at_s = time.monotonic()
        time.sleep(IN_FORCE_S + 0.5)
        ended.set()
        for thread in threads:
            thread.join()
        for key in (FIRST_KEY, TARO_KEY):
            self.assertEqual({status for _at_s, status in answers[key]}, {200})
        of_removed = answers[SECOND_KEY]
        self.assertLessEqual({status for _at_s, status in of_removed}, {200, 401})
        late = [
            status
            for sent_at_s, status in of_removed
            if sent_at_s > written_at_s + IN_FORCE_S
        ]
        self.assertEqual(set(late), {401})
