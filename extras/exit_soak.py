"""Soak of planned stops: entries end while callers go on and servers turn slow.

A request is lost if it ends without a whole answer, unless it was sent within
``LATE_S`` after the signal and its server was at work in the last sixth of the grace.
"""

import random
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from threading import Thread, Timer

from wisteriaarch.events import Event

from .cluster import wait_until
from .exit_callers import LONG_ROUTES, Caller, requests_of, runs
from .gateway_cluster import GatewayCluster, GatewayProcess, configuration, is_ready

GRACE_S = 6.0
LATE_S = 3.0
LAST_SIXTH_S = GRACE_S * 5 / 6
HOSTS = (2, 3, 4)
SERVERS = ("app-1", "app-2", "dec-1", "dec-2", "dec-3")
QUICK = {"event_interval_s": 0.05, "answer_delay_s": 0.05}
SLOW = {"event_interval_s": 1.6, "answer_delay_s": 2.5}
PATHS = ("/get/x", "/long-get/x", "/long-post/x", "/long-chat/x", "/long-again/x")
CALLERS = 12
STOP_SIGNALS = (signal.SIGTERM, signal.SIGTERM, signal.SIGINT)
# Errors that may break a stream off at any time.
SERVER_FAILURES = ("deadline_exceeded", "upstream_failed", "answer_incomplete")
SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)


@dataclass
class Findings:
    """Lost requests and failed entries, answers by status (0: none), what was done."""

    lost: list[str] = field(default_factory=list)
    statuses: Counter = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)


class Soak:
    """One seed: a cluster whose entries are all stopped."""

    def __init__(self, cluster: GatewayCluster, seed: int):
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._threads: list[Thread] = []
        self._signals_s: dict[str, float] = {}
        self.findings = Findings()

    def run(self) -> Findings:
        """Run the soak and return its findings."""
        entries = self._start_cluster()
        callers = {entry.name: self._start_callers(entry) for entry in entries}
        began_s = 1.5
        self._disturb(began_s + self._rng.uniform(-0.5, 1.0))
        gap_s = self._rng.choice((0.0, self._rng.uniform(0.3, 1.0)))
        for index, entry in enumerate(entries):
            at_s = began_s + index * gap_s
            self._plan(at_s, self._signal, entry.name, self._rng.choice(STOP_SIGNALS))
            at_s += self._rng.uniform(0.1, 3.0)
            self._plan(at_s, self._signal, entry.name, self._rng.choice(SIGNALS))
        for thread in self._threads:
            thread.join()
        ran = runs(self._cluster, SERVERS)
        for entry in entries:
            self._judge(entry, callers[entry.name], ran)
        return self.findings

    def _plan(self, after_s: float, action, *args) -> None:
        self._start(Timer(after_s, action, args))
        texts = [getattr(arg, "name", arg) for arg in (*args, "slow")[:2]]
        self.findings.faults.append(f"{after_s:.2f} {texts}")

    def _start(self, thread: Thread) -> None:
        self._threads.append(thread)
        thread.start()

    def _signal(self, name: str, number: signal.Signals) -> None:
        self._signals_s.setdefault(name, time.monotonic())
        self._cluster.processes[name].send_signal(number)

    def _disturb(self, at_s: float) -> None:
        """Slow down or pause some servers, or none."""
        how = self._rng.choice(("slow", "slow", "pause", "none"))
        pause_s = self._rng.uniform(1.0, 3.0)
        for name in self._rng.sample(SERVERS, self._rng.randint(2, 5)):
            if how == "slow":
                self._plan(at_s, partial(self._cluster.control, **SLOW), name)
            elif how == "pause":
                self._plan(at_s, self._signal, name, signal.SIGSTOP)
                self._plan(at_s + pause_s, self._signal, name, signal.SIGCONT)

    def _start_cluster(self) -> list[GatewayProcess]:
        cluster, entries, ports = self._cluster, [], None
        cluster.start_store(configuration(routes=LONG_ROUTES))
        for name in SERVERS:
            service = ("app",) if name.startswith("app") else ("llm", "decode")
            cluster.start_server(name, *service, slots=32)
            cluster.control(name, **QUICK)
        for host in HOSTS:
            settings = {"stop_grace_s": GRACE_S, "callers_keep_s": 1.0}
            entries.append(cluster.start_gateway(host, ports=ports, **settings))
            ports = entries[0].ports
        wait_until(lambda: all(is_ready(entry) for entry in entries))
        return entries

    def _start_callers(self, entry: GatewayProcess) -> list[Caller]:
        callers = []
        for number in range(CALLERS):
            options = {
                "keeps": self._rng.random() < 0.7,
                "chunks": self._rng.choice((1, 6, 15)),
                "pause_s": self._rng.uniform(0.05, 1.2),
                "deadline_ms": self._rng.choice((1500, 15_000)),
            }
            path = PATHS[number % len(PATHS)]
            callers.append(Caller(entry, f"{entry.name}-{number}", path, **options))
            self._start(Thread(target=callers[-1].run, daemon=True))
        return callers

    def _judge(self, entry, callers: list[Caller], ran: set[str]) -> None:
        if code := entry.wait():
            trace = entry.log_path.read_text(encoding="utf-8").partition("Traceback")[2]
            self.findings.lost.append(f"{entry.name} ended with {code}: {trace[:2000]}")
        cut = requests_of(entry, Event.REQUEST_CUT)
        failed = requests_of(entry, Event.REQUEST_REFUSED, SERVER_FAILURES) - cut
        signal_s = self._signals_s[entry.name]
        for outcome in (outcome for caller in callers for outcome in caller.outcomes):
            self.findings.statuses[outcome.status] += 1
            is_broken = not outcome.whole and outcome.call_id in failed
            is_answered = outcome.explained(outcome.call_id in ran)
            is_excused = (
                outcome.call_id in ran
                and outcome.sent_at_s is not None
                and outcome.sent_at_s <= signal_s + LATE_S
                and outcome.ended_at_s >= signal_s + LAST_SIXTH_S
            )
            is_ended = outcome.error_kind == "entry_stopped"
            if not (is_broken or is_excused or is_answered and not is_ended):
                self.findings.lost.append(outcome.describe(signal_s))


def run_seed(seed: int) -> Findings:
    """Run the soak of one seed in a cluster of its own."""
    with GatewayCluster() as cluster:
        return Soak(cluster, seed).run()


def main(seeds: list[str]) -> int:
    """Run ``python -m extras.exit_soak SEED...``; returns 1 if one has findings."""
    found = [run_seed(int(seed)) for seed in seeds]
    for seed, findings in zip(seeds, found, strict=True):
        lines = [*findings.lost, *findings.faults] if findings.lost else []
        print(f"seed {seed}: {len(findings.lost)} lost,", dict(findings.statuses))
        print("".join(f"    {line}\n" for line in lines), end="")
    return int(any(findings.lost for findings in found))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
