"""Usage reports of real entries arrive with the right counts, also after a kill."""

import signal
import unittest
from collections import Counter

from extras.cluster import request, wait_until
from extras.gateway_cluster import GatewayCluster, configuration, is_ready

from .gateway_support import RouteCluster

CUSTOMERS = ("huka270", "small")
WINDOW_S = 1.0
NUMBERS = (2, 3, 4)


def key_of(customer):
    """Return the API key of a customer."""
    return f"key-of-{customer}"


def bearer(customer):
    """Return the headers that name a customer by its key."""
    return {"Authorization": f"Bearer {key_of(customer)}"}


class UsageReportsTest(RouteCluster):
    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        tenants = [{"name": name, "api-keys": [key_of(name)]} for name in CUSTOMERS]
        self.cluster.start_store({**configuration(), "tenants": tenants})
        self.cluster.start_server("app-1", "app")
        self.cluster.start_server("llm-1", "llm", "prefill")
        self.cluster.start_server("llm-2", "llm", "decode")
        self.duties = self.cluster.start("duties", "emulate", "duties")
        self.sent = Counter()
        self.entries = {}
        for number in NUMBERS:
            self.start_entry(number)
        for entry in self.entries.values():
            wait_until(lambda entry=entry: is_ready(entry))

    def start_entry(self, number):
        ports = next(iter(self.entries.values())).ports if self.entries else None
        self.entries[number] = self.cluster.start_gateway(
            number,
            ports,
            node=f"node-{number}",
            seeds=[f"127.0.0.{NUMBERS[0]}:{ports[3] if ports else 0}"],
            lease_term_ms=1000,
            duties={
                "address": self.duties.address,
                "names": ["usage"],
                "calls_per_s": 20,
                "require_fence": False,
                "window_s": WINDOW_S,
            },
        )

    def reports(self):
        """Return the accepted reports in the order of their execution."""
        return self.duties.request("POST", "/emulate", {}).json()["calls"]

    def send(self, entry, customer, count):
        for index in range(count):
            attempt = f"{customer}-{sum(self.sent.values())}-{index}"
            answer = self.ask("GET", "/get/a", attempt, entry, **bearer(customer))
            self.assertEqual(answer.status, 200)
            self.sent[customer] += 1

    def reported(self):
        by_window = {}
        for call in self.reports():
            content = call["content"]
            by_window[content["window-id"]] = content["counts"]
        return sum((Counter(item) for item in by_window.values()), Counter())

    def wait_for_reports(self):
        wait_until(lambda: self.reported() == self.sent, timeout_s=20)

    def check_rules(self):
        """Check that no report contradicts another one, and that no window is left."""
        counts, tokens, windows = {}, {}, []
        newest = 0
        for call in self.reports():
            window = call["content"]["window-id"]
            windows.append(window)
            known = counts.setdefault(window, call["content"]["counts"])
            self.assertEqual(known, call["content"]["counts"])
            owner = tokens.setdefault(call["token"], call["holder"])
            self.assertEqual(owner, call["holder"])
            self.assertGreaterEqual(call["token"], newest)
            newest = call["token"]
        self.assertEqual(sorted(set(windows)), list(range(windows[0], windows[-1] + 1)))

    def holder(self):
        calls = self.reports()
        return int(calls[-1]["holder"].removeprefix("node-")) if calls else None

    def test_counts_of_all_entries_are_reported(self):
        """Guards against requests that are lost or counted twice."""
        wait_until(lambda: self.holder() is not None)
        for entry in self.entries.values():
            self.send(entry, "huka270", 12)
            self.send(entry, "small", 1)
        for index in range(4):
            path, entry = f"/chat/{index}", self.entries[2]
            answer = self.ask_prompt(path, f"c-{index}", 90, entry, **bearer("huka270"))
            self.assertEqual(answer.status, 200)
            self.sent["huka270"] += 1
        self.wait_for_reports()
        self.check_rules()

    def test_killed_holder_is_followed(self):
        """Guards against windows and counts that are lost with their holder."""
        wait_until(lambda: self.holder() is not None)
        for entry in self.entries.values():
            self.send(entry, "huka270", 5)
        killed = self.holder()
        wait_until(lambda: self.is_flushed(killed))
        self.entries[killed].send_signal(signal.SIGKILL)
        others = [item for item in self.entries.items() if item[0] != killed]
        for _number, entry in others:
            self.send(entry, "small", 5)
        wait_until(lambda: self.holder() != killed, timeout_s=20)
        self.wait_for_reports()
        self.check_rules()

    def is_flushed(self, number):
        """Whether all requests so far are reported."""
        return self.reported() == self.sent

    def test_metrics_name_the_holder(self):
        """Guards against a holder that operators can't find."""
        wait_until(lambda: self.holder() is not None)
        texts = {
            number: request(entry.metrics_address, "GET", "/metrics").body.decode()
            for number, entry in self.entries.items()
        }
        held = [
            number
            for number, text in texts.items()
            if 'duty_held{duty="usage"} 1' in text
        ]
        self.assertEqual(held, [self.holder()])


if __name__ == "__main__":
    unittest.main()
