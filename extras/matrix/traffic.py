"""Drivers of the procedures started by callers: request, stream and claim."""

import json
import threading
import time
import uuid
from dataclasses import dataclass
from http.client import HTTPException, IncompleteRead

from extras.cluster import request
from wisteriaarch.emulator.scheduler import expected_text

from .bench import Bench
from .procedure import COMPLETION_TIMEOUT_S, Procedure

CALLERS = 3
TOKENS = 30
ATTEMPT_TIMEOUT_S = 12.0
RETRY_DELAY_S = 0.2
DEADLINE_MS = "10000"


@dataclass
class Outcome:
    """Outcome of one attempt; ``clean`` means that the answer is complete.

    ``status`` is 0 if there was no answer. ``ran`` and ``kind`` are those of the error.
    """

    status: int = 0
    clean: bool = False
    body: bytes = b""
    ran: str = "unknown"
    kind: str = ""


@dataclass
class Caller:
    """Caller that retries one request until it is answered."""

    bench: Bench
    entry_index: int
    prompt: str
    model: str = ""
    target: str = "/v1/completions"
    stream: bool = False
    key: str | None = None
    tokens: int = TOKENS
    outcome: Outcome | None = None

    def __post_init__(self):
        self.reported_not_run: list[str] = []
        self.wrong_answers: list[str] = []
        self.cuts = 0
        self.outcomes: list[Outcome] = []

    def run(self, timeout_s: float) -> None:
        """Send attempts, each through the next entry, until answered or timed out."""
        give_up_at = time.monotonic() + timeout_s
        while time.monotonic() < give_up_at:
            key = self.key or f"attempt-{uuid.uuid4().hex}"
            self.outcome = self.attempt(key)
            if self.outcome.ran == "no":
                self.reported_not_run.append(key)
            if self.is_final():
                return
            self.entry_index += 1
            time.sleep(RETRY_DELAY_S)

    def is_final(self) -> bool:
        """Whether the caller sends no further attempt."""
        if self.key is None:
            return self.outcome.status == 200 and self.outcome.clean
        if self.outcome.clean and self.outcome.status == 200:
            return True
        return self.outcome.ran == "no" or self.outcome.kind == "outcome_unknown"

    def attempt(self, key: str) -> Outcome:
        """Send the request once and check the content of the answer."""
        entries = self.bench.entries
        entry = entries[self.entry_index % len(entries)]
        headers = {
            "Authorization": f"Bearer {self.bench.credential}",
            "Idempotency-Key": key,
            "X-Deadline-Ms": DEADLINE_MS,
        }
        if self.key is not None:
            headers["X-Non-Idempotent"] = "true"
        outcome = send(entry.address, self.target, self.body(), headers)
        self.outcomes.append(outcome)
        if outcome.status == 200:
            self._check_answer(outcome, key)
            self.cuts += not outcome.clean
        return outcome

    def body(self) -> dict:
        """Return the body of the request."""
        if self.target.startswith("/services"):
            return {"prompt": self.prompt}
        return {
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.tokens,
            "stream": self.stream,
        }

    def _check_answer(self, outcome: Outcome, key: str) -> None:
        if self.target.startswith("/services"):
            if outcome.clean and json.loads(outcome.body).get("key") != key:
                self.wrong_answers.append(
                    f"answer of another request: {outcome.body!r}"
                )
            return
        expected = expected_text(self.prompt, self.tokens)
        if not self.stream:
            if outcome.clean and _text(json.loads(outcome.body)) != expected:
                self.wrong_answers.append(
                    f"wrong answer to {self.prompt!r}: {outcome.body!r}"
                )
            return
        text, error, marked = _read_stream(outcome.body)
        if not expected.startswith(text):
            self.wrong_answers.append(f"wrong tokens for {self.prompt!r}: {text!r}")
        if (marked or (outcome.clean and not error)) and text != expected:
            self.wrong_answers.append(
                f"clean end after {len(text)} of {len(expected)} bytes"
            )
        outcome.clean = outcome.clean and marked


def send(address: str, target: str, body: dict, headers: dict) -> Outcome:
    """Send one request; connection errors give an Outcome without status."""
    try:
        answer = request(address, "POST", target, body, headers, ATTEMPT_TIMEOUT_S)
    except IncompleteRead as exc:
        return Outcome(200, False, exc.partial)
    except (OSError, HTTPException):
        return Outcome()
    if answer.status == 200:
        return Outcome(200, True, answer.body, "yes")
    problem = json.loads(answer.body)
    return Outcome(answer.status, True, answer.body, problem["ran"], problem["kind"])


def _text(content: dict) -> str:
    return content["choices"][0]["text"]


def _read_stream(body: bytes) -> tuple[str, bool, bool]:
    """Return the text, whether an error event and whether ``[DONE]`` was received."""
    texts = []
    events = body.decode().split("\n\n")[:-1]
    for event in events:
        if event.startswith("event: error"):
            return "".join(texts), True, False
        data = event.removeprefix("data: ")
        if data == "[DONE]":
            return "".join(texts), False, True
        texts.append(_text(json.loads(data)))
    return "".join(texts), False, False


class Traffic(Procedure):
    """Concurrent callers; each starts with a different entry."""

    stream = False

    def __init__(self, *args):
        super().__init__(*args)
        self.callers: list[Caller] = []

    def act(self) -> None:
        """Run the callers until each has a final answer or times out."""
        callers = [self.new_caller(index) for index in range(CALLERS)]
        self.callers += callers
        threads = [
            threading.Thread(target=caller.run, args=(COMPLETION_TIMEOUT_S,))
            for caller in callers
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def new_caller(self, index: int) -> Caller:
        """Return the caller that starts with the entry at ``index``."""
        prompt = f"reference {self.rng.getrandbits(64)}"
        model = self.rng.choice(sorted(self.bench.layout.models))
        return Caller(self.bench, index, prompt, model, stream=self.stream)

    def settle(self) -> None:
        """Raise TimeoutError if a caller has no final answer."""
        for caller in self.callers:
            if not caller.is_final():
                raise TimeoutError(
                    f"no answer in {COMPLETION_TIMEOUT_S:g} s: {caller.outcome}"
                )

    def check(self) -> None:
        """Check the answers, and that attempts reported as not run did not run."""
        for caller in self.callers:
            self.violations += caller.wrong_answers
            for key in caller.reported_not_run:
                runs = self.bench.runs(key)
                self.expect(runs == 0, f"{runs} runs of a key reported as not run")


class PlainRequest(Traffic):
    """Requests answered with one JSON document."""

    name = "request"


class Stream(Traffic):
    """Requests answered with a stream."""

    name = "stream"
    stream = True


class Claim(Traffic):
    """Non-idempotent requests, to engines and to plain services."""

    name = "claim"

    def new_caller(self, index: int) -> Caller:
        """Return a caller with its own idempotency key."""
        caller = super().new_caller(index)
        caller.key = f"key-{self.rng.getrandbits(64)}"
        if self.rng.random() < 0.5:
            caller.target = "/services/portal/export"
        return caller

    def check(self) -> None:
        """Check that no key ran twice, even if it is sent again."""
        super().check()
        for caller in self.callers:
            if caller.outcome.status == 200:
                caller.entry_index += 1
                caller.attempt(caller.key)
                self._check_other_body(caller)
            runs = self.bench.runs(caller.key)
            self.expect(runs <= 1, f"{runs} runs of one key")
            self.violations += caller.wrong_answers

    def _check_other_body(self, caller: Caller) -> None:
        prompt, caller.prompt = caller.prompt, "another body " + caller.prompt
        answer = caller.attempt(caller.key)
        caller.prompt = prompt
        self.expect(answer.status != 200, "a key was accepted with another body")
