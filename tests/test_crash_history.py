"""Crashes on record: whose request crashes upstreams, and what clears it."""

import unittest

from wisteriaarch.errors import RequestError
from wisteriaarch.request.crash_history import CrashHistory

from .crash_support import call, crash


class CrashHistoryTest(unittest.TestCase):
    def test_entries_together_stop_after_three_crashes(self):
        ledgers = [CrashHistory() for _ in range(3)]
        for number, ledger in enumerate(ledgers):
            for other in ledgers:
                other.check(call())
            ledger.record_crash(call(), f"u{number}")
            for other in ledgers:
                other.merge(tuple(ledger.export()))
        for ledger in ledgers:
            with self.assertRaises(RequestError):
                ledger.check(call())
            ledger.check(call(b"another body"))

    def test_one_crash_seen_twice_counts_once(self):
        ledger = CrashHistory()
        for _ in range(5):
            ledger.record_crash(call(), "u")
        ledger.check(call())

    def test_success_clears(self):
        ledger = CrashHistory()
        for number in range(3):
            ledger.record_crash(call(), f"u{number}")
        ledger.record_success(call())
        ledger.check(call())

    def test_old_crashes_do_not_count(self):
        now = [0.0]
        ledger = CrashHistory(lambda: now[0])
        for number in range(3):
            ledger.record_crash(call(), f"u{number}")
        now[0] = 200.0
        ledger.check(call())


class CallerTest(unittest.TestCase):
    """Each pair differs in its caller, or in the host that the caller asked."""

    PAIRS = {
        "customer": (call(customer="sick"), call(customer="sound")),
        "credentials": (call(credentials="Bearer 1"), call(credentials="Bearer 2")),
        "host": (call(host="a.example"), call(host="b.example")),
    }

    def test_answer_to_another_caller_clears_nothing(self):
        """Guards against crashes that sound requests of another caller clear."""
        for name, (sick, sound) in self.PAIRS.items():
            history = CrashHistory()
            crash(history, sick)
            history.record_success(sound)
            with self.subTest(name), self.assertRaises(RequestError):
                history.check(sick)

    def test_another_caller_is_not_refused(self):
        """Guards against a caller refused for the crashes of another one."""
        for name, (sick, sound) in self.PAIRS.items():
            history = CrashHistory()
            crash(history, sick)
            with self.subTest(name):
                history.check(sound)

    def test_customer_is_known_by_its_name(self):
        """Guards against a customer that clears its crashes by another API key."""
        history = CrashHistory()
        crash(history, call(customer="sick", credentials="Bearer 1"))
        with self.assertRaises(RequestError):
            history.check(call(customer="sick", credentials="Bearer 2"))


if __name__ == "__main__":
    unittest.main()
