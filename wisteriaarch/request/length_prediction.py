"""Online prediction of output lengths for each caller and model."""

from collections import defaultdict, deque
from typing import Protocol

from .call import CompletionCall

SAMPLES_MAX = 64
SAMPLES_MIN = 5
PERCENTILE = 0.6
DEFAULT_LIMIT_FRACTION = 0.4
DEFAULT_TOKENS_MAX = 64


class LengthPredictor(Protocol):
    """Predicts the output tokens of calls from those of complete answers."""

    def predict(self, call: CompletionCall) -> int:
        """Return the expected output tokens, at most the call's limit."""

    def observe(self, call: CompletionCall, tokens: int) -> None:
        """Record the output length of a complete answer."""


class LimitPredictor:
    """Predicts that every answer reaches the call's limit."""

    def predict(self, call: CompletionCall) -> int:
        """Return the call's limit."""
        return call.max_tokens

    def observe(self, call: CompletionCall, tokens: int) -> None:
        """Ignore the answer, since the prediction needs no samples."""


class PercentilePredictor:
    """Predicts a percentile of the recent output lengths of similar calls.

    Similar calls have the same caller and model and the same magnitudes of prompt size
    and limit. Until ``SAMPLES_MIN`` of them are known, all calls with the same caller
    and model are used.
    """

    def __init__(self, percentile: float = PERCENTILE, *, by_size: bool = True):
        self._percentile = percentile
        self._key = similarity_key if by_size else _caller_and_model
        self._samples: dict[tuple, deque[int]] = defaultdict(
            lambda: deque(maxlen=SAMPLES_MAX)
        )
        self._percentile_tokens: dict[tuple, int] = {}

    def predict(self, call: CompletionCall) -> int:
        """Return the percentile, or a low default while there are too few samples."""
        value = self._percentile_tokens.get(
            self._key(call), self._percentile_tokens.get(_caller_and_model(call))
        )
        if value is None:
            value = min(
                DEFAULT_TOKENS_MAX, int(DEFAULT_LIMIT_FRACTION * call.max_tokens)
            )
            return max(1, value)
        return min(value, call.max_tokens)

    def observe(self, call: CompletionCall, tokens: int) -> None:
        """Record the output length of a complete answer."""
        for key in {self._key(call), _caller_and_model(call)}:
            recent = self._samples[key]
            recent.append(tokens)
            if len(recent) >= SAMPLES_MIN:
                ordered = sorted(recent)
                self._percentile_tokens[key] = ordered[
                    int(self._percentile * (len(ordered) - 1))
                ]


class PonderPredictor:
    """Linear regression on the prompt size, or the maximum if they don't correlate.

    Implements the method of "Ponder: Online Prediction of Task Memory Requirements for
    Scientific Workflows", with output tokens in place of memory.
    """

    MIN_CORRELATION = 0.3
    OFFSET_TOKENS = 4

    def __init__(self, *, by_size: bool = False):
        self._key = similarity_key if by_size else _caller_and_model
        self._samples: dict[tuple, deque[tuple[int, int]]] = defaultdict(
            lambda: deque(maxlen=SAMPLES_MAX)
        )

    def predict(self, call: CompletionCall) -> int:
        """Return the predicted output tokens, at most the call's limit."""
        samples = self._samples[self._key(call)]
        return max(1, min(call.max_tokens, self._estimate(call, samples)))

    def observe(self, call: CompletionCall, tokens: int) -> None:
        """Record the output length of a complete answer."""
        self._samples[self._key(call)].append((call.prompt_tokens, tokens))

    def _estimate(self, call: CompletionCall, samples) -> int:
        if not samples:
            return call.max_tokens
        highest = max(tokens for _, tokens in samples) + self.OFFSET_TOKENS
        if len(samples) < SAMPLES_MIN:
            is_larger_than_all = call.prompt_tokens > max(size for size, _ in samples)
            return call.max_tokens if is_larger_than_all else highest
        line = _correlated_line(samples, self.MIN_CORRELATION)
        if line is None:
            return highest
        intercept, slope = line
        fitted = intercept + slope * call.prompt_tokens
        offset = 2 * _weighted_deviation(samples, line, call.prompt_tokens)
        return round(fitted + max(offset, self.OFFSET_TOKENS))


def _caller_and_model(call: CompletionCall) -> tuple[str, str]:
    return call.caller.name, call.model.name


def similarity_key(call: CompletionCall) -> tuple:
    """Return the key of similar calls: caller, model and size magnitudes."""
    prompt_magnitude = call.prompt_tokens.bit_length() // 2
    return *_caller_and_model(call), prompt_magnitude, call.max_tokens.bit_length()


def _correlated_line(samples, min_correlation) -> tuple[float, float] | None:
    count = len(samples)
    mean_x = sum(x for x, _ in samples) / count
    mean_y = sum(y for _, y in samples) / count
    xx = sum((x - mean_x) ** 2 for x, _ in samples)
    yy = sum((y - mean_y) ** 2 for _, y in samples)
    xy = sum((x - mean_x) * (y - mean_y) for x, y in samples)
    if not xx or not yy or xy / (xx * yy) ** 0.5 < min_correlation:
        return None
    return mean_y - xy / xx * mean_x, xy / xx


def _weighted_deviation(samples, line, size: int) -> float:
    intercept, slope = line
    span = max(x for x, _ in samples) or 1
    weight_floor = max(0.0, 1 - len(samples) / 10)
    weights = [1 - min(1.0, abs(x - size) / span) + weight_floor for x, _ in samples]
    errors = [y - intercept - slope * x for x, y in samples]
    total = sum(weights)
    effective_count = total - sum(weight * weight for weight in weights) / (total or 1)
    if effective_count <= 0:
        return 0.0
    mean = sum(w * e for w, e in zip(weights, errors, strict=True)) / total
    squares = sum(w * (e - mean) ** 2 for w, e in zip(weights, errors, strict=True))
    return (squares / effective_count) ** 0.5
