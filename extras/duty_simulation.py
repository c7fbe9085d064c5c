"""Virtual time, processes and a store in memory, for the drill of duties."""

import contextlib
import heapq
import itertools
import random
import types
from dataclasses import dataclass, field, replace

from wisteriaarch.errors import (
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from wisteriaarch.process.store import Row

START_S = 1000.0


@types.coroutine
def sleep(delay_s):
    """Let virtual time pass."""
    yield delay_s


class Simulation:
    """Virtual time; runs coroutines of processes that may be paused or killed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_s = START_S
        self._events = []
        self._order = itertools.count()

    def at(self, delay_s, action):
        """Run ``action`` after a delay."""
        at_s = self.now_s + delay_s
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def spawn(self, process, main):
        """Run a coroutine as part of a process."""
        self.at(0.0, lambda: self._resume(process, main))

    def _resume(self, process, main):
        if not process.alive:
            main.close()
            return
        if process.paused_until_s > self.now_s:
            delay_s = process.paused_until_s - self.now_s
            self.at(delay_s, lambda: self._resume(process, main))
            return
        with contextlib.suppress(StopIteration):
            delay_s = main.send(None)
            self.at(delay_s, lambda: self._resume(process, main))

    def run(self, duration_s):
        """Run events until the duration has passed."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _order, action = heapq.heappop(self._events)
            action()


@dataclass
class Process:
    """Faults of one entry; ``cut`` holds what it can't reach."""

    name: str
    alive: bool = True
    paused_until_s: float = 0.0
    cut: set = field(default_factory=set)
    step_s: float = 0.0
    gone_since_s: float = float("inf")


class Store:
    """Rows in memory; answers take time, may be lost, and writes may come late."""

    def __init__(self, sim):
        self.sim = sim
        self.rows = {}
        self.is_down = False
        self.calls = 0
        self.era = 0
        self._version = 0
        self._snapshots = [(sim.now_s, 0, {})]

    def read(self, table, key):
        """Return a row."""
        row = self.rows.get((table, key), Row(table, key, 0, None))
        return replace(row, era=self.era)

    def restore(self, age_s):
        """Return to the rows of ``age_s`` ago, in a new era."""
        copied_at_s = self.sim.now_s - age_s
        kept = [item for item in self._snapshots if item[0] <= copied_at_s]
        self._snapshots = kept or self._snapshots[:1]
        _at_s, self._version, rows = self._snapshots[-1]
        self.rows = dict(rows)
        self.era += 1

    def apply(self, transaction):
        """Apply a transaction; raises WriteConflict."""
        for item in (*transaction.checks, *transaction.puts):
            if item.expected_version is None:
                continue
            if self.read(item.table, item.key).version != item.expected_version:
                raise WriteConflict(item.key)
        self._version += 1
        for put in transaction.puts:
            key = (put.table, put.key)
            self.rows[key] = Row(put.table, put.key, self._version, put.value)
        self._snapshots.append((self.sim.now_s, self._version, dict(self.rows)))


class Table:
    """Store as one process reaches it; ``era`` observes the era of its answers."""

    def __init__(self, store, process, era):
        self._store = store
        self._process = process
        self._era = era

    def _is_lost(self):
        return self._store.is_down or "store" in self._process.cut

    async def read(self, table, key):
        """Read a row; raises StoreUnavailable."""
        rng = self._store.sim.rng
        self._store.calls += 1
        await sleep(rng.uniform(0.002, 0.03))
        if self._is_lost():
            await sleep(1.0)
            raise StoreUnavailable("cut")
        row = self._store.read(table, key)
        await sleep(rng.uniform(0.002, 0.03))
        if not self._era.observe(row.era):
            raise StoreUnavailable("answer of an older era")
        return row

    async def write(self, transaction):
        """Write, while this process may be paused; the outcome may be unknown."""
        sim = self._store.sim
        self._store.calls += 1
        if self._is_lost():
            await sleep(1.0)
            raise WriteOutcomeUnknown("cut")
        outcome = []
        is_lost = sim.rng.random() < 0.03
        delay_s = sim.rng.uniform(1.0, 6.0) if is_lost else sim.rng.uniform(0.002, 0.05)
        sim.at(delay_s, lambda: outcome.append(self._apply(transaction)))
        await sleep(1.0 if is_lost else 0.06)
        if not outcome:
            raise WriteOutcomeUnknown("no answer")
        error, era = outcome[0]
        self._era.observe(era)
        if error is not None:
            raise error
        if era != transaction.era:
            raise WriteOutcomeUnknown("executed in another era")

    def _apply(self, transaction):
        error = None
        try:
            self._store.apply(transaction)
        except WriteConflict as exc:
            error = exc
        return error, self._store.era
