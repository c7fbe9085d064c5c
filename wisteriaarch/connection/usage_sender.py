"""Sends this entry's usage counts to the entries that report or may soon do.

The load is 400 entries of some ten requests per second each. An entry sends to the
first two in the duty's rendezvous order, and to the holder if it is another one, the
customers whose counts have changed. The interval grows with the number of entries, so
that a receiver gets at most about 50 to 160 messages per second. A receiver also sends
a new one what it knows of entries that have ended.
"""

import itertools
from collections.abc import Callable, Iterable

import curio

from ..errors import WisteriaError
from ..process.clock import now_s
from ..process.lease_record import rendezvous_first
from ..process.usage_counts import UsageCounts, UsageTotals, UsageUpdate
from ..wire import Address
from .message_link import MessageLink
from .scheduling_messages import UsageAnswer

RECEIVERS = 2
STEP_S = 0.25
# Interval between two messages, per entry, and its bounds.
INTERVAL_PER_ENTRY_S = 0.02
INTERVAL_MIN_S = 0.5
INTERVAL_MAX_S = 2.5
# A request that began just before a window's end is counted by then.
CLOSE_DELAY_S = 0.1
CONNECT_TIMEOUT_S = 0.3
ANSWER_TIMEOUT_S = 0.8


class UsageLink:
    """Connection to one receiver; a new one gets all retained counts."""

    def __init__(self, address: Address):
        self._address = address
        self._link: MessageLink | None = None
        self._write_task: curio.Task | None = None
        self.is_new = True
        self.confirmed_change = self.confirmed_close = 0

    async def send(self, update: UsageUpdate) -> str | None:
        """Send an update and return the holder's id; None if it wasn't confirmed."""
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                await self._link.send(update)
                answer = await self._link.receive()
        except (OSError, WisteriaError, curio.TaskTimeout):
            await self.close()
            return None
        return answer.holder if isinstance(answer, UsageAnswer) else None

    async def open(self) -> bool:
        """Open the connection if there is none; returns whether there is one."""
        if self._link is None:
            try:
                self._link = await MessageLink.connect(self._address, CONNECT_TIMEOUT_S)
            except OSError:
                return False
            self.is_new = True
            self.confirmed_change = self.confirmed_close = 0
            self._write_task = await curio.spawn(self._write, self._link, daemon=True)
        return True

    async def _write(self, link: MessageLink) -> None:
        try:
            await link.write_queued()
        except OSError:
            return

    async def close(self) -> None:
        """Close the connection, if there is one."""
        link, self._link = self._link, None
        if link is not None:
            await self._write_task.cancel()
            await link.close()


class UsageSender:
    """Applies this entry's counts to its own totals and sends them to the receivers.

    ``entries`` returns the ids of the entries that may hold the duty.
    """

    def __init__(
        self,
        key: str,
        entry_id: str,
        incarnation: int,
        counts: UsageCounts,
        totals: UsageTotals,
        entries: Callable[[], Iterable[str]],
        address_of: Callable[[str], Address],
        holder_of: Callable[[], str],
    ):
        self._key = key
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._counts = counts
        self._totals = totals
        self._entries = entries
        self._address_of = address_of
        self._holder_of = holder_of
        self._numbers = itertools.count(1)
        self._links: dict[str, UsageLink] = {}
        self._reported_holder = ""
        self._applied_change = 0
        self._sent_at_s = float("-inf")
        self._closed_before = 0

    async def run(self) -> None:
        """Send counts as they change; never returns."""
        try:
            while True:
                await curio.sleep(STEP_S)
                await self.step()
        finally:
            for link in self._links.values():
                await link.close()

    async def step(self) -> None:
        """Send what is due."""
        closed_before = self._counts.closed_before(CLOSE_DELAY_S)
        self._apply_own(closed_before)
        entries = list(self._entries())
        interval_s = min(
            INTERVAL_MAX_S, max(INTERVAL_MIN_S, INTERVAL_PER_ENTRY_S * len(entries))
        )
        has_closed = closed_before > self._closed_before
        if has_closed or now_s() - self._sent_at_s >= interval_s:
            self._closed_before = closed_before
            self._sent_at_s = now_s()
            await self.flush(entries)

    def _apply_own(self, closed_before: int) -> None:
        self._totals.apply(self._update(self._applied_change, closed_before))
        self._applied_change = self._counts.changes

    def _update(self, since: int, closed_before: int) -> UsageUpdate:
        return UsageUpdate(
            self._entry_id,
            self._incarnation,
            next(self._numbers),
            closed_before,
            self._counts.changed_since(since),
        )

    async def flush(self, entries: list[str]) -> None:
        """Send all changes to the receivers and wait for their answers."""
        receivers = self._receivers(entries)
        for name in self._links.keys() - receivers:
            await self._links.pop(name).close()
        async with curio.TaskGroup() as group:
            for name in receivers:
                await group.spawn(self._send_to, name)

    def _receivers(self, entries: list[str]) -> set[str]:
        names = set(rendezvous_first(self._key, entries, RECEIVERS))
        holder = self._holder_of() or self._reported_holder
        if holder in entries:
            names.add(holder)
        return names - {self._entry_id}

    async def _send_to(self, name: str) -> None:
        link = self._links.get(name)
        if link is None:
            link = self._links[name] = UsageLink(self._address_of(name))
        if not await link.open():
            return
        if link.is_new and not await self._send_known(link):
            return
        change = self._counts.changes
        closed_before = self._counts.closed_before(CLOSE_DELAY_S)
        if (change, closed_before) == (link.confirmed_change, link.confirmed_close):
            return
        holder = await link.send(self._update(link.confirmed_change, closed_before))
        if holder is not None:
            link.confirmed_change, link.confirmed_close = change, closed_before
            self._reported_holder = holder or self._reported_holder

    async def _send_known(self, link: UsageLink) -> bool:
        """Send a new receiver what this one knows of other processes.

        Among these are entries that have ended since, and the receiver before its
        restart. Returns whether all of it was confirmed.
        """
        others = self._totals.of_others(self._entry_id, self._incarnation)
        for update in others:
            if await link.send(update) is None:
                return False
        link.is_new = False
        return True
