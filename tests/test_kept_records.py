"""What is kept in the store of crashes, beyond restarts of all entries."""

import unittest
from unittest import mock

import curio

from wisteriaarch.errors import RequestError, StoreUnavailable
from wisteriaarch.process.store_era import StoreEra
from wisteriaarch.request.crash_history import (
    CRASHES_MAX,
    RECORDS_MAX,
    RETENTION_S,
    CrashHistory,
)
from wisteriaarch.request.crash_history_rows import (
    RECORDS_MAX as ROW_RECORDS_MAX,
    CrashHistoryRows,
    decode_crashes,
)

from .crash_support import call, crash
from .memory_table import MemoryTable

ROW = (CrashHistoryRows.table, "all")
ROW_BYTES_MAX = 12_000


class CrashHistoryRowsTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 1000.0
        self.era = StoreEra()
        self.store = MemoryTable()
        self.history = self.new_history()
        self.rows = self.rows_of(self.history)
        curio.run(self.rows._read)

    def new_history(self):
        return CrashHistory(lambda: self.now_s)

    def rows_of(self, history, is_writer=True):
        log = mock.Mock()
        return CrashHistoryRows(history, self.store, lambda: is_writer, log, self.era)

    def write(self):
        """Let the entry write what is due."""
        curio.run(self.rows._write_if_due)

    def restarted(self):
        """Return the history of an entry that starts, while no other one lives."""
        history = self.new_history()
        curio.run(self.rows_of(history)._read)
        return history

    def assert_refused(self, history, request):
        with self.assertRaises(RequestError):
            history.check(request)

    def test_crashes_outlive_all_entries(self):
        """Guards against a request that crashes upstreams anew after each restart."""
        crash(self.history, call())
        self.write()
        restarted = self.restarted()
        self.assert_refused(restarted, call())
        restarted.check(call(path="/b"))

    def test_crashes_before_and_after_a_restart_add_up(self):
        """Guards against a count that begins anew with the entries."""
        for number in range(CRASHES_MAX - 1):
            self.history.record_crash(call(), f"u{number}")
        self.write()
        restarted = self.restarted()
        restarted.check(call())
        restarted.record_crash(call(), "another")
        self.assert_refused(restarted, call())

    def test_row_is_written_again_after_the_store_was_restored(self):
        """Guards against records that are lost with a store's older copy."""
        crash(self.history, call())
        self.write()
        self.store.rows.clear()
        self.write()
        self.assertEqual(self.store.rows, {})
        self.era.observe(1)
        self.write()
        self.assert_refused(self.restarted(), call())

    def test_expired_crashes_leave_the_row(self):
        """Guards against a restart that refuses a request for old crashes."""
        crash(self.history, call())
        self.write()
        self.now_s += RETENTION_S
        self.write()
        self.assertEqual(self.store.rows[ROW].value, {"crashes": []})
        self.restarted().check(call())

    def test_crash_of_an_id_that_had_expired_is_written(self):
        """Guards against a change that the expiry of another record hides."""
        self.history.record_crash(call(), "u")
        self.write()
        self.now_s += RETENTION_S
        self.write()
        self.history.record_crash(call(), "u")
        self.write()
        self.assertEqual(len(self.store.rows[ROW].value["crashes"]), 1)

    def test_answer_clears_the_row(self):
        """Guards against a sound request that is refused after a restart."""
        crash(self.history, call())
        self.write()
        self.history.record_success(call())
        self.write()
        self.restarted().check(call())

    def test_only_the_writer_writes(self):
        """Guards against one write of each entry for each crash."""
        crash(self.history, call())
        curio.run(self.rows_of(self.history, is_writer=False)._write_if_due)
        self.assertEqual(self.store.rows, {})

    def test_unchanged_records_are_not_written_again(self):
        """Guards against calls to the store while nothing happens."""
        crash(self.history, call())
        self.write()
        self.store.rows.clear()
        self.now_s += 1.0
        self.write()
        self.assertEqual(self.store.rows, {})

    def test_write_that_failed_is_repeated(self):
        """Guards against records that one refusal of the store loses."""
        crash(self.history, call())
        self.store.error = StoreUnavailable("away")
        self.write()
        self.store.error = None
        self.write()
        self.assert_refused(self.restarted(), call())

    def test_row_keeps_refused_requests_and_stays_small(self):
        """Guards against a mass loss of upstreams that displaces a refused request."""
        crash(self.history, call())
        for number in range(RECORDS_MAX):
            self.now_s += 0.01
            self.history.record_crash(call(path=f"/{number}"), "lost")
        self.write()
        row = self.store.rows[ROW].value
        self.assertEqual(len(row["crashes"]), ROW_RECORDS_MAX)
        self.assertLess(len(str(row)), ROW_BYTES_MAX)
        self.assert_refused(self.restarted(), call())

    def test_row_of_another_form_says_nothing(self):
        """Guards against an entry that ends at a row of another version."""
        for value in (None, [], {"crashes": 3}, {"crashes": [[1]]}):
            with self.subTest(value=value):
                self.assertEqual(decode_crashes(value), [])


class SharedHistoryTest(unittest.TestCase):
    def test_records_that_peers_send_back_and_forth_expire(self):
        """Guards against crashes that entries tell each other for ever."""
        now = [0.0]
        one, two = (CrashHistory(lambda: now[0]) for _ in range(2))
        crash(one, call())
        while now[0] < 4 * RETENTION_S:
            two.merge(tuple(one.export()))
            now[0] += 10.0
            one.merge(tuple(two.export()))
        one.check(call())
        two.check(call())
        self.assertEqual((list(one.export()), list(two.export())), ([], []))


if __name__ == "__main__":
    unittest.main()
