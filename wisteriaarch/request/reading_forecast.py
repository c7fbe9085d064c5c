"""Predicts when a long prompt gets its first event, and refuses what is hopeless.

Load pattern: for some seconds more long prompts arrive than the engines can read. What
can't be answered before its caller leaves is refused at once, so that it neither waits
in vain nor delays others.
"""

from dataclasses import dataclass

LONG_READING_TOKENS = 2048
# Work at an engine that another prompt hardly waits for.
IDLE_S = 0.08
# Predictions are off by about this; what may be in time is tried.
HOPELESS_FACTOR = 1.3


@dataclass(frozen=True)
class ReadingForecast:
    """What is predicted for a prompt that is placed now, in seconds.

    ``queue_s`` is the work before it at its engine, ``reading_s`` its own reading,
    ``running_s`` what comes after until the first event. ``left_s`` is left until its
    caller leaves.
    """

    queue_s: float
    reading_s: float
    running_s: float
    left_s: float

    @property
    def first_event_s(self) -> float:
        """Time until the first event."""
        return self.queue_s + self.reading_s + self.running_s

    @property
    def is_hopeless(self) -> bool:
        """Whether the caller will have left; an idle engine takes any prompt."""
        is_late = self.first_event_s > HOPELESS_FACTOR * self.left_s
        return is_late and self.queue_s > IDLE_S
