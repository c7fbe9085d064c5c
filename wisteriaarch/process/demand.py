"""Demand at this entry: rates and sizes of the calls offered to it."""

import math
from dataclasses import dataclass
from enum import StrEnum

from .clock import now_s

PROMPT_HEAVY_RATIO = 48.0
OUTPUT_HEAVY_RATIO = 8.0
DECAY_S = 10.0


class CallShape(StrEnum):
    """Ratio class of prompt to output tokens of a call."""

    PROMPT_HEAVY = "prompt_heavy"
    BALANCED = "balanced"
    OUTPUT_HEAVY = "output_heavy"


@dataclass(frozen=True)
class Demand:
    """Calls of one shape: requests and tokens per second."""

    requests_per_s: float = 0.0
    prompt_tokens_per_s: float = 0.0
    output_tokens_per_s: float = 0.0

    def scaled(self, factor: float) -> "Demand":
        """Return this demand times ``factor``."""
        return Demand(
            self.requests_per_s * factor,
            self.prompt_tokens_per_s * factor,
            self.output_tokens_per_s * factor,
        )


@dataclass
class _DecayingSums:
    requests: float = 0.0
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0

    def decay(self, factor: float) -> None:
        self.requests *= factor
        self.prompt_tokens *= factor
        self.output_tokens *= factor


class DemandMeter:
    """Decaying sums of the offered calls by shape, including refused calls."""

    def __init__(self, decay_s: float = DECAY_S):
        self.decay_s = decay_s
        self._sums = {shape: _DecayingSums() for shape in CallShape}
        self._started_at_s = self._decayed_at_s = now_s()

    def record_call(self, prompt_tokens: int, output_tokens: int) -> None:
        """Count one call; ``prompt_tokens`` excludes tokens expected to be cached."""
        self._decay()
        sums = self._sums[_shape_of(prompt_tokens, output_tokens)]
        sums.requests += 1
        sums.prompt_tokens += prompt_tokens
        sums.output_tokens += output_tokens

    def demands(self) -> dict[CallShape, Demand]:
        """Return the present demand by shape."""
        self._decay()
        observed_s = self._decayed_at_s - self._started_at_s
        window_s = self.decay_s * (1 - math.exp(-observed_s / self.decay_s))
        window_s = max(window_s, 1e-3)
        return {
            shape: Demand(
                sums.requests / window_s,
                sums.prompt_tokens / window_s,
                sums.output_tokens / window_s,
            )
            for shape, sums in self._sums.items()
        }

    def _decay(self) -> None:
        now = now_s()
        factor = math.exp((self._decayed_at_s - now) / self.decay_s)
        self._decayed_at_s = now
        for sums in self._sums.values():
            sums.decay(factor)


def _shape_of(prompt_tokens: int, output_tokens: int) -> CallShape:
    ratio = prompt_tokens / max(1, output_tokens)
    if ratio > PROMPT_HEAVY_RATIO:
        return CallShape.PROMPT_HEAVY
    return CallShape.OUTPUT_HEAVY if ratio < OUTPUT_HEAVY_RATIO else CallShape.BALANCED
