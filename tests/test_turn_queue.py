"""Prompts that wait at the entry that schedules them, hundreds at a time."""

import random
import unittest

import curio

from wisteriaarch.request.turn_queue import DRAWN_MAX, TICK_S, URGENT_MAX, TurnQueue

PER_TICK = URGENT_MAX + DRAWN_MAX


class TurnQueueTest(unittest.TestCase):
    """Load: for some seconds far more long prompts come than engines read."""

    def setUp(self):
        self.queue = TurnQueue(random.Random(1))
        self.looked = []
        self.free = set()

    def decide(self, number):
        def look():
            self.looked.append(number)
            return number if number in self.free else None

        return look

    async def start(self, count):
        return [
            await curio.spawn(self.queue.wait, self.decide(number), float(number))
            for number in range(count)
        ]

    async def stop(self, tasks):
        for task in tasks:
            await task.cancel()

    def test_cost_of_a_tick_does_not_grow_with_the_queue(self):
        async def run():
            tasks = await self.start(300)
            await curio.sleep(10 * TICK_S)
            await self.stop(tasks)

        curio.run(run)
        self.assertGreater(len(self.looked), PER_TICK)
        self.assertLessEqual(len(self.looked), 12 * PER_TICK)

    def test_those_that_must_start_soonest_come_first(self):
        async def run():
            tasks = await self.start(50)
            self.free = {0, 1, 2}
            await curio.sleep(3 * TICK_S)
            done = [task.result for task in tasks[:3] if task.terminated]
            await self.stop(tasks)
            return done

        self.assertEqual(curio.run(run), [0, 1, 2])

    def test_one_whose_turn_comes_early_is_found(self):
        """Load: an engine that holds its parts is idle, while others still wait."""

        async def run():
            tasks = await self.start(20)
            self.free = {15}
            await curio.sleep(40 * TICK_S * 20 / 10)
            done = tasks[15].terminated
            await self.stop(tasks)
            return done

        self.assertTrue(curio.run(run))

    def test_caller_that_leaves_is_in_the_queue_no_more(self):
        async def run():
            tasks = await self.start(3)
            await curio.sleep(2 * TICK_S)
            await tasks[0].cancel()
            left = len(self.queue)
            await self.stop(tasks)
            await curio.sleep(3 * TICK_S)
            again = await self.start(1)
            self.free = {0}
            await curio.sleep(3 * TICK_S)
            return left, len(self.queue), again[0].terminated

        self.assertEqual(curio.run(run), (2, 0, True))
