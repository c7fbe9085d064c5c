"""Prefill rate of engines in tokens a second, learned from observed times.

Engines of one deployment prefill ten times as fast as those of another, and the prefix
cache estimates are sometimes wrong. A resistant line through the latest samples
separates rate from overhead, and is robust to a few outliers.
"""

from collections import deque
from dataclasses import dataclass
from statistics import median

INITIAL_TOKENS_PER_S = 40_000.0
SAMPLES_MAX = 48
SAMPLES_MIN = 6
# Samples between two fits.
REFIT_INTERVAL_SAMPLES = 4
TOKENS_PER_S_MIN = 2_000.0
TOKENS_PER_S_MAX = 1_000_000.0
# Minimum ratio of long to short prompts for a line fit.
LENGTH_RATIO_MIN = 1.5
OVERHEAD_SHARE_MAX = 0.8


@dataclass(frozen=True)
class PrefillSample:
    """Prefill of one prompt, including the work queued before it on the engine."""

    tokens: int
    elapsed_s: float


class PrefillRate:
    """Prefill rate of one service's engines; ``value`` is in tokens a second."""

    def __init__(self, initial: float = INITIAL_TOKENS_PER_S):
        self.value = initial
        self._samples: deque[PrefillSample] = deque(maxlen=SAMPLES_MAX)
        self._sample_count = 0

    def observe(self, tokens: int, elapsed_s: float) -> None:
        """Record the time that an engine took to prefill some tokens."""
        if tokens <= 0 or elapsed_s <= 0:
            return
        self._samples.append(PrefillSample(tokens, elapsed_s))
        self._sample_count += 1
        is_first = self._sample_count == SAMPLES_MIN
        if is_first or (
            self._sample_count > SAMPLES_MIN
            and self._sample_count % REFIT_INTERVAL_SAMPLES == 0
        ):
            self.value = min(
                TOKENS_PER_S_MAX, max(TOKENS_PER_S_MIN, _fit_rate(list(self._samples)))
            )


def _fit_rate(samples: list[PrefillSample]) -> float:
    """Return the rate from a line through the medians of the short and long halves."""
    samples.sort(key=lambda item: item.tokens)
    half = len(samples) // 2
    short, long = _median_sample(samples[:half]), _median_sample(samples[-half:])
    overall = _median_sample(samples)
    rate_min = overall.tokens / overall.elapsed_s
    if (
        long.tokens < LENGTH_RATIO_MIN * short.tokens
        or long.elapsed_s <= short.elapsed_s
    ):
        return rate_min
    slope = (long.elapsed_s - short.elapsed_s) / (long.tokens - short.tokens)
    rate_max = rate_min / (1 - OVERHEAD_SHARE_MAX)
    return min(rate_max, max(rate_min, 1 / slope))


def _median_sample(samples: list[PrefillSample]) -> PrefillSample:
    return PrefillSample(
        median(item.tokens for item in samples),
        median(item.elapsed_s for item in samples),
    )
