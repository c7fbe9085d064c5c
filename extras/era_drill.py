"""Restores the store from older snapshots under load, with real entries.

``python -m extras.era_drill --entries 8 --seeds 20`` starts a fleet for each seed, has
callers ask it all the while, and lets the store go back once or twice, also while an
entry stops or stands still. It checks what callers and engines saw: no configuration
that goes back, no broken answer, no fencing token of two holders, service again within
a bound.
"""

import argparse
import random
import signal
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, nullcontext
from dataclasses import dataclass, field

from extras.cluster import request, wait_until
from extras.gateway_cluster import (
    HOST,
    GatewayCluster,
    GatewayProcess,
    configuration,
    is_ready,
    route_row,
    server_row,
)

APPS = ("app-1", "app-2", "app-3")
READERS = ("pre-1",)
RUNNERS = ("dec-1", "dec-2", "dec-3", "dec-4")
FIRST_HOST = "127.0.0.2"
LEASE_TERM_MS = 800
PROMPT_TOKENS = 6000
CALLERS = 6
ASK_EVERY_S = 0.02
LOOK_EVERY_S = 0.1
# An answer by an older configuration may cross the first by the newer one.
ROLLBACK_SLACK_S = 0.25
RECOVERY_S = 12.0
STREAM_END = b"piece 4\n\n"


@dataclass
class Findings:
    """Violations that were observed; ``counts`` are answers by status."""

    violations: list[str] = field(default_factory=list)
    counts: dict[int, int] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def count(self, status: int) -> None:
        """Count one answer."""
        with self._lock:
            self.counts[status] = self.counts.get(status, 0) + 1

    def add(self, text: str) -> None:
        """Record a violation."""
        with self._lock:
            self.violations.append(text)


class Drill:
    """Fleet, load and restores of one seed."""

    def __init__(self, cluster: GatewayCluster, entries: int, seed: int):
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._running = threading.Event()
        self._numbers = iter(range(1, 1 << 40))
        self.findings = Findings()
        self._start_fleet(entries)

    def _start_fleet(self, entries: int) -> None:
        cluster = self._cluster
        cluster.start_store(configuration(1, (_route("/old/"),)))
        for name in APPS:
            cluster.start_server(name, "app")
        for name in READERS:
            cluster.start_server(name, "llm", "prefill")
        for name in RUNNERS:
            cluster.start_server(name, "llm", "decode")
        first = cluster.start_gateway(2, lease_term_ms=LEASE_TERM_MS)
        self._ports = first.ports
        self._entries = [first]
        for number in range(3, entries + 2):
            self._entries.append(self._start_entry(number))
        for entry in self._entries:
            wait_until(lambda entry=entry: is_ready(entry), 60.0)

    def _start_entry(self, number: int) -> GatewayProcess:
        seeds = [f"{FIRST_HOST}:{self._ports[3]}"]
        return self._cluster.start_gateway(
            number, self._ports, seeds=seeds, lease_term_ms=LEASE_TERM_MS
        )

    def run(self) -> Findings:
        """Perform the restores and return the findings."""
        self._running.set()
        threads = [threading.Thread(target=self._call) for _ in range(CALLERS)]
        threads += [
            threading.Thread(target=self._watch_configuration, args=(entry,))
            for entry in self._entries
        ]
        for thread in threads:
            thread.start()
        try:
            self._restore()
        except TimeoutError as exc:
            self.findings.add(f"not served again: {exc}")
        finally:
            self._running.clear()
            for thread in threads:
                thread.join()
        self._check_orders()
        return self.findings

    def _restore(self) -> None:
        rng = self._rng
        time.sleep(rng.uniform(0.3, 1.5))
        self._control_store(copy=True)
        newer = configuration(2, (_route("/new/"),))
        self._cluster.write("op", "config", newer)
        self._register("app-2", state="draining")
        self._cluster.remove("servers", "app-3")
        wait_until(lambda: self._statuses("/new/x") <= {200}, RECOVERY_S)
        time.sleep(rng.uniform(0.2, 2.0))
        for _ in range(rng.choice((1, 1, 2))):
            self._restore_once()
        again = None
        if rng.random() < 0.5:
            again = self._start_entry(len(self._entries) + 2)
        time.sleep(rng.uniform(0.3, 2.0))
        self._cluster.write("op", "config", newer)
        self._register("app-2", state="draining")
        self._cluster.write("op", "config", configuration(3, (_route("/later/"),)))
        if again is not None:
            wait_until(lambda: is_ready(again), RECOVERY_S)
            self._entries.append(again)
        wait_until(lambda: self._statuses("/later/x") <= {200}, RECOVERY_S)
        wait_until(lambda: self._statuses("/get/x") <= {200}, RECOVERY_S)

    def _restore_once(self) -> None:
        """Restore the store while an entry stops, is paused, or neither."""
        rng = self._rng
        beside = rng.choice((nullcontext, self._stopping, self._pausing))
        self._control_store(refuse=503)
        time.sleep(rng.uniform(0.05, 1.0))
        with beside():
            self._control_store(**{"come-back": True})
            time.sleep(rng.uniform(0.05, 0.5))

    @contextmanager
    def _stopping(self) -> Iterator[None]:
        """Stop one entry gracefully."""
        leaving = self._entries.pop(self._rng.randrange(len(self._entries)))
        leaving.send_signal(signal.SIGTERM)
        yield
        if leaving.wait(RECOVERY_S) != 0:
            self.findings.add(f"{leaving.name}: ended with {leaving.popen.returncode}")

    @contextmanager
    def _pausing(self) -> Iterator[None]:
        """Pause one entry, so that it notices the restore later than the others."""
        still = self._entries.pop(self._rng.randrange(len(self._entries)))
        still.send_signal(signal.SIGSTOP)
        yield
        time.sleep(self._rng.uniform(0.0, 2 * LEASE_TERM_MS / 1000))
        still.send_signal(signal.SIGCONT)
        self._entries.append(still)

    def _control_store(self, **faults) -> None:
        self._cluster.processes["store"].request("POST", "/emulate", faults)

    def _register(self, name: str, **more) -> None:
        row = server_row(self._cluster.processes[name], "app", **more)
        self._cluster.write("servers", name, row)

    def _statuses(self, path: str) -> set[int]:
        return {self._get(path, entry) for entry in self._entries}

    def _get(self, path: str, entry: GatewayProcess) -> int:
        headers = self._headers()
        try:
            return request(entry.address, "GET", path, None, headers).status
        except OSError:
            return 0

    def _headers(self) -> dict[str, str]:
        return {
            "Host": HOST,
            "Attempt-Id": f"{next(self._numbers):016x}",
            "Deadline-Remaining": "1500",
        }

    def _call(self) -> None:
        """Send plain calls and streams until the drill ends."""
        rng = random.Random(next(self._numbers))
        while self._running.is_set():
            entry = rng.choice(self._entries)
            headers = self._headers()
            path, body = "/get/x", None
            if rng.random() < 0.5:
                path, body = "/chat/x", b"{}"
                shared = PROMPT_TOKENS // 2
                own = headers["Attempt-Id"]
                headers |= {
                    "Model": "m",
                    "Token-Counts": f"{PROMPT_TOKENS},40",
                    "Prefix-Hash": f"ab12:{shared},{own}:{shared}",
                }
            self._check_answer(entry, path, body, headers)
            time.sleep(ASK_EVERY_S)

    def _check_answer(self, entry, path, body, headers) -> None:
        method = "GET" if body is None else "POST"
        try:
            answer = request(entry.address, method, path, body, headers)
        except OSError as exc:
            self.findings.add(f"{entry.name} {path}: {exc!r}")
            return
        self.findings.count(answer.status)
        if answer.status not in (200, 503):
            self.findings.add(f"{entry.name} {path}: answered {answer.status}")
        elif answer.status == 200 and body and not answer.body.endswith(STREAM_END):
            self.findings.add(f"{entry.name} {path}: cut short")

    def _watch_configuration(self, entry: GatewayProcess) -> None:
        """Watch the configuration in force at an entry until the drill ends."""
        newer_since_s = None
        while self._running.is_set():
            status = self._get("/old/x", entry)
            now = time.monotonic()
            if status == 404 and newer_since_s is None:
                newer_since_s = now
            newer_for_s = 0.0 if newer_since_s is None else now - newer_since_s
            if status == 200 and newer_for_s > ROLLBACK_SLACK_S:
                self.findings.add(f"{entry.name}: the configuration went back")
            time.sleep(LOOK_EVERY_S)

    def _check_orders(self) -> None:
        holders: dict[int, set[str]] = {}
        for name in (*READERS, *RUNNERS):
            tokens = []
            for order in self._cluster.control(name)["orders"]:
                holders.setdefault(order["fencing-token"], set()).add(order["holder"])
                tokens.append(order["fencing-token"])
            if tokens != sorted(tokens):
                self.findings.add(f"{name}: a lower token after a higher: {tokens}")
        for token, names in holders.items():
            if len(names) > 1:
                self.findings.add(f"token {token} of two holders: {sorted(names)}")
        self.findings.counts[-1] = sum(len(names) for names in holders.values())


def _route(prefix: str) -> dict:
    return route_row(prefix.strip("/"), prefix, "idempotent", "app")


def main(args: list[str]) -> int:
    """Run the seeds; returns 1 if one shows a violation."""
    parser = argparse.ArgumentParser(prog="python -m extras.era_drill")
    parser.add_argument("--entries", type=int, default=8)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first-seed", type=int, default=1)
    options = parser.parse_args(args)
    failed = 0
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        with GatewayCluster() as cluster:
            findings = Drill(cluster, options.entries, seed).run()
        orders = findings.counts.pop(-1, 0)
        violations = findings.violations
        print(f"seed {seed}: {findings.counts}, tokens used {orders}; {violations[:5]}")
        failed += bool(violations)
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
