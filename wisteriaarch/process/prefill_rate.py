"""How many prompt tokens an engine reads in a second, learnt from what is seen."""

START_TOKENS_PER_S = 40_000.0
WEIGHT = 0.1
SAMPLE_MIN_TOKENS = 4_000
RATE_MIN = 2_000.0
RATE_MAX = 1_000_000.0


class PrefillRate:
    """Moving average over prompts that were read with nothing before them."""

    def __init__(self, start: float = START_TOKENS_PER_S):
        self.value = start

    def note(self, input_tokens: int, tokens_before: int, elapsed_s: float) -> None:
        """Take in a prompt that an engine with ``tokens_before`` waiting has read.

        Whether a shared part was in memory isn't known, so that only what no other
        request shares counts where the time is too short for all of it.
        """
        if tokens_before or input_tokens < SAMPLE_MIN_TOKENS or elapsed_s <= 0:
            return
        seen = input_tokens / elapsed_s
        if seen > 2 * self.value:
            return
        seen = min(RATE_MAX, max(RATE_MIN, seen))
        self.value += WEIGHT * (seen - self.value)
