"""Faults of the matrix, and the injector that triggers them at a step."""

import contextlib
import json
import os
import random
import signal
import threading
import time
from collections.abc import Callable
from enum import StrEnum
from http.client import HTTPException

from extras.cluster import Process, request
from wisteriaarch.status import ExitStatus
from wisteriaarch.steps import Step

from .bench import Bench, link_name, peer_link_name

SLOW_DELAY_S = 0.15
RIVAL_HORIZON_S = 61.0
ACCEPTED = (ExitStatus.SUCCESS, ExitStatus.NOT_IN_FORCE)
Action = Callable[[Bench, int, random.Random], None]


class Fault(StrEnum):
    """Kind of fault.

    Pauses and cuts last longer than the lease term and the staleness bound. ``cut``,
    ``cut_up`` and ``cut_down`` disconnect the process at the step from the platform, in
    both directions or in one. ``engine_stall`` holds back the bytes of connections to
    engines that are open at the step. ``other_pause`` pauses an entry other than the
    process at the step; ``other_cut`` disconnects one from the platform and all entries
    from their peers. In ``race``, another operator applies a manifest.
    """

    KILL = "kill"
    PAUSE = "pause"
    CUT_UP = "cut_up"
    CUT_DOWN = "cut_down"
    CUT = "cut"
    ENGINE_CUT_UP = "engine_cut_up"
    ENGINE_CUT_DOWN = "engine_cut_down"
    ENGINE_STALL = "engine_stall"
    SLOW = "slow"
    LOST_ANSWER = "lost_answer"
    OUTAGE = "outage"
    UPSTREAM_CRASH = "upstream_crash"
    OTHER_PAUSE = "other_pause"
    OTHER_CUT = "other_cut"
    RACE = "race"


class Injector:
    """Injects faults at a step.

    All faults are injected at once, except for a pair of equal faults: the second is
    injected the next time that the step is reached.
    """

    def __init__(
        self, bench: Bench, step: Step, faults: list[Fault], rng: random.Random
    ):
        self._bench = bench
        self._step = step
        self._rng = rng
        self._injected = threading.Event()
        self._remaining = self._plan(faults)
        self._last_injected: list[Fault] = []
        self.pids: list[int] = []

    def _plan(self, faults: list[Fault]) -> list[list[Fault]]:
        same_twice = len(faults) == 2 and faults[0] is faults[1]
        return [[fault] for fault in faults] if same_twice else [faults]

    @property
    def pending(self) -> bool:
        """Whether some fault has not been injected yet."""
        return bool(self._remaining)

    def arm(self) -> None:
        """Inject the next faults when the step is next reached."""
        self._injected.clear()
        self._bench.controller.arm(self._step, self._inject)

    def wait_injected(self, timeout_s: float) -> bool:
        """Wait for the injection of the armed faults; False on timeout."""
        return self._injected.wait(timeout_s)

    def _inject(self, pid: int) -> None:
        self.pids.append(pid)
        self._last_injected = self._remaining.pop(0)
        for fault in self._last_injected:
            ACTIONS[fault](self._bench, pid, self._rng)
        self._injected.set()

    def wait_fault_duration(self) -> None:
        """Wait for the duration of the faults injected last."""
        time.sleep(
            max(
                DURATIONS_S.get(item, DEFAULT_DURATION_S)
                for item in self._last_injected
            )
        )

    def heal(self) -> None:
        """Clear every fault and replace the entries that have exited."""
        bench = self._bench
        bench.controller.disarm()
        bench.cluster.set_faults(outage=False, lose_answers=0)
        for name in bench.cluster.processes:
            if name.startswith("link-"):
                bench.cluster.set_proxy(name, mode="pass", delay_s=0.0)
        for name in bench.layout.services:
            bench.cluster.processes[name].request("POST", "/control", {"die": None})
        for pid in self.pids:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGCONT)
        for entry in list(bench.entries):
            entry.send_signal(signal.SIGCONT)
            if entry.popen.poll() is not None:
                bench.replace_entry(entry)


def _signal(number: int) -> Action:
    def strike(_bench: Bench, pid: int, _rng: random.Random) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, number)

    return strike


def _cut_platform(mode: str) -> Action:
    def strike(bench: Bench, pid: int, _rng: random.Random) -> None:
        bench.cluster.set_proxy(bench.link_of(pid), mode=mode)

    return strike


def _cut_engines(mode: str) -> Action:
    def strike(bench: Bench, _pid: int, _rng: random.Random) -> None:
        for name in bench.layout.engines:
            bench.cluster.set_proxy(link_name(name), mode=mode)

    return strike


def _pause_other(bench: Bench, pid: int, rng: random.Random) -> None:
    os.kill(_other_entry(bench, pid, rng).popen.pid, signal.SIGSTOP)


def _cut_other(bench: Bench, pid: int, rng: random.Random) -> None:
    other = _other_entry(bench, pid, rng)
    bench.cluster.set_proxy(link_name(other.name), mode="hold")
    for entry in bench.entries:
        bench.cluster.set_proxy(peer_link_name(entry.name), mode="hold")


def _other_entry(bench: Bench, pid: int, rng: random.Random) -> Process:
    return rng.choice([item for item in bench.entries if item.popen.pid != pid])


def _slow(bench: Bench, pid: int, _rng: random.Random) -> None:
    for name in (bench.link_of(pid), *map(link_name, bench.layout.engines)):
        bench.cluster.set_proxy(name, delay_s=SLOW_DELAY_S)


def _lose_answer(bench: Bench, _pid: int, _rng: random.Random) -> None:
    bench.cluster.set_faults(lose_answers=1)


def _outage(bench: Bench, _pid: int, _rng: random.Random) -> None:
    bench.cluster.set_faults(outage=True)


def _crash_upstream(bench: Bench, _pid: int, rng: random.Random) -> None:
    for name in bench.layout.services:
        die = rng.choice(("before", "during", "after"))
        bench.cluster.processes[name].request("POST", "/control", {"die": die})
    engine = bench.cluster.processes[_busy_engine(bench, rng)]
    with contextlib.suppress(OSError, HTTPException):
        request(engine.address, "POST", "/crash", timeout_s=1.0)


def _busy_engine(bench: Bench, rng: random.Random) -> str:
    idle = []
    for name in bench.layout.engines:
        with contextlib.suppress(OSError, HTTPException):
            state = bench.engine_state(name)
            if state["changing"] or any(state["streams"].values()):
                return name
            idle.append(name)
    return rng.choice(idle)


def _race(bench: Bench, _pid: int, _rng: random.Random) -> None:
    path = bench.cluster.path / "rival.json"
    manifest = {**bench.manifest(), "policy": {"horizon_s": RIVAL_HORIZON_S}}
    path.write_text(json.dumps(manifest), encoding="utf-8")
    done = bench.run_operator("apply", str(path), "--timeout", "0.5", observed=False)
    bench.rival_accepted = done.returncode in ACCEPTED


ACTIONS: dict[Fault, Action] = {
    Fault.KILL: _signal(signal.SIGKILL),
    Fault.PAUSE: _signal(signal.SIGSTOP),
    Fault.CUT_UP: _cut_platform("hold_up"),
    Fault.CUT_DOWN: _cut_platform("hold_down"),
    Fault.CUT: _cut_platform("hold"),
    Fault.ENGINE_CUT_UP: _cut_engines("hold_up"),
    Fault.ENGINE_CUT_DOWN: _cut_engines("hold_down"),
    Fault.ENGINE_STALL: _cut_engines("hold_open"),
    Fault.SLOW: _slow,
    Fault.LOST_ANSWER: _lose_answer,
    Fault.OUTAGE: _outage,
    Fault.UPSTREAM_CRASH: _crash_upstream,
    Fault.OTHER_PAUSE: _pause_other,
    Fault.OTHER_CUT: _cut_other,
    Fault.RACE: _race,
}
DURATIONS_S: dict[Fault, float] = {
    Fault.KILL: 1.0,
    Fault.PAUSE: 4.0,
    Fault.ENGINE_STALL: 3.0,
    Fault.SLOW: 1.5,
    Fault.LOST_ANSWER: 0.5,
    Fault.UPSTREAM_CRASH: 0.5,
    Fault.OTHER_PAUSE: 3.0,
    Fault.OTHER_CUT: 3.0,
    Fault.RACE: 0.5,
}
DEFAULT_DURATION_S = 2.0
