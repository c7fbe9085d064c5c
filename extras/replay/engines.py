"""Simulated engines that prefill prompts, cache prefix blocks and run streams."""

import heapq
import itertools
import random
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import curio

from wisteriaarch.process.clock import now_s
from wisteriaarch.process.upstreams import Stage, Upstream
from wisteriaarch.request.attempt_failures import AttemptFailed, FailureReason
from wisteriaarch.request.routed_call import Prompt

DIRECT_SLOWDOWN = 2.0


@dataclass(frozen=True)
class EngineCosts:
    """Times of one engine; rates in tokens a second."""

    read_rate: float
    copy_rate: float
    first_event_s: float
    step_s: float
    step_per_request_s: float
    slots: int
    cache_tokens: int


@dataclass(frozen=True)
class EngineFault:
    """Fault of one engine between two times of the replay.

    ``slowdown`` stretches its work, ``failed_share`` of its runs fail.
    """

    from_s: float
    until_s: float
    slowdown: float = 1.0
    failed_share: float = 0.0


@dataclass
class PrefilledTokens:
    """Tokens prefilled, and those of shared blocks that were prefilled before."""

    all: int = 0
    again: int = 0
    _parts: set[str] = field(default_factory=set)

    def note(self, prompt: Prompt, held: int) -> None:
        """Count a prefill by an engine that has ``held`` of the tokens cached."""
        self.all += prompt.input_tokens - held
        for part in prompt.shared_blocks:
            held -= part.tokens
            if held < 0 and part.block_id in self._parts:
                self.again += part.tokens
            self._parts.add(part.block_id)


@dataclass
class SimulatedEngine:
    """One engine; the least recently used blocks are evicted first."""

    upstream: Upstream
    costs: EngineCosts
    read_tokens: PrefilledTokens
    rng: random.Random
    faults: tuple[EngineFault, ...] = ()
    running: int = 0
    _parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _waiting: list = field(default_factory=list)
    _is_reading: bool = False
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    async def read(
        self, prompt: Prompt, source: "SimulatedEngine | None", urgency: int
    ) -> None:
        """Prefill a queued prompt, after copying what ``source`` has cached of it."""
        await self._wait_for_prefill(urgency)
        try:
            held = self._cached_tokens(prompt)
            copied = max(0, source._cached_tokens(prompt) - held) if source else 0
            missing = prompt.input_tokens - held - copied
            self.read_tokens.note(prompt, held + copied)
            slowdown = DIRECT_SLOWDOWN if self._runs else 1.0
            work_s = missing * slowdown / self.costs.read_rate
            work_s += copied / self.costs.copy_rate
            await curio.sleep(work_s * self._slowdown())
        finally:
            await self._end_prefill()
        await curio.sleep(self.costs.first_event_s)
        self._cache(prompt)

    async def take_over(self, prompt: Prompt) -> None:
        """Copy the KV cache of a prompt that another engine has prefilled."""
        missing = prompt.input_tokens - self._cached_tokens(prompt)
        await curio.sleep(self.costs.first_event_s + missing / self.costs.copy_rate)
        self._cache(prompt)

    async def run(self, tokens: int) -> None:
        """Generate the answer; raises AttemptFailed if a fault occurs."""
        with self._place():
            for fault in self._faults_now():
                if self.rng.random() < fault.failed_share:
                    raise AttemptFailed(FailureReason.FAILED, "simulated")
            step_s = self.costs.step_s + self.costs.step_per_request_s * self.running
            await curio.sleep(tokens * step_s * self._slowdown())

    @property
    def _runs(self) -> bool:
        return self.upstream.stage is Stage.DECODE

    @contextmanager
    def _place(self):
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1

    async def _wait_for_prefill(self, urgency: int) -> None:
        if not self._is_reading:
            self._is_reading = True
            return
        turn = curio.Event()
        entry = (urgency, next(self._numbers), turn)
        heapq.heappush(self._waiting, entry)
        try:
            await turn.wait()
        except curio.CancelledError:
            if turn.is_set():
                await self._end_prefill()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    async def _end_prefill(self) -> None:
        if self._waiting:
            await heapq.heappop(self._waiting)[2].set()
        else:
            self._is_reading = False

    def _cached_tokens(self, prompt: Prompt) -> int:
        held = 0
        for part in prompt.shared_blocks:
            if part.block_id not in self._parts:
                break
            held += part.tokens
        return held

    def _cache(self, prompt: Prompt) -> None:
        for part in prompt.blocks:
            self._parts[part.block_id] = part.tokens
            self._parts.move_to_end(part.block_id)
        while sum(self._parts.values()) > self.costs.cache_tokens:
            self._parts.popitem(last=False)

    def _faults_now(self) -> list[EngineFault]:
        now = now_s()
        return [item for item in self.faults if item.from_s <= now < item.until_s]

    def _slowdown(self) -> float:
        return max((item.slowdown for item in self._faults_now()), default=1.0)
