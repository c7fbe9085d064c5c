"""Order of waiting calls between priorities and between customers.

For seconds or tens of seconds 1.2 to 4 times as many calls may arrive as the upstreams
of a service serve, for example 20 times the usual rate of one of 81 customers. In order
of arrival, that customer would get most of the capacity. More urgent priorities go
first. Within a priority, calls that can still meet their objective go before overdue
ones, and customers take turns by start-time fair queueing: each waiting call has a
start tag, the work of its customer that goes before it, and lower tags go first. The
order only decides between waiting calls, so no capacity is left unused.

Only the scheduler of a service has this state, and it starts empty: from then on the
calls that a new scheduler dispatches and lets wait define the order.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from .routed_call import RoutedCall


@dataclass(frozen=True)
class Turn:
    """What the order needs to know of a call.

    Calls of all callers without a customer share one turn. A ``prioritized`` call goes
    before others of its customer.
    """

    priority: int
    customer: str
    arrived_at_s: float
    prioritized: bool = False


def customer_fields(call: RoutedCall, has_customers: bool) -> dict[str, str | int]:
    """Return what log lines state of a call's turn; nothing without customers."""
    if not has_customers:
        return {}
    return {"priority": call.priority, "customer": call.customer}


class Waiting(Protocol):
    """A waiting call; ``cost`` is its expected work in any unit.

    It can meet its objective if it starts by ``on_time_until_s``.
    """

    @property
    def turn(self) -> Turn:
        """Priority, customer and arrival."""

    @property
    def cost(self) -> float:
        """Expected work."""

    @property
    def on_time_until_s(self) -> float:
        """Time until which the call can meet its objective."""


Call = TypeVar("Call", bound=Waiting)


# How long a refusal shows that a customer has demand: callers that are told to come
# back do so, and a customer's next call usually comes, within this time.
DEMAND_S = 2.0


@dataclass
class PriorityShares:
    """Virtual time of one priority, and the next start tag of each active customer.

    Customers are active while calls of theirs wait, or if one was refused a short time
    ago: a refusal must not cost a customer its turn. The virtual time is the lowest tag
    of the active customers. An inactive customer whose tag has been reached is
    indistinguishable from a new one.
    """

    virtual_time: float = 0.0
    starts: dict[str, float] = field(default_factory=dict)
    refused_at_s: dict[str, float] = field(default_factory=dict)

    def start(self, customer: str) -> float:
        """Return the start tag of a customer's next call."""
        return max(self.virtual_time, self.starts.get(customer, 0.0))

    def enter(self, customer: str) -> None:
        """Fix the tag of a customer that is active from now on."""
        self.starts[customer] = self.start(customer)

    def advance(self, waiting: set[str], at_s: float) -> None:
        """Advance the virtual time; drops the state of inactive customers."""
        self.refused_at_s = {
            customer: refused_at_s
            for customer, refused_at_s in self.refused_at_s.items()
            if at_s - refused_at_s < DEMAND_S
        }
        active = waiting | self.refused_at_s.keys()
        if not active:
            self.starts.clear()
            self.virtual_time = 0.0
            return
        lowest = min(self.start(customer) for customer in active)
        self.virtual_time = max(self.virtual_time, lowest)
        self.starts = {
            customer: start
            for customer, start in self.starts.items()
            if customer in active or start > self.virtual_time
        }


class FairOrder:
    """Order of the waiting calls of one service.

    State is kept for active customers, and for others while they are ahead of these.
    """

    def __init__(self):
        self._shares: dict[int, PriorityShares] = {}

    def __len__(self) -> int:
        return sum(len(item.starts) for item in self._shares.values())

    def enter(self, turn: Turn) -> None:
        """Record that a call begins to wait.

        The tag of its customer is fixed from then on: waiting earns no later one.
        """
        self._shares_of(turn.priority).enter(turn.customer)

    def refuse(self, turn: Turn, at_s: float) -> None:
        """Record that a call is refused; it uses no capacity and isn't charged."""
        shares = self._shares_of(turn.priority)
        shares.enter(turn.customer)
        shares.refused_at_s[turn.customer] = at_s

    def charge(
        self, turn: Turn, cost: float, waiting: Iterable[Waiting], at_s: float
    ) -> None:
        """Record that a call is dispatched; ``waiting`` are those that still wait."""
        by_priority: dict[int, set[str]] = defaultdict(set)
        for call in waiting:
            by_priority[call.turn.priority].add(call.turn.customer)
        shares = self._shares_of(turn.priority)
        shares.starts[turn.customer] = shares.start(turn.customer) + cost
        for priority, item in list(self._shares.items()):
            item.advance(by_priority[priority], at_s)
            if not item.starts:
                del self._shares[priority]

    def _shares_of(self, priority: int) -> PriorityShares:
        return self._shares.setdefault(priority, PriorityShares())

    def lead(self, turn: Turn, waiting: Iterable[Waiting]) -> float:
        """Return by how much work a customer is ahead of those that wait.

        Only calls of the same priority and of other customers count; 0 without any.
        """
        shares = self._shares.get(turn.priority)
        others = {
            call.turn.customer
            for call in waiting
            if call.turn.priority == turn.priority
            and call.turn.customer != turn.customer
        }
        if shares is None or not others:
            return 0.0
        lowest = min(shares.start(customer) for customer in others)
        return max(0.0, shares.start(turn.customer) - lowest)

    def sort(self, calls: Iterable[Call], at_s: float) -> list[Call]:
        """Return calls in their order at a time."""
        keys = self._keys(calls, at_s)
        return [call for _key, call in sorted(keys, key=lambda item: item[0])]

    def cost_ahead(
        self,
        turn: Turn,
        calls: Sequence[Waiting],
        at_s: float,
        is_overdue: bool = False,
    ) -> float:
        """Return the work that goes before a call that arrives now."""
        on_time_until_s = float("-inf") if is_overdue else float("inf")
        arriving = ArrivingCall(turn, on_time_until_s)
        ahead = sum(call.cost for call in calls if call.turn.priority < turn.priority)
        same = [call for call in calls if call.turn.priority == turn.priority]
        keys = self._keys([*same, arriving], at_s)
        own_key = next(key for key, call in keys if call is arriving)
        return ahead + sum(call.cost for key, call in keys if key < own_key)

    def _keys(self, calls: Iterable[Call], at_s: float) -> list[tuple[tuple, Call]]:
        """Return the calls with their sort keys."""
        by_customer: dict[tuple[int, str], list[Call]] = defaultdict(list)
        for call in calls:
            turn = call.turn
            by_customer[turn.priority, turn.customer].append(call)
        keys = []
        for (priority, customer), own in by_customer.items():
            shares = self._shares.get(priority)
            tag = shares.start(customer) if shares else 0.0
            for is_overdue, call in _in_customer_order(own, at_s):
                keys.append(((priority, is_overdue, tag, call.turn.arrived_at_s), call))
                tag += call.cost
        return keys


@dataclass(frozen=True, eq=False)
class ArrivingCall:
    """Call whose place in the order is looked up."""

    turn: Turn
    on_time_until_s: float
    cost: float = 0.0


def _in_customer_order(calls: list[Call], at_s: float) -> list[tuple[bool, Call]]:
    """Return a customer's calls in order, each with whether it is overdue."""
    items = [(at_s > call.on_time_until_s, call) for call in calls]
    if len(items) == 1:
        return items
    return sorted(
        items,
        key=lambda item: (
            item[0],
            not item[1].turn.prioritized,
            item[1].turn.arrived_at_s,
        ),
    )
