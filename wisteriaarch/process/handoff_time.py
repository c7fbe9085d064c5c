"""Time until an engine decodes a prompt that another engine has prefilled.

Copying the KV cache of a prompt takes a millisecond in one deployment and thirty in
another, and longer while decode engines also prefill.
"""

INITIAL_S = 0.035
OBSERVATION_WEIGHT = 0.08
OBSERVATION_MAX_S = 1.0


class HandoffTime:
    """Moving average of the time from a prompt's handoff to its first event."""

    def __init__(self, initial_s: float = INITIAL_S):
        self.value_s = initial_s

    def observe(self, first_event_s: float) -> None:
        """Record one time, capped at ``OBSERVATION_MAX_S``."""
        self.value_s += OBSERVATION_WEIGHT * (
            min(OBSERVATION_MAX_S, first_event_s) - self.value_s
        )
