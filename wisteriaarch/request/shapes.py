"""Distribution of work over prompt-to-output ratios, divided among the engines."""

import math
from collections.abc import Iterable

from ..process.clock import now_s
from ..process.upstream_view import UpstreamView

BINS = 32
BINS_PER_DOUBLING = 2
SIMILAR_BINS = 2
RATIO_MIN = 1 / 16
DECAY_TIME_S = 4.0
ROLE_ORDER = {"decode": 0, "mixed": 1, "prefill": 2}


class ShapeDistribution:
    """Exponentially decaying histogram of work by the ratio of prompt to output tokens.

    The position of a call between 0 and 1 is the fraction of recent work with a smaller
    ratio. The same interval is divided evenly among the engines, so that each receives
    calls of similar shape, and long prompts are kept apart from long outputs.
    """

    def __init__(self):
        self._work_s = [0.0] * BINS
        self._decayed_at_s = now_s()

    def observe(self, prompt_tokens: int, output_tokens: int, work_s: float) -> None:
        """Add the work of one call, in engine seconds."""
        self._decay()
        self._work_s[_bin_of(prompt_tokens, output_tokens)] += work_s

    def position_range(
        self, prompt_tokens: int, output_tokens: int
    ) -> tuple[float, float]:
        """Return the range of positions of calls with about this ratio.

        It excludes the work whose ratio is smaller or larger by more than
        ``SIMILAR_BINS`` bins.
        """
        total_s = sum(self._work_s)
        if total_s <= 0:
            return 0.0, 1.0
        bin_index = _bin_of(prompt_tokens, output_tokens)
        below_s = sum(self._work_s[: max(0, bin_index - SIMILAR_BINS)])
        above_s = sum(self._work_s[bin_index + SIMILAR_BINS + 1 :])
        return below_s / total_s, 1.0 - above_s / total_s

    def _decay(self) -> None:
        now = now_s()
        factor = math.exp((self._decayed_at_s - now) / DECAY_TIME_S)
        self._work_s = [work_s * factor for work_s in self._work_s]
        self._decayed_at_s = now


def sort_by_ratio(views: Iterable[UpstreamView]) -> list[UpstreamView]:
    """Return the engines sorted by the ratios assigned to them, smallest first.

    The order is the same at every entry: by role, then by a hash of the name.
    """
    return sorted(views, key=_ratio_order_key)


def _ratio_order_key(view: UpstreamView) -> tuple[int, int]:
    role = view.report.role if view.report else "mixed"
    return ROLE_ORDER.get(role, 1), view.name_hash


def _bin_of(prompt_tokens: int, output_tokens: int) -> int:
    ratio = max(RATIO_MIN, prompt_tokens / max(1, output_tokens))
    return min(BINS - 1, int(BINS_PER_DOUBLING * math.log2(ratio / RATIO_MIN)))
