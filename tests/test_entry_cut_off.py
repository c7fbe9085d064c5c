"""Callers of entries that had lost their links to the upstreams were refused."""

import json
import signal
import threading
import time
from http.client import HTTPException

from extras.cluster import request, wait_until
from extras.gateway_cluster import GatewayCluster, is_ready
from tests.gateway_support import RouteCluster
from tests.support import ClusterTestCase

# From this time after the beginning of a cut, callers are served.
CONTACT_S = 3.0
CUT_S = 6.0
SERVED_SHARE_MIN = 2 / 3
SERVERS = (
    ("app-1", "app", None),
    ("app-2", "app", None),
    ("pre-1", "llm", "prefill"),
    ("dec-1", "llm", "decode"),
    ("dec-2", "llm", "decode"),
)
ENTRIES = (2, 3, 4, 5)
CALLERS = 2
PAUSE_S = 0.04
REFUSED_WITHIN_S = 1.0
KINDS = ("get", "post", "prompt", "long prompt")


class CutTestCase(RouteCluster):
    """Four entries, whose links to the upstreams can be cut."""

    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        self.cluster.start_store()
        for name, service, stage in SERVERS:
            self.cluster.start_server(name, service, stage)
        self.ports = [self.cluster.processes[name].port for name, *_more in SERVERS]
        self.entries = []
        entry_ports = None
        for number in ENTRIES:
            self.set_links(number, "")
            entry = self.cluster.start_gateway(
                number,
                entry_ports,
                module="tests.cut_entry",
                variables={"CUT_FILE": str(self.cut_path(number))},
            )
            entry_ports = entry.ports
            self.entries.append(entry)
        for entry in self.entries:
            wait_until(lambda entry=entry: is_ready(entry))
            wait_until(lambda entry=entry: self.ask_once(entry, "get", "w") == 200)
        self.answers = []
        self.stopped = threading.Event()
        self.addCleanup(self.stopped.set)

    def cut_path(self, number):
        return self.cluster.path / f"cut-{number}.json"

    def set_links(self, number, mode):
        """Cut an entry's links to all upstreams, or mend them."""
        path = self.cut_path(number)
        content = {"mode": mode, "ports": self.ports}
        path.with_suffix(".new").write_text(json.dumps(content), encoding="utf-8")
        path.with_suffix(".new").rename(path)

    def ask_once(self, entry, kind, attempt):
        """Return the status of one request, 0 for a broken connection."""
        try:
            if kind == "get":
                return self.ask("GET", "/get/x", attempt, entry).status
            if kind == "post":
                return self.ask("POST", "/post/x", attempt, entry, b"{}").status
            tokens = 300 if kind == "prompt" else 6000
            return self.ask_prompt("/again/x", attempt, tokens, entry).status
        except (OSError, HTTPException):
            return 0

    def send_repeatedly(self, entry, number):
        count = 0
        while not self.stopped.wait(PAUSE_S):
            count += 1
            kind = KINDS[count % len(KINDS)]
            asked_at_s = time.monotonic()
            status = self.ask_once(entry, kind, f"{entry.name}c{number}n{count}")
            took_s = time.monotonic() - asked_at_s
            self.answers.append((asked_at_s, entry, status, took_s))

    def play(self, cut_numbers, mode, disturb=lambda: None):
        """Send requests through all entries, some of which lose their links."""
        threads = [
            threading.Thread(target=self.send_repeatedly, args=(entry, number))
            for entry in self.entries
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        for number in cut_numbers:
            self.set_links(number, mode)
        self.cut_at_s = time.monotonic()
        time.sleep(CONTACT_S / 2)
        disturb()
        time.sleep(CUT_S - CONTACT_S / 2)
        self.healed_at_s = time.monotonic()
        for number in cut_numbers:
            self.set_links(number, "")
        time.sleep(1.0)
        self.stopped.set()
        for thread in threads:
            thread.join()

    def served_share(self, numbers, since_s, until_s):
        hosts = {f"gateway-{number}" for number in numbers}
        statuses = [
            status
            for at_s, entry, status, _took_s in self.answers
            if entry.name in hosts and since_s <= at_s < until_s
        ]
        self.assertGreater(len(statuses), 5)
        return statuses.count(200) / len(statuses)

    def assert_served(self, cut_numbers):
        since_s, until_s = self.cut_at_s + CONTACT_S, self.healed_at_s
        others = set(ENTRIES) - set(cut_numbers)
        share = self.served_share(cut_numbers, since_s, until_s)
        share_of_others = self.served_share(others, since_s, until_s)
        self.assertGreater(share_of_others, 0.9)
        self.assertGreaterEqual(share, SERVED_SHARE_MIN * share_of_others)


class CutOffTest(CutTestCase):
    def test_callers_are_served_while_most_entries_links_hang(self):
        self.play((2, 3, 4), "hang")
        self.assert_served((2, 3, 4))

    def test_callers_are_served_while_connections_are_refused(self):
        self.play((2, 3), "refuse all")
        self.assert_served((2, 3))

    def test_callers_are_served_while_new_connections_are_refused(self):
        self.play((2, 3), "refuse")
        self.assert_served((2, 3))

    def test_callers_are_served_after_connections_were_reset(self):
        self.play((2, 3, 5), "reset")
        self.assert_served((2, 3, 5))

    def test_callers_are_served_although_an_entry_that_helps_is_killed(self):
        def kill():
            self.entries[3].popen.kill()

        self.play((2, 3), "hang", kill)
        since_s, until_s = self.cut_at_s + CONTACT_S, self.healed_at_s
        share = self.served_share((2, 3), since_s, until_s)
        self.assertGreaterEqual(
            share, SERVED_SHARE_MIN * self.served_share((4,), since_s, until_s)
        )

    def test_callers_are_served_although_an_entry_that_helps_is_frozen(self):
        def freeze():
            self.entries[3].send_signal(signal.SIGSTOP)
            self.addCleanup(self.entries[3].send_signal, signal.SIGCONT)

        threading.Timer(8.0, self.entries[3].send_signal, (signal.SIGCONT,)).start()
        self.play((2, 3), "hang", freeze)
        since_s, until_s = self.cut_at_s + CONTACT_S, self.healed_at_s
        share = self.served_share((2, 3), since_s, until_s)
        self.assertGreaterEqual(
            share, SERVED_SHARE_MIN * self.served_share((4,), since_s, until_s)
        )

    def test_upstreams_are_not_blamed_for_the_cut(self):
        self.play((2, 3, 4), "hang")
        suspended = [
            line
            for entry in self.entries
            for line in entry.log_lines()
            if line["event"] == 223
        ]
        self.assertLessEqual(len(suspended), 3 * len(SERVERS) * len(ENTRIES))
        crashes = [
            line
            for entry in self.entries
            for line in entry.log_lines()
            if line["event"] == 510
        ]
        self.assertEqual(crashes, [])

    def test_callers_are_refused_at_once_where_no_entry_reaches_an_upstream(self):
        self.play(ENTRIES, "hang")
        waits = [
            took_s
            for at_s, _entry, status, took_s in self.answers
            if self.cut_at_s + CONTACT_S <= at_s < self.healed_at_s - 1
            and status == 503
        ]
        self.assertGreater(len(waits), 20)
        self.assertLess(sorted(waits)[len(waits) // 2], REFUSED_WITHIN_S)


class OwnInterfaceTest(ClusterTestCase):
    """Three entries of the own interface, whose links to the upstreams can be cut."""

    engines = ("engine-1", "engine-2")
    entries = ("entry-1", "entry-2", "entry-3")
    CUT = ("entry-1", "entry-2")
    REQUESTS = 12

    @classmethod
    def start_entries(cls):
        for name in cls.entries:
            cls.set_links(name, "")
            variables = {"CUT_FILE": str(cls.cut_path(name))}
            cls.cluster.start_entry(name, module="tests.cut_entry", variables=variables)

    @classmethod
    def cut_path(cls, name):
        return cls.cluster.path / f"cut-{name}.json"

    @classmethod
    def set_links(cls, name, mode):
        names = (*cls.engines, *cls.services)
        ports = [cls.cluster.processes[item].port for item in names]
        path = cls.cut_path(name)
        content = json.dumps({"mode": mode, "ports": ports})
        path.with_suffix(".new").write_text(content, encoding="utf-8")
        path.with_suffix(".new").rename(path)

    def served(self, entry, kind):
        """Return how many of some requests an entry serves."""
        statuses = []
        for number in range(self.REQUESTS):
            try:
                if kind == "completion":
                    body = {"prompt": f"{entry} {number}", "stream": number % 2 == 0}
                    statuses.append(self.complete(body, entry).status)
                else:
                    statuses.append(self.call_service("/get", entry=entry).status)
            except (OSError, HTTPException):
                statuses.append(0)
        return statuses.count(200)

    def test_callers_are_served_while_links_hang_or_are_refused(self):
        for mode in ("hang", "refuse all"):
            for entry in self.entries:
                self.assertEqual(self.served(entry, "completion"), self.REQUESTS)
            for entry in self.CUT:
                self.set_links(entry, mode)
            time.sleep(CONTACT_S)
            served = {
                (entry, kind): self.served(entry, kind)
                for entry in self.entries
                for kind in ("completion", "service")
            }
            for entry in self.CUT:
                self.set_links(entry, "")
            for kind in ("completion", "service"):
                bound = SERVED_SHARE_MIN * served["entry-3", kind]
                self.assertGreater(bound, 0)
                for entry in self.CUT:
                    self.assertGreaterEqual(served[entry, kind], bound, (mode, served))
            wait_until(lambda: self.served(self.CUT[0], "completion") > 0)
            time.sleep(CONTACT_S)


class MetricTest(CutTestCase):
    def test_entry_says_that_it_is_cut_off(self):
        self.play((2,), "hang")
        entry = self.entries[0]
        events = [line["event"] for line in entry.log_lines()]
        self.assertIn(230, events)
        wait_until(lambda: "reachable 1" in self.metrics(entry))

    def metrics(self, entry):
        return request(entry.metrics_address, "GET", "/metrics").body.decode()
