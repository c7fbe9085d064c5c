"""Requests in flight on one upstream, and the prompt prefixes sent to it."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .clock import now_s

PREFIXES_MAX = 1024


@dataclass(eq=False)
class SentRequest:
    """One request as sent: its expected sizes and its progress so far.

    ``uncached_tokens`` is the part of the prompt that must be prefilled.
    ``predicted_first_token_s`` and ``predicted_total_s`` were predicted when it was
    sent.
    """

    prompt_tokens: int = 0
    uncached_tokens: int = 0
    output_tokens: int = 0
    priority: int = 1
    predicted_first_token_s: float = 0.0
    predicted_total_s: float = 0.0
    prefixes: tuple[int, ...] = ()
    streamed: bool = False
    on_length: Callable[[int], None] | None = None
    sent_at_s: float = field(default_factory=now_s)
    first_token_at_s: float | None = None
    received_tokens: int = 0

    def record_tokens(self, count: int) -> None:
        """Add tokens that were just received."""
        if self.first_token_at_s is None:
            self.first_token_at_s = now_s()
        self.received_tokens += count

    def first_token_elapsed_s(self) -> float:
        """Return the time from sending to the first token, or to now without one."""
        return (self.first_token_at_s or now_s()) - self.sent_at_s

    def report_length(self) -> None:
        """Report the length of a complete answer to ``on_length``."""
        if self.on_length is not None and self.received_tokens:
            self.on_length(self.received_tokens)


class RecentPrefixes:
    """LRU set of the prompt prefixes sent to one engine."""

    def __init__(self, capacity: int = PREFIXES_MAX):
        self._capacity = capacity
        self._keys: OrderedDict[int, None] = OrderedDict()

    def match(self, prefixes: Iterable[int]) -> int:
        """Return the number of leading prefixes in the set."""
        count = 0
        for key in prefixes:
            if key not in self._keys:
                break
            count += 1
        return count

    def insert(self, prefixes: Iterable[int]) -> None:
        """Add prefixes as the most recently used ones."""
        for key in prefixes:
            self._keys[key] = None
            self._keys.move_to_end(key)
        while len(self._keys) > self._capacity:
            self._keys.popitem(last=False)

    def clear(self) -> None:
        """Remove all prefixes, for example after an engine crash."""
        self._keys.clear()
