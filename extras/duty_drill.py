"""Seeded orders of events around duties: pauses, cuts, kills, late calls, odd clocks.

The parts of several entries run in virtual time over a small platform in memory, which
checks the rules of duties at the arrival of each call. By hand:
``python -m extras.duty_drill --seeds 50``.
"""

import argparse
import contextlib
import itertools
from collections import Counter
from unittest import mock

from wisteriaarch.connection import duty_client, usage_reporter, usage_sender
from wisteriaarch.connection.usage_reporter import UsageReporter
from wisteriaarch.connection.usage_sender import UsageSender
from wisteriaarch.errors import (
    LeaseLost,
    PlatformError,
)
from wisteriaarch.platform.duties import PlatformDuties
from wisteriaarch.process import call_times, duty, lease, store_era
from wisteriaarch.process.duty import Duty
from wisteriaarch.process.duty_context import DutyContext
from wisteriaarch.process.duty_messages import ScalingOrder
from wisteriaarch.process.duty_settings import (
    AUTOSCALE_DUTY,
    USAGE_DUTY,
    DutySettings,
)
from wisteriaarch.process.lease_record import Contender
from wisteriaarch.process.settings_models import LeaseSettings
from wisteriaarch.process.store_era import StoreEra
from wisteriaarch.process.true_time import TrueTime
from wisteriaarch.process.usage_counts import UsageCounts, UsageTotals

from .duty_cloud import TERM_S, Client, Cloud, Link
from .duty_simulation import Process, Simulation, Store, Table, sleep

LEASE = LeaseSettings(term_s=TERM_S, renew_every_s=1.0, drift_margin_s=0.3)
WINDOW_S = 5.0
EPOCH_S = 1_800_000_000.0
CUSTOMERS = ("huka270", "small", "other")
DETECTION_S = 1.5
MODULES = (
    duty_client,
    usage_reporter,
    usage_sender,
    call_times,
    duty,
    lease,
    store_era,
)


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
        era = StoreEra(lambda: sim.now_s)
        table = Table(world.store, process, era)
        context = DutyContext(
            name,
            Contender(name, str(incarnation)),
            table,
            LEASE,
            lambda: world.known_entries(process),
            era,
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

    def __init__(self, sim, require_fence, entries=4, faults=True, restores=False):
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
        if restores:
            self.sim.at(20.0, self._restore_store)

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

    def _restore_store(self):
        self.store.is_down = True
        self.sim.at(0.5, self._come_back)
        self.sim.at(self.sim.rng.uniform(10.0, 25.0), self._restore_store)

    def _come_back(self):
        self.store.restore(self.sim.rng.uniform(1.0, 9.0))
        self.store.is_down = False

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
    parser.add_argument("--restores", action="store_true", help="the store goes back")
    options = parser.parse_args()
    broken = reports = late = 0
    for seed in range(options.first, options.first + options.seeds):
        for require_fence in (False, True):
            world = play(seed, require_fence, restores=options.restores)
            reports += len(world.cloud.reports)
            late += len(late_windows(world))
            if world.cloud.violations:
                broken += 1
                print(seed, require_fence, *world.cloud.violations[:3], sep="\n  ")
    print(f"{broken} runs break a rule; {reports} windows reported, {late} late")


if __name__ == "__main__":
    main()
