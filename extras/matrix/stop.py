"""Driver of the graceful shutdown, under load, of an entry that holds a lease."""

import subprocess
import threading
import time
from dataclasses import dataclass
from http.client import HTTPException

from extras.cluster import Process, request
from wisteriaarch.status import ExitStatus

from .bench import CALLERS_KEEP_S, STOP_TIMEOUT_S
from .control import STREAM_TIMEOUT_S, Rollout
from .faults import DEFAULT_DURATION_S, DURATIONS_S, Fault
from .procedure import COMPLETION_TIMEOUT_S, wait_for
from .traffic import Caller, send

STREAMS_PER_ENTRY = 2
LONG_STREAM_TOKENS = 200
STREAMS_START_TIMEOUT_S = 5.0
SPREAD_S = 0.4
STOP_SLACK_S = 2.0
PROBE_EVERY_S = 0.05
PROBE_TIMEOUT_S = 1.0
UNLISTED_TIMEOUT_S = 2.0
SIGKILL_EXIT_CODE = -9
# Faults that kill the stopping entry, or keep its shutdown notice from other entries.
NOTICE_LOSING_FAULTS = frozenset(
    (Fault.KILL, Fault.PAUSE, Fault.OTHER_PAUSE, Fault.OTHER_CUT)
)


@dataclass(frozen=True)
class Stopped:
    """Exit of one stopped entry; ``exit_code`` is None if it did not exit."""

    entry: Process
    exit_code: int | None
    duration_s: float


class Stop(Rollout):
    """An entry that holds a lease is stopped during a rollout."""

    name = "stop"

    def __init__(self, *args):
        super().__init__(*args)
        self.stopped: list[Stopped] = []
        self.long_streams: list[tuple[Process, Caller]] = []
        self._stopping = threading.Event()

    def act_under_load(self) -> None:
        """Begin a rollout, stop the holder of a lease and wait for its exit."""
        self._replace_stopped()
        self.change_versions()
        self.apply()
        entry = self._find_holder()
        streams = self._start_streams()
        wait_for(lambda: self._carries_streams(entry), STREAMS_START_TIMEOUT_S)
        self._stopping.set()
        prober = threading.Thread(target=self._probe, args=(entry,))
        prober.start()
        self.stopped.append(self._stop(entry))
        self._stopping.clear()
        for thread in (prober, *streams):
            thread.join()

    def _find_holder(self) -> Process:
        group = self.rng.choice(sorted(self.bench.layout.groups))
        wait_for(lambda: self._holder_of(group), COMPLETION_TIMEOUT_S)
        return self._holder_of(group)

    def _holder_of(self, group: str) -> Process | None:
        row = self.bench.cluster.platform.request("GET", f"/table/leases/{group}")
        holder = row.json()["value"]["holder"]
        return next((item for item in self.bench.entries if item.name == holder), None)

    def _start_streams(self) -> list[threading.Thread]:
        models = sorted(self.bench.layout.models)
        threads = []
        for index, entry in enumerate(self.bench.entries):
            for number in range(STREAMS_PER_ENTRY):
                caller = Caller(
                    self.bench,
                    index,
                    f"in progress {self.rng.getrandbits(64)}",
                    models[number % len(models)],
                    stream=True,
                    tokens=LONG_STREAM_TOKENS,
                )
                self.long_streams.append((entry, caller))
                threads.append(
                    threading.Thread(target=caller.run, args=(STREAM_TIMEOUT_S,))
                )
        for thread in threads:
            thread.start()
        return threads

    def _carries_streams(self, entry: Process) -> bool:
        status = self.bench.status(entry)
        return status is not None and status["in_flight"] >= STREAMS_PER_ENTRY

    def _stop(self, entry: Process) -> Stopped:
        started_at = time.monotonic()
        entry.popen.terminate()
        try:
            exit_code = entry.wait(self._stop_bound_s())
        except subprocess.TimeoutExpired:
            exit_code = None
        return Stopped(entry, exit_code, time.monotonic() - started_at)

    def _stop_bound_s(self) -> float:
        faults_s = sum(
            DURATIONS_S.get(item, DEFAULT_DURATION_S) for item in self.faults
        )
        return SPREAD_S + CALLERS_KEEP_S + STOP_TIMEOUT_S + faults_s + STOP_SLACK_S

    def _probe(self, stopping_entry: Process) -> None:
        """Send requests to the stopping entry for as long as callers may use it.

        A caller may use an entry for CALLERS_KEEP_S after another entry listed it.
        """
        usable_until = 0.0
        while self._stopping.is_set():
            for entry in list(self.bench.entries):
                asked_at = time.monotonic()
                if (
                    entry is not stopping_entry
                    and stopping_entry.name in self._names_of(entry)
                ):
                    usable_until = max(usable_until, asked_at + CALLERS_KEEP_S)
            if time.monotonic() < usable_until:
                self._send_probe(stopping_entry, usable_until)
            time.sleep(PROBE_EVERY_S)

    def _send_probe(self, stopping_entry: Process, usable_until: float) -> None:
        # An unknown model is refused immediately, with an error kind other than
        # "stopping".
        body = {"model": "absent", "prompt": "?", "max_tokens": 1}
        headers = {"Authorization": f"Bearer {self.bench.credential}"}
        outcome = send(stopping_entry.address, "/v1/completions", body, headers)
        still_usable = time.monotonic() < usable_until
        rejected = outcome.status == 0 or outcome.kind == "stopping"
        if (
            still_usable
            and rejected
            and not NOTICE_LOSING_FAULTS.intersection(self.faults)
        ):
            self.violations.append(f"{stopping_entry.name} rejected a caller too early")

    def _names_of(self, entry: Process) -> set[str]:
        try:
            answer = request(
                entry.address, "GET", "/v1/entries", timeout_s=PROBE_TIMEOUT_S
            )
        except (OSError, HTTPException):
            return set()
        return {item["id"] for item in answer.json().get("entries", ())}

    def settle(self) -> None:
        """Wait for deregistration, new lease holders and the end of the rollout."""
        for item in self.stopped:
            wait_for(
                lambda item=item: self._is_unlisted(item.entry), UNLISTED_TIMEOUT_S
            )
        self._replace_stopped()
        for group in self.bench.layout.groups:
            wait_for(
                lambda group=group: self._is_held_by_live_entry(group),
                COMPLETION_TIMEOUT_S,
            )
        super().settle()

    def _is_unlisted(self, stopped: Process) -> bool:
        others = [item for item in self.bench.entries if item is not stopped]
        return all(stopped.name not in self._names_of(entry) for entry in others)

    def _is_held_by_live_entry(self, group: str) -> bool:
        holder = self._holder_of(group)
        if holder is None:
            return False
        status = self.bench.status(holder)
        return status is not None and status["groups"][group]["held"]

    def _replace_stopped(self) -> None:
        for entry in list(self.bench.entries):
            if entry.popen.poll() is not None:
                self.bench.replace_entry(entry)

    def check(self) -> None:
        """Check that each entry exited on time and truncated no stream.

        The streams of a killed entry are truncated. If an engine crashes while the
        other one of its group loads a new version, no engine may be available to resume
        a stream.
        """
        super().check()
        crashed = Fault.UPSTREAM_CRASH in self.faults
        killed = set()
        for item in self.stopped:
            if item.exit_code == SIGKILL_EXIT_CODE and Fault.KILL in self.faults:
                killed.add(item.entry.name)
                continue
            self.expect(
                item.exit_code == ExitStatus.SUCCESS,
                f"{item.entry.name} ended with {item.exit_code} "
                f"after {item.duration_s:.1f} s",
            )
        for entry, caller in self.long_streams:
            self.violations += caller.wrong_answers
            self.expect(caller.is_final(), f"no answer to {caller.prompt!r}")
            first = caller.outcomes[0]
            complete = first.status == 200 and first.clean
            self.expect(
                complete or entry.name in killed or crashed,
                f"{entry.name} truncated a stream: {first}",
            )
