"""Upstreams that state request limits, before several entries of real processes."""

import itertools
import time

from extras.cluster import request, wait_until
from extras.gateway_cluster import GatewayCluster, configuration, is_ready, route_row

from .gateway_support import RouteCluster
from .limit_support import SteadyLoad, allowed_requests, boot_time_s, most_in_window

LIMIT_PER_S = 2.5
# Within this time all entries have heard of a limit, or of its end.
KNOWN_AFTER_S = 1.5
LOADED_S = 6.0
ENTRIES = 3
LIMITED = ("app-1", "app-2", "dec-1")


class RequestLimitTest(RouteCluster):
    """All entries together get calls for a multiple of a server's request limit."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(GatewayCluster())
        slow = {"timeout-ms": 10_000, "gap-slo-ms": 2000, "sticky": True}
        routes = [route_row("slow", "/slow/", "stream", "llm", **slow)]
        cls.cluster.start_store(configuration(routes=routes))
        for name in ("app-1", "app-2"):
            cls.cluster.start_server(name, "app", slots=64)
        for name in ("dec-1", "dec-2"):
            cls.cluster.start_server(name, "llm", "decode")
        cls.entries = [cls.cluster.start_gateway(2, change_stages=False)]
        ports = cls.entries[0].ports
        for number in range(3, 2 + ENTRIES):
            entry = cls.cluster.start_gateway(number, ports=ports, change_stages=False)
            cls.entries.append(entry)
        for entry in cls.entries:
            wait_until(lambda entry=entry: is_ready(entry))
            wait_until(lambda entry=entry: cls.names_all(entry))
        time.sleep(1.0)

    @classmethod
    def names_all(cls, entry) -> bool:
        path = "/api/resolve?name=books.example&region=r&zone=z1"
        answer = request(entry.directory_address, "GET", path)
        return answer.status == 200 and len(answer.json()["addresses"]) == ENTRIES

    def tearDown(self):
        """End all limits, and wait until every entry knows it.

        Until then an entry may refuse calls of the next test.
        """
        for name in LIMITED:
            self.cluster.control(name, limit="")
        numbers = itertools.count()

        def all_have_ended() -> bool:
            number = next(numbers)
            self.get(f"end-{number}", self.entries[number % ENTRIES])
            self.chat(f"end-{number}", self.entries[number % ENTRIES])
            return all(
                self.stated_limit(entry, name) == -1.0
                for entry in self.entries
                for name in LIMITED
            )

        wait_until(all_have_ended)

    def get(self, number, entry=None) -> int:
        entry = entry or self.entries[number % len(self.entries)]
        return self.ask("GET", "/get/x", f"{self.id()}-{number}", entry).status

    def chat(self, number, entry=None) -> int:
        entry = entry or self.entries[number % len(self.entries)]
        name = f"{self.id()}-{number}"
        return self.ask_prompt("/chat/x", name, 60, entry).status

    def chat_slowly(self, number) -> int:
        entry = self.entries[number % len(self.entries)]
        name, headers = f"{self.id()}-{number}", {"Deadline_Remaining": "9000"}
        return self.ask_prompt("/slow/x", name, 60, entry, **headers).status

    def arrivals(self, name) -> list[float]:
        return self.cluster.control(name)["arrivals"]

    def limit(self, name) -> float:
        """Have a server state the limit, and return when entries must know of it."""
        self.cluster.control(name, limit=str(LIMIT_PER_S))
        return boot_time_s() + KNOWN_AFTER_S

    def assert_kept(self, name, since_s):
        most = most_in_window(self.arrivals(name), since_s)
        self.assertLessEqual(most, allowed_requests(LIMIT_PER_S))

    def test_limited_plain_server_gets_no_more_from_all_entries(self):
        with SteadyLoad(self.get, 40) as load:
            since_s = self.limit("app-1")
            time.sleep(KNOWN_AFTER_S + LOADED_S)
        self.assert_kept("app-1", since_s)
        self.assertEqual(set(load.statuses), {200})

    def test_limited_engine_gets_no_more_from_all_entries(self):
        with SteadyLoad(self.chat, 30) as load:
            since_s = self.limit("dec-1")
            time.sleep(KNOWN_AFTER_S + LOADED_S)
        self.assert_kept("dec-1", since_s)
        self.assertEqual(set(load.statuses), {200})

    def stated_limit(self, entry, name) -> float:
        text = request(entry.metrics_address, "GET", "/metrics").body.decode()
        start = f'wisteriaarch_upstream_request_limit{{upstream="{name}"}} '
        line = next(line for line in text.splitlines() if line.startswith(start))
        return float(line.removeprefix(start))

    def test_limit_is_known_to_entries_without_answers_of_the_server(self):
        """Only one entry gets calls; no answer states the limit to the others."""
        self.limit("app-1")
        self.wait_for_limit("app-1", LIMIT_PER_S)
        self.cluster.control("app-1", limit="")
        self.wait_for_limit("app-1", -1.0)

    def wait_for_limit(self, name, per_s):
        """Send calls through one entry until all entries know a server's limit."""
        numbers = itertools.count()

        def is_known_to_all() -> bool:
            self.get(f"{per_s}-{next(numbers)}", self.entries[0])
            return all(
                self.stated_limit(entry, name) == per_s for entry in self.entries
            )

        wait_until(is_known_to_all, 4.0)

    def test_limit_is_kept_while_streams_that_state_it_continue(self):
        """A limit must not become known only when a stream of four seconds ends."""
        for name in ("dec-1", "dec-2"):
            self.cluster.control(name, event_interval_s=1.0)
        with SteadyLoad(self.chat_slowly, 20):
            since_s = self.limit("dec-1")
            time.sleep(KNOWN_AFTER_S + LOADED_S)
        for name in ("dec-1", "dec-2"):
            self.cluster.control(name, event_interval_s=0.01)
        self.assert_kept("dec-1", since_s)

    def test_limit_that_has_ended_is_forgotten_by_all_entries(self):
        """Then the other server states a limit, so that this one must serve."""
        with SteadyLoad(self.get, 40) as load:
            self.limit("app-1")
            time.sleep(KNOWN_AFTER_S)
            self.cluster.control("app-1", limit="")
            time.sleep(2 * KNOWN_AFTER_S)
            since_s = self.limit("app-2")
            time.sleep(KNOWN_AFTER_S + 2.0)
        served = sum(at_s >= since_s for at_s in self.arrivals("app-1"))
        self.assertGreater(served, 2.0 * 20)
        self.assertEqual(set(load.statuses), {200})

    def test_limit_outlives_the_restart_of_each_entry(self):
        """A new scheduler has received none of the answers that stated the limit."""
        with SteadyLoad(self.get, 40):
            since_s = self.limit("app-1")
            time.sleep(2 * KNOWN_AFTER_S)
            for number, entry in enumerate(list(self.entries)):
                entry.popen.kill()
                entry.popen.wait()
                entry.popen.stdout.close()
                entry = self.cluster.start_gateway(
                    2 + number, ports=entry.ports, change_stages=False
                )
                self.entries[number] = entry
                wait_until(lambda entry=entry: is_ready(entry))
                time.sleep(1.0)
            time.sleep(1.0)
        self.assert_kept("app-1", since_s)

    def test_call_that_no_server_has_room_for_is_refused_at_once(self):
        for name in ("app-1", "app-2"):
            self.limit(name)
        with SteadyLoad(self.get, 40):
            time.sleep(KNOWN_AFTER_S + 2.0)
            asked_at_s = time.monotonic()
            answers = [
                self.ask("GET", "/get/x", f"full-{number}", self.entries[0])
                for number in range(10)
            ]
            elapsed_s = time.monotonic() - asked_at_s
        refused = [answer for answer in answers if answer.status == 503]
        self.assertTrue(refused)
        self.assertLess(elapsed_s, 10 * 0.5)
        for answer in refused:
            self.assertGreater(float(answer.headers["retry-after"]), 0.0)
            self.assertEqual(answer.headers["x-ran"], "no")
