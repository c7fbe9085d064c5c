"""Starts the platform's stand-ins and entries that serve routes."""

import base64
import json
import subprocess
import sys
import time
import unittest

from extras.cluster import Cluster, Process, free_port, request, wait_until

HOST = "books.example"
ENGINE = {"slots": 8, "kv-capacity-tokens": 400_000}


def route_row(name, prefix, kind, service, **more) -> dict:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout-ms": 2000,
        "slo-ms": 300,
        "priority": 0,
        "max-attempts": 2,
        **more,
    }


def configuration(version=1, routes=()) -> dict:
    streams = {"gap-slo-ms": 150, "sticky": True}
    return {
        "version": version,
        "routes": [
            route_row("get", "/get/", "idempotent", "app"),
            route_row("post", "/post/", "non_idempotent", "app"),
            route_row("chat", "/chat/", "stream", "llm", **streams),
            route_row("again", "/again/", "stream", "llm", resumable=True, **streams),
            *routes,
        ],
        "services": [
            {"name": "app", "health-path": "/health", "max-conns": 100},
            {"name": "llm", "health-path": "/health", "engine": ENGINE},
        ],
        "limits": {},
    }


def server_row(process: Process, service: str, stage=None, **more) -> dict:
    row = {
        "service": service,
        "address": process.address,
        "zone": "z1",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold-left-ms": 0,
        "seq": 0,
        **more,
    }
    return {**row, "stage": stage} if stage else row


class GatewayCluster(Cluster):
    """Store, servers and entries as real processes on loopback addresses."""

    def start_store(self, config=None) -> None:
        self.start("store", "emulate", "store")
        self.write("op", "config", config or configuration())

    def write(self, table, key, value) -> None:
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        row = {"table": table, "part": "", "key": key}
        row["value"] = base64.b64encode(raw).decode()
        content = {"if-rev": [], "writes": [row], "remove": []}
        answer = self.processes["store"].request("POST", "/api/rows-tx", content)
        if answer.status != 200:
            raise RuntimeError(answer.body)

    def remove(self, table, key) -> None:
        row = {"table": table, "part": "", "key": key}
        content = {"if-rev": [], "writes": [], "remove": [row]}
        self.processes["store"].request("POST", "/api/rows-tx", content)

    def start_server(self, name, service, stage=None, **more) -> Process:
        arguments = ["emulate", "server", "--name", name]
        if stage:
            arguments += ["--stage", stage]
        process = self.start(name, *arguments)
        self.write("servers", name, server_row(process, service, stage, **more))
        return process

    def control(self, name, **faults) -> dict:
        return self.processes[name].request("POST", "/emulate", faults).json()

    def start_gateway(self, number=2, ports=None, **settings) -> Process:
        host = f"127.0.0.{number}"
        ports = ports or [free_port() for _ in range(5)]
        front, ready, directory, peer, metrics = ports
        content = {
            "entry_id": host,
            "zone": "z1",
            "front": f"{host}:{front}",
            "ready": f"{host}:{ready}",
            "directory": f"{host}:{directory}",
            "metrics_port": metrics,
            "peer_port": peer,
            "store": self.processes["store"].address,
            "heartbeat_every_s": 0.1,
            "entries_poll_every_s": 0.5,
            "callers_keep_s": 0.3,
            "watch_wait_s": 1.0,
            **settings,
        }
        name = f"gateway-{number}"
        path = self.path / f"{name}.json"
        path.write_text(json.dumps(content), encoding="utf-8")
        log_path = self.path / f"{name}.log"
        popen = subprocess.Popen(
            [sys.executable, "-m", "wisteriaarch", "gateway", "--config", str(path)],
            stdout=log_path.open("ab"),
            stderr=subprocess.STDOUT,
        )
        popen.stdout = log_path.open("rb")
        address = f"{host}:{front}"
        process = Process(name, popen, address, log_path, f"{host}:{ready}")
        process.directory_address = f"{host}:{directory}"
        process.metrics_address = f"{host}:{metrics}"
        process.ports = ports
        process.settings_path = path
        self.processes[name] = process
        return process


def is_ready(gateway: Process) -> bool:
    try:
        answer = request(gateway.control_address, "GET", "/api/readiness")
    except OSError:
        return False
    return answer.status == 200


class GatewayTestCase(unittest.TestCase):
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
        all_headers = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Remaining": "1500",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        address = (gateway or cls.gateway).address
        return request(address, method, path, body, all_headers)

    @classmethod
    def send_prompt(cls, path, attempt, tokens, **headers):
        shared = tokens // 2
        parts = f"ab12:{shared},{attempt.encode().hex()[:8]}:{tokens - shared}"
        headers = {
            "Model": "m",
            "Token_Counts": f"{tokens},40",
            "Prefix_Hash": parts,
            **headers,
        }
        return cls.send("POST", path, attempt, b"{}", **headers)

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
