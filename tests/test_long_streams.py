"""Long streams keep pace beside the prefill of long prompts on engines of two speeds.

Load: a few streams that last for seconds, among many long prompts with short outputs.
"""

import unittest

from wisteriaarch.process.upstream_loads import UpstreamLoad, UpstreamLoads
from wisteriaarch.process.upstreams import Stage
from wisteriaarch.request.answer_relay import EventTimes
from wisteriaarch.request.placement import place_decode, place_direct
from wisteriaarch.request.routed_call import Prompt, PromptBlock
from wisteriaarch.request.stage_plan import FleetLoad, plan_stages

from .route_support import RATE, candidate, prompt

SLOTS = 8


def engine(name, **more):
    return candidate(name, Stage.DECODE, **more)


def stream(tokens=150) -> Prompt:
    return Prompt(tokens, 15_000, (PromptBlock("own", tokens),))


class LongStreamPlacementTest(unittest.TestCase):
    def test_long_stream_avoids_engines_that_produce_tokens_slowly(self):
        """Guards against pauses over the limit while faster engines have free slots."""
        slow = engine("slow", pause_share=0.45)
        fast = engine("fast", pause_share=0.2, requests=SLOTS // 2)
        for place in (place_direct, place_decode):
            with self.subTest(place=place.__name__):
                choice = place([slow, fast], stream(), RATE, "z1")
                self.assertEqual(choice.candidate, fast)

    def test_long_stream_uses_a_slow_engine_once_fast_ones_are_full(self):
        """Guards against streams that wait for the end of others for seconds."""
        full = engine("fast", pause_share=0.2, requests=SLOTS)
        for pause_share in (0.45, 0.9):
            slow = engine("slow", pause_share=pause_share)
            choice = place_direct([slow, full], stream(), RATE, "z1")
            self.assertEqual(choice.candidate, slow)

    def test_long_prompt_avoids_engines_with_long_streams(self):
        """Guards against prompts that stretch the pauses of several streams."""
        streaming = engine("streaming", long_streams=4)
        queued = engine("queued", prompt_tokens=4_000)
        choice = place_direct([streaming, queued], prompt(4_000), RATE, "z1")
        self.assertEqual(choice.candidate, queued)

    def test_short_prompt_is_not_kept_from_engines_with_long_streams(self):
        streaming = engine("streaming", long_streams=4)
        queued = engine("queued", prompt_tokens=4_000)
        choice = place_direct([streaming, queued], prompt(300), RATE, "z1")
        self.assertEqual(choice.candidate, streaming)

    def test_pauses_do_not_decide_where_a_stream_is_prefilled(self):
        """Guards against disaggregation of every stream while all engines are slow."""
        items = [
            candidate("p0", Stage.PREFILL),
            engine("d0", pause_share=0.6),
            engine("d1", pause_share=0.6),
        ]
        plan = plan_stages(items, stream(), FleetLoad(RATE), "z1", 0.15)
        self.assertIsNone(plan.prefill)


class EventIntervalTest(unittest.TestCase):
    def test_interval_is_the_mean_between_the_events_of_one_attempt(self):
        times = EventTimes()
        self.assertIsNone(times.mean_interval_s)
        for at_s in (5.0, 5.1, 5.4):
            times.record(at_s)
        self.assertAlmostEqual(times.mean_interval_s, 0.2)

    def test_first_interval_counts_in_full(self):
        """Guards against a new engine that counts as fast for many streams."""
        load = UpstreamLoad()
        load.observe_event_interval(0.08)
        self.assertAlmostEqual(load.event_interval_s, 0.08)
        load.observe_event_interval(0.18)
        self.assertAlmostEqual(load.event_interval_s, 0.09)

    def test_long_streams_are_counted_until_their_end(self):
        loads = UpstreamLoads()
        with loads.sending("d0", 100, is_long_stream=True):
            self.assertEqual(loads.of("d0").long_streams, 1)
        self.assertEqual(loads.of("d0").long_streams, 0)


if __name__ == "__main__":
    unittest.main()
