"""Unacknowledged pings of this entry, and those relayed for others."""

import contextlib
import itertools
from collections.abc import Iterator
from dataclasses import dataclass

import curio


@dataclass(frozen=True)
class RelayedPing:
    """Ping that was sent on behalf of another entry.

    ``requester`` is the address of that entry and ``sequence`` its own number for the
    ping.
    """

    requester: tuple[str, int]
    sequence: int


class PendingPings:
    """Unacknowledged pings by sequence number; one instance per entry.

    Own and relayed pings share one range of numbers.
    """

    def __init__(self):
        self._sequences = itertools.count(1)
        self._ack_events: dict[int, curio.Event] = {}
        self._relayed: dict[int, RelayedPing] = {}

    @contextlib.contextmanager
    def expect_ack(self) -> Iterator[tuple[int, curio.Event]]:
        """Yield a new sequence number and the event that is set by its ack."""
        sequence = next(self._sequences)
        acked = self._ack_events[sequence] = curio.Event()
        try:
            yield sequence, acked
        finally:
            del self._ack_events[sequence]

    def add_relayed(self, ping: RelayedPing) -> int:
        """Register a relayed ping and return the sequence number to send it with."""
        sequence = next(self._sequences)
        self._relayed[sequence] = ping
        return sequence

    async def remove_relayed(self, sequence: int, after_s: float) -> None:
        """Remove a relayed ping after a time, whether or not it was acknowledged."""
        await curio.sleep(after_s)
        self._relayed.pop(sequence, None)

    async def handle_ack(self, sequence: int) -> RelayedPing | None:
        """Handle an ack; returns the relayed ping that it acknowledges, if any."""
        acked = self._ack_events.get(sequence)
        if acked is not None:
            await acked.set()
        return self._relayed.pop(sequence, None)
