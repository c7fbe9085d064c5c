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

from ..version.route_table import Route

LONG_PREFILL_TOKENS = 2048
# Work queued at an engine in advance, to cover the time until the next dispatch.
ENGINE_BACKLOG_MAX_S = 0.1
# Margin for the prediction error: a call that may still be answered is tried.
UNSERVABLE_FACTOR = 1.3
# Callers of streams disconnect well before the deadline if they receive nothing.
CALLER_TIMEOUT_MIN_S = 2.0
CALLER_TIMEOUT_OBJECTIVE_FACTOR = 4.0
CALLER_TIMEOUT_PAUSE_FACTOR = 8.0


class Dispatch(StrEnum):
    """Whether a prompt is dispatched to an engine now, and why.

    An UNSERVABLE prompt is refused: its caller would disconnect before the first event.
    """

    ON_TIME = "in time"
    IDLE_ENGINE = "idle engine"
    QUEUE = "later"
    UNSERVABLE = "hopeless"


@dataclass(frozen=True)
class PrefillForecast:
    """Predicted times of a prompt that is placed now, in seconds.

    ``engine_queue_s`` is the work queued before it at its engine, ``prefill_s`` its own
    prefill, ``handoff_s`` the time from there to the first event. ``objective_left_s``
    is the time left until the route's objective, ``deadline_left_s`` until the
    deadline. ``queue_wait_s`` is the expected time behind the prompts that are already
    queued.
    """

    engine_queue_s: float
    prefill_s: float
    handoff_s: float
    objective_left_s: float
    deadline_left_s: float
    queue_wait_s: float = 0.0

    @property
    def first_event_s(self) -> float:
        """Time until the first event."""
        return self.queue_wait_s + self.engine_queue_s + self.prefill_s + self.handoff_s


def choose_dispatch(forecast: PrefillForecast, has_queue: bool = False) -> Dispatch:
    """Return whether to dispatch a prompt now.

    While others are queued, no engine time is spent on a prompt that will probably miss
    its deadline.
    """
    earliest_s = forecast.prefill_s + forecast.handoff_s
    if (
        max(forecast.queue_wait_s, earliest_s)
        > UNSERVABLE_FACTOR * forecast.deadline_left_s
    ):
        return Dispatch.UNSERVABLE
    if forecast.engine_queue_s <= ENGINE_BACKLOG_MAX_S:
        if has_queue and earliest_s > forecast.deadline_left_s:
            return Dispatch.UNSERVABLE
        is_on_time = forecast.first_event_s <= forecast.objective_left_s
        return Dispatch.ON_TIME if is_on_time else Dispatch.IDLE_ENGINE
    return Dispatch.QUEUE


def caller_timeout_s(route: Route) -> float:
    """Return how long a caller is assumed to wait for the first event."""
    return max(
        CALLER_TIMEOUT_MIN_S,
        CALLER_TIMEOUT_OBJECTIVE_FACTOR * route.objective_s,
        CALLER_TIMEOUT_PAUSE_FACTOR * (route.pause_s or 0.0),
    )
