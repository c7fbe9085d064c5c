"""Prompts that wait at the entry that schedules them, hundreds at a time."""

import unittest

import curio

from wisteriaarch.request.prefill_dispatch import (
    Dispatch,
    PrefillForecast,
    choose_dispatch,
)
from wisteriaarch.request.prefill_queue import (
    EVALUATED_MAX,
    POLL_INTERVAL_S,
    PrefillQueue,
    QueuedCall,
)

TIMELY_S = 1.0
PATIENCE_S = 5.0


class QueueTestCase(unittest.TestCase):
    """A queue on a clock that the test sets."""

    def setUp(self):
        self.now = 0.0
        self.queue = PrefillQueue(lambda: self.now)
        self.looked = []
        self.fleet_rate = 1e6
        self.free = set()

    def waiter(self, number, arrived_at_s=0.0, favoured=False):
        def decide():
            self.looked.append(number)
            return number if number in self.free else None

        return QueuedCall(
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
        self.queue._calls.extend(waiters)

    def decisions(self):
        return [waiter.decision for waiter in self.queue.poll()]


class TurnQueueTest(QueueTestCase):
    """Load: for some seconds far more long prompts come than engines read."""

    def test_cost_of_a_look_does_not_grow_with_the_queue(self):
        self.fill(*(self.waiter(number) for number in range(300)))
        self.assertEqual(list(self.queue.poll()), [])
        self.assertLessEqual(len(self.looked), EVALUATED_MAX)

    def test_first_come_is_first_served(self):
        self.free = {1, 2}
        self.fill(self.waiter(2, 0.2), self.waiter(1, 0.1), self.waiter(3, 0.3))
        self.assertEqual(self.decisions(), [1, 2])

    def test_tokens_before_a_call_are_those_of_calls_before_it(self):
        waiters = [self.waiter(number, number / 10) for number in range(4)]
        self.fill(*waiters, self.waiter(9, 0.9, favoured=True))
        self.assertEqual(self.queue.tokens_ahead(waiters[2].order), 30)

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
            await curio.sleep(3 * POLL_INTERVAL_S)
            await task.cancel()
            left = len(self.queue)
            self.free = {2}
            task = await curio.spawn(self.queue.wait, self.waiter(2))
            await curio.sleep(5 * POLL_INTERVAL_S)
            return left, len(self.queue), await task.join()

        self.assertEqual(curio.run(run), (0, 0, 2))


class PlacedInTurnTest(QueueTestCase):
    """Load: several prompts wait, and engines become idle one after the other."""

    def test_each_placement_counts_before_the_next_decision(self):
        async def run():
            idle = []

            def decide():
                return idle[0] if idle else None

            async def place(number):
                waiter = self.waiter(number, number / 10)
                waiter.decide = decide
                engine = await self.queue.wait(waiter)
                idle.remove(engine)
                return engine

            tasks = [await curio.spawn(place, number) for number in range(3)]
            await curio.sleep(2 * POLL_INTERVAL_S)
            idle += ["e1", "e2", "e3"]
            return [await task.join() for task in tasks]

        self.assertEqual(curio.run(run), ["e1", "e2", "e3"])


class LeavingWaiterTest(QueueTestCase):
    """Load: callers leave by themselves while others are refused or placed."""

    def test_one_that_leaves_during_a_look_stops_nobody(self):
        for now, first in ((0.0, 0), (PATIENCE_S + 0.1, "refused")):
            self.now = now
            self.free = {0, 1, 2}
            waiters = [self.waiter(number, number / 100) for number in range(3)]
            self.queue._calls = list(waiters)
            look = self.queue.poll()
            self.assertEqual(next(look).decision, first)
            self.queue._calls.remove(waiters[1])
            self.assertEqual(list(look), [waiters[2]])


class ComingCallTest(QueueTestCase):
    """Load: for some seconds calls in time alone would take all that engines read."""

    RATE = 1_000.0

    def wait_s(self, timely_for_s, arrived_at_s=0.5):
        return self.queue.expected_wait_s((True, arrived_at_s), timely_for_s, self.RATE)

    def test_call_in_time_waits_for_those_before_it_alone(self):
        self.fill(*(self.waiter(number, number / 10) for number in range(10)))
        self.assertAlmostEqual(self.wait_s(1.0), 5 * 10 / self.RATE)

    def test_late_call_waits_for_what_calls_in_time_leave(self):
        self.fill(*(self.waiter(number, number / 10) for number in range(10)))
        calm_s = self.wait_s(-0.1)
        self.assertAlmostEqual(calm_s, 10 * 10 / self.RATE)
        self.queue.record_accepted(800, 0.2, self.RATE)
        self.assertAlmostEqual(self.wait_s(-0.1), calm_s / 0.2)

    def test_refused_and_late_calls_take_nothing_from_others(self):
        """Load: callers who are refused, or late, come back at once and often."""
        self.fill(*(self.waiter(number, number / 10) for number in range(10)))
        calm_s = self.wait_s(-0.1)
        for _ in range(50):
            self.queue.record_accepted(800, -0.2, self.RATE)
        self.assertAlmostEqual(self.wait_s(-0.1), calm_s)

    def test_late_calls_that_calls_in_time_leave_nothing_are_refused_soon(self):
        self.fleet_rate = self.RATE
        self.now = TIMELY_S + 0.1
        self.queue.record_accepted(5_000, 0.2, self.RATE)
        self.fill(*(self.waiter(number) for number in range(100)))
        refused = [item for item in self.decisions() if item == "refused"]
        self.assertGreater(len(refused), 40)
        self.assertLess(len(refused), 100)


class TakenTurnTest(unittest.TestCase):
    """Load: engines are idle for a moment while others wait for them."""

    def forecast(self, **more):
        values = {
            "engine_queue_s": 0.0,
            "prefill_s": 0.1,
            "handoff_s": 0.1,
            "objective_left_s": -1.0,
            "deadline_left_s": 0.18,
            **more,
        }
        return PrefillForecast(**values)

    def test_no_time_of_engines_goes_to_what_will_hardly_be_answered(self):
        self.assertIs(choose_dispatch(self.forecast(), True), Dispatch.UNSERVABLE)
        self.assertIs(choose_dispatch(self.forecast(), False), Dispatch.IDLE_ENGINE)

    def test_call_whose_turn_will_not_come_is_refused_when_it_comes(self):
        forecast = self.forecast(deadline_left_s=2.0, queue_wait_s=3.0)
        self.assertIs(choose_dispatch(forecast), Dispatch.UNSERVABLE)
