"""Logs changes of the request limits that upstreams state."""

from ..event_log import EventLog
from ..events import Event
from ..process.request_limits import UNLIMITED


def log_limit(log: EventLog, upstream_id: str, per_s: float, source: str) -> None:
    """Log a changed limit; ``source`` tells whether an answer or an entry told it."""
    if per_s == UNLIMITED:
        log.write(Event.REQUEST_LIMIT_ENDED, upstream=upstream_id, source=source)
        return
    log.write(
        Event.REQUEST_LIMIT_CHANGED, upstream=upstream_id, per_s=per_s, source=source
    )
