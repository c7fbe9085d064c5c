"""Starts and stops real processes: platform emulator, engines, services, entries."""

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from .kept_logs import KEEPER, LogKeeper
from .ports import free_port

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
CLI_TIMEOUT_S = 60.0
HOST = "127.0.0.1"
FAST_SETTINGS = {
    "heartbeat_every_s": 0.1,
    "head_poll_every_s": 0.1,
    "load_poll_every_s": 0.1,
    "instances_poll_every_s": 0.2,
    "callers_keep_s": 0.5,
    "log": {"form": "json", "level": "info"},
}


@dataclass
class Answer:
    """HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Decode the body as JSON."""
        return json.loads(self.body)


@dataclass
class Process:
    """Running child process; addresses are ``host:port``.

    ``control_address`` equals ``address`` except for processes with a separate
    control listener, such as the fault-injecting proxy.
    """

    name: str
    popen: subprocess.Popen
    address: str
    log_path: Path
    control_address: str

    @property
    def port(self) -> int:
        """Listening port."""
        return int(self.address.rpartition(":")[2])

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to exit and return its exit code."""
        return self.popen.wait(timeout_s)

    def log_lines(self) -> list[dict]:
        """Return the JSON log lines written so far."""
        lines = self.log_path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def request(
        self, method, target, body=None, headers=None, timeout_s=30.0
    ) -> Answer:
        """Make one HTTP request to the process."""
        return request(self.address, method, target, body, headers, timeout_s)


@dataclass
class Cluster:
    """Context manager for a set of processes; kills them all on exit."""

    directory: tempfile.TemporaryDirectory = field(
        default_factory=tempfile.TemporaryDirectory
    )
    processes: dict[str, Process] = field(default_factory=dict)
    keeper: LogKeeper = KEEPER

    def __enter__(self) -> "Cluster":
        self.keeper.cluster_started(self.directory)
        return self

    def __exit__(self, *exc_info) -> None:
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.popen.kill()
            process.popen.wait()
            process.popen.stdout.close()
        self.keeper.cluster_ended(self.directory)

    @property
    def path(self) -> Path:
        """Directory of the settings and log files."""
        return Path(self.directory.name)

    def start(
        self, name: str, *arguments: str, variables=None, module="wisteriaarch"
    ) -> Process:
        """Run ``python -m module`` with arguments and wait until it listens.

        Raises RuntimeError with the end of the log if the process does not start.
        """
        log_path = self.path / f"{name}.log"
        with log_path.open("ab") as log:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                env={**os.environ, **(variables or {})},
                text=True,
                start_new_session=True,
            )
        line = popen.stdout.readline()
        if not line.startswith("listening on "):
            popen.kill()
            popen.wait()
            popen.stdout.close()
            raise RuntimeError(f"{name} did not start: {log_path.read_text()[-2000:]}")
        addresses = line.split()[2:]
        process = Process(name, popen, addresses[0], log_path, addresses[-1])
        self.processes[name] = process
        return process

    def start_platform(self) -> Process:
        """Start the platform emulator."""
        return self.start("platform", "emulate", "platform")

    @property
    def platform(self) -> Process:
        """Process of the platform emulator."""
        return self.processes["platform"]

    def start_engine(
        self,
        name,
        zone="zone-a",
        models=(),
        costs=None,
        orders=None,
        report_lag_s=0.2,
        role="mixed",
        software="",
    ) -> Process:
        """Start and register an engine emulator; ``models`` are ``NAME@VERSION``."""
        arguments = ["emulate", "engine", "--name", name, "--software", software]
        arguments += ["--costs", json.dumps(costs or {})]
        arguments += ["--orders", json.dumps(orders or {})]
        arguments += ["--report-lag", str(report_lag_s), "--role", role]
        for model in models:
            arguments += ["--model", model]
        process = self.start(name, *arguments)
        self.register(name, "engine", process.address, zone)
        return process

    def start_service(self, name, zone="zone-a") -> Process:
        """Start and register an emulator of a plain service."""
        process = self.start(name, "emulate", "service", "--name", name)
        self.register(name, "service", process.address, zone)
        return process

    def start_proxy(self, name, target: str) -> Process:
        """Start a fault-injecting proxy in front of the address ``target``."""
        return self.start(name, "emulate", "proxy", "--target", target)

    def set_proxy(self, name, **faults) -> None:
        """Set the faults of a proxy; see wisteriaarch/emulator/proxy.py."""
        address = self.processes[name].control_address
        request(address, "POST", "/control", faults)

    def start_entry(
        self,
        name,
        zone="zone-a",
        variables=None,
        module="wisteriaarch",
        peer_proxy=None,
        **settings,
    ) -> Process:
        """Start and register an entry.

        If ``peer_proxy`` is given, a proxy of that name is started, and its address is
        registered as the peer address.
        """
        peer_port = free_port()
        content = {
            "entry_id": name,
            "zone": zone,
            "listen": {"host": HOST, "port": 0},
            "peer_listen": {"host": HOST, "port": peer_port},
            "platform": {"host": HOST, "port": self.platform.port},
            **FAST_SETTINGS,
            **settings,
        }
        path = self.path / f"{name}.json"
        path.write_text(json.dumps(content), encoding="utf-8")
        arguments = ["serve", "--config", str(path)]
        process = self.start(name, *arguments, variables=variables, module=module)
        peer_address = f"{HOST}:{peer_port}"
        if peer_proxy is not None:
            peer_address = self.start_proxy(peer_proxy, peer_address).address
        self.register(name, "entry", process.address, zone, peer_address=peer_address)
        return process

    def register(self, name, kind, address, zone, **more) -> None:
        """Register an instance with the platform."""
        content = {"id": name, "kind": kind, "zone": zone, "address": address, **more}
        self.platform.request("PUT", f"/instances/{name}", content)

    def start_entry_behind_proxies(self, name, zone="zone-a", **settings) -> Process:
        """Start an entry that can be isolated from the platform and its peers.

        The entry connects to the platform through the proxy ``NAME-platform``; peers
        connect to the entry through the proxy ``NAME-peers``.
        """
        proxy = self.start_proxy(f"{name}-platform", self.platform.address)
        entry = self.start_entry(
            name, zone, platform={"host": HOST, "port": proxy.port}, **settings
        )
        path = self.path / f"{name}.json"
        peer_port = json.loads(path.read_text())["peer_listen"]["port"]
        peers = self.start_proxy(f"{name}-peers", f"{HOST}:{peer_port}")
        self.register(name, "entry", entry.address, zone, peer_address=peers.address)
        return entry

    def unregister(self, name) -> None:
        """Deregister an instance from the platform."""
        self.platform.request("DELETE", f"/instances/{name}")

    def set_faults(self, **faults) -> None:
        """Set the faults of the platform emulator."""
        self.platform.request("POST", "/faults", faults)

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run a command line and wait for its exit."""
        popen = self.spawn_cli(*arguments)
        try:
            stdout, stderr = popen.communicate(timeout=CLI_TIMEOUT_S)
        finally:
            popen.kill()
        return subprocess.CompletedProcess(popen.args, popen.returncode, stdout, stderr)

    def spawn_cli(self, *arguments: str, variables=None) -> subprocess.Popen:
        """Start a command line without waiting for its exit."""
        return subprocess.Popen(
            [sys.executable, "-m", "wisteriaarch", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, **(variables or {})},
            text=True,
            start_new_session=True,
        )

    def apply(self, manifest: dict, *options: str) -> subprocess.CompletedProcess:
        """Apply a manifest with the ``apply`` command."""
        path = self.path / "manifest.json"
        path.write_text(json.dumps(manifest), encoding="utf-8")
        return self.run_cli(
            "apply", str(path), "--platform", self.platform.address, *options
        )

    def stop(self, name: str) -> int:
        """Stop one process gracefully and return its exit code."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        return process.wait()


def request(address, method, target, body=None, headers=None, timeout_s=30.0) -> Answer:
    """Make one HTTP request on a new connection."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    if body is not None and not isinstance(body, bytes):
        body = json.dumps(body).encode()
    try:
        conn.request(method, target, body=body, headers=headers or {})
        response = conn.getresponse()
        headers = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, headers, response.read())
    finally:
        conn.close()


def wait_until(condition, timeout_s: float = START_TIMEOUT_S, every_s: float = 0.05):
    """Poll ``condition()`` until it is true and return its value.

    Raises TimeoutError.
    """
    give_up_at = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > give_up_at:
            raise TimeoutError(f"condition not met within {timeout_s:g} s")
        time.sleep(every_s)
