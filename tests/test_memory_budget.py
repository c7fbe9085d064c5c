"""Memory for incomplete messages: who gets it, and who is given up."""

import time
import unittest
from unittest import mock

import curio

from wisteriaarch.errors import MemoryExhausted
from wisteriaarch.memory_budget import SMALL_BYTES, MemoryBudget, Reservation

SHARED_BYTES = 10 * SMALL_BYTES


class MemoryBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = MemoryBudget(SHARED_BYTES, SHARED_BYTES)

    def resize(self, reservation, size):
        curio.run(self.budget.resize, reservation, size)

    def reserve(self, size):
        reservation = Reservation(mock.Mock())
        self.resize(reservation, size)
        return reservation

    def test_small_messages_are_not_counted(self):
        self.reserve(SHARED_BYTES)
        self.reserve(SMALL_BYTES)
        self.assertEqual(self.budget.used_bytes, SHARED_BYTES)

    def test_largest_goes_on_and_others_wait_for_it(self):
        largest = self.reserve(SHARED_BYTES - SMALL_BYTES)
        self.resize(largest, SHARED_BYTES + SMALL_BYTES)

        async def run():
            other = Reservation(mock.Mock())
            task = await curio.spawn(self.budget.resize, other, 2 * SMALL_BYTES)
            await curio.sleep(0.05)
            self.assertEqual(other.size, 0)
            self.budget.release(largest)
            await task.join()
            self.assertEqual(self.budget.used_bytes, 2 * SMALL_BYTES)

        curio.run(run)
        largest.give_up.assert_not_called()

    def test_largest_is_given_up_if_others_wait_too_long(self):
        largest = self.reserve(SHARED_BYTES)
        began_at_s = time.monotonic()
        self.reserve(2 * SMALL_BYTES)
        self.assertLess(time.monotonic() - began_at_s, 1.0)
        largest.give_up.assert_called_once()
        with self.assertRaises(MemoryExhausted):
            self.resize(largest, SHARED_BYTES + 1)

    def test_complete_message_is_not_given_up(self):
        complete = self.reserve(SHARED_BYTES)
        complete.is_complete = True
        with self.assertRaises(MemoryExhausted):
            self.reserve(2 * SHARED_BYTES)
        self.assertEqual(self.budget.used_bytes, SHARED_BYTES)
        self.budget.release(complete)
        self.assertEqual(self.budget.used_bytes, 0)

    def test_last_one_has_a_limit_too(self):
        last = self.reserve(SHARED_BYTES)
        with self.assertRaises(MemoryExhausted):
            self.resize(last, 2 * SHARED_BYTES + 1)
