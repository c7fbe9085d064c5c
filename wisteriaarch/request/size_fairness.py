"""Prioritizes some long prompts, so that no prompt size is starved.

In an overload of tens of seconds more long prompts arrive than the engines can prefill.
Short work is admitted first, so the longest prompts would never be prefilled. If a size
is answered much less often than its route as a whole, a share of its prompts is
prioritized over other long ones. No prompt is prioritized at normal load or in a burst
of a few seconds.
"""

import contextlib
import hashlib
import math
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ..process.clock import now_s
from .answer_relay import AnswerRelay
from .routed_call import RoutedCall

DECAY_TIME_S = 10.0
# Minimum (decayed) number of ended prompts before a size can count as starving.
STARVING_PROMPTS_MIN = 3.0
# A size is starving below this ratio of its answered share to that of its route.
STARVING_SHARE = 0.8
PRIORITIZED_SHARE = 0.7
SAMPLE_DIGEST_BYTES = 4


@dataclass
class AnsweredShare:
    """Decaying counts of prompts that ended and of those that were answered."""

    ended: float = 0.0
    answered: float = 0.0
    at_s: float = 0.0

    def observe(self, answered: bool, at_s: float) -> None:
        """Record whether a prompt was answered."""
        self.decay(at_s)
        self.ended += 1
        self.answered += answered

    def decay(self, at_s: float) -> None:
        """Decay the counts to a time."""
        kept = math.exp(-max(0.0, at_s - self.at_s) / DECAY_TIME_S)
        self.ended *= kept
        self.answered *= kept
        self.at_s = at_s

    @property
    def share(self) -> float:
        """Share of ended prompts that were answered; 1 if none ended."""
        return self.answered / self.ended if self.ended else 1.0


@dataclass
class RouteShares:
    """Answered prompts of one route: all, and by the power of two of their size."""

    total: AnsweredShare = field(default_factory=AnsweredShare)
    sizes: dict[int, AnsweredShare] = field(
        default_factory=lambda: defaultdict(AnsweredShare)
    )


class SizeFairness:
    """Tracks the answered share of each route and prompt size at this entry."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._routes: dict[str, RouteShares] = defaultdict(RouteShares)

    @contextlib.contextmanager
    def track(self, call: RoutedCall, relay: AnswerRelay) -> Iterator[None]:
        """Record whether a call is answered; an answer that has started counts."""
        try:
            yield
        finally:
            if call.prompt is not None:
                answered = relay.first_event_at_s is not None
                self.observe(call.route.name, call.prompt.own_tokens, answered)

    def observe(self, route: str, tokens: int, answered: bool) -> None:
        """Record whether a prompt of ``tokens`` was answered."""
        shares = self._routes[route]
        now = self._clock()
        shares.total.observe(answered, now)
        shares.sizes[tokens.bit_length()].observe(answered, now)

    def is_starving(self, route: str, tokens: int) -> bool:
        """Whether a size is answered much less often than its route as a whole."""
        shares = self._routes[route]
        size = shares.sizes[tokens.bit_length()]
        now = self._clock()
        shares.total.decay(now)
        size.decay(now)
        if size.ended < STARVING_PROMPTS_MIN:
            return False
        return size.share < STARVING_SHARE * shares.total.share

    def is_prioritized(self, call_id: str, route: str, tokens: int) -> bool:
        """Whether to prioritize the prompt of a call over other long ones."""
        return self.is_starving(route, tokens) and _is_sampled(call_id)


def _is_sampled(call_id: str) -> bool:
    digest = hashlib.blake2b(call_id.encode(), digest_size=SAMPLE_DIGEST_BYTES).digest()
    return int.from_bytes(digest) < PRIORITIZED_SHARE * 256**SAMPLE_DIGEST_BYTES
