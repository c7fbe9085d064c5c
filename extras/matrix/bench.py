"""Processes under test of one lane of the matrix, with a proxy on every link."""

import contextlib
import hashlib
import itertools
import subprocess
from http.client import HTTPException

from extras.cluster import Cluster, Process, wait_until
from extras.step_controller import StepController

from .layout import CHECKING, Layout
from .watch import GenerationWatch, read_status

ENTRIES = 3
OPERATOR = "operator"
COSTS = {"load_s": 0.2, "role_change_s": 0.4, "restart_s": 0.4, "step_base_s": 0.01}
ORDER_READ_TIMEOUT_S = 0.5
FRESHNESS_BOUND_S = 1.0
CALLERS_KEEP_S = 1.0
STOP_TIMEOUT_S = 10.0
ENTRY_SETTINGS = {
    "lease": {"term_s": 1.2, "renew_every_s": 0.25, "drift_margin_s": 0.1},
    "freshness_bound_s": FRESHNESS_BOUND_S,
    "callers_keep_s": CALLERS_KEEP_S,
    "stop_timeout_s": STOP_TIMEOUT_S,
}
READY_TIMEOUT_S = 20.0


class Bench:
    """Context manager for a cluster that is reused for consecutive cells."""

    def __init__(self, layout: Layout):
        self.layout = layout
        self.cluster = Cluster()
        self.controller = StepController()
        self.entries: list[Process] = []
        self.versions = dict.fromkeys(layout.models, "v1")
        self.credential = "matrix-credential-0"
        self.rival_accepted = False
        self._entry_numbers = itertools.count(1)
        self._probes = itertools.count(1)
        self._operators: dict[int, subprocess.Popen] = {}
        self._watch = GenerationWatch(self.entries)

    def __enter__(self) -> "Bench":
        self.cluster.__enter__()
        self.controller.__enter__()
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info) -> None:
        self._watch.stop()
        for popen in self._operators.values():
            popen.kill()
        self.cluster.__exit__(*exc_info)
        self.controller.__exit__(*exc_info)

    def _start(self) -> None:
        cluster = self.cluster
        cluster.start_platform()
        cluster.start_proxy(link_name(OPERATOR), cluster.platform.address)
        for name in self.layout.engines:
            self._start_engine(name)
        for name in self.layout.services:
            cluster.start_service(name)
        for _ in range(ENTRIES):
            self.start_entry()
        done = cluster.apply(self.manifest())
        if done.returncode:
            raise RuntimeError(done.stderr + done.stdout)
        self._watch.start()

    def _start_engine(self, name: str) -> None:
        layout = self.layout
        group = layout.group_of(name)
        orders = {
            "checks_orders": group == CHECKING,
            "order_read_timeout_s": ORDER_READ_TIMEOUT_S,
            "takes_any_time": True,
        }
        process = self.cluster.start_engine(
            name,
            models=[f"{item}@v1" for item, at in layout.models.items() if at == group],
            costs=COSTS,
            orders=orders,
            role=layout.roles.get(name, "mixed"),
        )
        proxy = self.cluster.start_proxy(link_name(name), process.address)
        self.cluster.register(name, "engine", proxy.address, "zone-a")

    def start_entry(self) -> Process:
        """Start an entry with a proxy between it and the platform."""
        name = f"entry-{next(self._entry_numbers)}"
        proxy = self.cluster.start_proxy(link_name(name), self.cluster.platform.address)
        platform = {"host": "127.0.0.1", "port": proxy.port}
        entry = self.cluster.start_entry(
            name,
            variables=self.controller.variables,
            peer_proxy=peer_link_name(name),
            platform=platform,
            policy=self.layout.policy,
            **ENTRY_SETTINGS,
        )
        self.entries.append(entry)
        return entry

    def take_violations(self) -> list[str]:
        """Return and clear the violations found by the generation watch."""
        return self._watch.take_violations()

    def replace_entry(self, entry: Process) -> None:
        """Deregister an exited entry and start another."""
        entry.wait()
        self.cluster.unregister(entry.name)
        self.entries.remove(entry)
        self.start_entry()

    def entry_of(self, pid: int) -> Process | None:
        """Return the entry with a process id."""
        return next((item for item in self.entries if item.popen.pid == pid), None)

    def link_of(self, pid: int) -> str:
        """Return the name of the proxy between a process and the platform."""
        entry = self.entry_of(pid)
        return link_name(entry.name if entry else OPERATOR)

    def manifest(self) -> dict:
        """Return the manifest with the current versions and credential."""
        layout = self.layout
        groups = [
            {
                "name": group,
                "upstreams": list(names),
                "checks_orders": group == CHECKING,
                "order_read_timeout_s": ORDER_READ_TIMEOUT_S,
            }
            for group, names in layout.groups.items()
        ]
        models = [
            {
                "name": name,
                "version": version,
                "replicas": len(layout.groups[layout.models[name]]),
                "group": layout.models[name],
            }
            for name, version in self.versions.items()
        ]
        service = {
            "name": "portal",
            "upstreams": list(self.layout.services),
            "non_idempotent_paths": ["/export"],
        }
        caller = {
            "name": "matrix",
            "credential_sha256": hashlib.sha256(self.credential.encode()).hexdigest(),
            "models": list(self.layout.models),
            "services": ["portal"],
        }
        return {
            "site": "matrix",
            "groups": groups,
            "models": models,
            "services": [service],
            "callers": [caller],
        }

    def run_operator(
        self, *arguments: str, observed=True
    ) -> subprocess.CompletedProcess:
        """Run an operator's command; if observed, its steps go to the controller."""
        variables = self.controller.variables if observed else None
        platform = self.cluster.processes[link_name(OPERATOR)].address
        popen = self.cluster.spawn_cli(
            *arguments, "--platform", platform, "--json", variables=variables
        )
        self._operators[popen.pid] = popen
        try:
            stdout, stderr = popen.communicate()
        finally:
            del self._operators[popen.pid]
        return subprocess.CompletedProcess(popen.args, popen.returncode, stdout, stderr)

    def head(self) -> dict:
        """Return the value of the head row stored by the platform."""
        return self.cluster.platform.request("GET", "/table/control/head").json()[
            "value"
        ]

    def loaded_versions(self, engine: str) -> dict[str, str]:
        """Return the version of each model loaded on an engine."""
        return self.engine_state(engine)["models"]

    def engine_state(self, engine: str) -> dict:
        """Return the state reported by an engine."""
        return self.cluster.processes[engine].request("GET", "/orders").json()

    def journal(self, engine: str) -> dict:
        """Return the journal of an engine: orders, runs, crashes and violations."""
        return self.cluster.processes[engine].request("GET", "/journal").json()

    def runs(self, key: str) -> int:
        """Count the runs of an idempotency key on all upstreams."""
        runs = 0
        for name in self.layout.engines:
            runs += self.journal(name)["runs"].get(key, 0)
        for name in self.layout.services:
            counts = self.cluster.processes[name].request("GET", "/runs").json()
            runs += counts.get(key, 0)
        return runs

    def status(self, entry: Process) -> dict | None:
        """Return an entry's status, or None when it does not answer."""
        return read_status(entry)

    def wait_ready(self) -> None:
        """Wait until every entry serves every model; raises TimeoutError."""
        wait_until(self._is_ready, READY_TIMEOUT_S)

    def _is_ready(self) -> bool:
        head = self.head()
        return all(
            (status := self.status(entry)) is not None
            and status["generation"] == head["generation"]
            and all(self._serves(entry, model) for model in self.layout.models)
            for entry in self.entries
        )

    def _serves(self, entry: Process, model: str) -> bool:
        # Each probe has its own prompt: with the same body, crashes during several
        # probes would count against one request fingerprint.
        prompt = f"ready? {next(self._probes)}"
        body = {"model": model, "prompt": prompt, "max_tokens": 1}
        headers = {"Authorization": f"Bearer {self.credential}"}
        with contextlib.suppress(OSError, HTTPException):
            answer = entry.request("POST", "/v1/completions", body, headers, 5.0)
            return answer.status == 200
        return False


def link_name(name: str) -> str:
    """Return the name of the proxy on the link of ``name``.

    For an engine the proxy stands in front of the engine, for an entry or the operator
    in front of the platform.
    """
    return f"link-{name}"


def peer_link_name(entry: str) -> str:
    """Return the name of the proxy between an entry and its peers."""
    return f"link-peers-{entry}"
