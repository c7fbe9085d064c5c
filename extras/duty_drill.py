"""Seeded orders of events around duties: pauses, cuts, kills, late calls, odd clocks.

The parts of several entries run in virtual time over a small platform in memory, which
checks the rules of duties at the arrival of each call. By hand:
``python -m extras.duty_drill --seeds 50``.
"""

import argparse
import contextlib
import heapq
import itertools
import random
import types
from collections import Counter
from dataclasses import dataclass, field
from unittest import mock

from wisteriaarch.connection import duty_client, usage_reporter, usage_sender
from wisteriaarch.connection.duty_client import DutyClient
from wisteriaarch.connection.usage_reporter import UsageReporter
from wisteriaarch.connection.usage_sender import UsageSender
from wisteriaarch.errors import (
    LeaseLost,
    PlatformError,
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from wisteriaarch.platform.duties import PlatformDuties
from wisteriaarch.process import duty, lease, store_era
from wisteriaarch.process.duty import Duty
from wisteriaarch.process.duty_context import DutyContext
from wisteriaarch.process.duty_messages import DutyResult, ScalingOrder
from wisteriaarch.process.duty_settings import (
    AUTOSCALE_DUTY,
    USAGE_DUTY,
    DutySettings,
)
from wisteriaarch.process.lease_record import Contender
from wisteriaarch.process.settings_models import LeaseSettings
from wisteriaarch.process.store import Row
from wisteriaarch.process.store_era import StoreEra
from wisteriaarch.process.true_time import TrueTime
from wisteriaarch.process.usage_counts import UsageCounts, UsageTotals
from wisteriaarch.wire import load_json

TERM_S = 3.0
LEASE = LeaseSettings(term_s=TERM_S, renew_every_s=1.0, drift_margin_s=0.3)
WINDOW_S = 5.0
EPOCH_S = 1_800_000_000.0
START_S = 1000.0
LATE_SHARES = {USAGE_DUTY: 0.15, AUTOSCALE_DUTY: 0.04}
LOST_ANSWERS_SHARE = 0.03
LATE_RANGES_S = {USAGE_DUTY: (1.0, 6.0), AUTOSCALE_DUTY: (2.0, 12.0)}
CUSTOMERS = ("huka270", "small", "other")
DETECTION_S = 1.5
MODULES = (duty_client, usage_reporter, usage_sender, duty, lease, store_era)


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
        self._version = 0

    def read(self, table, key):
        """Return a row."""
        return self.rows.get((table, key), Row(table, key, 0, None))

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


class Table:
    """Store as one process reaches it."""

    def __init__(self, store, process):
        self._store = store
        self._process = process

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
        if outcome[0] is not None:
            raise outcome[0]

    def _apply(self, transaction):
        try:
            self._store.apply(transaction)
        except WriteConflict as exc:
            return exc
        return None


@dataclass(frozen=True)
class Arrival:
    """Call as it reached the cloud's address."""

    at_s: float
    holder: str
    token: int


class Cloud:
    """The cloud's address; ``violations`` lists the broken rules."""

    def __init__(self, sim, require_fence):
        self.sim = sim
        self.require_fence = require_fence
        self.faults = True
        self.violations = []
        self.reports = {}
        self.accepted_at_s = {}
        self._arrivals = {}

    def arrivals(self, name):
        """Return the calls of a duty in the order of their arrival."""
        return self._arrivals.get(name, [])

    def receive(self, name, req, process):
        """Execute a call and return its result."""
        headers = {key.lower(): value for key, value in req.headers}
        content = load_json(req.body)
        arrival = Arrival(self.sim.now_s, process.name, int(headers["fencing-token"]))
        known = self._arrivals.setdefault(name, [])
        self._check(name, known, arrival)
        newest = max((item.token for item in known), default=0)
        known.append(arrival)
        if self.require_fence and arrival.token < newest:
            return DutyResult.FENCED
        if name == USAGE_DUTY:
            self._check_report(content["window-id"], content["counts"])
        return DutyResult.ACCEPTED

    def _check(self, name, known, new):
        for item in known:
            if item.token == new.token and item.holder != new.holder:
                self.violations.append(f"{name}: equal tokens {item} {new}")
            if not self.require_fence and item.token > new.token:
                self.violations.append(f"{name}: lower token after {item} {new}")
        own = [index for index, item in enumerate(known) if item.holder == new.holder]
        if own and own[-1] < len(known) - 1:
            last = known[own[-1]]
            if new.at_s - last.at_s <= TERM_S:
                self.violations.append(f"{name}: A, B, A {known[own[-1] :]} {new}")

    def _check_report(self, window, counts):
        if self.reports.setdefault(window, counts) != counts:
            self.violations.append(f"two reports of window {window}")
        self.accepted_at_s.setdefault(window, self.sim.now_s)


class Client(DutyClient):
    """Client whose calls go to the cloud in memory."""

    def __init__(self, cloud, process, log):
        super().__init__(None, float("inf"), cloud.require_fence, PlatformDuties(), log)
        self.cloud = cloud
        self.process = process

    async def _exchange(self, duty, token, req):
        sim, cloud = self.cloud.sim, self.cloud
        await sleep(sim.rng.uniform(0.001, 0.02))
        if "cloud" in self.process.cut:
            await sleep(0.5)
            return DutyResult.UNAVAILABLE
        if cloud.faults and sim.rng.random() < 0.05:
            self.process.paused_until_s = sim.now_s + sim.rng.uniform(1.0, 18.0)
            await sleep(0.0)
        duty.require_token(token)
        duty.record_sent()
        result = []

        def arrive():
            result.append(cloud.receive(duty.name, req, self.process))

        if sim.rng.random() < LATE_SHARES[duty.name]:
            sim.at(sim.rng.uniform(*LATE_RANGES_S[duty.name]), arrive)
            await sleep(1.5)
            return DutyResult.UNKNOWN
        sim.at(sim.rng.uniform(0.001, 0.3), arrive)
        await sleep(0.31)
        is_lost = sim.rng.random() < LOST_ANSWERS_SHARE
        return DutyResult.UNKNOWN if is_lost else result[0]


async def answer_at_once(client, duty, token, req):
    """Exchange without delays and faults, in place of that of ``Client``."""
    duty.require_token(token)
    duty.record_sent()
    return client.cloud.receive(duty.name, req, client.process)


class Link:
    """Connection for counts to another entry of the drill."""

    def __init__(self, address):
        self._world, self._source, self._name = address
        self._receiver = None
        self.is_new = True
        self.confirmed_change = self.confirmed_close = 0

    async def open(self):
        """Connect to the present process of that entry."""
        receiver = self._world.entries.get(self._name)
        if receiver is not self._receiver:
            self._receiver = receiver
            self.is_new = True
            self.confirmed_change = self.confirmed_close = 0
        return receiver is not None

    async def send(self, update):
        """Deliver an update; returns None if it isn't confirmed."""
        await sleep(0.005)
        receiver = self._receiver
        cut = self._source.cut | receiver.process.cut
        is_paused = receiver.process.paused_until_s > self._world.sim.now_s
        if "peers" in cut or not receiver.process.alive or is_paused:
            await sleep(0.8)
            await self.close()
            return None
        receiver.totals.apply(update)
        return receiver.usage.holder_id

    async def close(self):
        """Forget what was confirmed."""
        self._receiver = None


class Sender(UsageSender):
    """Sender without tasks of curio."""

    async def flush(self, entries):
        """Send to one receiver after the other."""
        for name in sorted(self._receivers(entries)):
            await self._send_to(name)


class Entry:
    """Parts of one process of an entry."""

    def __init__(self, world, name, incarnation):
        sim = world.sim
        self.process = Process(name)
        self.world = world
        process, log = self.process, mock.Mock()
        self.true_time = TrueTime(
            lambda: EPOCH_S + sim.now_s + process.step_s, lambda: sim.now_s
        )
        table = Table(world.store, process)
        context = DutyContext(
            name,
            Contender(name, str(incarnation)),
            table,
            LEASE,
            lambda: world.known_entries(process),
            StoreEra(lambda: sim.now_s),
            log,
        )
        self.is_closing = False
        self.counts = UsageCounts(WINDOW_S, self.true_time)
        self.totals = UsageTotals()
        self.client = Client(world.cloud, process, log)
        self.usage = Duty.from_config(
            context, USAGE_DUTY, is_wanted=lambda: not self.is_closing
        )
        self.scaling = Duty.from_config(
            context,
            AUTOSCALE_DUTY,
            "llm/z1",
            lambda: not self.is_closing and world.scheduler == name,
            lambda: world.scheduler == name,
        )
        self.sender = Sender(
            self.usage.key,
            name,
            incarnation,
            self.counts,
            self.totals,
            context.candidates,
            lambda other: (world, process, other),
            lambda: self.usage.holder_id,
        )
        cfg = DutySettings(address="127.0.0.1:1", names=(USAGE_DUTY,))
        self.reporter = UsageReporter(
            cfg,
            self.usage,
            self.client,
            PlatformDuties(),
            self.counts,
            self.totals,
            context.candidates,
            mock.Mock(),
            log,
        )
        for step, every_s in (
            (self.usage.step, 0.2),
            (self.scaling.step, 0.2),
            (self.sender.step, 0.25),
            (self.reporter.step, 0.2),
            (self._scale, 0.2),
            (self._serve, 0.1),
        ):
            sim.spawn(process, self._repeat(step, every_s))

    async def _repeat(self, step, every_s):
        while True:
            await step()
            await sleep(every_s)

    async def _scale(self):
        try:
            authority = self.scaling.authority()
            if self.world.sim.rng.random() < 0.5:
                return
            order = ScalingOrder("llm", "z1", self.world.sim.rng.randint(1, 9))
            req = PlatformDuties().scale_request(order, authority)
            await self.client.call(self.scaling, req)
        except (LeaseLost, PlatformError):
            return

    async def _serve(self):
        for customer in CUSTOMERS:
            if self.world.sim.rng.random() < 0.6:
                now_s = self.world.sim.now_s
                self.counts.add(customer, now_s)
                self.world.truth[int((EPOCH_S + now_s) // WINDOW_S), customer] += 1
        for other in self.world.entries.values():
            if other is not self and "peers" not in self.process.cut:
                other.true_time.observe_peer(
                    self.process.name, self.true_time.own_estimate()
                )


class World:
    """Entries, store and cloud, with faults drawn from the seed."""

    def __init__(self, sim, require_fence, entries=4, faults=True):
        self.sim = sim
        self.store = Store(self.sim)
        self.cloud = Cloud(self.sim, require_fence)
        self.cloud.faults = faults
        self.truth = Counter()
        self.entries = {}
        self.scheduler = "e0"
        self._incarnations = itertools.count(1)
        self._names = [f"e{index}" for index in range(entries)]
        for name in self._names:
            self._start(name)
        self.sim.at(4.0, self._move_scheduler)
        if faults:
            self.sim.at(6.0, self._draw_fault)

    def known_entries(self, process):
        """Return the entries that a process knows as living."""
        now_s = self.sim.now_s
        return [
            name
            for name, entry in sorted(self.entries.items())
            if entry.process is process
            or min(entry.process.gone_since_s, self._paused_since_s(entry))
            > now_s - DETECTION_S
        ]

    def _paused_since_s(self, entry):
        process = entry.process
        return getattr(process, "paused_since_s", float("inf"))

    def _start(self, name):
        self.entries[name] = Entry(self, name, next(self._incarnations))

    def _move_scheduler(self):
        # Two entries alternate often, which tempts them to call in the order A, B, A.
        self.scheduler = self.sim.rng.choice(self._names[:2] * 3 + self._names)
        self.sim.at(self.sim.rng.uniform(0.5, 4.0), self._move_scheduler)

    def _draw_fault(self):
        rng = self.sim.rng
        entry = rng.choice(list(self.entries.values()))
        kinds = (self._pause, self._cut, self._kill, self._stop, self._step, self._down)
        holders = [item for item in self.entries.values() if item.usage.is_held]
        if holders and rng.random() < 0.6:
            entry = rng.choice(holders)
        if entry.process.alive:
            rng.choice(kinds)(entry)
        self.sim.at(rng.uniform(1.0, 9.0), self._draw_fault)

    def _pause(self, entry):
        process, now_s = entry.process, self.sim.now_s
        process.paused_until_s = now_s + self.sim.rng.uniform(0.2, 9.0)
        process.paused_since_s = now_s

        def thaw():
            process.paused_since_s = float("inf")

        self.sim.at(process.paused_until_s - now_s, thaw)

    def _cut(self, entry):
        kinds = self.sim.rng.sample(("store", "cloud", "peers"), 2)
        entry.process.cut.update(kinds)
        self.sim.at(self.sim.rng.uniform(0.5, 9.0), entry.process.cut.clear)

    def _kill(self, entry):
        entry.process.alive = False
        entry.process.gone_since_s = self.sim.now_s
        name = entry.process.name
        self.sim.at(self.sim.rng.uniform(0.5, 8.0), lambda: self._start(name))

    def _stop(self, entry):
        entry.is_closing = True
        self.sim.at(1.0, lambda: entry.process.alive and self._kill(entry))

    def _step(self, entry):
        process = entry.process
        process.step_s = self.sim.rng.choice((-2.0, 2.0))
        self.sim.at(self.sim.rng.uniform(2, 8), lambda: setattr(process, "step_s", 0.0))

    def _down(self, _entry):
        self.store.is_down = True
        self.sim.at(
            self.sim.rng.uniform(0.5, 6.0),
            lambda: setattr(self.store, "is_down", False),
        )


def play(seed, require_fence, duration_s=120.0, **options):
    """Run one seed and return its world."""
    with contextlib.ExitStack() as stack:
        sim = Simulation(seed)
        for module in MODULES:
            stack.enter_context(mock.patch.object(module, "now_s", lambda: sim.now_s))
        stack.enter_context(mock.patch.object(usage_sender, "UsageLink", Link))
        world = World(sim, require_fence, **options)
        sim.run(duration_s)
        return world


def late_windows(world, late_s=10.0):
    """Return the reported windows that were accepted too late."""
    return [
        window
        for window, at_s in world.cloud.accepted_at_s.items()
        if EPOCH_S + at_s > (window + 1) * WINDOW_S + late_s
    ]


def main():
    """Play seeds with and without fencing; print what breaks a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    options = parser.parse_args()
    broken = reports = late = 0
    for seed in range(options.first, options.first + options.seeds):
        for require_fence in (False, True):
            world = play(seed, require_fence)
            reports += len(world.cloud.reports)
            late += len(late_windows(world))
            if world.cloud.violations:
                broken += 1
                print(seed, require_fence, *world.cloud.violations[:3], sep="\n  ")
    print(f"{broken} runs break a rule; {reports} windows reported, {late} late")


if __name__ == "__main__":
    main()
