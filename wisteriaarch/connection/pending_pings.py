"""Pings whose acks are awaited, by sequence number: own ones, and those for others."""

import contextlib
import itertools
from collections.abc import Iterator
from dataclasses import dataclass

import curio


@dataclass(frozen=True)
class RelayedPing:
    """Ping that was sent on behalf of another entry."""

    requester: tuple[str, int]
    sequence: int


class PendingPings:
    """One instance serves the whole entry."""

    def __init__(self):
        self._sequences = itertools.count(1)
        self._acked: dict[int, curio.Event] = {}
        self._relayed: dict[int, RelayedPing] = {}

    @contextlib.contextmanager
    def awaiting(self) -> Iterator[tuple[int, curio.Event]]:
        """Yield a new number and the event that its ack sets."""
        sequence = next(self._sequences)
        acked = self._acked[sequence] = curio.Event()
        try:
            yield sequence, acked
        finally:
            del self._acked[sequence]

    def relay(self, ping: RelayedPing) -> int:
        """Return the number under which a ping is passed on."""
        sequence = next(self._sequences)
        self._relayed[sequence] = ping
        return sequence

    async def forget_relayed(self, sequence: int, after_s: float) -> None:
        """Give a ping that was passed on up after a time."""
        await curio.sleep(after_s)
        self._relayed.pop(sequence, None)

    async def take_ack(self, sequence: int) -> RelayedPing | None:
        """Take in an ack; returns the ping that was passed on, if it is for one."""
        acked = self._acked.get(sequence)
        if acked is not None:
            await acked.set()
        return self._relayed.pop(sequence, None)
