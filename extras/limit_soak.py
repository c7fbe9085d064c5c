"""Soak of request limits: entries are killed, stopped and paused while limits change.

Callers keep their connections to an entry until it is gone. Two servers state limits
that change and end at random. Each is checked to get, in any window that begins
``KNOWN_AFTER_S`` after it first stated one, no more requests than the rule allows.
"""

import argparse
import contextlib
import http.client
import random
import signal
import sys
import threading
import time
from dataclasses import dataclass, field

from .cluster import wait_until
from .gateway_cluster import HOST, GatewayCluster, GatewayProcess, is_ready

ENTRIES = 4
FIRST_HOST = 2
PLAIN_CALLERS = 8
PROMPT_CALLERS = 5
CALL_INTERVAL_S = 0.2
WINDOW_S = 4.0
KNOWN_AFTER_S = 3.0
# Within this time an entry that was told of a change keeps to it.
REACTION_S = 1.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
LIMITS_PER_S = (1.0, 2.5, 6.0)
LIMITED = ("app-1", "dec-1")
FAULT_INTERVAL_S = (0.3, 1.5)
PAUSE_S = (0.5, 2.5)
SOAK_S = 14.0
TIMEOUT_S = 5.0


@dataclass
class StatedLimit:
    """Limit of a server from ``at_s`` on; None if it states none."""

    at_s: float
    per_s: float | None


@dataclass
class Findings:
    """Violations, and the answers of all calls by status (0: broken connection)."""

    violations: list[str] = field(default_factory=list)
    statuses: dict[int, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)


class Soak:
    """One seed: a cluster, its load and its faults."""

    def __init__(self, cluster: GatewayCluster, seed: int, soak_s: float = SOAK_S):
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._soak_s = soak_s
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self._stated: dict[str, list[StatedLimit]] = {name: [] for name in LIMITED}
        self._entries: list[GatewayProcess] = []
        self._changing: set[int] = set()
        self.findings = Findings()

    def run(self) -> Findings:
        """Run the soak and return its findings."""
        self._start_cluster()
        threads = [
            threading.Thread(target=self._call_until_ended, args=(number,))
            for number in range(PLAIN_CALLERS + PROMPT_CALLERS)
        ]
        for thread in threads:
            thread.start()
        try:
            self._inject_faults()
        finally:
            self._ended.set()
            for thread in threads:
                thread.join()
        for name in LIMITED:
            self._check(name)
        return self.findings

    def _start_cluster(self) -> None:
        self._cluster.start_store()
        for name in ("app-1", "app-2"):
            self._cluster.start_server(name, "app", slots=32)
        for name in ("dec-1", "dec-2"):
            self._cluster.start_server(name, "llm", "decode")
        ports = None
        for number in range(ENTRIES):
            entry = self._start_entry(number, ports)
            ports = entry.ports
            self._entries.append(entry)
        for entry in self._entries:
            wait_until(lambda entry=entry: is_ready(entry))

    def _start_entry(self, number: int, ports) -> GatewayProcess:
        return self._cluster.start_gateway(
            FIRST_HOST + number, ports=ports, change_stages=False
        )

    def _call_until_ended(self, number: int) -> None:
        """Send calls on one connection until its entry closes it, then on another."""
        rng = random.Random(number)
        conn, calls = None, 0
        while not self._ended.wait(rng.uniform(0.5, 1.5) * CALL_INTERVAL_S):
            if conn is None:
                host, _, port = rng.choice(self._entries).address.rpartition(":")
                conn = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
            calls += 1
            status = self._call(conn, number, calls)
            if not status:
                conn.close()
                conn = None
            with self._lock:
                statuses = self.findings.statuses
                statuses[status] = statuses.get(status, 0) + 1
        if conn is not None:
            conn.close()

    def _call(self, conn: http.client.HTTPConnection, number: int, calls: int) -> int:
        headers = {
            "Host": HOST,
            "Attempt-Id": f"soak-{number}-{calls}",
            "Deadline-Remaining": "1500",
        }
        method, path, body = "GET", "/get/x", None
        if number >= PLAIN_CALLERS:
            method, path, body = "POST", "/chat/x", b"{}"
            headers |= {
                "Model": "m",
                "Token-Counts": "60,40",
                "Prefix-Hash": f"ab12:30,{number:x}{calls:x}:30",
            }
        try:
            conn.request(method, path, body, headers)
            response = conn.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return 0

    def _inject_faults(self) -> None:
        ends_at_s = time.monotonic() + self._soak_s
        faults = [
            self._state_limit,
            self._state_limit,
            self._end_limit,
            self._kill_entry,
            self._stop_entry,
            self._pause_entry,
        ]
        threads = []
        for name in LIMITED:
            self._set_limit(name, self._rng.choice(LIMITS_PER_S))
        while time.monotonic() < ends_at_s:
            time.sleep(self._rng.uniform(*FAULT_INTERVAL_S))
            fault = self._rng.choice(faults)
            thread = threading.Thread(target=fault, args=(self._rng.random(),))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _state_limit(self, draw: float) -> None:
        per_s = LIMITS_PER_S[int(draw * len(LIMITS_PER_S))]
        self._set_limit(LIMITED[int(draw * 100) % len(LIMITED)], per_s)

    def _end_limit(self, draw: float) -> None:
        self._set_limit(LIMITED[int(draw * 100) % len(LIMITED)], None)

    def _set_limit(self, name: str, per_s: float | None) -> None:
        self._note(f"{name} states {per_s}")
        self._cluster.control(name, limit="" if per_s is None else str(per_s))
        self._stated[name].append(StatedLimit(_boot_time_s(), per_s))

    @contextlib.contextmanager
    def _claim_entry(self, draw: float):
        """Yield the number of an entry on which no other fault acts; None if none."""
        with self._lock:
            free = [n for n in range(ENTRIES) if n not in self._changing]
            number = free[int(draw * len(free))] if len(free) > 1 else None
            if number is not None:
                self._changing.add(number)
        try:
            yield number
        finally:
            with self._lock:
                self._changing.discard(number)

    def _kill_entry(self, draw: float) -> None:
        with self._claim_entry(draw) as number:
            if number is not None:
                self._replace_entry(number, signal.SIGKILL)

    def _stop_entry(self, draw: float) -> None:
        with self._claim_entry(draw) as number:
            if number is not None:
                self._replace_entry(number, signal.SIGTERM)

    def _replace_entry(self, number: int, stop_signal: signal.Signals) -> None:
        self._note(f"entry {number} gets {stop_signal.name}")
        entry = self._entries[number]
        entry.send_signal(stop_signal)
        entry.wait()
        entry.popen.stdout.close()
        self._entries[number] = again = self._start_entry(number, entry.ports)
        wait_until(lambda: is_ready(again))

    def _pause_entry(self, draw: float) -> None:
        with self._claim_entry(draw) as number:
            if number is None:
                return
            self._note(f"entry {number} is paused")
            entry = self._entries[number]
            entry.send_signal(signal.SIGSTOP)
            time.sleep(PAUSE_S[0] + draw * (PAUSE_S[1] - PAUSE_S[0]))
            entry.send_signal(signal.SIGCONT)

    def _note(self, text: str) -> None:
        with self._lock:
            self.findings.faults.append(f"{_boot_time_s():.2f} {text}")

    def _check(self, name: str) -> None:
        arrivals = sorted(self._cluster.control(name)["arrivals"])
        stated = sorted(self._stated[name], key=lambda item: item.at_s)
        since_s = stated[0].at_s + KNOWN_AFTER_S
        for start_s in arrivals:
            per_s = _highest_limit(stated, start_s - REACTION_S, start_s + WINDOW_S)
            if start_s < since_s or per_s is None:
                continue
            count = sum(start_s <= at_s < start_s + WINDOW_S for at_s in arrivals)
            allowed = ALLOWED_FACTOR * per_s * WINDOW_S + ALLOWED_EXTRA
            if count > allowed:
                text = f"{name} got {count} from {start_s:.2f} on, allowed {allowed:g}"
                self.findings.violations.append(text)
                return


def _highest_limit(
    stated: list[StatedLimit], from_s: float, to_s: float
) -> float | None:
    """Return the highest limit between two times; None if there was none for a while.

    ``stated`` are in the order of their times.
    """
    before = [item for item in stated if item.at_s <= from_s][-1:]
    during = [item for item in stated if from_s < item.at_s < to_s]
    limits = [item.per_s for item in before + during]
    if not before or None in limits:
        return None
    return max(limits)


def _boot_time_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_seed(seed: int, soak_s: float = SOAK_S) -> Findings:
    """Run the soak of one seed in a cluster of its own."""
    with GatewayCluster() as cluster:
        return Soak(cluster, seed, soak_s).run()


def main(args: list[str]) -> int:
    """Run the seeds; returns 1 if one shows a violation."""
    parser = argparse.ArgumentParser(prog="python -m extras.limit_soak")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first-seed", type=int, default=1)
    options = parser.parse_args(args)
    failed = 0
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        findings = run_seed(seed)
        failed += bool(findings.violations)
        statuses = dict(sorted(findings.statuses.items()))
        print(f"seed {seed}: {len(findings.faults)} faults, answers {statuses}")
        for line in findings.violations:
            print(f"    VIOLATION {line}")
            print("    " + "\n    ".join(findings.faults))
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
