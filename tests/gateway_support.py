"""One entry before stand-ins of the platform's servers, for tests."""

import hashlib
import time
import unittest

from extras.cluster import request, wait_until
from extras.gateway_cluster import HOST, GatewayCluster, is_ready


class RouteCluster(unittest.TestCase):
    """Asks entries of a cluster, each of which the test starts."""

    @classmethod
    def ask(cls, method, path, attempt, entry, body=None, **headers):
        all_headers = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Remaining": "1500",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        return request(entry.address, method, path, body, all_headers)

    @classmethod
    def ask_prompt(cls, path, attempt, tokens, entry, **headers):
        shared = tokens // 2
        own_id = hashlib.blake2b(attempt.encode(), digest_size=8).hexdigest()
        parts = f"ab12:{shared},{own_id}:{tokens - shared}"
        headers = {
            "Model": "m",
            "Token_Counts": f"{tokens},40",
            "Prefix_Hash": parts,
            **headers,
        }
        return cls.ask("POST", path, attempt, entry, b"{}", **headers)


class GatewayTestCase(RouteCluster):
    """One entry before two plain servers, an engine of each stage and a spare."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(GatewayCluster())
        cls.cluster.start_store()
        for name in ("app-1", "app-2"):
            cls.cluster.start_server(name, "app")
        cls.cluster.start_server("pre-1", "llm", "prefill")
        for name in ("dec-1", "dec-2"):
            cls.cluster.start_server(name, "llm", "decode")
        cls.gateway = cls.cluster.start_gateway()
        wait_until(lambda: is_ready(cls.gateway))
        wait_until(lambda: cls.send("GET", "/get/warm", "warm").status == 200)
        wait_until(lambda: cls.send_prompt("/chat/warm", "warm", 9000).status == 200)

    @classmethod
    def send(cls, method, path, attempt, body=None, gateway=None, **headers):
        entry = gateway or cls.gateway
        return cls.ask(method, path, attempt, entry, body, **headers)

    @classmethod
    def send_prompt(cls, path, attempt, tokens, **headers):
        return cls.ask_prompt(path, attempt, tokens, cls.gateway, **headers)

    def ran(self, attempt) -> list[str]:
        """Return the servers that ran a request, once for each run."""
        return [
            name
            for name in ("app-1", "app-2", "pre-1", "dec-1", "dec-2")
            for run in self.cluster.control(name)["ran"]
            if run == attempt
        ]

    def fail_next(self, names, fault, count=1):
        for name in names:
            self.cluster.control(name, fault=fault, count=count)
        self.addCleanup(self._end_faults, names)

    def _end_faults(self, names):
        for name in names:
            self.cluster.control(name, fault="", count=0)
        # Suspended upstreams come back.
        time.sleep(0.5)
