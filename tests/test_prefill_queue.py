"""Queue of long prompts at their scheduler, hundreds at a time."""

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


class PrefillQueueTest(QueueTestCase):
    """For some seconds far more long prompts arrive than engines can prefill."""

    def test_cost_of_a_poll_does_not_grow_with_the_queue(self):
        self.fill(*(self.waiter(number) for number in range(300)))
        self.assertEqual(list(self.queue.poll()), [])
        self.assertLessEqual(len(self.looked), EVALUATED_MAX)

    def test_calls_are_dispatched_in_order_of_arrival(self):
        self.free = {1, 2}
        self.fill(self.waiter(2, 0.2), self.waiter(1, 0.1), self.waiter(3, 0.3))
        self.assertEqual(self.decisions(), [1, 2])

    def test_tokens_ahead_are_those_of_earlier_calls(self):
        waiters = [self.waiter(number, number / 10) for number in range(4)]
        self.fill(*waiters, self.waiter(9, 0.9, favoured=True))
        self.assertEqual(self.queue.tokens_ahead(waiters[2].order), 30)

    def test_prioritized_size_goes_first(self):
        self.free = {1, 2}
        self.fill(self.waiter(1), self.waiter(2, 0.5, favoured=True))
        self.assertEqual(self.decisions(), [2, 1])

    def test_prompts_within_their_objective_go_before_overdue_ones(self):
        self.now = 1.5
        self.free = {1}
        self.fill(self.waiter(1, 0.0), self.waiter(2, 1.0))
        self.assertEqual(self.decisions(), [])
        self.assertEqual(self.looked, [2])
        self.free = {1, 2}
        self.assertEqual(self.decisions(), [2, 1])

    def test_prompt_past_its_deadline_is_refused_at_once(self):
        self.fill(self.waiter(1, 0.0), self.waiter(2, 4.9))
        self.now = PATIENCE_S + 0.1
        self.assertEqual(self.decisions(), ["refused"])
        self.assertEqual(len(self.queue), 1)

    def test_overdue_prompt_too_far_back_in_the_queue_is_refused_at_once(self):
        """More work is queued before it than engines prefill until its deadline."""
        self.now = 1.5
        self.fleet_rate = 10.0
        before = [self.waiter(number, 1.4) for number in range(60)]
        self.fill(self.waiter(100, 0.1), *before)
        self.assertEqual(self.decisions(), ["refused"])
        self.assertEqual(len(self.queue), 60)

    def test_cancelled_call_is_removed_from_the_queue(self):
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


class DispatchOrderTest(QueueTestCase):
    """Several prompts are queued, and engines become idle one after the other."""

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


class CancelledCallTest(QueueTestCase):
    """Callers disconnect while other calls are refused or dispatched."""

    def test_call_cancelled_during_a_poll_delays_no_other(self):
        for now, first in ((0.0, 0), (PATIENCE_S + 0.1, "refused")):
            self.now = now
            self.free = {0, 1, 2}
            waiters = [self.waiter(number, number / 100) for number in range(3)]
            self.queue._calls = list(waiters)
            look = self.queue.poll()
            self.assertEqual(next(look).decision, first)
            self.queue._calls.remove(waiters[1])
            self.assertEqual(list(look), [waiters[2]])


class ExpectedWaitTest(QueueTestCase):
    """For some seconds calls within their objective need all prefill capacity."""

    RATE = 1_000.0

    def wait_s(self, timely_for_s, arrived_at_s=0.5):
        return self.queue.expected_wait_s((True, arrived_at_s), timely_for_s, self.RATE)

    def test_call_within_its_objective_waits_for_earlier_ones_only(self):
        self.fill(*(self.waiter(number, number / 10) for number in range(10)))
        self.assertAlmostEqual(self.wait_s(1.0), 5 * 10 / self.RATE)

    def test_overdue_call_uses_the_capacity_left_by_others(self):
        self.fill(*(self.waiter(number, number / 10) for number in range(10)))
        calm_s = self.wait_s(-0.1)
        self.assertAlmostEqual(calm_s, 10 * 10 / self.RATE)
        self.queue.record_accepted(800, 0.2, self.RATE)
        self.assertAlmostEqual(self.wait_s(-0.1), calm_s / 0.2)

    def test_refused_and_overdue_calls_use_no_capacity_of_others(self):
        """Callers of refused and overdue calls retry at once and often."""
        self.fill(*(self.waiter(number, number / 10) for number in range(10)))
        calm_s = self.wait_s(-0.1)
        for _ in range(50):
            self.queue.record_accepted(800, -0.2, self.RATE)
        self.assertAlmostEqual(self.wait_s(-0.1), calm_s)

    def test_overdue_calls_without_capacity_left_are_refused_soon(self):
        self.fleet_rate = self.RATE
        self.now = TIMELY_S + 0.1
        self.queue.record_accepted(5_000, 0.2, self.RATE)
        self.fill(*(self.waiter(number) for number in range(100)))
        refused = [item for item in self.decisions() if item == "refused"]
        self.assertGreater(len(refused), 40)
        self.assertLess(len(refused), 100)


class DispatchDecisionTest(unittest.TestCase):
    """Engines are idle for a moment while calls are queued."""

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

    def test_no_engine_time_is_spent_on_calls_that_will_miss_their_deadline(self):
        self.assertIs(choose_dispatch(self.forecast(), True), Dispatch.UNSERVABLE)
        self.assertIs(choose_dispatch(self.forecast(), False), Dispatch.IDLE_ENGINE)

    def test_call_that_would_not_start_before_its_deadline_is_refused_on_arrival(self):
        forecast = self.forecast(deadline_left_s=2.0, queue_wait_s=3.0)
        self.assertIs(choose_dispatch(forecast), Dispatch.UNSERVABLE)
