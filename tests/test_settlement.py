"""Outcomes of claims: large answers, groups of writes and their rate."""

import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import curio

from extras.cluster import Cluster, wait_until
from extras.ports import free_port
from wisteriaarch.errors import WriteConflict
from wisteriaarch.event_log import EventLog
from wisteriaarch.process.group_commit import GroupCommit
from wisteriaarch.process.http_store import HttpTableStore
from wisteriaarch.process.store import NO_VERSION, Put, Transaction
from wisteriaarch.request.outcome_writer import BATCH_SIZE, PENDING_BYTES_MAX
from wisteriaarch.wire import Address

from .once_support import OnceTestCase

TRANSACTIONS_MAX = 4
LARGE_BYTES = 20_000
LISTED_ENTRIES = 40
CLAIM_WRITES = 100.0
CLAIMS_AT_ONCE = 4
HUGE_BYTES = 8 * 1024 * 1024


class LargeAnswerTest(OnceTestCase):
    """Answers above 8 KB stand in the object store."""

    def setUp(self):
        self.addCleanup(self.control_service, padding_bytes=0)
        self.addCleanup(
            self.cluster.set_faults, objects_outage=False, objects_latency_s=0.0
        )
        self.control_service(padding_bytes=LARGE_BYTES)

    def settled(self, key):
        row = self.cluster.platform.request("GET", f"/table/claims/editora%2F{key}")
        return row.json()["value"]["state"] != "claimed"

    def test_stored_large_answer_is_returned_byte_for_byte(self):
        for key in ("a-large", "b-large"):
            first = self.export(key)
            self.assertGreater(len(first.body), LARGE_BYTES)
            wait_until(lambda key=key: self.settled(key))
            self.control_service(padding_bytes=0)
            for entry in ("entry-2", "entry-1", "entry-2"):
                again = self.export(key, entry)
                self.assertEqual((again.status, again.body), (200, first.body))
            self.control_service(padding_bytes=LARGE_BYTES)
            self.assertEqual(self.runs(key), 1)

    def test_object_store_down_while_answers_are_stored(self):
        self.cluster.set_faults(objects_outage=True)
        keys = [f"{number}-unstored" for number in range(BATCH_SIZE + 6)]
        with ThreadPoolExecutor(len(keys)) as pool:
            first = dict(zip(keys, pool.map(self.export, keys), strict=True))
        self.control_service(padding_bytes=0)
        small = self.export("small")
        self.assertEqual(self.export("small", "entry-2").body, small.body)
        for key in keys[:3]:
            self.assertEqual(self.export(key).body, first[key].body)
            waiting = self.export(key, "entry-2", **{"X-Deadline-Ms": "400"})
            self.assertEqual(waiting.json()["kind"], "duplicate_in_progress")
            self.assertEqual(waiting.json()["ran"], "unknown")
        self.cluster.set_faults(objects_outage=False)
        for key in keys:
            self.assertEqual(self.export(key, "entry-2").body, first[key].body)
            self.assertEqual(self.runs(key), 1)

    def test_unreadable_stored_answer_is_reported_as_run(self):
        first = self.export("stored")
        wait_until(lambda: self.settled("stored"))
        for faults in ({"objects_outage": True}, {"objects_latency_s": 1.5}):
            self.cluster.set_faults(**faults)
            started_s = time.monotonic()
            answer = self.export("stored", "entry-2", **{"X-Deadline-Ms": "300"})
            self.assertLess(time.monotonic() - started_s, 1.2)
            self.assertEqual(answer.json()["kind"], "store_unavailable")
            self.assertEqual(answer.json()["ran"], "yes")
            self.assertIn("retry-after", answer.headers)
            self.cluster.set_faults(objects_outage=False, objects_latency_s=0.0)
        self.assertEqual(self.export("stored", "entry-2").body, first.body)
        self.assertEqual(self.runs("stored"), 1)

    def test_answers_waiting_for_the_object_store_are_bounded(self):
        self.cluster.set_faults(objects_outage=True)
        self.control_service(padding_bytes=HUGE_BYTES)
        most = PENDING_BYTES_MAX // HUGE_BYTES
        first = [self.export(f"{number}-huge") for number in range(most)]
        self.assertEqual({answer.status for answer in first}, {200})
        refused = self.export("huge")
        self.assertEqual(refused.json()["kind"], "store_unavailable")
        self.assert_not_run(refused, "huge")
        self.cluster.set_faults(objects_outage=False)
        wait_until(lambda: self.export("huge").status == 200)
        self.assertEqual(self.runs("huge"), 1)
        self.assertEqual(self.export("0-huge", "entry-2").body, first[0].body)


class GroupCommitTest(unittest.TestCase):
    def test_conflict_refuses_one_write_of_a_group(self):
        with Cluster() as cluster:
            cluster.start_platform()
            table = HttpTableStore(Address.parse(cluster.platform.address))
            taken = Put("claims", "key-7", "first", NO_VERSION)
            curio.run(table.write, Transaction((taken,)))
            errors = curio.run(put_all, table, [f"key-{n}" for n in range(24)])
            writes = cluster.platform.request("GET", "/counters").json()["writes"]
        self.assertIsInstance(errors.pop("key-7"), WriteConflict)
        self.assertEqual(set(errors.values()), {None})
        self.assertLessEqual(writes - 1, TRANSACTIONS_MAX)


class CommitRateTest(OnceTestCase):
    """Entries share a budget of transactions, however many of them there are."""

    def test_transactions_stay_within_the_share_of_one_entry(self):
        for number in range(LISTED_ENTRIES):
            name = f"listed-{number}"
            address = f"127.0.0.1:{free_port()}"
            self.cluster.register(name, "entry", address, "zone-a")
            self.addCleanup(self.cluster.unregister, name)
        entry = self.cluster.start_entry("sharing", claim_writes_per_s=CLAIM_WRITES)
        wait_until(lambda: entry.request("GET", "/readyz").status == 200)
        time.sleep(0.5)
        share_s = (LISTED_ENTRIES + 1) / CLAIM_WRITES
        before, started_s = self.claim_versions(), time.monotonic()
        with ThreadPoolExecutor(CLAIMS_AT_ONCE) as pool:
            keys = [f"share-{number}" for number in range(6 * CLAIMS_AT_ONCE)]
            answers = list(pool.map(lambda key: self.export(key, "sharing"), keys))
        passed_s = time.monotonic() - started_s
        self.assertEqual({answer.status for answer in answers}, {200})
        written = self.claim_versions() - before
        self.assertLessEqual(len(written), passed_s / share_s + 2)

    def test_outcomes_do_not_delay_the_next_claim(self):
        share_s = 0.8
        entry = self.cluster.start_entry("patient", claim_commit_every_s=share_s)
        wait_until(lambda: entry.request("GET", "/readyz").status == 200)
        for number in range(4):
            time.sleep(1.3 * share_s)
            started_s = time.monotonic()
            self.assertEqual(self.export(f"patient-{number}", "patient").status, 200)
            self.assertLess(time.monotonic() - started_s, share_s / 2)

    def claim_versions(self):
        """Return the ids of the transactions that wrote claims."""
        rows = self.cluster.platform.request("GET", "/table/claims").json()["rows"]
        return {write_id for row in rows for write_id in row["write_ids"]}


async def put_all(table, keys):
    """Write all keys at once; return the error of each."""
    commit = GroupCommit(table, lambda: 0.0, EventLog("entry-1"))
    errors = {}

    async def put(key):
        try:
            await commit.put(Put("claims", key, "second", NO_VERSION))
            errors[key] = None
        except WriteConflict as exc:
            errors[key] = exc

    running = await curio.spawn(commit.run)
    async with curio.TaskGroup() as group:
        for key in keys:
            await group.spawn(put, key)
    await running.cancel()
    return errors
