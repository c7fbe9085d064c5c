"""Decides when a long prompt goes to the engines: at once or later.

Load pattern: for some seconds more long prompts arrive than the engines can read.
Engines read in order of arrival, so that a standing queue there makes every prompt late
until long after the burst. A prompt goes to an engine that has little else to read; the
others wait where they are scheduled. What can't be answered before its caller leaves is
refused at once: trying it would take engines' time from others, and the caller's.
"""

from dataclasses import dataclass
from enum import StrEnum

LONG_READING_TOKENS = 2048
# Work that an engine is given in advance: it covers the time until it is told of more.
BACKLOG_S = 0.1
# Predictions are off by about this; what may be in time is tried.
HOPELESS_FACTOR = 1.3


class Turn(StrEnum):
    """Whether a prompt goes to an engine now, and why.

    A HOPELESS one goes to none: its caller will have left before the first event.
    """

    IN_TIME = "in time"
    IDLE_ENGINE = "idle engine"
    LATER = "later"
    HOPELESS = "hopeless"


@dataclass(frozen=True)
class ReadingForecast:
    """What is predicted for a prompt that is placed now, in seconds.

    ``queue_s`` is the work before it at its engine, ``reading_s`` its own reading,
    ``running_s`` what comes after until the first event. ``aim_left_s`` is left of the
    route's objective, ``left_s`` until the deadline. ``turn_s`` is how long it would
    wait for its turn behind the prompts that wait already.
    """

    queue_s: float
    reading_s: float
    running_s: float
    aim_left_s: float
    left_s: float
    turn_s: float = 0.0

    @property
    def first_event_s(self) -> float:
        """Time until the first event."""
        return self.turn_s + self.queue_s + self.reading_s + self.running_s


def choose_turn(forecast: ReadingForecast, others_wait: bool = False) -> Turn:
    """Return whether a prompt is to be placed now.

    Where others wait, an engine's time isn't spent on what will hardly be answered.
    """
    soonest_s = forecast.reading_s + forecast.running_s
    if max(forecast.turn_s, soonest_s) > HOPELESS_FACTOR * forecast.left_s:
        return Turn.HOPELESS
    if forecast.queue_s <= BACKLOG_S:
        if others_wait and soonest_s > forecast.left_s:
            return Turn.HOPELESS
        is_in_time = forecast.first_event_s <= forecast.aim_left_s
        return Turn.IN_TIME if is_in_time else Turn.IDLE_ENGINE
    return Turn.LATER
