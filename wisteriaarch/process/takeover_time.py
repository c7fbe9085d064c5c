"""How long it takes until an engine runs a prompt that another engine has read.

Load pattern: copying a prompt's memory takes a millisecond in one deployment and thirty
in another, and longer while engines that run prompts also read some.
"""

START_S = 0.035
WEIGHT = 0.08
TIME_MAX_S = 1.0


class TakeoverTime:
    """Moving average of the time from handing a prompt over to its first event."""

    def __init__(self, start_s: float = START_S):
        self.value_s = start_s

    def note(self, first_event_s: float) -> None:
        """Take in one time; a longer one than ``TIME_MAX_S`` counts as that."""
        self.value_s += WEIGHT * (min(TIME_MAX_S, first_event_s) - self.value_s)
