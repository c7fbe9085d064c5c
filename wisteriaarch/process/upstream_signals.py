"""What an upstream's answer says of the upstream itself, beside answering a request."""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Self

from .request_limits import UNLIMITED
from .upstream_health import BACKOFF_MAX_S
from .upstream_loads import ReportedLoad

CLIENT_ERROR_STATUS = 400


@dataclass(frozen=True)
class UpstreamSignals:
    """Signals of one answer.

    ``backoff_s`` is the backoff that the upstream requests; with ``is_draining`` it
    accepts no new work. ``load`` is its load report, ``limit_per_s`` the limit that it
    states for the requests a second of all entries together: UNLIMITED if it states
    none, None if that isn't known.
    """

    backoff_s: float = 0.0
    is_draining: bool = False
    load: ReportedLoad | None = None
    limit_per_s: float | None = None

    @property
    def is_urgent(self) -> bool:
        """Whether other entries need to know before the request has ended."""
        return (
            self.backoff_s > 0
            or self.is_draining
            or self.limit_per_s not in (None, UNLIMITED)
        )

    def for_status(self, status: int) -> Self:
        """Return the signals that an answer with this HTTP status vouches for.

        Only a successful answer without a limit states that there is none: a refusal or
        an error may come from a part of the upstream that doesn't know of it.
        """
        return self if status < CLIENT_ERROR_STATUS else self.without_absent_limit()

    def without_absent_limit(self) -> Self:
        """Return the signals of an answer whose lack of a limit states nothing."""
        if self.limit_per_s == UNLIMITED:
            return replace(self, limit_per_s=None)
        return self


NO_SIGNALS = UpstreamSignals()

# Receives an upstream's id, its signals and when the answer's request was sent.
SignalsObserver = Callable[[str, UpstreamSignals, float], None]


def ignore_signals(
    _upstream_id: str, _signals: UpstreamSignals, _sent_at_s: float
) -> None:
    """Do nothing with the signals of an answer."""


def parse_backoff_s(text: str) -> float:
    """Parse a requested backoff in seconds, up to BACKOFF_MAX_S; raises ValueError."""
    backoff_s = float(text)
    if math.isnan(backoff_s):
        raise ValueError("the backoff is not a number")
    return min(BACKOFF_MAX_S, max(0.0, backoff_s))
