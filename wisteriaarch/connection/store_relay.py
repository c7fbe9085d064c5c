"""Distribution of store changes from the entries that watch the store to the others."""

import random
from collections import deque

import curio

from ..process.fleet_state import FleetState
from ..process.table_update import TableUpdate
from ..process.watcher_election import WatcherElection
from .copy_client import CopyClient
from .prober import Prober

CONFIRM_EVERY_S = 0.6
# The rows of larger updates are left out; receivers fetch a copy instead.
ROWS_MAX_BYTES = 6 * 1024


class StoreRelay:
    """Sends store changes read by this entry, and applies those that others send."""

    def __init__(
        self,
        prober: Prober,
        election: WatcherElection,
        state: FleetState,
        copies: CopyClient,
        seed: int | None = None,
    ):
        self._prober = prober
        self._election = election
        self._state = state
        self._copies = copies
        self._rng = random.Random(seed)
        self._unsent: deque[TableUpdate] = deque()
        self._wake = curio.Event()
        prober.on_table_updates = self._apply_updates
        state.set_change_listener(self._queue_update)

    async def _queue_update(self, update: TableUpdate) -> None:
        if self._election.has_followers and self._election.should_watch():
            self._unsent.append(update)
            await self._wake.set()

    async def run(self) -> None:
        """Send changes at once, and periodic confirmations between them, forever."""
        while True:
            pause_s = CONFIRM_EVERY_S * self._rng.uniform(0.8, 1.2)
            async with curio.ignore_after(pause_s):
                await self._wake.wait()
            self._wake.clear()
            if self._unsent:
                updates = [_limit_size(item) for item in self._unsent]
                self._unsent.clear()
                for item in updates:
                    await self._prober.send_table_updates((item,))
            elif self._election.should_watch() and self._election.has_followers:
                await self._confirm()

    async def _confirm(self) -> None:
        updates = self._state.confirmation_updates()
        if updates:
            await self._prober.send_table_updates(updates)

    async def _apply_updates(
        self, entry_id: str, updates: tuple[TableUpdate, ...]
    ) -> None:
        self._election.record_watcher_contact()
        unapplied = [item for item in updates if not self._state.apply_update(item)]
        if unapplied:
            await self._copies.request_copy(entry_id)


def _limit_size(update: TableUpdate) -> TableUpdate:
    """Return the update, without its rows if they are too large for a datagram."""
    if sum(len(row.value) + len(row.key) for row in update.rows) <= ROWS_MAX_BYTES:
        return update
    newest = max(row.version for row in update.rows)
    return TableUpdate(
        update.table,
        newest,
        update.version,
        (),
        update.confirmed_age_s,
        update.recovery_age_s,
        update.era,
    )
