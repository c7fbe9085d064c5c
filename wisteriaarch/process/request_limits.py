"""Request limits that upstreams state in their answers.

An upstream that needs relief states how many requests a second it accepts from all
entries together, and repeats this in each answer for as long as it holds.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from .clock import now_s

# Rate of an upstream that states no limit.
UNLIMITED = math.inf


@dataclass(frozen=True)
class RequestLimit:
    """Limit of one upstream, in requests a second from all entries together.

    UNLIMITED records that a stated limit has ended. ``observed_at_s`` is the time at
    which an answer stated it last.
    """

    upstream_id: str
    per_s: float
    observed_at_s: float


class RequestLimits:
    """Limits by upstream id, as far as this entry knows them."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._limits: dict[str, RequestLimit] = {}

    def per_s(self, upstream_id: str) -> float:
        """Return the limit of an upstream; UNLIMITED if it states none."""
        limit = self._limits.get(upstream_id)
        return UNLIMITED if limit is None else limit.per_s

    def observe(self, upstream_id: str, per_s: float, sent_at_s: float) -> bool:
        """Record what an answer states; returns True if the limit has changed.

        ``sent_at_s`` is when the answer's request was sent. Answers may overtake each
        other: one whose request was sent before the limit was last stated may be the
        older of the two, so it can only lower the limit.
        """
        known = self._limits.get(upstream_id)
        known_per_s = UNLIMITED if known is None else known.per_s
        may_be_older = known is not None and sent_at_s <= known.observed_at_s
        if per_s > known_per_s and may_be_older:
            return False
        if known is not None or per_s != UNLIMITED:
            self._limits[upstream_id] = RequestLimit(upstream_id, per_s, self._clock())
        return per_s != known_per_s

    def discard(self, upstream_id: str) -> None:
        """Discard the limit of an upstream that has deregistered or restarted."""
        self._limits.pop(upstream_id, None)
