"""Keeps the requests of all entries within the limits that upstreams state.

The entry that schedules a service sends, or places for others, nearly all requests to
its upstreams, and uses most of each limit. An entry that places its own calls uses an
equal part of the rest, or of the limit if no scheduler answers. So the sum stays within
the limit without messages between the entries.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..process.clock import now_s
from ..process.request_limits import UNLIMITED, RequestLimits

# Shares of a limit: of a service's scheduler, and of all entries that place their own
# calls while a scheduler answers them.
SCHEDULER_SHARE = 0.9
ENTRIES_SHARE = 0.1
# A new scheduler begins with this part of its share, as its predecessor may still place
# calls; the sum stays below 1.5 times the limit.
TAKEOVER_SHARE = 0.5
TAKEOVER_S = 4.0
# After this time without calls, another entry is assumed to have scheduled the service.
SCHEDULER_IDLE_S = 3.0
# Unused requests of this time may be sent at once.
BURST_S = 0.1
# An upstream that states less, or 0, is still asked now and then, as only its answers
# tell that the limit has ended.
RATE_MIN_PER_S = 0.1


@dataclass
class TokenBucket:
    """Permits for requests now; negative while calls wait for theirs."""

    tokens: float
    updated_at_s: float

    def refill(self, rate: float, now: float) -> None:
        """Add the tokens since the last refill, up to the burst size."""
        burst = max(1.0, rate * BURST_S)
        added = rate * max(0.0, now - self.updated_at_s)
        self.tokens = min(burst, self.tokens + added)
        self.updated_at_s = now

    def wait_s(self, rate: float) -> float:
        """Return the time until the next request may be sent."""
        return max(0.0, 1.0 - self.tokens) / rate


@dataclass(frozen=True)
class LimitedRate:
    """What a request limit leaves to this entry now.

    A request would have to wait ``wait_s`` for a permit; ``per_s`` permits are issued a
    second.
    """

    wait_s: float
    per_s: float


@dataclass
class SchedulingPeriod:
    """Time for which this entry has scheduled a service without a longer break."""

    began_at_s: float
    last_call_at_s: float


class RequestLimiter:
    """Token bucket for each limited upstream; one instance serves the whole entry.

    ``own_share`` returns the share of a limit that this entry may use for calls that it
    places for itself only.
    """

    def __init__(
        self,
        limits: RequestLimits,
        own_share: Callable[[], float],
        rng: random.Random,
        clock: Callable[[], float] = now_s,
    ):
        self._limits = limits
        self._own_share = own_share
        self._rng = rng
        self._clock = clock
        self._buckets: dict[str, TokenBucket] = {}
        self._periods: dict[str, SchedulingPeriod] = {}

    @property
    def is_active(self) -> bool:
        """Whether any upstream states a limit."""
        return self._limits.any_in_force

    def record_scheduled_call(self, service: str) -> None:
        """Record that this entry schedules a call of the whole fleet."""
        now = self._clock()
        period = self._periods.get(service)
        if period is None or now - period.last_call_at_s > SCHEDULER_IDLE_S:
            self._periods[service] = SchedulingPeriod(now, now)
        else:
            period.last_call_at_s = now

    def limited_rates(
        self, upstream_ids: Iterable[str], service: str = ""
    ) -> dict[str, LimitedRate]:
        """Return what is left of the limits of a service's upstreams.

        Upstreams that state no limit are left out.
        """
        limited = [name for name in upstream_ids if self._limits.is_in_force(name)]
        if not limited:
            return {}
        share = self._share(service)
        return {name: self._limited_rate(name, share) for name in limited}

    def _limited_rate(self, upstream_id: str, share: float) -> LimitedRate:
        rate = self._rate(upstream_id, share)
        return LimitedRate(self._refilled_bucket(upstream_id, rate).wait_s(rate), rate)

    def wait_s(self, upstream_id: str, service: str = "") -> float:
        """Return how long a request to an upstream would have to wait now."""
        rates = self.limited_rates((upstream_id,), service)
        return rates[upstream_id].wait_s if rates else 0.0

    def acquire(self, upstream_id: str, service: str = "") -> float:
        """Take the next permit for an upstream; returns how long to wait for it."""
        wait_s = self.wait_s(upstream_id, service)
        if self._limits.is_in_force(upstream_id):
            self._buckets[upstream_id].tokens -= 1.0
        return wait_s

    def _rate(self, upstream_id: str, share: float) -> float:
        return max(RATE_MIN_PER_S, self._limits.per_s(upstream_id)) * share

    def _refilled_bucket(self, upstream_id: str, rate: float) -> TokenBucket:
        now = self._clock()
        bucket = self._buckets.get(upstream_id)
        since_s = self._limits.in_force_since_s(upstream_id)
        if bucket is None or bucket.updated_at_s < since_s:
            self._drop_unlimited()
            # Hundreds of entries that start at the same time must not all send first.
            bucket = TokenBucket(self._rng.random(), now)
            self._buckets[upstream_id] = bucket
        bucket.refill(rate, now)
        return bucket

    def _drop_unlimited(self) -> None:
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if self._limits.per_s(name) != UNLIMITED
        }

    def _share(self, service: str) -> float:
        now = self._clock()
        period = self._periods.get(service)
        if period is None or now - period.last_call_at_s > SCHEDULER_IDLE_S:
            return self._own_share()
        if now - period.began_at_s < TAKEOVER_S:
            return SCHEDULER_SHARE * TAKEOVER_SHARE
        return SCHEDULER_SHARE


def entry_share(entries: int, has_scheduler: bool) -> float:
    """Return the share of a limit that one of several entries may use by itself.

    ``has_scheduler`` tells whether a scheduler has answered this entry of late.
    """
    total = ENTRIES_SHARE if has_scheduler else SCHEDULER_SHARE
    return total / max(1, entries)
