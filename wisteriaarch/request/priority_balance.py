"""Decides when a call may overtake more urgent ones that wait for something else.

Load: bursts of 2.8 s and 14 s in which one kind of call needs up to twice the capacity
of one stage, for example long prompts, while the engines that another kind needs are
free. If the less urgent kind waited for the more urgent one, free engines would stay
unused; if it never did, it would be served more often. So it may overtake as long as
no greater share of it was dispatched in the last second.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..process.clock import now_s
from ..process.stage_utilization import DecayingSum

# Refused callers come back, those of short prompts soonest, which raises their share;
# the square makes up for it (docs/design/customer-shares.md).
SHARE_EXPONENT = 2


@dataclass
class Balance:
    """Decaying counts of the calls of one priority."""

    arrived: DecayingSum = field(default_factory=DecayingSum)
    dispatched: DecayingSum = field(default_factory=DecayingSum)
    on_time: DecayingSum = field(default_factory=DecayingSum)


class PriorityBalance:
    """Shares of the calls of each priority that were dispatched, for one service."""

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._balances: dict[int, Balance] = defaultdict(Balance)
        self._refused_at_s: dict[int, float] = {}

    def record_arrival(self, priority: int) -> None:
        """Record a call; a caller's retry is another one."""
        self._balances[priority].arrived.add(1, self._clock())

    def record_dispatched(self, priority: int, is_on_time: bool) -> None:
        """Record a dispatched call, and whether it can meet its objective."""
        now = self._clock()
        self._balances[priority].dispatched.add(1, now)
        if is_on_time:
            self._balances[priority].on_time.add(1, now)

    def record_refused(self, priority: int) -> None:
        """Record a call that is refused."""
        self._refused_at_s[priority] = self._clock()

    def refused_since(self, priority: int, at_s: float) -> bool:
        """Whether a call of a more urgent priority was refused since then."""
        return any(
            level < priority and refused_at_s > at_s
            for level, refused_at_s in self._refused_at_s.items()
        )

    def may_overtake(self, priority: int, waiting: Iterable[int]) -> bool:
        """Whether a call may overtake those of the ``waiting`` priorities.

        It counts as dispatched, and the more urgent ones only if they were in time.
        """
        now = self._clock()
        own = self._balances[priority]
        arrived = max(1.0, own.arrived.value_at(now))
        share = (own.dispatched.value_at(now) + 1) / arrived
        return all(
            share <= self._on_time_share(item, now) ** SHARE_EXPONENT
            for item in waiting
            if item < priority
        )

    def _on_time_share(self, priority: int, now: float) -> float:
        balance = self._balances[priority]
        return balance.on_time.value_at(now) / max(1.0, balance.arrived.value_at(now))
