"""Placement of calls and of prefill, without I/O."""

import random
import unittest
from dataclasses import replace
from unittest import mock

from wisteriaarch.process.fleet_estimates import FleetEstimates
from wisteriaarch.process.prefix_cache_index import CacheState
from wisteriaarch.process.stage_utilization import StageUtilization
from wisteriaarch.process.upstreams import Stage, UpstreamRegistry
from wisteriaarch.request.attempt_timeouts import prefill_timeout_s
from wisteriaarch.request.candidate import (
    Candidate,
    find_owner,
    normalize_slowdowns,
)
from wisteriaarch.request.candidate_finder import CandidateFinder
from wisteriaarch.request.placement import (
    place_decode,
    place_prefill,
    place_service_call,
)
from wisteriaarch.request.request_limiter import RequestLimiter
from wisteriaarch.request.stage_plan import FleetLoad, plan_stages
from wisteriaarch.request.urgency import urgency_of

from .route_support import RATE, candidate, fleet, prompt, upstream

CALM = FleetLoad(RATE)


class ServicePlacementTest(unittest.TestCase):
    def test_slow_and_failing_upstreams_get_less(self):
        slow = candidate("a", slowdown=5.0)
        failing = candidate("b", failure_rate=0.5)
        loaded = candidate("c", requests=6)
        choice = place_service_call([slow, failing, loaded], "z1")
        self.assertEqual(choice.candidate, loaded)

    def test_suspended_one_is_the_last_resort(self):
        suspended = candidate("a", is_suspended=True)
        self.assertEqual(place_service_call([suspended], "z1").candidate, suspended)
        full = candidate("b", is_overloaded=True, requests=30)
        self.assertEqual(place_service_call([suspended, full], "z1").candidate, full)

    def test_own_zone_goes_before_an_equal_one(self):
        items = [candidate("a", zone="z2"), candidate("b", zone="z1")]
        self.assertEqual(place_service_call(items, "z1").candidate, items[1])

    def test_no_upstream(self):
        self.assertIsNone(place_service_call([], "z1"))


class CandidateFinderTest(unittest.TestCase):
    """At peak load a call may have tried all of a few decode engines."""

    def setUp(self):
        log = mock.Mock()
        registry = UpstreamRegistry(lambda: None, log)
        registry.update([upstream("p", Stage.PREFILL), upstream("d", Stage.DECODE)])
        estimates = FleetEstimates.from_registry(registry)
        limiter = RequestLimiter(estimates.limits, lambda: 1.0, random.Random(1))
        self.finder = CandidateFinder(estimates, lambda: None, limiter)

    def find(self, *tried):
        call = mock.Mock(service="s", prompt=None, tried_upstreams=set(tried))
        found = self.finder.current(call)
        return {item.upstream.upstream_id for item in found}

    def test_tried_upstream_is_excluded_while_another_can_run_the_call(self):
        self.assertEqual(self.find("p"), {"d"})

    def test_tried_upstream_is_used_again_if_no_other_can_run_the_call(self):
        self.assertEqual(self.find("d"), {"p", "d"})


class PrefillTimeoutTest(unittest.TestCase):
    """A prefill engine stops responding while prompts are in flight."""

    def wait_max_s(self, predicted_s, left_s=6.0, repeats=5):
        call = mock.Mock(remaining_s=lambda: left_s)
        return prefill_timeout_s(call, predicted_s, repeats)

    def test_timeout_leaves_time_to_prefill_on_another_engine(self):
        self.assertLess(self.wait_max_s(0.4), 1.5)

    def test_timeout_includes_the_engine_queue(self):
        self.assertGreater(self.wait_max_s(1.5), 3.0)

    def test_no_timeout_if_the_prefill_can_not_be_retried(self):
        self.assertEqual(self.wait_max_s(0.4, repeats=0), 6.0)
        self.assertEqual(self.wait_max_s(0.4, left_s=1.5), 1.5)


class StagePlanTest(unittest.TestCase):
    def test_short_prompt_does_not_queue_behind_long_ones(self):
        items = [
            candidate("p0", Stage.PREFILL, prompt_tokens=40_000),
            candidate("d0", Stage.DECODE, requests=4),
        ]
        plan = plan_stages(items, prompt(300), CALM, "z1", 0.15)
        self.assertIsNone(plan.prefill)
        self.assertEqual(plan.decode.candidate.upstream.upstream_id, "d0")

    def test_long_prompt_is_disaggregated_at_low_load(self):
        plan = plan_stages(fleet(), prompt(9000), CALM, "z1", 0.15)
        self.assertIsNotNone(plan.prefill)

    def test_short_prompts_leave_a_busy_decode_stage(self):
        busy = FleetLoad(RATE, prefill_utilization=0.1, decode_utilization=0.9)
        plan = plan_stages(fleet(), prompt(600), busy, "z1", 0.15)
        self.assertIsNotNone(plan.prefill)

    def test_queued_prompts_count_against_disaggregated_prefill(self):
        """Prefill engines have a short backlog while prompts are queued."""
        calm = plan_stages(fleet(), prompt(1900), CALM, "z1", 0.15)
        self.assertIsNotNone(calm.prefill)
        queued = FleetLoad(RATE, queue_wait_s=0.5)
        plan = plan_stages(fleet(), prompt(1900), queued, "z1", 0.15)
        self.assertIsNone(plan.prefill)

    def test_direct_prefill_fits_into_the_pause_of_streams(self):
        items = [
            candidate("p0", Stage.PREFILL, prompt_tokens=400_000),
            candidate("d0", Stage.DECODE),
        ]
        plan = plan_stages(items, prompt(9000), CALM, "z1", 0.15)
        self.assertIsNotNone(plan.prefill)
        plan = plan_stages(items, prompt(9000), CALM, "z1", None)
        self.assertIsNone(plan.prefill)

    def test_plan_without_engines_of_one_stage(self):
        decodes = [item for item in fleet() if item.upstream.stage is Stage.DECODE]
        self.assertIsNone(plan_stages(decodes, prompt(9000), CALM, "z1", 0.15).prefill)
        plan = plan_stages([], prompt(9000), CALM, "z1", 0.15)
        self.assertIsNone(plan.prefill)
        self.assertIsNone(plan.decode)

    def test_nothing_is_prefilled_without_a_decode_engine(self):
        prefills = [item for item in fleet() if item.upstream.stage is Stage.PREFILL]
        plan = plan_stages(prefills, prompt(9000), CALM, "z1", 0.15)
        self.assertIsNone(plan.prefill)
        self.assertIsNone(plan.decode)

    def test_shared_prefix_is_copied_from_an_engine_that_has_it_cached(self):
        items = fleet()
        items[3] = candidate("d1", Stage.DECODE, cache_state=CacheState.HELD)
        plan = plan_stages(items, prompt(17_000, 13_000), CALM, "z1", 0.15)
        self.assertEqual(plan.prefill.fetch_from.upstream_id, "d1")

    def test_prefix_is_copied_from_the_engine_with_most_of_it(self):
        """All engines have the first block of every prompt cached."""
        items = [replace(item, cached_prefix_tokens=2_500) for item in fleet()]
        items[3] = replace(items[3], cache_state=CacheState.HELD)
        plan = plan_stages(items, prompt(9_200, 6_300), CALM, "z1", 0.15)
        self.assertEqual(plan.prefill.fetch_from.upstream_id, "d1")
        few = [replace(item, cached_prefix_tokens=2_500) for item in fleet()]
        plan = plan_stages(few, prompt(9_200, 6_300), CALM, "z1", 0.15)
        self.assertIsNone(plan.prefill.fetch_from)
        self.assertEqual(plan.prefill.prefill_tokens, 9_200 - 2_500)

    def test_engine_with_the_prefix_prefills_unless_its_queue_is_long(self):
        holder = candidate("p0", Stage.PREFILL, cache_state=CacheState.HELD)
        idle = candidate("p1", Stage.PREFILL)
        long = prompt(17_000, 13_000)
        self.assertEqual(
            place_prefill([holder, idle], long, RATE, "z1").candidate, holder
        )
        queued = candidate(
            "p0", Stage.PREFILL, cache_state=CacheState.HELD, prompt_tokens=60_000
        )
        choice = place_prefill([queued, idle], long, RATE, "z1", 13_000)
        self.assertEqual(choice.candidate, idle)

    def test_prompts_with_one_prefix_are_decoded_together_until_the_engine_is_full(
        self,
    ):
        home = candidate("d0", Stage.DECODE, requests=4, cache_state=CacheState.HELD)
        other = candidate("d1", Stage.DECODE)
        long = prompt(17_000, 13_000)
        self.assertEqual(place_decode([home, other], long, RATE, "z1").candidate, home)
        full = candidate("d0", Stage.DECODE, requests=8, cache_state=CacheState.HELD)
        self.assertEqual(place_decode([full, other], long, RATE, "z1").candidate, other)

    def test_owners_are_spread_and_move_only_with_their_engine(self):
        items = fleet(prefills=0, decodes=6)
        parts = [f"part-{number}" for number in range(300)]
        homes = {part: find_owner(part, items) for part in parts}
        self.assertEqual(len(set(homes.values())), 6)
        fewer = items[1:]
        moved = [
            part
            for part in parts
            if homes[part] != "d0" and find_owner(part, fewer) != homes[part]
        ]
        self.assertEqual(moved, [])


class SoftwareVersionTest(unittest.TestCase):
    """KV caches never pass between engines of different software versions."""

    def fleet(self, *specs):
        return [
            Candidate(replace(upstream(name, stage), software=software), **more)
            for name, stage, software, more in specs
        ]

    def test_prompt_is_prefilled_where_its_version_decodes(self):
        items = self.fleet(
            ("p1", Stage.PREFILL, "v1", {"prompt_tokens": 9_000}),
            ("p2", Stage.PREFILL, "v2", {}),
            ("d1", Stage.DECODE, "v1", {}),
        )
        plan = plan_stages(items, prompt(9000), CALM, "z1", 0.15)
        self.assertEqual(plan.prefill.candidate.upstream.upstream_id, "p1")
        self.assertEqual(plan.decode.candidate.upstream.upstream_id, "d1")

    def test_prefix_is_copied_within_a_version(self):
        cached = {"cache_state": CacheState.HELD}
        items = self.fleet(
            ("p1", Stage.PREFILL, "v1", {}),
            ("d1", Stage.DECODE, "v1", {}),
            ("p2", Stage.PREFILL, "v2", cached | {"prompt_tokens": 900_000}),
            ("d2", Stage.DECODE, "v2", cached | {"requests": 80}),
        )
        plan = plan_stages(items, prompt(9000, 8000), CALM, "z1", 0.15)
        self.assertEqual(plan.prefill.candidate.upstream.upstream_id, "p1")
        self.assertIsNone(plan.prefill.fetch_from)

    def test_version_without_a_prefill_stage_is_used_where_it_is_sooner(self):
        items = self.fleet(
            ("p1", Stage.PREFILL, "v1", {"prompt_tokens": 400_000}),
            ("d1", Stage.DECODE, "v1", {"requests": 8}),
            ("d2", Stage.DECODE, "v2", {}),
        )
        plan = plan_stages(items, prompt(9000), CALM, "z1", 0.15)
        self.assertIsNone(plan.prefill)
        self.assertEqual(plan.decode.candidate.upstream.upstream_id, "d2")


class RelativeSlowdownTest(unittest.TestCase):
    def test_peak_load_marks_no_upstream_as_slow(self):
        items = [candidate("a", slowdown=4.0), candidate("b", slowdown=5.0)]
        items += [candidate("p", Stage.PREFILL, slowdown=1.0)]
        paces = [item.slowdown for item in normalize_slowdowns(items)]
        self.assertEqual(paces, [1.0, 1.25, 1.0])

    def test_fast_upstream_does_not_mark_the_others_as_slow(self):
        items = [candidate("a", slowdown=0.5), candidate("b", slowdown=1.0)]
        self.assertEqual(
            [item.slowdown for item in normalize_slowdowns(items)], [0.5, 1.0]
        )


class UrgencyTest(unittest.TestCase):
    def test_shorter_prefill_is_never_less_urgent(self):
        levels = [urgency_of(tokens) for tokens in range(0, 200_000, 500)]
        self.assertEqual(levels, sorted(levels))
        self.assertGreaterEqual(min(levels), 0)
        self.assertLessEqual(max(levels), 9)


class UtilizationTest(unittest.TestCase):
    def test_utilization_follows_the_mix_within_a_second(self):
        now = [0.0]
        busy = StageUtilization(lambda: now[0])
        for _ in range(20):
            now[0] += 0.05
            busy.record_prefill("s", Stage.DECODE, 0.01)
        self.assertGreater(busy.utilization("s", Stage.DECODE, 3), 0.035)
        self.assertEqual(busy.utilization("s", Stage.PREFILL, 3), 0.0)
        now[0] += 2.0
        self.assertLess(busy.utilization("s", Stage.DECODE, 3), 0.01)

    def test_placed_work_counts_once_and_decays(self):
        now = [0.0]
        busy = StageUtilization(lambda: now[0])
        for _ in range(2):
            busy.record_prefill("s", Stage.PREFILL, 0.9)
        self.assertAlmostEqual(busy.engines_needed("s", Stage.PREFILL), 1.8)
        now[0] = 20.0
        self.assertAlmostEqual(busy.engines_needed("s", Stage.PREFILL), 0.0)

    def test_utilization_is_kept_by_service(self):
        """One service gets long prompts while another one is idle."""
        busy = StageUtilization(lambda: 0.0)
        busy.record_prefill("s", Stage.PREFILL, 0.9)
        busy.record_prefill("t", Stage.DECODE, 0.1)
        self.assertAlmostEqual(busy.engines_needed("s", Stage.PREFILL), 0.9)
        self.assertEqual(busy.engines_needed("t", Stage.PREFILL), 0.0)
        self.assertAlmostEqual(busy.engines_needed("t", Stage.DECODE), 0.1)

    def test_utilization_is_bounded(self):
        busy = StageUtilization(lambda: 0.0)
        busy.record_prefill("s", Stage.PREFILL, 100.0)
        self.assertLess(busy.utilization("s", Stage.PREFILL, 0), 1.0)
