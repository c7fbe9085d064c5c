"""Speed estimates of engines by role, learned from their reported counters."""

from collections import defaultdict
from dataclasses import dataclass, field

from .load_reports import LoadReport

SAMPLE_DECAY = 0.995
PEAK_DECAY = 0.98
MEAN_WEIGHT = 0.05
FIRST_TOKEN_RATIO_BOUNDS = (0.5, 2.0)
MIN_STEPS = 2
MIN_SAMPLES = 10
SAMPLE_STEPS_MAX = 20
PRIOR_WEIGHT = 1.0
PRIOR_BASE_S = 0.02
PRIOR_PER_SEQUENCE_S = 5e-4
PRIOR_PER_TOKEN_S = 1e-4
PRIOR_CHUNK_TOKENS = 512.0
PRIOR_OUTPUT_TOKENS = 32.0
PRIOR_SAMPLES = (
    (0.0, 0.0),
    (16.0, 0.0),
    (0.0, 512.0),
)


@dataclass
class StepTimeModel:
    """Least squares fit, with exponential decay, of the time of one step.

    A step takes ``base_s + per_sequence_s * sequences + per_token_s * prefill tokens``.
    """

    base_s: float = PRIOR_BASE_S
    per_sequence_s: float = PRIOR_PER_SEQUENCE_S
    per_token_s: float = PRIOR_PER_TOKEN_S
    _sums: list[float] = field(default_factory=lambda: [0.0] * 9)

    def __post_init__(self):
        for sequences, tokens in PRIOR_SAMPLES:
            self._accumulate(sequences, tokens, self.predict_s(sequences, tokens), 1.0)

    def predict_s(self, sequences: float, prefill_tokens: float) -> float:
        """Return the predicted time of a step in seconds."""
        return (
            self.base_s
            + self.per_sequence_s * sequences
            + self.per_token_s * prefill_tokens
        )

    def add_sample(self, sequences: float, tokens: float, step_s: float, weight: float):
        """Add a sample: means over ``weight`` steps."""
        self._sums = [total * SAMPLE_DECAY for total in self._sums]
        self._accumulate(sequences, tokens, step_s, weight)
        self._solve()

    def _accumulate(self, n: float, p: float, y: float, weight: float) -> None:
        # n: sequences, p: prefill tokens, y: step time; the order matches _solve.
        terms = (1.0, n, p, n * n, n * p, p * p, y, n * y, p * y)
        for index, term in enumerate(terms):
            self._sums[index] += weight * term

    def _solve(self) -> None:
        w, n, p, nn, np, pp, y, ny, py = self._sums
        mean_n, mean_p, mean_y = n / w, p / w, y / w
        var_n, var_p = nn / w - mean_n**2, pp / w - mean_p**2
        cov = np / w - mean_n * mean_p
        cov_n, cov_p = ny / w - mean_n * mean_y, py / w - mean_p * mean_y
        determinant = var_n * var_p - cov * cov
        if determinant <= 1e-9 * var_n * var_p or determinant <= 0:
            return
        per_sequence_s = (cov_n * var_p - cov_p * cov) / determinant
        per_token_s = (cov_p * var_n - cov_n * cov) / determinant
        self.per_sequence_s = max(0.0, per_sequence_s)
        self.per_token_s = max(0.0, per_token_s)
        base_s = mean_y - self.per_sequence_s * mean_n - self.per_token_s * mean_p
        self.base_s = max(0.0, base_s)


@dataclass
class RoleSpeeds:
    """Speed estimates of engines in one role.

    ``chunk_tokens`` is the number of tokens that a step prefills while prompts wait,
    ``slots`` the number of sequences that run while others are queued. The means are of
    this entry's requests. ``first_token_ratio`` is the ratio of observed to expected
    time to the first token.
    """

    step_time: StepTimeModel = field(default_factory=StepTimeModel)
    chunk_tokens: float = PRIOR_CHUNK_TOKENS
    slots: float | None = None
    mean_output_tokens: float = PRIOR_OUTPUT_TOKENS
    mean_uncached_tokens: float = PRIOR_CHUNK_TOKENS
    first_token_ratio: float = 1.0
    _chunk_known: bool = False
    _samples: int = 0

    @property
    def has_enough_samples(self) -> bool:
        """Whether there are enough samples of engines in this role."""
        return self._samples >= MIN_SAMPLES

    def observe_reports(self, before: LoadReport, after: LoadReport) -> None:
        """Observe two consecutive reports of one incarnation in the same role."""
        self._observe_slots(after)
        steps = after.steps - before.steps
        busy = before.running and after.running
        if steps < MIN_STEPS or not busy:
            return
        sequences = (after.decoded_tokens - before.decoded_tokens) / steps
        tokens = (after.prefilled_tokens - before.prefilled_tokens) / steps
        step_s = (after.sampled_at_s - before.sampled_at_s) / steps
        self._samples += 1
        self.step_time.add_sample(
            sequences, tokens, step_s, min(steps, SAMPLE_STEPS_MAX)
        )
        if before.prefill_tokens_left and after.prefill_tokens_left:
            self._observe_chunk(tokens)

    def observe_request(self, uncached: int, output: int) -> None:
        """Observe the sizes of a finished request."""
        self.mean_output_tokens += MEAN_WEIGHT * (output - self.mean_output_tokens)
        self.mean_uncached_tokens += MEAN_WEIGHT * (
            uncached - self.mean_uncached_tokens
        )

    def observe_first_token(self, ratio: float) -> None:
        """Observe the ratio of actual to expected time to a first token."""
        low, high = FIRST_TOKEN_RATIO_BOUNDS
        ratio = min(high, max(low, ratio))
        self.first_token_ratio += MEAN_WEIGHT * (ratio - self.first_token_ratio)

    def _observe_chunk(self, tokens: float) -> None:
        if not self._chunk_known:
            self._chunk_known = True
            self.chunk_tokens = max(1.0, tokens)
        self.chunk_tokens = max(tokens, self.chunk_tokens * PEAK_DECAY, 1.0)

    def _observe_slots(self, report: LoadReport) -> None:
        if report.queued and report.running:
            self.slots = max(report.running, PEAK_DECAY * (self.slots or 0.0))
        elif self.slots is not None and report.running > self.slots:
            self.slots = float(report.running)


class SpeedEstimates:
    """Speed estimates of every role, shared by all engines in the process."""

    def __init__(self):
        self._by_role: dict[str, RoleSpeeds] = defaultdict(RoleSpeeds)

    def role(self, name: str) -> RoleSpeeds:
        """Return the estimates for a role."""
        return self._by_role[name]
