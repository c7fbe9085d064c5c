"""Routing: loads corrected for what was sent, near ties spread, prefixes kept."""

import random
import time
import unittest
from unittest import mock

from wisteriaarch.errors import RequestError
from wisteriaarch.event_log import EventLog
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.digest import SentWork
from wisteriaarch.process.load_monitor import LoadMonitor, choose_subset
from wisteriaarch.process.request_limits import RequestLimits
from wisteriaarch.process.sent_request import SentRequest
from wisteriaarch.request.length_prediction import PercentilePredictor
from wisteriaarch.request.request_limiter import RequestLimiter
from wisteriaarch.request.routing import POLL_AGE_MAX_S, Router
from wisteriaarch.request.scoring import PredictedScorer
from wisteriaarch.version.head import Head
from wisteriaarch.version.manifest import GroupSpec
from wisteriaarch.version.publication import ActiveManifest

from .policy_support import (
    STEP_BASE_S,
    STEP_PER_SEQUENCE_S,
    STEP_PER_TOKEN_S,
    learned_speeds,
    make_call,
    make_views,
)

DECISION_TARGET_S = 200e-6


class ListedFleet:
    """Fleet and load board of given views."""

    def __init__(self, views):
        self.by_name = {view.name: view for view in views}

    def get(self, name):
        return self.by_name[name].instance

    def view(self, instance):
        return self.by_name[instance.instance_id]

    def directive(self):
        group = GroupSpec(name="fleet", upstreams=tuple(self.by_name) or ("none",))
        manifest = mock.Mock(groups_by_name={"fleet": group})
        return ActiveManifest(Head(), manifest)


def make_router(fleet, scorer=None, seed=1):
    scorer = scorer or predicted_scorer()
    generator = random.Random(seed)
    limiter = RequestLimiter(RequestLimits(), lambda: 1.0, generator)
    return Router(fleet, fleet, scorer, limiter, mock.Mock(), generator)


def predicted_scorer(**options):
    return PredictedScorer(PercentilePredictor(), "zone-a", **options)


class RoutingTest(unittest.TestCase):
    def choose(self, views, call=None, seed=1, scorer=None):
        fleet = ListedFleet(views)
        router = make_router(fleet, scorer, seed)
        return router.choose(call or make_call(), fleet.directive(), set())

    def test_requests_sent_since_the_report_count(self):
        views = make_views(2)
        for _ in range(6):
            views[0].sent.append(SentRequest(uncached_tokens=500))
        chosen = {self.choose(views, seed=seed).name for seed in range(20)}
        self.assertEqual(chosen, {"engine-1"})

    def test_work_that_peers_have_sent_counts(self):
        views = make_views(2)
        board = LoadMonitor(None, 1.0)
        board.views = {view.name: view for view in views}
        board.replace_peer_work("entry-2", (SentWork("engine-0", 6, 3000),))
        chosen = {self.choose(views, seed=seed).name for seed in range(20)}
        self.assertEqual(chosen, {"engine-1"})
        board.replace_peer_work("entry-2", ())
        chosen = {self.choose(views, seed=seed).name for seed in range(20)}
        self.assertEqual(len(chosen), 2)

    def test_entries_with_the_same_reports_do_not_pick_the_same_engine(self):
        speeds = learned_speeds()
        picks = [self.choose(make_views(8, speeds), seed=s).name for s in range(9)]
        most = max(picks.count(name) for name in picks)
        self.assertLessEqual(most, 4, picks)

    def test_every_engine_of_a_small_fleet_gets_requests(self):
        views = make_views(9)
        chosen = {self.choose(views, seed=seed).name for seed in range(150)}
        self.assertEqual(len(chosen), 9)

    def test_prefix_is_followed_until_load_outweighs_it(self):
        views = make_views(3)
        prompt = "shared prefix " * 600
        first = make_call(prompt + "one")
        chosen = self.choose(views, first)
        with chosen.sending(first.sent_request):
            pass
        again = make_call(prompt + "two")
        names = {self.choose(views, again, seed=s).name for s in range(10)}
        self.assertEqual(names, {chosen.name})
        for _ in range(20):
            chosen.sent.append(SentRequest(uncached_tokens=2000, priority=99))
        self.assertNotEqual(self.choose(views, again).name, chosen.name)

    def test_long_prompts_and_long_outputs_are_separated_until_load_outweighs_it(self):
        views = make_views(6)
        fleet = ListedFleet(views)
        router, directive = make_router(fleet), fleet.directive()
        shapes = {"prompts": ("p" * 12000, 8), "outputs": ("p" * 400, 40)}

        def engines_of(shape):
            prompt, output = shapes[shape]
            calls = [make_call(prompt, max_tokens=output) for _ in range(40)]
            return {router.choose(call, directive, set()).name for call in calls}

        for shape in shapes:
            engines_of(shape)
        prompts, outputs = engines_of("prompts"), engines_of("outputs")
        self.assertLessEqual(len(prompts & outputs), 1, "one engine may be shared")
        self.assertEqual(len(prompts | outputs), 6)
        for name in outputs:
            fleet.by_name[name].sent.extend(SentRequest() for _ in range(200))
        self.assertFalse(engines_of("outputs") & outputs)

    def test_no_upstream_is_an_error(self):
        with self.assertRaises(RequestError):
            views = make_views(1)
            views[0].report = None
            self.choose(views)

    def test_load_reports_are_awaited_if_engines_were_not_polled_recently(self):
        views = make_views(2)
        fleet = ListedFleet(views)
        router, directive, call = make_router(fleet), fleet.directive(), make_call()
        for view in views:
            view.report = None
        self.assertTrue(router.awaits_load_report(call, directive), "never asked")
        for view in views:
            view.poll_started_at_s = now_s()
        self.assertFalse(router.awaits_load_report(call, directive), "asked just now")
        later = ActiveManifest(directive.head, directive.manifest)
        self.assertTrue(router.awaits_load_report(call, later), "another configuration")
        for view in views:
            view.poll_started_at_s = now_s() - 2 * POLL_AGE_MAX_S
        before = ActiveManifest(directive.head, directive.manifest, activated_at_s=0.0)
        self.assertTrue(router.awaits_load_report(call, before), "paused since")

    def test_decision_at_64_candidates_meets_its_target(self):
        fleet = ListedFleet(make_views(64, running=3, prefill=200))
        router, directive = make_router(fleet), fleet.directive()
        router._log = EventLog("entry-1")
        call = make_call("p" * 4000)
        durations = []
        for _ in range(1000):
            started_at = time.perf_counter()
            router.choose(call, directive, set())
            durations.append(time.perf_counter() - started_at)
        self.assertLess(min(durations), DECISION_TARGET_S)


class LearningTest(unittest.TestCase):
    def test_step_time_is_learned_from_counters(self):
        step = learned_speeds().role("mixed").step_time
        self.assertAlmostEqual(step.base_s, STEP_BASE_S, delta=0.003)
        self.assertAlmostEqual(step.per_sequence_s, STEP_PER_SEQUENCE_S, delta=3e-4)
        self.assertAlmostEqual(step.per_token_s, STEP_PER_TOKEN_S, delta=2e-5)

    def test_subset_is_bounded_and_differs_between_entries(self):
        names = tuple(f"engine-{number}" for number in range(200))
        subsets = [choose_subset(f"entry-{n}", names, 16) for n in range(50)]
        self.assertTrue(all(len(set(subset)) == 16 for subset in subsets))
        self.assertEqual(subsets[0], choose_subset("entry-0", names, 16))
        covered = set().union(*subsets)
        self.assertGreater(len(covered), 180)
