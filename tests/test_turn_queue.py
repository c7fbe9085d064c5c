"""Prompts that wait at the entry that schedules them, hundreds at a time."""

import unittest

import curio

from wisteriaarch.request.turn_queue import LOOKED_AT_MAX, TICK_S, TurnQueue, Waiter

TIMELY_S = 1.0
PATIENCE_S = 5.0


class TurnQueueTest(unittest.TestCase):
    """Load: for some seconds far more long prompts come than engines read."""

    def setUp(self):
        self.now = 0.0
        self.queue = TurnQueue(lambda: self.now)
        self.looked = []
        self.fleet_rate = 1e6
        self.free = set()

    def waiter(self, number, arrived_at_s=0.0, favoured=False):
        def decide():
            self.looked.append(number)
            return number if number in self.free else None

        return Waiter(
            arrived_at_s,
            arrived_at_s + TIMELY_S,
            arrived_at_s + PATIENCE_S,
            favoured,
            10,
            self.fleet_rate,
            decide,
            lambda: "refused",
        )

    def fill(self, *waiters):
        self.queue._waiters.extend(waiters)

    def decisions(self):
        return [waiter.decision for waiter in self.queue.look_once()]

    def test_cost_of_a_look_does_not_grow_with_the_queue(self):
        self.fill(*(self.waiter(number) for number in range(300)))
        self.queue.look_once()
        self.assertLessEqual(len(self.looked), LOOKED_AT_MAX)

    def test_first_come_is_first_served(self):
        self.free = {1, 2}
        self.fill(self.waiter(2, 0.2), self.waiter(1, 0.1), self.waiter(3, 0.3))
        self.assertEqual(self.decisions(), [1, 2])

    def test_tokens_before_a_call_are_those_of_calls_before_it(self):
        waiters = [self.waiter(number, number / 10) for number in range(4)]
        self.fill(*waiters, self.waiter(9, 0.9, favoured=True))
        self.assertEqual(self.queue.tokens_before(waiters[2].order), 30)

    def test_starving_size_goes_first(self):
        self.free = {1, 2}
        self.fill(self.waiter(1), self.waiter(2, 0.5, favoured=True))
        self.assertEqual(self.decisions(), [2, 1])

    def test_late_prompts_let_those_go_first_that_can_be_in_time(self):
        self.now = 1.5
        self.free = {1}
        self.fill(self.waiter(1, 0.0), self.waiter(2, 1.0))
        self.assertEqual(self.decisions(), [])
        self.assertEqual(self.looked, [2])
        self.free = {1, 2}
        self.assertEqual(self.decisions(), [2, 1])

    def test_prompt_whose_time_is_over_is_refused_at_once(self):
        self.fill(self.waiter(1, 0.0), self.waiter(2, 4.9))
        self.now = PATIENCE_S + 0.1
        self.assertEqual(self.decisions(), ["refused"])
        self.assertEqual(len(self.queue), 1)

    def test_late_prompt_that_comes_too_late_in_the_queue_is_refused_at_once(self):
        """Load: more wait before it than engines read until its caller leaves."""
        self.now = 1.5
        self.fleet_rate = 10.0
        before = [self.waiter(number, 1.4) for number in range(60)]
        self.fill(self.waiter(100, 0.1), *before)
        self.assertEqual(self.decisions(), ["refused"])
        self.assertEqual(len(self.queue), 60)

    def test_caller_that_leaves_is_in_the_queue_no_more(self):
        async def run():
            task = await curio.spawn(self.queue.wait, self.waiter(1))
            await curio.sleep(3 * TICK_S)
            await task.cancel()
            left = len(self.queue)
            self.free = {2}
            task = await curio.spawn(self.queue.wait, self.waiter(2))
            await curio.sleep(5 * TICK_S)
            return left, len(self.queue), await task.join()

        self.assertEqual(curio.run(run), (0, 0, 2))
