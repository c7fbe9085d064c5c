"""Number, level, message and importance of a log event."""

from dataclasses import dataclass

from .log_budget import Importance


@dataclass(frozen=True)
class EventKind:
    """Number, level, message and importance of an event.

    The importance decides which lines are suppressed first under the log budget.
    """

    number: int
    level: int
    message: str
    importance: Importance = Importance.STATE
