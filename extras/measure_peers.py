"""Measures what heartbeats cost: bytes and processor time for each exchange.

    python -m extras.measure_peers [--entries 400] [--peers 6] [--every 2.0]

Two sides of one connection run in this process over loopback, each with the records of
``--entries`` entries. An exchange is one heartbeat sent and one received, composing,
encoding, decoding and taking in included. TCP and IP headers are counted as 104 bytes
an exchange (two packets of 52 bytes); acknowledgements travel with the replies.
"""

import argparse
import time
from dataclasses import dataclass

import curio

from wisteriaarch.connection.peer_codec import MessageKind
from wisteriaarch.connection.peer_connection import PeerConnection
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.digest import EntryRecord, PeerDigest, SentWork
from wisteriaarch.process.heartbeat import DigestHooks, HeartbeatComposer
from wisteriaarch.process.membership import Membership

EXCHANGES = 500
HEADER_BYTES = 104
SENT_WORK_RECORDS = 8
TIMEOUT_S = 10.0
BUDGET_BYTES_S = 12 * 1024
BUDGET_CPU = 0.03


@dataclass
class Side:
    """One of the two entries."""

    name: str
    membership: Membership
    composer: HeartbeatComposer
    conn: PeerConnection | None = None

    @classmethod
    def create(cls, name: str, entries: int) -> "Side":
        """Return an entry that knows ``entries`` entries."""
        names = [f"entry-{index:03}" for index in range(entries)]
        own = EntryRecord(name, 1, 7, 0.1, ready=True)
        membership = Membership(name, lambda: names, lambda: own, 3.0, 1.0, 8)
        others = [EntryRecord(item, 1, 7, 0.5, 0.5, ready=True) for item in names]
        membership.apply_digest(PeerDigest(others[0], tuple(others[1:])), now_s())
        work = tuple(
            SentWork(f"engine-{i:04}", 3, 4000) for i in range(SENT_WORK_RECORDS)
        )
        hooks = DigestHooks(sent_work=lambda: work)
        return cls(name, membership, HeartbeatComposer(membership, hooks))

    async def send(self, receiver: "Side") -> None:
        """Send one heartbeat."""
        digest = self.composer.compose(receiver.name, False)
        await self.conn.send(MessageKind.HEARTBEAT, digest)

    async def receive(self) -> None:
        """Take in one heartbeat."""
        message = await self.conn.receive(TIMEOUT_S)
        self.membership.apply_digest(message.digest, self.conn.written_after_s(message))


async def measure(entries: int) -> tuple[float, float]:
    """Return bytes and processor seconds of one exchange at one side."""
    first = Side.create("entry-000", entries)
    second = Side.create("entry-001", entries)
    ours, theirs = curio.socket.socketpair()
    first.conn, second.conn = PeerConnection(ours), PeerConnection(theirs)
    began_s = time.process_time()
    async with first.conn, second.conn:
        for _ in range(EXCHANGES):
            await first.send(second)
            await second.receive()
            await second.send(first)
            await first.receive()
    cpu_s = (time.process_time() - began_s) / EXCHANGES / 2
    moved = first.conn.bytes_sent + first.conn.bytes_received
    return moved / EXCHANGES + HEADER_BYTES, cpu_s


def main() -> None:
    """Print the slopes, and what they come to at a size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=400)
    parser.add_argument("--peers", type=int, default=6)
    parser.add_argument("--every", type=float, default=2.0, help="seconds")
    options = parser.parse_args()
    print(f"{'entries':>8} {'bytes/exchange':>15} {'CPU/exchange':>13}")
    for entries in sorted({9, 25, 100, options.entries}):
        size, cpu_s = curio.run(measure, entries)
        print(f"{entries:>8} {size:>15.0f} {cpu_s * 1e6:>10.0f} us")
    rate = options.peers / options.every
    print(
        f"{options.entries} entries, {options.peers} peers, every {options.every:g} s: "
        f"{rate * size / 1024:.1f} KB/s sent and received "
        f"(budget {BUDGET_BYTES_S / 1024:g}), "
        f"{rate * cpu_s:.2%} of a core (budget {BUDGET_CPU:.0%})"
    )


if __name__ == "__main__":
    main()
