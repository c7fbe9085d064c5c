"""Driver of a request that crashes engines, retried alongside healthy requests."""

import json
import threading
import time

from extras.cluster import Process
from wisteriaarch.emulator.engine import CRASH_MARKER
from wisteriaarch.events import Event
from wisteriaarch.request.call import Call
from wisteriaarch.version.manifest import CallerSpec

from .bench import ENTRIES
from .control import STREAM_TIMEOUT_S, UnderLoad
from .faults import Fault
from .procedure import COMPLETION_TIMEOUT_S, wait_for
from .traffic import DEADLINE_MS, RETRY_DELAY_S, Caller, Outcome, send

TARGET = "/v1/completions"
HEALTHY_CALLERS = 6
HEALTHY_TOKENS = 100
REPEATS = 3
REFUSAL_TIMEOUT_S = 1.0
MAX_CRASHES = 2
QUARANTINED = "quarantined"
QUARANTINED_EVENT = Event.REQUEST_QUARANTINED.value.number
# Faults after which an entry may not know of the request's earlier crashes.
REPORT_LOSING_FAULTS = frozenset(
    (Fault.KILL, Fault.PAUSE, Fault.OTHER_PAUSE, Fault.OTHER_CUT)
)


class Poison(UnderLoad):
    """A caller retries a crashing request until it is refused as quarantined."""

    name = "poison"

    def __init__(self, *args):
        super().__init__(*args)
        self.crashes_before = self._crashes()
        self.prompts: list[str] = []
        self.healthy_callers: list[Caller] = []
        self.outcome = Outcome()

    def act_under_load(self) -> None:
        """Send a crashing request; switch to the next entry if one does not answer."""
        healthy_threads = self._start_healthy_callers()
        prompt = f"poison {self.rng.getrandbits(64)} {CRASH_MARKER}"
        self.prompts.append(prompt)
        index = self.rng.randrange(ENTRIES)
        give_up_at = time.monotonic() + COMPLETION_TIMEOUT_S
        self.outcome = Outcome()
        while not self._is_refused() and time.monotonic() < give_up_at:
            self.outcome = self._send(prompt, self._entry(index))
            if self.outcome.status == 0:
                index += 1
            time.sleep(RETRY_DELAY_S)
        for thread in healthy_threads:
            thread.join()

    def _is_refused(self) -> bool:
        return self.outcome.kind == QUARANTINED

    def _entry(self, index: int) -> Process:
        return self.bench.entries[index % len(self.bench.entries)]

    def _send(self, prompt: str, entry: Process) -> Outcome:
        headers = {
            "Authorization": f"Bearer {self.bench.credential}",
            "X-Deadline-Ms": DEADLINE_MS,
        }
        return send(entry.address, TARGET, self._body(prompt), headers)

    def _body(self, prompt: str) -> dict:
        return {"model": self._model(), "prompt": prompt, "max_tokens": 8}

    def _model(self) -> str:
        return min(self.bench.layout.models)

    def _start_healthy_callers(self) -> list[threading.Thread]:
        callers = [
            Caller(
                self.bench,
                index,
                f"innocent {self.rng.getrandbits(64)}",
                self._model(),
                stream=True,
                tokens=HEALTHY_TOKENS,
            )
            for index in range(HEALTHY_CALLERS)
        ]
        self.healthy_callers += callers
        threads = [
            threading.Thread(target=caller.run, args=(STREAM_TIMEOUT_S,))
            for caller in callers
        ]
        for thread in threads:
            thread.start()
        return threads

    def settle(self) -> None:
        """Wait until all entries quarantine the request and all engines serve again."""
        if not self._is_refused():
            raise TimeoutError(
                f"not quarantined in {COMPLETION_TIMEOUT_S:g} s: {self.outcome}"
            )
        for entry in self.bench.entries:
            self._wait_quarantined(entry)
        wait_for(lambda: self._crashes() > self.crashes_before, COMPLETION_TIMEOUT_S)
        self.bench.wait_ready()

    def _wait_quarantined(self, entry: Process) -> None:
        wanted = {self._fingerprint(prompt) for prompt in self.prompts}
        try:
            wait_for(lambda: wanted <= _quarantined(entry), COMPLETION_TIMEOUT_S)
        except TimeoutError as exc:
            raise TimeoutError(f"{entry.name} has not quarantined the request") from exc

    def _fingerprint(self, prompt: str) -> str:
        spec = CallerSpec.model_validate(self.bench.manifest()["callers"][0])
        body = json.dumps(self._body(prompt)).encode()
        call = Call(
            caller=spec,
            deadline_at_s=0.0,
            method="POST",
            target=TARGET,
            headers={},
            body=body,
        )
        return call.fingerprint()

    def check(self) -> None:
        """Check the number of engine crashes and the answers to healthy requests."""
        for prompt in self.prompts:
            for entry in self.bench.entries * REPEATS:
                self._check_refused_immediately(prompt, entry)
        crashes = self._crashes() - self.crashes_before
        self.expect(crashes <= self._max_crashes(), f"{crashes} engine crashes")
        for caller in self.healthy_callers:
            self.violations += caller.wrong_answers
            self.expect(
                caller.is_final(), f"no answer to {caller.prompt!r}: {caller.outcome}"
            )
        super().check()

    def _check_refused_immediately(self, prompt: str, entry: Process) -> None:
        started_at = time.monotonic()
        outcome = self._send(prompt, entry)
        took_s = time.monotonic() - started_at
        refused = (outcome.kind, outcome.ran) == (QUARANTINED, "no")
        self.expect(
            refused and took_s < REFUSAL_TIMEOUT_S,
            f"{entry.name}: {outcome.kind or outcome.status} after {took_s:.1f} s",
        )

    def _max_crashes(self) -> int:
        bound = (
            ENTRIES + 1
            if REPORT_LOSING_FAULTS.intersection(self.faults)
            else MAX_CRASHES
        )
        return bound * len(self.prompts) + self.faults.count(Fault.UPSTREAM_CRASH)

    def _crashes(self) -> int:
        return sum(
            self.bench.journal(name)["crashes"] for name in self.bench.layout.engines
        )


def _quarantined(entry: Process) -> set[str]:
    return {
        line["fingerprint"]
        for line in entry.log_lines()
        if line["event"] == QUARANTINED_EVENT
    }
