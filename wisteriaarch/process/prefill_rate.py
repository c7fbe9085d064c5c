"""How many prompt tokens an engine reads in a second, learnt from what is seen.

Load pattern: engines of one deployment read ten times as fast as those of another, and
what is believed of their memories is wrong now and then. A resistant line through the
latest readings tells speed and overhead apart, and a few wrong ones don't move it.
"""

from collections import deque
from dataclasses import dataclass
from statistics import median

START_TOKENS_PER_S = 40_000.0
SAMPLES_KEPT = 48
SAMPLES_MIN = 6
# Readings between two new lines.
LINE_EVERY = 4
RATE_MIN = 2_000.0
RATE_MAX = 1_000_000.0
# The long half of the readings must be this much longer for a line to be drawn.
SPREAD_MIN = 1.5
OVERHEAD_MAX_SHARE = 0.8


@dataclass(frozen=True)
class Reading:
    """One prompt that was read, with what was before it in the engine's queue."""

    tokens: int
    elapsed_s: float


class PrefillRate:
    """Speed of the engines of one service; ``value`` is in tokens a second."""

    def __init__(self, start: float = START_TOKENS_PER_S):
        self.value = start
        self._readings: deque[Reading] = deque(maxlen=SAMPLES_KEPT)
        self._noted = 0

    def note(self, tokens: int, elapsed_s: float) -> None:
        """Take in how long an engine took for some tokens."""
        if tokens <= 0 or elapsed_s <= 0:
            return
        self._readings.append(Reading(tokens, elapsed_s))
        self._noted += 1
        is_first = self._noted == SAMPLES_MIN
        if is_first or (self._noted > SAMPLES_MIN and self._noted % LINE_EVERY == 0):
            self.value = min(RATE_MAX, max(RATE_MIN, _rate_of(list(self._readings))))


def _rate_of(readings: list[Reading]) -> float:
    """Return the speed by a line through the medians of the short and long halves."""
    readings.sort(key=lambda item: item.tokens)
    half = len(readings) // 2
    short, long = _middle(readings[:half]), _middle(readings[-half:])
    whole = _middle(readings)
    slowest = whole.tokens / whole.elapsed_s
    if long.tokens < SPREAD_MIN * short.tokens or long.elapsed_s <= short.elapsed_s:
        return slowest
    slope = (long.elapsed_s - short.elapsed_s) / (long.tokens - short.tokens)
    fastest = slowest / (1 - OVERHEAD_MAX_SHARE)
    return min(fastest, max(slowest, 1 / slope))


def _middle(readings: list[Reading]) -> Reading:
    return Reading(
        median(item.tokens for item in readings),
        median(item.elapsed_s for item in readings),
    )
