"""Group commit: batches single-row writes into transactions of the table service.

One transaction is in flight at a time. The minimum interval between transaction starts
grows with the number of entries, which bounds the total write rate of all entries under
any load. Non-urgent writes are deferred by one more interval, so that they can share a
transaction with the next urgent write. While the table service is unavailable, the only
request is a periodic probe read, and every write is refused at once.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from ..errors import PlatformError, StoreUnavailable, WriteConflict
from ..event_log import EventLog
from ..events import Event
from .clock import now_s
from .store import Put, TableStore, Transaction

PUTS_PER_TRANSACTION = 64
DEFERRED_INTERVALS = 2
PROBE_DELAY_MIN_S = 0.1
PROBE_DELAY_MAX_S = 2.0
PROBE_TABLE = "claims"
PROBE_KEY = "probe"


@dataclass
class _PendingPut:
    put: Put
    urgent: bool = True
    done: curio.Event = field(default_factory=curio.Event)
    error: PlatformError | None = None


class GroupCommit:
    """Writes rows in groups while the ``run`` task is running.

    ``interval_s`` returns the minimum time between the starts of two transactions.
    """

    def __init__(
        self, table: TableStore, interval_s: Callable[[], float], log: EventLog
    ):
        self._table = table
        self._interval_s = interval_s
        self._log = log
        self._pending: deque[_PendingPut] = deque()
        self._wakeup = curio.Event()
        self._recovered = curio.Event()
        self._is_available = True
        self._all_urgent = False

    @property
    def is_available(self) -> bool:
        """Whether the last request to the table service succeeded."""
        return self._is_available

    async def put(self, put: Put, *, urgent: bool = True) -> None:
        """Write one row; a write that isn't ``urgent`` may be deferred.

        Raises WriteConflict or StoreUnavailable if nothing was or will be written, or
        WriteOutcomeUnknown.
        """
        self.require_available()
        pending = _PendingPut(put, urgent)
        self._pending.append(pending)
        await self._wakeup.set()
        await pending.done.wait()
        if pending.error is not None:
            raise pending.error

    async def treat_all_as_urgent(self) -> None:
        """Treat all pending and future writes as urgent."""
        self._all_urgent = True
        await self._wakeup.set()

    def require_available(self) -> None:
        """Raise StoreUnavailable if the last request to the table service failed."""
        if not self._is_available:
            raise StoreUnavailable("the table service is unavailable")

    async def wait_available(self) -> None:
        """Wait until the table service is available."""
        while not self._is_available:
            await self._recovered.wait()

    async def run(self) -> None:
        """Commit pending writes; never returns."""
        started_s = now_s()
        while True:
            await self._wait_until_due(started_s)
            started_s = now_s()
            await self._commit(self._pop_group())
            if not self._is_available:
                await self._probe()

    async def _wait_until_due(self, last_started_s: float) -> None:
        """Wait until a write is pending and due after the last transaction."""
        while True:
            self._wakeup.clear()
            if not self._pending:
                await self._wakeup.wait()
                continue
            urgent = self._all_urgent or any(item.urgent for item in self._pending)
            intervals = 1 if urgent else DEFERRED_INTERVALS
            wait_s = last_started_s + intervals * self._interval_s() - now_s()
            if wait_s <= 0:
                return
            async with curio.ignore_after(wait_s):
                await self._wakeup.wait()

    def _pop_group(self) -> list[_PendingPut]:
        group: dict[tuple[str, str], _PendingPut] = {}
        remaining: list[_PendingPut] = []
        for pending in sorted(self._pending, key=lambda item: not item.urgent):
            row = (pending.put.table, pending.put.key)
            if row in group or len(group) == PUTS_PER_TRANSACTION:
                remaining.append(pending)
            else:
                group[row] = pending
        self._pending = deque(remaining)
        return list(group.values())

    async def _commit(self, group: list[_PendingPut]) -> None:
        transaction = Transaction(tuple(pending.put for pending in group))
        try:
            await self._table.write(transaction)
        except WriteConflict as exc:
            await self._isolate_conflicts(group, exc)
        except PlatformError as exc:
            await self._mark_unavailable(exc)
            await _finish(group, exc)
        else:
            await _finish(group, None)

    async def _isolate_conflicts(self, group, exc: WriteConflict) -> None:
        if len(group) == 1:
            await _finish(group, exc)
            return
        changed, unchanged = [], []
        try:
            for pending in group:
                row = await self._table.read(pending.put.table, pending.put.key)
                as_expected = row.version == pending.put.expected_version
                (unchanged if as_expected else changed).append(pending)
        except StoreUnavailable as unavailable:
            await self._mark_unavailable(unavailable)
            await _finish(group, unavailable)
            return
        await _finish(changed, exc)
        self._pending.extendleft(reversed(unchanged))

    async def _mark_unavailable(self, exc: PlatformError) -> None:
        self._is_available = False
        # Only claims are written through this class.
        self._log.write(Event.CLAIMS_UNAVAILABLE, error=str(exc))
        rejected = list(self._pending)
        self._pending.clear()
        await _finish(rejected, StoreUnavailable("the table service is unavailable"))

    async def _probe(self) -> None:
        delay_s = PROBE_DELAY_MIN_S
        while not self._is_available:
            await curio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(2 * delay_s, PROBE_DELAY_MAX_S)
            try:
                await self._table.read(PROBE_TABLE, PROBE_KEY)
            except StoreUnavailable:
                continue
            self._is_available = True
        self._log.write(Event.CLAIMS_AVAILABLE)
        await self._recovered.set()
        self._recovered.clear()


async def _finish(group, error: PlatformError | None) -> None:
    for pending in group:
        pending.error = error
        await pending.done.set()
