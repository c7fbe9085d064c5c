"""Limit of the memory for messages that are held whole.

All connections of a process share it. A complete request body counts until its request
has ended, a complete answer until it was passed on. Small messages are accepted
uncounted. Beyond the limit, readers wait for memory, except the one that holds most, so
that at least one makes progress; if they wait too long, the one that holds most is
given up.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from .errors import MemoryExhausted
from .process.clock import now_s

SMALL_BYTES = 64 * 1024
SHARED_BYTES = 16 * 1024 * 1024
# Beyond SHARED_BYTES, for the reader that holds most.
EXTRA_BYTES = 16 * 1024 * 1024
CHECK_EVERY_S = 0.02
WAIT_MAX_S = 0.2


@dataclass(eq=False)
class Reservation:
    """Memory held for one message; ``give_up`` makes its reader end.

    A complete message is still counted, but its reader can't be ended.
    """

    give_up: Callable[[], None]
    size: int = 0
    is_complete: bool = False
    is_revoked: bool = False


@dataclass(eq=False)
class MemoryBudget:
    """Reservations of all messages."""

    shared_bytes: int = SHARED_BYTES
    extra_bytes: int = EXTRA_BYTES
    used_bytes: int = 0
    _reservations: set[Reservation] = field(default_factory=set)

    def set_limit(self, message_bytes: int) -> None:
        """Set the shared memory, and that of the reader that holds most, to this."""
        self.shared_bytes = self.extra_bytes = message_bytes

    async def resize(self, reservation: Reservation, size: int) -> None:
        """Change the size of a reservation; waits while there is no memory.

        Raises MemoryExhausted if the reservation was revoked.
        """
        if size <= SMALL_BYTES and not reservation.size:
            return
        revoke_at_s = now_s() + WAIT_MAX_S
        while not reservation.is_revoked:
            if self._may_hold(reservation, size):
                self._set_size(reservation, size)
                return
            if now_s() < revoke_at_s:
                await curio.sleep(CHECK_EVERY_S)
            else:
                self._revoke(self._largest() or reservation)
                revoke_at_s = now_s() + WAIT_MAX_S
        raise MemoryExhausted("memory for incomplete messages is exhausted")

    def release(self, reservation: Reservation) -> None:
        """Give the memory of a reservation back."""
        self._set_size(reservation, 0)
        reservation.is_complete = False

    def _may_hold(self, reservation: Reservation, size: int) -> bool:
        if size <= reservation.size:
            return True
        used = self.used_bytes - reservation.size + size
        if used <= self.shared_bytes:
            return True
        is_largest = self._largest() is reservation
        return is_largest and used <= self.shared_bytes + self.extra_bytes

    def _largest(self) -> Reservation | None:
        """Return the largest reservation of an incomplete message."""
        incomplete = (item for item in self._reservations if not item.is_complete)
        return max(incomplete, key=lambda item: item.size, default=None)

    def _revoke(self, reservation: Reservation) -> None:
        reservation.is_revoked = True
        self._set_size(reservation, 0)
        reservation.give_up()

    def _set_size(self, reservation: Reservation, size: int) -> None:
        self.used_bytes += size - reservation.size
        reservation.size = size
        if size:
            self._reservations.add(reservation)
        else:
            self._reservations.discard(reservation)


# The limit is that of the process.
PROCESS_BUDGET = MemoryBudget()
