"""What is known of requests that were in flight at crashes, and their isolation."""

import time
import unittest
from functools import partial
from types import SimpleNamespace

import curio

from extras.cluster import Cluster, wait_until
from wisteriaarch.errors import RequestError, StoreUnavailable
from wisteriaarch.event_log import EventLog
from wisteriaarch.process.digest import CrashRecord
from wisteriaarch.process.http_store import HttpTableStore
from wisteriaarch.request.call import Call
from wisteriaarch.request.crash_rows import (
    CrashRows,
    IsolationLocks,
    is_assigned_upstream,
)
from wisteriaarch.request.isolation import Isolation
from wisteriaarch.request.quarantine import RECONSIDER_INTERVAL_S, Quarantine
from wisteriaarch.request.retry import RetryBudget
from wisteriaarch.version.manifest import CallerSpec
from wisteriaarch.wire import Address

from .support import caller_spec


class UnavailableTable:
    async def read(self, table, key):
        raise StoreUnavailable("down")

    async def scan(self, table):
        raise StoreUnavailable("down")


def new_call():
    return Call(
        caller=CallerSpec(**caller_spec()),
        deadline_at_s=0.0,
        method="POST",
        target="/",
        headers={},
        body=b"body",
    )


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        rows = CrashRows(UnavailableTable())
        self.quarantine = Quarantine(rows, EventLog("entry-1"), retention_s=0.3)
        self.call = new_call()

    def note_crash(self, crash_id):
        curio.run(self.quarantine.record_crash, self.call, crash_id)

    def test_one_crash_that_is_noted_twice_counts_once(self):
        self.note_crash("engine-1/1")
        self.note_crash("engine-1/1")
        self.quarantine.check(self.call)
        self.assertTrue(self.quarantine.is_suspect(self.call))
        self.note_crash("engine-1/2")
        with self.assertRaises(RequestError):
            self.quarantine.check(self.call)

    def test_gossiped_records_expire(self):
        heard = (CrashRecord(self.call.fingerprint(), 2, True),)
        self.quarantine.merge(heard)
        self.assertEqual(self.quarantine.export(), heard)
        with self.assertRaises(RequestError):
            self.quarantine.check(self.call)

        def expired():
            self.quarantine.merge(heard)
            return not self.quarantine.export()

        wait_until(expired, 5)
        self.quarantine.check(self.call)

    def test_suspect_that_ran_to_its_end_is_cleared(self):
        self.note_crash("engine-1/1")
        curio.run(self.quarantine.clear, self.call)
        self.quarantine.merge((CrashRecord(self.call.fingerprint(), 1, False),))
        self.assertFalse(self.quarantine.is_suspect(self.call))


async def hold_copies(table, names):
    """Isolate one request at each entry at once; return how many ran side by side."""
    running, most = 0, 0

    async def hold(number, name):
        nonlocal running, most
        rows = IsolationLocks(table, GoneOwners(), name, 1)
        view = SimpleNamespace(name=f"{name}-engine-{number}")
        isolation = Isolation(rows, EventLog(name))
        async with isolation.hold(new_call(), lambda _busy: view, 0.0):
            running += 1
            most = max(most, running)
            await curio.sleep(0.1)
            running -= 1
        while isolation.is_busy:
            await curio.sleep(0.01)

    async with curio.TaskGroup() as group:
        for number, name in enumerate(names):
            await group.spawn(hold, number, name)
    return most


async def give_up_and_hold(isolation, rows):
    """Give up while the row is being written, then hold the same upstream."""
    acquire = rows.acquire

    async def acquire_slowly(name):
        acquired = await acquire(name)
        await curio.sleep(0.2)
        return acquired

    rows.acquire = acquire_slowly
    view = SimpleNamespace(name="engine-9")
    async with curio.ignore_after(0.1):
        async with isolation.hold(new_call(), lambda _busy: view, 0.0):
            pass
    rows.acquire = acquire
    async with curio.timeout_after(5.0):
        async with isolation.hold(new_call(), lambda _busy: view, 0.0):
            pass
        while isolation.is_busy:
            await curio.sleep(0.01)


class GoneOwners:
    """Probe for which the entries in ``gone`` have ended."""

    def __init__(self):
        self.gone = set()

    async def has_ended(self, entry_id, incarnation):
        return entry_id in self.gone


class ListedFleet:
    """Fleet of a given number of entries and engines."""

    def __init__(self, entries, engines):
        self.counts = {"entry": entries, "engine": engines}

    def of_kind(self, kind):
        names = [f"{kind}-{number}" for number in range(self.counts[kind])]
        return [SimpleNamespace(instance_id=name) for name in names]


class ShareTest(unittest.TestCase):
    """Without the table, suspects of two entries never meet on an engine."""

    def test_each_engine_is_assigned_to_one_entry(self):
        fleet = ListedFleet(entries=3, engines=7)
        isolations = [
            IsolationLocks(
                UnavailableTable(),
                GoneOwners(),
                f"entry-{number}",
                1,
                partial(is_assigned_upstream, fleet, f"entry-{number}"),
            )
            for number in range(3)
        ]
        shares = [0, 0, 0]
        for engine in fleet.of_kind("engine"):
            acquired = [
                curio.run(rows.acquire, engine.instance_id) for rows in isolations
            ]
            self.assertEqual(acquired.count(True), 1)
            shares[acquired.index(True)] += 1
        self.assertEqual(shares, [3, 2, 2])
        self.assertTrue(curio.run(isolations[0].acquire, "request f"))


class CrashRowsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cluster = cls.enterClassContext(Cluster())
        cluster.start_platform()
        address = Address.parse(cluster.platform.address)
        cls.table = HttpTableStore(address)

    def test_entries_add_up_the_crashes_they_saw(self):
        rows = [CrashRows(self.table) for _ in range(2)]
        self.assertEqual(curio.run(rows[0].add, "f", {"a/1"}), {"a/1"})
        self.assertEqual(curio.run(rows[1].add, "f", {"b/1"}), {"a/1", "b/1"})
        self.assertEqual(curio.run(rows[0].read, "f"), {"a/1", "b/1"})
        curio.run(rows[0].remove, "f")
        self.assertEqual(curio.run(rows[1].read, "f"), set())

    def test_request_whose_crashes_another_explains_is_released(self):
        call = new_call()
        quarantine = Quarantine(CrashRows(self.table), EventLog("entry-1"))
        heard = (CrashRecord(call.fingerprint(), 2, True),)
        quarantine.merge(heard)
        rows = CrashRows(self.table)
        curio.run(rows.add, call.fingerprint(), {"a/1", "b/1"})
        curio.run(rows.add, "poison", {"a/1", "b/1"})
        curio.run(quarantine.reconsider, call)
        with self.assertRaises(RequestError):
            quarantine.check(call)
        curio.run(rows.add, "poison", {"c/1"})
        time.sleep(RECONSIDER_INTERVAL_S)
        curio.run(quarantine.reconsider, call)
        quarantine.merge(heard)
        quarantine.check(call)
        curio.run(quarantine.clear, call)
        self.assertEqual(curio.run(rows.find, call.fingerprint()), set())

    def test_copies_of_a_request_run_isolated_one_after_the_other(self):
        most = curio.run(hold_copies, self.table, ["one", "two", "two"])
        self.assertEqual(most, 1)

    def test_isolation_that_was_given_up_is_released(self):
        rows = IsolationLocks(self.table, GoneOwners(), "one", 1)
        isolation = Isolation(rows, EventLog("one"))
        curio.run(give_up_and_hold, isolation, rows)

    def test_one_entry_at_a_time_isolates_on_an_upstream(self):
        owners = GoneOwners()
        first, second = (
            IsolationLocks(self.table, owners, name, 1) for name in ("one", "two")
        )
        self.assertTrue(curio.run(first.acquire, "engine-1"))
        self.assertFalse(curio.run(second.acquire, "engine-1"))
        curio.run(second.release, "engine-1")
        self.assertFalse(curio.run(second.acquire, "engine-1"))
        curio.run(first.release, "engine-1")
        self.assertTrue(curio.run(second.acquire, "engine-1"))
        owners.gone.add("two")
        self.assertTrue(curio.run(first.acquire, "engine-1"))


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_bounded_by_a_share_of_successes(self):
        budget = RetryBudget(refill_per_success=0.5, capacity=3.0)
        spent = [budget.try_spend("editora", "engine-1") for _ in range(5)]
        self.assertEqual(spent, [True] * 3 + [False] * 2)
        for _ in range(4):
            budget.record_success("editora", "engine-1")
        spent = [budget.try_spend("editora", "engine-1") for _ in range(3)]
        self.assertEqual(spent, [True, True, False])
        self.assertFalse(budget.try_spend("editora", "engine-2"))
        self.assertTrue(budget.try_spend("campus", "engine-2"))
