"""Which parts engines hold, and which prompts are refused, without I/O."""

import unittest
from dataclasses import replace
from unittest import mock

import curio

from wisteriaarch.process.cache_belief import READING_MAX_S, CacheBelief, Holding
from wisteriaarch.process.upstreams import Stage
from wisteriaarch.request.reading_forecast import ReadingForecast
from wisteriaarch.request.shared_reading import wait_for_part, wait_limit_s

from .route_support import RATE, candidate, fleet, prompt


class CacheBeliefTest(unittest.TestCase):
    def test_peers_learn_each_part_once(self):
        one, two = CacheBelief(), CacheBelief()
        for number in range(3):
            one.note("u", f"p{number}", 100)
            two.absorb("one", tuple(one.export()))
        before = tuple(one.export())
        two.absorb("one", before[:1])
        self.assertEqual(two.holding("u", "p0", 1000), Holding.READING)
        self.assertEqual(two._engines["u"].added_tokens, 300)

    def test_least_recently_used_parts_yield(self):
        belief = CacheBelief()
        for number in range(5):
            belief.note("u", f"p{number}", 100, ready=True)
        self.assertEqual(belief.holding("u", "p0", 500), Holding.MAYBE)
        self.assertEqual(belief.holding("u", "p4", 500), Holding.HELD)
        belief.note("u", "p1", 10)
        self.assertEqual(belief.holding("u", "p1", 500), Holding.HELD)

    def test_part_is_held_once_it_was_read(self):
        now = [0.0]
        belief = CacheBelief(lambda: now[0])
        belief.note("u", "p", 100)
        self.assertEqual(belief.holding("u", "p", 500), Holding.READING)
        now[0] = 2 * READING_MAX_S
        self.assertEqual(belief.holding("u", "p", 500), Holding.MAYBE)
        belief.note("u", "p", 0, ready=True)
        self.assertEqual(belief.holding("u", "p", 500), Holding.HELD)

    def test_restarted_engine_holds_nothing(self):
        belief = CacheBelief()
        belief.note("u", "p", 10, ready=True)
        belief.forget("u")
        self.assertEqual(belief.holding("u", "p", 1e9), Holding.NONE)

    def test_unknown_engine_holds_nothing(self):
        self.assertEqual(CacheBelief().holding("u", "p", 1e9), Holding.NONE)


class SharedReadingTest(unittest.TestCase):
    """Prompts with the same new part, within the time that it takes to read it."""

    LONG = prompt(17_000, 13_000)

    def test_part_that_is_being_read_is_waited_for(self):
        items = fleet()
        items[0] = candidate("p0", Stage.PREFILL, holding=Holding.READING)
        limit_s = wait_limit_s(items, self.LONG, RATE)
        self.assertGreater(limit_s, 13_000 / RATE)
        self.assertLess(limit_s, 2 * 13_000 / RATE)

    def test_part_behind_a_queue_is_waited_for_longer(self):
        items = fleet()
        items[0] = candidate(
            "p0", Stage.PREFILL, holding=Holding.READING, prompt_tokens=50_000
        )
        self.assertGreater(wait_limit_s(items, self.LONG, RATE), 50_000 / RATE)

    def test_no_wait_where_it_saves_nothing(self):
        items = fleet()
        self.assertEqual(wait_limit_s(items, self.LONG, RATE), 0.0)
        items[0] = candidate("p0", Stage.PREFILL, holding=Holding.READING)
        self.assertEqual(wait_limit_s(items, prompt(1_000, 500), RATE), 0.0)
        items[1] = candidate("p1", Stage.PREFILL, holding=Holding.HELD)
        self.assertEqual(wait_limit_s(items, self.LONG, RATE), 0.0)

    def test_wait_ends_as_soon_as_the_part_is_there(self):
        belief = CacheBelief()
        belief.note("p0", "part", 17_000)
        self.assertLess(self.wait(belief, ready_after_s=0.1), 0.2)

    def test_reading_that_never_ends_is_waited_for_in_bounds(self):
        belief = CacheBelief()
        belief.note("p0", "part", 17_000)
        self.assertLess(self.wait(belief, ready_after_s=9.0), 0.5)

    def wait(self, belief, ready_after_s):
        """Return how long a call waits whose part is ready after some time.

        The clock is simulated, so that the verdict doesn't depend on the machine.
        """
        call = mock.Mock(prompt=self.LONG, remaining_s=lambda: 5.0)
        now = [0.0]

        def find():
            holding = belief.holding("p0", "part", 1e6)
            return [candidate("p0", Stage.PREFILL, holding=holding)]

        async def sleep(seconds):
            now[0] += seconds
            if now[0] >= ready_after_s:
                belief.note("p0", "part", 0, ready=True)

        waiting = wait_for_part(
            call, find, RATE, mock.Mock(), clock=lambda: now[0], sleep=sleep
        )
        curio.run(waiting)
        return now[0]


class ReadingForecastTest(unittest.TestCase):
    """Long prompts beyond what engines read."""

    def test_idle_engine_takes_even_a_late_prompt(self):
        late = ReadingForecast(0.01, 1.0, 0.03, left_s=0.5)
        self.assertFalse(late.is_hopeless)

    def test_late_prompt_is_tried_while_its_caller_is_there(self):
        late = ReadingForecast(1.0, 0.2, 0.03, left_s=2.0)
        self.assertFalse(late.is_hopeless)

    def test_prompt_whose_caller_will_have_left_is_refused_at_once(self):
        forecast = ReadingForecast(3.0, 0.4, 0.03, left_s=2.4)
        self.assertTrue(forecast.is_hopeless)
        doubtful = replace(forecast, queue_s=2.2)
        self.assertFalse(doubtful.is_hopeless)
