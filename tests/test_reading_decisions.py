"""Which parts engines hold, and when long prompts go to them, without I/O."""

import unittest
from dataclasses import replace
from unittest import mock

import curio

from wisteriaarch.process.cache_belief import READING_MAX_S, CacheBelief, Holding
from wisteriaarch.process.upstreams import Stage
from wisteriaarch.request.reading_turn import (
    BACKLOG_S,
    ReadingForecast,
    Turn,
    choose_turn,
)
from wisteriaarch.request.routed_call import PromptPart
from wisteriaarch.request.shared_reading import wait_for_part, wait_limit_s

from .route_support import RATE, candidate, fleet, prompt


class CacheBeliefTest(unittest.TestCase):
    def whole(self, belief, part, capacity):
        return belief.holding("u", [PromptPart(part, 1)], capacity).whole

    def test_least_recently_used_parts_yield(self):
        belief = CacheBelief()
        for number in range(5):
            belief.note("u", [f"p{number}"], 100, ready=True)
        self.assertEqual(self.whole(belief, "p0", 500), Holding.MAYBE)
        self.assertEqual(self.whole(belief, "p4", 500), Holding.HELD)
        belief.note("u", ["p1"], 10)
        self.assertEqual(self.whole(belief, "p1", 500), Holding.HELD)

    def test_part_is_held_once_it_was_read(self):
        now = [0.0]
        belief = CacheBelief(lambda: now[0])
        belief.note("u", ["p"], 100)
        self.assertEqual(self.whole(belief, "p", 500), Holding.READING)
        now[0] = 2 * READING_MAX_S
        self.assertEqual(self.whole(belief, "p", 500), Holding.MAYBE)
        belief.note("u", ["p"], 0, ready=True)
        self.assertEqual(self.whole(belief, "p", 500), Holding.HELD)

    def test_chain_is_held_as_far_as_all_parts_before_are(self):
        """Load: four parts that every prompt begins with, then one of a thousand."""
        belief = CacheBelief()
        belief.note("u", ["system", "shop-1"], 9_000, ready=True)
        belief.note("u", ["system", "shop-2"], 3_000)
        system = PromptPart("system", 2_500)
        for shop, whole, held in (
            ("shop-1", Holding.HELD, 6_300),
            ("shop-2", Holding.READING, 2_500),
            ("shop-3", Holding.NONE, 2_500),
        ):
            with self.subTest(shop=shop):
                found = belief.holding("u", [system, PromptPart(shop, 3_800)], 1e6)
                self.assertEqual((found.whole, found.held_tokens), (whole, held))
        other = belief.holding(
            "u", [PromptPart("other", 2_500), PromptPart("shop-1", 3_800)], 1e6
        )
        self.assertEqual((other.whole, other.held_tokens), (Holding.NONE, 0))

    def test_restarted_engine_holds_nothing(self):
        belief = CacheBelief()
        belief.note("u", ["p"], 10, ready=True)
        belief.forget("u")
        self.assertEqual(self.whole(belief, "p", 1e9), Holding.NONE)

    def test_unknown_engine_holds_nothing(self):
        self.assertEqual(self.whole(CacheBelief(), "p", 1e9), Holding.NONE)


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
        belief.note("p0", ["part"], 17_000)
        self.assertLess(self.wait(belief, ready_after_s=0.1), 0.2)

    def test_reading_that_never_ends_is_waited_for_in_bounds(self):
        belief = CacheBelief()
        belief.note("p0", ["part"], 17_000)
        self.assertLess(self.wait(belief, ready_after_s=9.0), 0.5)

    def wait(self, belief, ready_after_s):
        """Return how long a call waits whose part is ready after some time.

        The clock is simulated, so that the verdict doesn't depend on the machine.
        """
        call = mock.Mock(prompt=self.LONG, remaining_s=lambda: 5.0)
        now = [0.0]

        def find():
            holding = belief.holding("p0", [PromptPart("part", 1)], 1e6).whole
            return [candidate("p0", Stage.PREFILL, holding=holding)]

        async def sleep(seconds):
            now[0] += seconds
            if now[0] >= ready_after_s:
                belief.note("p0", ["part"], 0, ready=True)

        waiting = wait_for_part(
            call, find(), find, RATE, mock.Mock(), clock=lambda: now[0], sleep=sleep
        )
        curio.run(waiting)
        return now[0]


class ReadingTurnTest(unittest.TestCase):
    """A burst of long prompts beyond what engines read, then a calmer load."""

    READING_S = 0.1
    AIM_S = 0.6
    PATIENCE_S = 2.4
    STEP_S = 0.02

    def test_prompts_that_can_be_in_time_do_not_queue_behind_late_ones(self):
        arrivals = self.arrivals()
        at_once = self.play(arrivals, lambda _forecast: Turn.IN_TIME)
        in_turn = self.play(arrivals, choose_turn)
        aim_s = self.AIM_S + self.STEP_S
        in_time = [sum(wait <= aim_s for wait in run) for run in (at_once, in_turn)]
        self.assertGreater(in_time[1], 1.3 * in_time[0])
        self.assertLess(max(in_turn), self.PATIENCE_S)

    def test_idle_engine_takes_even_a_late_prompt(self):
        late = ReadingForecast(0.01, 1.0, 0.03, aim_left_s=-1.0, left_s=9.0)
        self.assertEqual(choose_turn(late), Turn.IDLE_ENGINE)

    def test_engine_with_enough_to_read_takes_no_prompt(self):
        timely = ReadingForecast(2 * BACKLOG_S, 0.1, 0.03, aim_left_s=0.6, left_s=2.4)
        self.assertEqual(choose_turn(timely), Turn.LATER)
        soon = replace(timely, queue_s=0.5 * BACKLOG_S)
        self.assertEqual(choose_turn(soon), Turn.IN_TIME)

    def test_prompt_whose_caller_will_have_left_is_refused_at_once(self):
        forecast = ReadingForecast(0.4, 3.2, 0.03, aim_left_s=0.6, left_s=2.4)
        self.assertEqual(choose_turn(forecast), Turn.HOPELESS)
        doubtful = replace(forecast, reading_s=2.6)
        self.assertEqual(choose_turn(doubtful), Turn.LATER)

    def arrivals(self):
        """12.5 prompts a second for 4 s, then 9 a second; the engine reads 10."""
        burst = [number / 12.5 for number in range(50)]
        calm = [4.0 + number / 9.0 for number in range(90)]
        return burst + calm

    def play(self, arrivals, choose):
        """Return how long each prompt waits until one engine has read it."""
        waits, waiting, free_at_s, now = [], [], 0.0, 0.0
        arrivals = list(arrivals)
        while arrivals or waiting:
            while arrivals and arrivals[0] <= now:
                waiting.append(arrivals.pop(0))
            for arrived_at_s in reversed(waiting[:]):
                elapsed_s = now - arrived_at_s
                queue_s = max(0.0, free_at_s - now)
                forecast = ReadingForecast(
                    queue_s,
                    self.READING_S,
                    0.0,
                    self.AIM_S - elapsed_s,
                    self.PATIENCE_S - elapsed_s,
                )
                turn = choose(forecast)
                if turn is Turn.LATER and forecast.left_s < self.READING_S:
                    # Its time is over: the queue refuses it.
                    waiting.remove(arrived_at_s)
                elif turn is not Turn.LATER:
                    waiting.remove(arrived_at_s)
                    free_at_s = max(now, free_at_s) + self.READING_S
                    waits.append(free_at_s - arrived_at_s)
            now += self.STEP_S
        return waits
