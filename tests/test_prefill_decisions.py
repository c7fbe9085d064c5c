"""Cached prefix blocks and dispatch of long prompts, without I/O."""

import unittest
from dataclasses import replace
from unittest import mock

import curio

from wisteriaarch.process.prefix_cache_index import (
    PREFILL_MAX_S,
    CacheState,
    PrefixCacheIndex,
)
from wisteriaarch.process.upstreams import Stage
from wisteriaarch.request.prefill_dispatch import (
    ENGINE_BACKLOG_MAX_S,
    Dispatch,
    PrefillForecast,
    choose_dispatch,
)
from wisteriaarch.request.routed_call import PromptBlock
from wisteriaarch.request.shared_prefill import wait_for_prefix, wait_limit_s

from .route_support import RATE, candidate, fleet, prompt


class PrefixCacheIndexTest(unittest.TestCase):
    def whole(self, index, part, capacity):
        return index.prefix_state("u", [PromptBlock(part, 1)], capacity).state

    def test_least_recently_used_blocks_are_evicted(self):
        index = PrefixCacheIndex()
        for number in range(5):
            index.record_use("u", [f"p{number}"], 100, prefilled=True)
        self.assertEqual(self.whole(index, "p0", 500), CacheState.MAYBE)
        self.assertEqual(self.whole(index, "p4", 500), CacheState.HELD)
        index.record_use("u", ["p1"], 10)
        self.assertEqual(self.whole(index, "p1", 500), CacheState.HELD)

    def test_block_is_cached_after_its_prefill(self):
        now = [0.0]
        index = PrefixCacheIndex(lambda: now[0])
        index.record_use("u", ["p"], 100)
        self.assertEqual(self.whole(index, "p", 500), CacheState.READING)
        now[0] = 2 * PREFILL_MAX_S
        self.assertEqual(self.whole(index, "p", 500), CacheState.MAYBE)
        index.record_use("u", ["p"], 0, prefilled=True)
        self.assertEqual(self.whole(index, "p", 500), CacheState.HELD)

    def test_prefix_is_cached_up_to_its_first_missing_block(self):
        """Prompts share their first four blocks; the next one is one of a thousand."""
        index = PrefixCacheIndex()
        index.record_use("u", ["system", "shop-1"], 9_000, prefilled=True)
        index.record_use("u", ["system", "shop-2"], 3_000)
        system = PromptBlock("system", 2_500)
        for shop, whole, held in (
            ("shop-1", CacheState.HELD, 6_300),
            ("shop-2", CacheState.READING, 2_500),
            ("shop-3", CacheState.NONE, 2_500),
        ):
            with self.subTest(shop=shop):
                found = index.prefix_state("u", [system, PromptBlock(shop, 3_800)], 1e6)
                self.assertEqual((found.state, found.cached_tokens), (whole, held))
        other = index.prefix_state(
            "u", [PromptBlock("other", 2_500), PromptBlock("shop-1", 3_800)], 1e6
        )
        self.assertEqual((other.state, other.cached_tokens), (CacheState.NONE, 0))

    def test_restarted_engine_has_an_empty_cache(self):
        index = PrefixCacheIndex()
        index.record_use("u", ["p"], 10, prefilled=True)
        index.discard("u")
        self.assertEqual(self.whole(index, "p", 1e9), CacheState.NONE)

    def test_unknown_engine_has_an_empty_cache(self):
        self.assertEqual(self.whole(PrefixCacheIndex(), "p", 1e9), CacheState.NONE)


class SharedPrefillTest(unittest.TestCase):
    """Prompts with the same new prefix arrive while it is being prefilled."""

    LONG = prompt(17_000, 13_000)

    def test_prefix_in_prefill_is_waited_for(self):
        items = fleet()
        items[0] = candidate("p0", Stage.PREFILL, cache_state=CacheState.READING)
        limit_s = wait_limit_s(items, self.LONG, RATE)
        self.assertGreater(limit_s, 13_000 / RATE)
        self.assertLess(limit_s, 2 * 13_000 / RATE)

    def test_queued_prefix_is_waited_for_longer(self):
        items = fleet()
        items[0] = candidate(
            "p0", Stage.PREFILL, cache_state=CacheState.READING, prompt_tokens=50_000
        )
        self.assertGreater(wait_limit_s(items, self.LONG, RATE), 50_000 / RATE)

    def test_no_wait_if_it_saves_no_prefill(self):
        items = fleet()
        self.assertEqual(wait_limit_s(items, self.LONG, RATE), 0.0)
        items[0] = candidate("p0", Stage.PREFILL, cache_state=CacheState.READING)
        self.assertEqual(wait_limit_s(items, prompt(1_000, 500), RATE), 0.0)
        items[1] = candidate("p1", Stage.PREFILL, cache_state=CacheState.HELD)
        self.assertEqual(wait_limit_s(items, self.LONG, RATE), 0.0)

    def test_wait_ends_when_the_prefix_is_cached(self):
        index = PrefixCacheIndex()
        index.record_use("p0", ["part"], 17_000)
        self.assertLess(self.wait(index, ready_after_s=0.1), 0.2)

    def test_wait_for_an_endless_prefill_is_bounded(self):
        index = PrefixCacheIndex()
        index.record_use("p0", ["part"], 17_000)
        self.assertLess(self.wait(index, ready_after_s=9.0), 0.5)

    def wait(self, index, ready_after_s):
        """Return how long a call waits whose prefix is cached after some time.

        The clock is simulated, so that the verdict doesn't depend on the machine.
        """
        call = mock.Mock(prompt=self.LONG, remaining_s=lambda: 5.0)
        now = [0.0]

        def find():
            state = index.prefix_state("p0", [PromptBlock("part", 1)], 1e6).state
            return [candidate("p0", Stage.PREFILL, cache_state=state)]

        async def sleep(seconds):
            now[0] += seconds
            if now[0] >= ready_after_s:
                index.record_use("p0", ["part"], 0, prefilled=True)

        waiting = wait_for_prefix(
            call, find(), find, RATE, mock.Mock(), clock=lambda: now[0], sleep=sleep
        )
        curio.run(waiting)
        return now[0]


class PrefillDispatchTest(unittest.TestCase):
    """A burst of long prompts beyond the prefill capacity, then less load."""

    READING_S = 0.1
    AIM_S = 0.6
    PATIENCE_S = 2.4
    STEP_S = 0.02

    def test_prompts_within_their_objective_do_not_queue_behind_overdue_ones(self):
        arrivals = self.arrivals()
        at_once = self.play(arrivals, lambda _forecast: Dispatch.ON_TIME)
        in_turn = self.play(arrivals, choose_dispatch)
        aim_s = self.AIM_S + self.STEP_S
        in_time = [sum(wait <= aim_s for wait in run) for run in (at_once, in_turn)]
        self.assertGreater(in_time[1], 1.3 * in_time[0])
        self.assertLess(max(in_turn), self.PATIENCE_S)

    def test_idle_engine_gets_an_overdue_prompt(self):
        late = PrefillForecast(
            0.01, 1.0, 0.03, objective_left_s=-1.0, deadline_left_s=9.0
        )
        self.assertEqual(choose_dispatch(late), Dispatch.IDLE_ENGINE)

    def test_engine_with_a_backlog_gets_no_prompt(self):
        timely = PrefillForecast(
            2 * ENGINE_BACKLOG_MAX_S,
            0.1,
            0.03,
            objective_left_s=0.6,
            deadline_left_s=2.4,
        )
        self.assertEqual(choose_dispatch(timely), Dispatch.QUEUE)
        soon = replace(timely, engine_queue_s=0.5 * ENGINE_BACKLOG_MAX_S)
        self.assertEqual(choose_dispatch(soon), Dispatch.ON_TIME)

    def test_prompt_that_misses_its_deadline_is_refused_at_once(self):
        forecast = PrefillForecast(
            0.4, 3.2, 0.03, objective_left_s=0.6, deadline_left_s=2.4
        )
        self.assertEqual(choose_dispatch(forecast), Dispatch.UNSERVABLE)
        doubtful = replace(forecast, prefill_s=2.6)
        self.assertEqual(choose_dispatch(doubtful), Dispatch.QUEUE)

    def arrivals(self):
        """12.5 prompts a second for 4 s, then 9; the engine prefills 10 a second."""
        burst = [number / 12.5 for number in range(50)]
        calm = [4.0 + number / 9.0 for number in range(90)]
        return burst + calm

    def play(self, arrivals, choose):
        """Return how long each prompt waits until one engine has prefilled it."""
        waits, waiting, free_at_s, now = [], [], 0.0, 0.0
        arrivals = list(arrivals)
        while arrivals or waiting:
            while arrivals and arrivals[0] <= now:
                waiting.append(arrivals.pop(0))
            for arrived_at_s in reversed(waiting[:]):
                elapsed_s = now - arrived_at_s
                queue_s = max(0.0, free_at_s - now)
                forecast = PrefillForecast(
                    queue_s,
                    self.READING_S,
                    0.0,
                    self.AIM_S - elapsed_s,
                    self.PATIENCE_S - elapsed_s,
                )
                turn = choose(forecast)
                if turn is Dispatch.QUEUE and forecast.deadline_left_s < self.READING_S:
                    # Its time is over: the queue refuses it.
                    waiting.remove(arrived_at_s)
                elif turn is not Dispatch.QUEUE:
                    waiting.remove(arrived_at_s)
                    free_at_s = max(now, free_at_s) + self.READING_S
                    waits.append(free_at_s - arrived_at_s)
            now += self.STEP_S
        return waits
