"""Measures how old records of other entries get, in heartbeats, by entries and peers.

    python -m extras.record_age [--entries N ...] [--peers N ...]

Membership, choice of neighbours and composition of heartbeats are those of an entry;
they run in this process on a clock of heartbeats. Each pair of neighbours makes one
exchange a heartbeat, in random order; a request is dated one heartbeat back, since it
echoes the number of the reply before. Printed are the oldest record after WARM_UP
heartbeats, and the age within which every entry has heard more than half of all.
"""

import argparse
import random
from dataclasses import dataclass
from unittest import mock

from wisteriaarch.process import heartbeat, member, membership
from wisteriaarch.process.digest import EntryRecord
from wisteriaarch.process.heartbeat import DigestHooks, HeartbeatComposer
from wisteriaarch.process.membership import Membership
from wisteriaarch.process.neighbours import choose_neighbours, is_initiator

WARM_UP = 60
OBSERVED = 20
NO_BOUND_S = 1e9


@dataclass
class Node:
    """One entry: its membership, and a composer for each neighbour."""

    name: str
    membership: Membership
    composers: dict[str, HeartbeatComposer]

    @classmethod
    def create(cls, name: str, names: list[str], peers: int) -> "Node":
        """Return an entry among ``names``."""
        own = EntryRecord(name, 1, 7, 0.1, ready=True)
        known = Membership(name, lambda: names, lambda: own, NO_BOUND_S, 1.0, peers)
        composers = {
            peer: HeartbeatComposer(known, DigestHooks())
            for peer in choose_neighbours(name, names, peers)
        }
        return cls(name, known, composers)

    def ages(self, now: float, count: int) -> list[float]:
        """Return the ages of the records of all others, the youngest first."""
        heard = [now - item.last_seen_at_s for item in self.membership.members.values()]
        missing = count - 1 - len(heard)
        return sorted(heard) + missing * [float("inf")]


class Clock:
    """Time in heartbeats."""

    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


def measure(entries: int, peers: int) -> tuple[float, float]:
    """Return the oldest record, and the oldest that a majority needs."""
    names = [f"entry-{number:03}" for number in range(entries)]
    nodes = {name: Node.create(name, names, peers) for name in names}
    clock, rng = Clock(), random.Random(1)
    oldest = majority = 0.0
    with (
        mock.patch.object(membership, "now_s", clock),
        mock.patch.object(member, "now_s", clock),
        mock.patch.object(membership, "FORGET_AFTER_S", NO_BOUND_S),
        mock.patch.object(heartbeat, "FORGET_AFTER_S", NO_BOUND_S),
    ):
        for number in range(WARM_UP + OBSERVED):
            clock.now += 1.0
            _exchange_all(nodes, clock.now, rng)
            if number >= WARM_UP:
                ages = [node.ages(clock.now, entries) for node in nodes.values()]
                oldest = max(oldest, max(item[-1] for item in ages))
                needed = entries // 2 - 1
                majority = max(majority, max(item[needed] for item in ages))
    return oldest, majority


def _exchange_all(nodes: dict[str, Node], now: float, rng: random.Random) -> None:
    """Let each pair of neighbours exchange heartbeats once, in random order."""
    pairs = [
        (node, nodes[peer])
        for node in nodes.values()
        for peer in node.composers
        if is_initiator(node.name, peer)
    ]
    rng.shuffle(pairs)
    for client, server in pairs:
        _send(client, server, now - 1.0)
        _send(server, client, now)


def _send(sender: Node, receiver: Node, written_after_s: float) -> None:
    digest = sender.composers[receiver.name].compose(receiver.name, False)
    receiver.membership.apply_digest(digest, written_after_s)


def main() -> None:
    """Print a table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--entries", type=int, nargs="*", default=[9, 25, 50, 100])
    parser.add_argument("--peers", type=int, nargs="*", default=[6, 12])
    options = parser.parse_args()
    print("entries  peers  oldest record  oldest for a majority (heartbeats)")
    for entries in options.entries:
        for peers in options.peers:
            oldest, majority = measure(entries, peers)
            print(f"{entries:>7} {peers:>6} {oldest:>14.0f} {majority:>22.0f}")


if __name__ == "__main__":
    main()
