"""Reads what upstreams say of themselves in answers on the own interface.

``platform`` has the headers of an upstream on a platform (``gateway``).
"""

from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.request_limits import UNLIMITED, RequestLimits, parse_rate
from ..process.upstream_signals import UpstreamSignals, parse_backoff_s
from ..process.upstream_view import UpstreamView
from ..wire import HttpResponse
from .invalid_header_log import InvalidHeaderLog
from .limit_log import log_limit

LIMIT_HEADER = "x-request-limit"
RETRY_AFTER_HEADER = "retry-after"
BACKOFF_STATUSES = frozenset((429, 503))


def read_signals(head: HttpResponse) -> tuple[UpstreamSignals, tuple[str, ...]]:
    """Return an upstream's signals, and the names of malformed headers."""
    malformed = []
    limit_per_s, backoff_s = UNLIMITED, 0.0
    if LIMIT_HEADER in head.headers:
        try:
            limit_per_s = parse_rate(head.headers[LIMIT_HEADER])
        except ValueError:
            limit_per_s = None
            malformed.append(LIMIT_HEADER)
    if head.status in BACKOFF_STATUSES and RETRY_AFTER_HEADER in head.headers:
        try:
            backoff_s = parse_backoff_s(head.headers[RETRY_AFTER_HEADER])
        except ValueError:
            malformed.append(RETRY_AFTER_HEADER)
    signals = UpstreamSignals(backoff_s, limit_per_s=limit_per_s)
    return signals.for_status(head.status), tuple(malformed)


class SignalReader:
    """Applies the signals of answers to what this entry knows of upstreams."""

    def __init__(self, limits: RequestLimits, log: EventLog):
        self._limits = limits
        self._log = log
        self._invalid_headers = InvalidHeaderLog(log)

    def observe(self, view: UpstreamView, head: HttpResponse, sent_at_s: float) -> None:
        """Apply an answer's signals; ``sent_at_s`` is when its request was sent."""
        signals, malformed = read_signals(head)
        self._invalid_headers.write(view.name, malformed)
        if signals.backoff_s > 0:
            view.backoff_until_s = now_s() + signals.backoff_s
            self._log.write(
                Event.UPSTREAM_BACKOFF_REQUESTED,
                upstream=view.name,
                seconds=signals.backoff_s,
            )
        if signals.limit_per_s is not None:
            self._observe_limit(view.name, signals.limit_per_s, sent_at_s)

    def _observe_limit(self, name: str, per_s: float, sent_at_s: float) -> None:
        if not self._limits.observe(name, per_s, sent_at_s):
            return
        log_limit(self._log, name, per_s, source="answer")
