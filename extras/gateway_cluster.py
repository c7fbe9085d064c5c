"""Starts the store and server emulators and gateway entries as real processes."""

import base64
import json
import os
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from extras.cluster import Cluster, Process, request
from extras.ports import free_port

HOST = "books.example"
ENGINE = {"slots": 8, "kv-capacity-tokens": 400_000}


def route_row(name, prefix, kind, service, **more) -> dict:
    """Return a route in the form of the operator's configuration."""
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
    """Return a configuration with a route of each kind, followed by ``routes``."""
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
    """Return the registration row of a server."""
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


@dataclass
class GatewayProcess(Process):
    """Process of an entry that serves routes.

    ``control_address`` is the readiness listener. ``ports`` are, in this order, the
    ports for callers, readiness, address resolution, peers and metrics.
    """

    directory_address: str = ""
    metrics_address: str = ""
    ports: list[int] = field(default_factory=list)
    settings_path: Path = Path()


class GatewayCluster(Cluster):
    """Cluster of a store, servers and entries on loopback addresses."""

    def start_store(self, config=None) -> None:
        """Start the store and write a configuration to it."""
        self.start("store", "emulate", "store")
        self.write("op", "config", config or configuration())

    def write(self, table, key, value) -> None:
        """Write a row; ``value`` is bytes or is encoded as JSON.

        Raises RuntimeError if the store refuses the write.
        """
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        row = {"table": table, "part": "", "key": key}
        row["value"] = base64.b64encode(raw).decode()
        content = {"if-rev": [], "writes": [row], "remove": []}
        answer = self.processes["store"].request("POST", "/api/rows-tx", content)
        if answer.status != 200:
            raise RuntimeError(answer.body)

    def remove(self, table, key) -> None:
        """Remove a row from the store."""
        row = {"table": table, "part": "", "key": key}
        content = {"if-rev": [], "writes": [], "remove": [row]}
        self.processes["store"].request("POST", "/api/rows-tx", content)

    def start_server(self, name, service, stage=None, **more) -> Process:
        """Start and register a server; ``more`` are further fields of its row."""
        arguments = ["emulate", "server", "--name", name]
        if stage:
            arguments += ["--stage", stage]
        process = self.start(name, *arguments)
        self.write("servers", name, server_row(process, service, stage, **more))
        return process

    def control(self, name, **faults) -> dict:
        """Set faults of a server and return its received requests and runs."""
        return self.processes[name].request("POST", "/emulate", faults).json()

    def start_gateway(
        self,
        number=2,
        ports=None,
        output=None,
        module="wisteriaarch",
        variables=None,
        **settings,
    ) -> GatewayProcess:
        """Start the entry at 127.0.0.``number``; entries of one cluster share ports.

        ``output`` is a file descriptor for the log, in place of the log file;
        ``variables`` are added to the environment.
        """
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
        command = [sys.executable, "-m", module, "gateway", "--config"]
        with log_path.open("ab") as log:
            popen = subprocess.Popen(
                [*command, str(path)],
                stdout=output or log,
                stderr=log,
                env={**os.environ, **(variables or {})},
                start_new_session=True,
            )
        # Cluster.__exit__ closes popen.stdout; the log itself is read by its path.
        popen.stdout = log_path.open("rb")
        process = GatewayProcess(
            name,
            popen,
            f"{host}:{front}",
            log_path,
            f"{host}:{ready}",
            f"{host}:{directory}",
            f"{host}:{metrics}",
            ports,
            path,
        )
        self.processes[name] = process
        return process


def is_ready(gateway: Process) -> bool:
    """Whether an entry reports that it is ready."""
    try:
        answer = request(gateway.control_address, "GET", "/api/readiness")
    except OSError:
        return False
    return answer.status == 200
