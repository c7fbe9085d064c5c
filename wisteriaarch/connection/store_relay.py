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
        duty: WatcherElection,
        state: FleetState,
        copies: CopyClient,
        seed: int | None = None,
    ):
        self._prober = prober
        self._duty = duty
        self._state = state
        self._copies = copies
        self._rng = random.Random(seed)
        self._seen: deque[TableUpdate] = deque()
        self._wake = curio.Event()
        prober.absorb_table_news = self._take_in
        state.set_change_listener(self._note_seen)

    async def _note_seen(self, news: TableUpdate) -> None:
        if self._duty.has_followers and self._duty.should_watch():
            self._seen.append(news)
            await self._wake.set()

    async def run(self) -> None:
        """Send changes at once, and periodic confirmations between them, forever."""
        while True:
            pause_s = CONFIRM_EVERY_S * self._rng.uniform(0.8, 1.2)
            async with curio.ignore_after(pause_s):
                await self._wake.wait()
            self._wake.clear()
            if self._seen:
                news = [_bounded(item) for item in self._seen]
                self._seen.clear()
                for item in news:
                    await self._prober.tell_table_news((item,))
            elif self._duty.should_watch() and self._duty.has_followers:
                await self._confirm()

    async def _confirm(self) -> None:
        news = self._state.confirmation_updates()
        if news:
            await self._prober.tell_table_news(news)

    async def _take_in(self, entry_id: str, news: tuple[TableUpdate, ...]) -> None:
        self._duty.record_watcher_contact()
        missed = [item for item in news if not self._state.apply_update(item)]
        if missed:
            await self._copies.want_from(entry_id)


def _bounded(news: TableUpdate) -> TableUpdate:
    """Return the update, without its rows if they are too large for a datagram."""
    if sum(len(row.value) + len(row.key) for row in news.rows) <= ROWS_MAX_BYTES:
        return news
    newest = max(row.version for row in news.rows)
    return TableUpdate(
        news.table,
        newest,
        news.version,
        (),
        news.confirmed_age_s,
        news.recovery_age_s,
        news.era,
    )
