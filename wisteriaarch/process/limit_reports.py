"""Counts and logs how often limits on clients take effect."""

from collections import Counter
from enum import StrEnum

from ..event_log import EventLog
from ..events import Event
from .clock import now_s
from .metrics import Count, Metrics

LOG_EVERY_S = 1.0


class ClientLimit(StrEnum):
    """Limits on clients, by what exceeds them."""

    CONNECTIONS = "connections"
    PIPELINED = "pipelined_bytes"
    UNREAD = "unread_answer"
    UNREAD_WHEN_FULL = "unread_when_full"
    MEMORY = "memory"


class LimitReports:
    """Counts each effect of a limit, and logs each limit once in LOG_EVERY_S.

    A line tells how often the limit took effect since the last one.
    """

    def __init__(self, metrics: Metrics, log: EventLog):
        self._metrics = metrics
        self._log = log
        self._unlogged: Counter[ClientLimit] = Counter()
        self._logged_at_s: dict[ClientLimit, float] = {}

    def report(self, limit: ClientLimit, **fields: str) -> None:
        """Record that a limit took effect; ``fields`` describe this time."""
        self._metrics.count(Count.CLIENT_LIMITS_REACHED, limit.value)
        self._unlogged[limit] += 1
        now = now_s()
        if now - self._logged_at_s.get(limit, -LOG_EVERY_S) < LOG_EVERY_S:
            return
        self._logged_at_s[limit] = now
        times = self._unlogged.pop(limit)
        self._log.write(
            Event.CLIENT_LIMIT_REACHED, limit=limit.value, times=times, **fields
        )
