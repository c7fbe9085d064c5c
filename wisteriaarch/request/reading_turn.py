"""Decides whether a long prompt is dispatched to an engine, queued or refused.

In a burst, more long prompts arrive for some seconds than the engines can prefill.
Engines prefill in order of arrival, so a standing queue there makes every prompt
overdue until long after the burst. A prompt is therefore dispatched only to an engine
with a short queue; the others are queued at their scheduler. A prompt that can't be
answered before its caller disconnects is refused at once, as it would waste engine
time.
"""

from dataclasses import dataclass
from enum import StrEnum

LONG_READING_TOKENS = 2048
# Work queued at an engine in advance, to cover the time until the next dispatch.
BACKLOG_S = 0.1
# Margin for the prediction error: a call that may still be answered is tried.
UNSERVABLE_FACTOR = 1.3


class Turn(StrEnum):
    """Whether a prompt is dispatched to an engine now, and why.

    A HOPELESS prompt is refused: its caller would disconnect before the first event.
    """

    IN_TIME = "in time"
    IDLE_ENGINE = "idle engine"
    LATER = "later"
    HOPELESS = "hopeless"


@dataclass(frozen=True)
class ReadingForecast:
    """Predicted times of a prompt that is placed now, in seconds.

    ``queue_s`` is the work queued before it at its engine, ``reading_s`` its own
    prefill, ``running_s`` the time from there to the first event. ``aim_left_s`` is the
    time left until the route's objective, ``left_s`` until the deadline.
    ``turn_s`` is the expected time behind the prompts that are already queued.
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


def choose_turn(forecast: ReadingForecast, has_queue: bool = False) -> Turn:
    """Return whether to dispatch a prompt now.

    While others are queued, no engine time is spent on a prompt that will probably miss
    its deadline.
    """
    earliest_s = forecast.reading_s + forecast.running_s
    if max(forecast.turn_s, earliest_s) > UNSERVABLE_FACTOR * forecast.left_s:
        return Turn.HOPELESS
    if forecast.queue_s <= BACKLOG_S:
        if has_queue and earliest_s > forecast.left_s:
            return Turn.HOPELESS
        is_on_time = forecast.first_event_s <= forecast.aim_left_s
        return Turn.IN_TIME if is_on_time else Turn.IDLE_ENGINE
    return Turn.LATER
