"""Request limits that upstreams state in their answers.

An upstream that needs relief states how many requests a second it accepts from all
entries together, and repeats this in each answer for as long as it holds. Entries
exchange what they know, so that one that has just started or took over the scheduling
of a service keeps to limits that no answer has told it yet.
"""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .clock import now_s
from .digest import LimitRecord

# Rate of an upstream that states no limit.
UNLIMITED = math.inf
# The end of a limit is told to other entries for this time, a change of it first.
ENDED_RETENTION_S = 30.0
RECENT_CHANGE_S = 5.0
LIMITS_MAX = 8192
# Messages between entries carry rates in single precision.
RATE_TOLERANCE = 1e-6
RATE_CHARS_MAX = 20


def parse_rate(text: str) -> float:
    """Parse a limit in requests a second; raises ValueError.

    Only plain decimal notation is valid: no sign, exponent, infinity or NaN.
    """
    text = text.strip()
    digits = text.replace(".", "", 1)
    if not (digits.isascii() and digits.isdecimal()) or len(text) > RATE_CHARS_MAX:
        raise ValueError(f"expected a decimal number, got {text[:RATE_CHARS_MAX]!r}")
    return float(text)


@dataclass
class RequestLimit:
    """Limit of one upstream, in requests a second from all entries together.

    UNLIMITED records that a stated limit has ended. ``observed_at_s`` is the time at
    which an answer stated it last, ``in_force_since_s`` that since which the upstream
    has stated limits without a break, ``changed_at_s`` that of the last change.
    """

    per_s: float
    observed_at_s: float
    in_force_since_s: float
    changed_at_s: float


class RequestLimits:
    """Limits by upstream id, as far as this entry knows them.

    ``exists`` tells whether an upstream may exist. The limits of others are neither
    taken from other entries nor told to them; they would be passed on forever.
    """

    def __init__(
        self,
        exists: Callable[[str], bool] = lambda _upstream_id: True,
        clock: Callable[[], float] = now_s,
        rng: random.Random | None = None,
    ):
        self._exists = exists
        self._clock = clock
        self._rng = rng or random.Random()
        self._limits: dict[str, RequestLimit] = {}
        self._in_force: set[str] = set()

    @property
    def any_in_force(self) -> bool:
        """Whether any upstream states a limit."""
        return bool(self._in_force)

    def is_in_force(self, upstream_id: str) -> bool:
        """Whether an upstream states a limit."""
        return upstream_id in self._in_force

    def per_s(self, upstream_id: str) -> float:
        """Return the limit of an upstream; UNLIMITED if it states none."""
        limit = self._limits.get(upstream_id)
        return UNLIMITED if limit is None else limit.per_s

    def in_force_since_s(self, upstream_id: str) -> float:
        """Return since when an upstream has stated limits; raises KeyError if never."""
        return self._limits[upstream_id].in_force_since_s

    def observe(self, upstream_id: str, per_s: float, sent_at_s: float) -> bool:
        """Record what an answer states; returns True if the limit has changed.

        ``sent_at_s`` is when the answer's request was sent. Answers may overtake each
        other: one whose request was sent before the limit was last stated may be the
        older of the two, so it can only lower the limit.
        """
        known = self._limits.get(upstream_id)
        if known is None and per_s == UNLIMITED:
            return False
        may_be_older = known is not None and sent_at_s <= known.observed_at_s
        if may_be_older and per_s > known.per_s:
            return False
        return self._set(upstream_id, per_s, self._clock())

    def merge(self, records: Iterable[LimitRecord]) -> list[str]:
        """Merge what another entry knows; returns the upstreams whose limit changed."""
        now = self._clock()
        changed = []
        for record in records:
            observed_at_s = now - record.age_s
            known = self._limits.get(record.upstream)
            if known is None and record.per_s == UNLIMITED:
                continue
            if not self._exists(record.upstream):
                continue
            if known is not None and observed_at_s <= known.observed_at_s:
                continue
            if self._set(record.upstream, record.per_s, observed_at_s):
                changed.append(record.upstream)
        return changed

    def export(self, count: int) -> list[LimitRecord]:
        """Return up to ``count`` limits for other entries.

        Those that changed of late come first; the rest are chosen at random.
        """
        now = self._clock()
        self._prune(now)
        recent = [
            name
            for name, limit in self._limits.items()
            if now - limit.changed_at_s < RECENT_CHANGE_S
        ]
        chosen = self._sample(recent, count)
        if len(chosen) < count:
            others = [name for name in self._limits if name not in set(recent)]
            chosen += self._sample(others, count - len(chosen))
        return [self._record(name, now) for name in chosen]

    def discard(self, upstream_id: str) -> None:
        """Discard the limit of an upstream that has deregistered or restarted."""
        self._limits.pop(upstream_id, None)
        self._in_force.discard(upstream_id)

    def _set(self, upstream_id: str, per_s: float, observed_at_s: float) -> bool:
        now = self._clock()
        known = self._limits.get(upstream_id)
        known_per_s = UNLIMITED if known is None else known.per_s
        since_s = now if known_per_s == UNLIMITED else known.in_force_since_s
        changed = not math.isclose(per_s, known_per_s, rel_tol=RATE_TOLERANCE)
        changed_at_s = now if changed else known.changed_at_s
        limit = RequestLimit(per_s, observed_at_s, since_s, changed_at_s)
        self._limits[upstream_id] = limit
        if per_s == UNLIMITED:
            self._in_force.discard(upstream_id)
        else:
            self._in_force.add(upstream_id)
        while len(self._limits) > LIMITS_MAX:
            self.discard(next(iter(self._limits)))
        return changed

    def _prune(self, now: float) -> None:
        """Drop limits that ended long ago, and those of upstreams that are gone."""
        for name, limit in list(self._limits.items()):
            has_ended = limit.per_s == UNLIMITED
            age_s = now - limit.observed_at_s
            if (has_ended and age_s > ENDED_RETENTION_S) or not self._exists(name):
                self.discard(name)

    def _sample(self, names: list[str], count: int) -> list[str]:
        return self._rng.sample(names, min(count, len(names)))

    def _record(self, upstream_id: str, now: float) -> LimitRecord:
        limit = self._limits[upstream_id]
        return LimitRecord(
            upstream_id, limit.per_s, max(0.0, now - limit.observed_at_s)
        )
