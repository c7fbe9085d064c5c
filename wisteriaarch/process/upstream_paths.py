"""Whether this entry has lost its links to the upstreams, rather than they themselves.

An upstream that is down and an entry that is cut off look alike on one connection. They
differ in whether any other upstream answers.
"""

import itertools
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..wire import Address
from .clock import now_s

# While answers arrive at least this often, no probe is needed.
SILENCE_S = 0.25
PROBE_INTERVAL_S = 0.5
ANSWERS_WINDOW_S = 1.0
# Upstreams that must be unreachable before this entry counts as cut off.
UNREACHABLE_MIN = 3
# An upstream that was reached through another entry is reached so for this time; one
# that wasn't is left alone for it.
DETOUR_S = 1.0


class UpstreamPaths:
    """Judges this entry's direct links by connection attempts, answers and probes."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self.is_cut_off = False
        self._clock = clock
        self._answered_at_s = float("-inf")
        self._failed_at_s = float("-inf")
        self._probed_at_s = float("-inf")
        self._numbers = itertools.count()
        self._waiting_since_s: dict[int, float] = {}
        self._detour_until_s: dict[Address, float] = {}
        self._no_detour_until_s: dict[Address, float] = {}

    @contextmanager
    def waiting_unless(self, is_relayed: bool) -> Iterator[None]:
        """Count an attempt that waits for its answer on a direct connection."""
        if is_relayed:
            yield
            return
        number = next(self._numbers)
        self._waiting_since_s[number] = self._clock()
        try:
            yield
        finally:
            self._waiting_since_s.pop(number, None)

    def record_answer(self, address: Address) -> None:
        """Record that an upstream accepted a connection or sent bytes on one."""
        self._answered_at_s = self._clock()
        self._detour_until_s.pop(address, None)
        self._no_detour_until_s.pop(address, None)

    def record_failure(self) -> None:
        """Record that an upstream accepted no connection."""
        self._failed_at_s = self._clock()

    def record_detour(self, address: Address) -> None:
        """Record that an upstream was reached through another entry alone."""
        self._detour_until_s[address] = self._clock() + DETOUR_S

    def record_no_detour(self, address: Address) -> None:
        """Record that other entries don't reach an upstream either."""
        self._no_detour_until_s[address] = self._clock() + DETOUR_S

    def may_have_detour(self, address: Address) -> bool:
        """Whether to ask other entries for an upstream that can't be reached."""
        return self._clock() >= self._no_detour_until_s.get(address, float("-inf"))

    def needs_detour(self, address: Address) -> bool:
        """Whether to reach an upstream through another entry at first."""
        if self.is_cut_off:
            return True
        return self._clock() < self._detour_until_s.get(address, float("-inf"))

    def has_answered_since(self, at_s: float) -> bool:
        """Whether any upstream has answered since a time."""
        return self._answered_at_s >= at_s

    def answers_now(self) -> bool:
        """Whether some upstream has answered within ``ANSWERS_WINDOW_S``."""
        return self.has_answered_since(self._clock() - ANSWERS_WINDOW_S)

    def needs_probe(self) -> bool:
        """Whether to test now if any upstream can be reached."""
        now = self._clock()
        if now - self._probed_at_s < PROBE_INTERVAL_S:
            return False
        if self.is_cut_off or self._failed_at_s > self._answered_at_s:
            return True
        oldest_s = min(self._waiting_since_s.values(), default=now)
        return now - max(oldest_s, self._answered_at_s) > SILENCE_S

    def begin_probe(self) -> None:
        """Record that a probe begins."""
        self._probed_at_s = self._clock()

    def conclude_probe(self, since_s: float, probed: int, known: int) -> bool:
        """Judge by a probe that began at a time; returns whether the verdict changed.

        ``probed`` of ``known`` upstreams were tried.
        """
        was_cut_off = self.is_cut_off
        if self.has_answered_since(since_s):
            self.is_cut_off = False
        elif probed >= min(known, UNREACHABLE_MIN):
            self.is_cut_off = True
        return self.is_cut_off != was_cut_off
