"""Explores every interleaving of a lease takeover with orders in flight.

The model consists of the holder of a lease, one contender, the lease table and an
engine that ignores fencing numbers. A paused process takes no step while time advances;
bytes in the network arrive at any later time. The property: the engine never accepts an
order with an epoch lower than that of an order accepted before.

    python -m extras.model_check

prints the result for the complete set of rules and for each set with a rule left out.
"""

import sys
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

HOLDER = 0
CONTENDER = 1
TERM_TICKS = 3
WINDOW_TICKS = 1
LAST_TICK = 8
RENEWALS_MAX = 1
ORDERS_MAX = 1


@dataclass(frozen=True)
class Rules:
    """Rules of the protocol; False leaves a rule out."""

    term_counts_from_sending: bool = True
    contender_watches_full_term: bool = True
    check_after_continue: bool = True
    check_leaves_window: bool = True
    engine_drops_overdue_body: bool = True
    successor_waits_window: bool = True


class Order(NamedTuple):
    """Order that a process is sending; times are in ticks, -1 if not yet set."""

    checked: bool = False
    opened_at: int = -1


class Process(NamedTuple):
    """Local state of a process; times are in ticks, -1 if not set."""

    epoch: int = 0
    expires_at: int = -1
    lease_since: int = -1
    renewal_sent_at: int = -1
    renewal_written: bool = False
    watched: int = -1
    watched_since: int = -1
    orders_recorded: int = 0
    order: Order | None = None


class State(NamedTuple):
    """Global state of the model; ``renewals`` and ``epoch`` are the lease table's rows.

    ``in_flight`` contains the bodies in the network as (epoch, opened_at).
    """

    now: int
    epoch: int
    renewals: int
    processes: tuple[Process, Process]
    in_flight: frozenset[tuple[int, int]]
    accepted_epoch: int


class Step(NamedTuple):
    """Name of a step and the resulting state."""

    name: str
    state: State


class Violation(NamedTuple):
    """Violation of the property; ``trace`` names the steps that lead to it."""

    trace: tuple[str, ...]


class Exploration(NamedTuple):
    """Number of states explored, and the first violation, if any."""

    states: int
    violation: Violation | None


def explore(rules: Rules) -> Exploration:
    """Search breadth first until a violation or until all states are explored."""
    first = _first_state()
    parents: dict[State, tuple[State, str] | None] = {first: None}
    pending = deque([first])
    while pending:
        state = pending.popleft()
        for step in _steps(state, rules):
            if step.state.accepted_epoch < state.accepted_epoch:
                trace = (*_trace(parents, state), step.name)
                return Exploration(len(parents), Violation(trace))
            if step.state not in parents:
                parents[step.state] = (state, step.name)
                pending.append(step.state)
    return Exploration(len(parents), None)


def _first_state() -> State:
    holder = Process(epoch=1, expires_at=TERM_TICKS, lease_since=0)
    return State(0, 1, 0, (holder, Process()), frozenset(), 0)


def _trace(parents, state: State) -> tuple[str, ...]:
    names = []
    while parents[state] is not None:
        state, name = parents[state]
        names.append(name)
    return tuple(reversed(names))


def _steps(state: State, rules: Rules) -> Iterator[Step]:
    if state.now < LAST_TICK:
        yield Step("tick", state._replace(now=state.now + 1))
    yield from _renewal_steps(state, rules)
    yield from _takeover_steps(state, rules)
    for index in (HOLDER, CONTENDER):
        yield from _order_steps(state, rules, index)
    yield from _network_steps(state, rules)


def _with_process(state: State, index: int, process: Process) -> State:
    processes = list(state.processes)
    processes[index] = process
    return state._replace(processes=tuple(processes))


def _renewal_steps(state: State, rules: Rules) -> Iterator[Step]:
    process = state.processes[HOLDER]
    if process.renewal_sent_at < 0:
        if state.renewals < RENEWALS_MAX:
            sent = process._replace(renewal_sent_at=state.now, renewal_written=False)
            yield Step("send renewal", _with_process(state, HOLDER, sent))
        return
    if not process.renewal_written:
        if state.epoch == process.epoch:
            written = process._replace(renewal_written=True)
            changed = state._replace(renewals=state.renewals + 1)
            yield Step("renewal written", _with_process(changed, HOLDER, written))
        return
    counted_from = state.now
    if rules.term_counts_from_sending:
        counted_from = process.renewal_sent_at
    renewed = process._replace(
        renewal_sent_at=-1, renewal_written=False, expires_at=counted_from + TERM_TICKS
    )
    yield Step("renewal answered", _with_process(state, HOLDER, renewed))


def _takeover_steps(state: State, rules: Rules) -> Iterator[Step]:
    process = state.processes[CONTENDER]
    if process.epoch:
        return
    if process.watched != state.renewals:
        seen = process._replace(watched=state.renewals, watched_since=state.now)
        yield Step("contender reads lease", _with_process(state, CONTENDER, seen))
        return
    wait = TERM_TICKS if rules.contender_watches_full_term else TERM_TICKS - 1
    if state.now - process.watched_since < wait:
        return
    taken = process._replace(
        epoch=state.epoch + 1, expires_at=state.now + TERM_TICKS, lease_since=state.now
    )
    changed = state._replace(epoch=state.epoch + 1)
    yield Step("contender takes lease", _with_process(changed, CONTENDER, taken))


def _order_steps(state: State, rules: Rules, index: int) -> Iterator[Step]:
    process = state.processes[index]
    name = ("holder", "contender")[index]
    order = process.order
    if order is None:
        if _may_record(state, rules, process):
            recorded = process.orders_recorded + 1
            begun = process._replace(order=Order(), orders_recorded=recorded)
            yield Step(f"{name} records order", _with_process(state, index, begun))
        return
    if order.opened_at < 0 and (order.checked or rules.check_after_continue):
        opened = process._replace(order=order._replace(opened_at=state.now))
        yield Step(f"{name} opens request", _with_process(state, index, opened))
    if not order.checked and (order.opened_at >= 0 or not rules.check_after_continue):
        yield from _check_steps(state, rules, index)
    if order.checked and order.opened_at >= 0:
        sent = process._replace(order=None)
        body = (process.epoch, order.opened_at)
        changed = state._replace(in_flight=state.in_flight | {body})
        yield Step(f"{name} sends body", _with_process(changed, index, sent))


def _may_record(state: State, rules: Rules, process: Process) -> bool:
    if process.epoch == 0 or process.epoch != state.epoch:
        return False
    if process.orders_recorded == ORDERS_MAX:
        return False
    waited = state.now - process.lease_since >= WINDOW_TICKS
    return process.epoch == 1 or waited or not rules.successor_waits_window


def _check_steps(state: State, rules: Rules, index: int) -> Iterator[Step]:
    process = state.processes[index]
    needed = WINDOW_TICKS if rules.check_leaves_window else 0
    if process.expires_at - state.now > needed:
        checked = process._replace(order=process.order._replace(checked=True))
        name = ("holder", "contender")[index]
        yield Step(f"{name} checks lease", _with_process(state, index, checked))


def _network_steps(state: State, rules: Rules) -> Iterator[Step]:
    for body in state.in_flight:
        epoch, opened_at = body
        rest = state._replace(in_flight=state.in_flight - {body})
        overdue = state.now - opened_at > WINDOW_TICKS
        if overdue and rules.engine_drops_overdue_body:
            yield Step("engine drops late body", rest)
        else:
            accepted = rest._replace(accepted_epoch=epoch)
            yield Step(f"engine accepts order of epoch {epoch}", accepted)


VARIANTS: dict[str, Rules] = {
    "all rules": Rules(),
    "term counted from the answer": Rules(term_counts_from_sending=False),
    "contender waits less than the term": Rules(contender_watches_full_term=False),
    "check before the request is opened": Rules(check_after_continue=False),
    "engine takes a late body": Rules(engine_drops_overdue_body=False),
    "successor does not wait": Rules(successor_waits_window=False),
    "check leaves no window": Rules(check_leaves_window=False),
    "neither window nor wait": replace(
        Rules(), check_leaves_window=False, successor_waits_window=False
    ),
}


def main() -> int:
    """Explore every variant; return 0 if the complete set of rules has no violation."""
    for name, rules in VARIANTS.items():
        result = explore(rules)
        verdict = "holds"
        if result.violation is not None:
            verdict = "VIOLATED by: " + ", ".join(result.violation.trace)
        print(f"{name}: {result.states} states, {verdict}")
    return 1 if explore(Rules()).violation else 0


if __name__ == "__main__":
    sys.exit(main())
