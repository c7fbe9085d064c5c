"""Continuous batching of the engine emulator.

Each step prefills up to one chunk of prompt tokens and decodes one token of every
running sequence. The generated text depends on the prompt alone, so an answer that
another engine resumes is identical.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from .cache import PrefixCache
from .costs import EngineCosts


@dataclass(eq=False)
class Sequence:
    """One request in the batch or queue; None in ``tokens`` marks the end."""

    request_id: str
    prompt: str
    output_tokens: int
    prefill_tokens_left: int
    priority: int
    model: str = ""
    next_token_index: int = 0
    tokens: curio.Queue = field(default_factory=curio.Queue)

    @property
    def is_decoding(self) -> bool:
        """Whether the prompt is completely prefilled."""
        return self.prefill_tokens_left == 0


@dataclass
class Counters:
    """Totals since the engine started; they never decrease."""

    accepted: int = 0
    prefilled_tokens: int = 0
    cached_tokens: int = 0
    decoded_tokens: int = 0
    steps: int = 0


class Scheduler:
    """Queue and batch of one engine; a higher priority is scheduled first."""

    def __init__(
        self, costs: EngineCosts, current_role: Callable[[], str] = lambda: "mixed"
    ):
        self.costs = costs
        self.counters = Counters()
        self.queue: list[Sequence] = []
        self.batch: list[Sequence] = []
        self.cache = PrefixCache(costs.cache_blocks)
        self._current_role = current_role
        self._work_available = curio.Event()

    @property
    def sequences(self) -> list[Sequence]:
        """All sequences, running and queued."""
        return [*self.batch, *self.queue]

    async def add(self, seq: Sequence) -> None:
        """Queue a sequence behind those of the same or a higher priority."""
        position = sum(other.priority >= seq.priority for other in self.queue)
        self.queue.insert(position, seq)
        self.counters.accepted += 1
        await self._work_available.set()

    def remove(self, seq: Sequence) -> None:
        """Remove a sequence, for example when its stream was cancelled."""
        if seq in self.queue:
            self.queue.remove(seq)
        if seq in self.batch:
            self.batch.remove(seq)

    def clear(self) -> None:
        """Remove all sequences and cached prefixes, and reset the counters."""
        self.queue.clear()
        self.batch.clear()
        self.cache.clear()
        self.counters = Counters()

    async def run(self) -> None:
        """Execute steps forever, waiting while there are no sequences."""
        while True:
            if not self.queue and not self.batch:
                self._work_available.clear()
                await self._work_available.wait()
            await self._step()

    async def _step(self) -> None:
        role = self._current_role()
        self._fill_batch(self.costs.max_batch_sequences(role))
        prefilled = self._prefill(self.costs.max_chunk_tokens(role))
        decoding = [seq for seq in self.batch if seq.is_decoding]
        self.counters.steps += 1
        await curio.sleep(self.costs.step_s(role, prefilled, len(decoding)))
        for seq in decoding:
            await self._decode(seq)

    def _fill_batch(self, batch_max: int) -> None:
        while self.queue and len(self.batch) < batch_max:
            seq = self.queue.pop(0)
            cached = min(self.cache.match(seq.prompt), seq.prefill_tokens_left - 1)
            seq.prefill_tokens_left -= cached
            self.counters.cached_tokens += cached
            self.batch.append(seq)

    def _prefill(self, tokens_max: int) -> int:
        prefilled = 0
        for seq in self.batch:
            if seq.is_decoding:
                continue
            tokens = min(seq.prefill_tokens_left, tokens_max - prefilled)
            seq.prefill_tokens_left -= tokens
            prefilled += tokens
            if seq.is_decoding:
                self.cache.insert(seq.prompt)
        self.counters.prefilled_tokens += prefilled
        return prefilled

    async def _decode(self, seq: Sequence) -> None:
        if seq not in self.batch:
            return
        if seq.next_token_index < seq.output_tokens:
            await seq.tokens.put(token_text(seq.prompt, seq.next_token_index))
            seq.next_token_index += 1
            self.counters.decoded_tokens += 1
        if seq.next_token_index >= seq.output_tokens:
            self.batch.remove(seq)
            await seq.tokens.put(None)


def token_text(prompt: str, index: int) -> str:
    """Return the token at ``index`` of the answer to ``prompt``."""
    digest = hashlib.blake2b(f"{index}:{prompt}".encode(), digest_size=3)
    return f"{digest.hexdigest()} "


def expected_text(prompt: str, tokens: int) -> str:
    """Return the complete answer to ``prompt``, ``tokens`` tokens long."""
    return "".join(token_text(prompt, index) for index in range(tokens))
