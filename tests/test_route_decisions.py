"""Repeats, health, loads and crashes on routes, without I/O."""

import unittest
from dataclasses import replace
from unittest import mock

from wisteriaarch.errors import Ran
from wisteriaarch.gateway import Gateway
from wisteriaarch.platform.adapter import Platform
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.fleet_estimates import FleetEstimates
from wisteriaarch.process.gateway_settings import GatewaySettings
from wisteriaarch.process.reported_slowdown import ReportedSlowdown
from wisteriaarch.process.upstream_health import SUSPEND_MIN_S, UpstreamHealth
from wisteriaarch.process.upstream_loads import (
    REPORT_RETENTION_S,
    ReportedLoad,
    Slowdown,
    UpstreamLoads,
)
from wisteriaarch.process.upstreams import UpstreamRegistry
from wisteriaarch.request.attempt_failures import (
    RAN_BY_REASON,
    AttemptFailed,
    FailureReason,
    combine_ran,
)
from wisteriaarch.request.attempt_outcome import AttemptOutcome, AttemptStage
from wisteriaarch.request.candidate import Candidate, Choice
from wisteriaarch.request.estimate_updater import EstimateUpdater
from wisteriaarch.request.event_stream import EventFramer
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.request.shared_retry_budget import (
    ENTRY_SHARE,
    SCHEDULER_SHARE,
    SharedRetryBudget,
)
from wisteriaarch.version.route_table import CallKind, Route

from .route_support import upstream


class RetryShareTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0

    def share(self, entries=5):
        return SharedRetryBudget(0.2, 50, 10.0, lambda: entries, lambda: self.now)

    def taken(self, share, times=1000) -> int:
        return sum(share.try_acquire("s") for _ in range(times))

    def test_entries_together_stay_below_the_bound(self):
        shares = [self.share() for _ in range(5)]
        for share in shares:
            for _ in range(40):
                share.record_request("s")
        total = sum(self.taken(share) for share in shares)
        self.assertLessEqual(total, 0.9 * (0.2 * 200 + 50))
        self.assertGreater(total, 0.5 * (0.2 * 200 + 50))

    def test_window_slides(self):
        share = self.share()
        used = self.taken(share)
        self.now = 9.9
        self.assertFalse(share.try_acquire("s"))
        self.now = 10.1
        self.assertEqual(self.taken(share), used)

    def test_entries_without_known_peers_share_the_slack(self):
        """All entries start while their service fails and the store is unavailable."""
        hosts = tuple(f"10.0.0.{number}" for number in range(1, 6))
        total = sum(
            self.taken(self.starting(host, hosts)._scheduling.retry_budget)
            for host in hosts
        )
        self.assertLessEqual(total, 50)
        self.assertGreater(total, 25)

    def starting(self, host, hosts) -> Gateway:
        """Return an entry that has reached neither the store nor a peer yet."""
        settings = GatewaySettings(
            entry_id=host,
            zone="z1",
            front=f"{host}:80",
            ready=f"{host}:81",
            directory=f"{host}:82",
            store="10.0.1.1:80",
            peer_port=83,
            seeds=tuple(f"{seed}:83" for seed in hosts),
        )
        return Gateway(settings, Platform(settings.store.address()))

    def test_each_repeated_prefill_uses_a_retry(self):
        share = self.share()
        left = share.remaining("s")
        self.assertTrue(share.try_acquire_prefill("s", 0))
        self.assertEqual(share.remaining("s"), left)
        self.assertTrue(share.try_acquire_prefill("s", 1))
        self.assertEqual(share.remaining("s"), left - 1)
        self.taken(share)
        self.assertFalse(share.try_acquire_prefill("s", 1))
        self.assertTrue(share.try_acquire_prefill("s", 0))

    def scheduler(self):
        return SharedRetryBudget(
            0.2,
            50,
            10.0,
            lambda: 1,
            lambda: self.now,
            share=lambda: SCHEDULER_SHARE,
            ramps_up=True,
        )

    def test_successive_schedulers_stay_below_the_bound(self):
        """195 entries lose the scheduler of a failing service."""
        requests = 400
        first, second = self.scheduler(), self.scheduler()
        unscheduled = [
            SharedRetryBudget(
                0.2, 50, 10.0, lambda: 195, lambda: self.now, lambda: ENTRY_SHARE
            )
            for _ in range(195)
        ]
        taken = 0
        for number in range(requests):
            self.now = number * 9.9 / requests
            share = first if self.now < 5.0 else second
            for counted in (share, unscheduled[number % 195]):
                counted.record_request("s")
                taken += counted.try_acquire("s")
        self.assertLessEqual(taken, 0.2 * requests + 50)
        self.assertGreater(taken, 0.3 * (0.2 * requests + 50))

    def test_new_scheduler_grants_some_retries_at_once(self):
        """All entries restart and the first calls are declined."""
        self.assertGreaterEqual(self.taken(self.scheduler()), 5)

    def test_budgets_of_services_are_separate(self):
        share = self.share()
        self.taken(share)
        self.assertTrue(share.try_acquire("other"))

    def test_changed_bounds_hold_at_once(self):
        share = self.share()
        share.configure(0.0, 0.0, 10.0)
        self.assertFalse(share.try_acquire("s"))


class HealthTest(unittest.TestCase):
    def test_unreachable_upstream_is_suspended_with_exponential_backoff(self):
        health = UpstreamHealth()
        health.record_unreachable(0.0)
        self.assertTrue(health.is_suspended(SUSPEND_MIN_S - 0.01))
        self.assertFalse(health.is_suspended(SUSPEND_MIN_S + 0.01))
        health.record_unreachable(1.0)
        self.assertTrue(health.is_suspended(1.0 + 2 * SUSPEND_MIN_S - 0.01))

    def test_single_failure_does_not_suspend(self):
        health = UpstreamHealth()
        health.record_failure(0.0)
        health.record_failure(0.1)
        self.assertFalse(health.is_suspended(0.2))
        health.record_failure(0.2)
        self.assertTrue(health.is_suspended(0.3))

    def test_failure_rate_decays(self):
        health = UpstreamHealth()
        for number in range(10):
            health.record_failure(number / 10)
        self.assertGreater(health.failure_rate(1.0), 0.5)
        self.assertLess(health.failure_rate(20.0), 0.05)


class LoadsTest(unittest.TestCase):
    def test_work_of_other_entries_counts_until_its_outcome_is_reported(self):
        loads = UpstreamLoads()
        remote = loads.begin("u", 1000)
        with loads.sending("u", 50):
            self.assertEqual((loads.requests("u"), loads.prompt_tokens("u")), (2, 1050))
        remote.end(1000)
        self.assertEqual((loads.requests("u"), loads.prompt_tokens("u")), (0, 0))

    def test_load_report_reveals_untracked_requests(self):
        """Entries that reach no scheduler place their own calls."""
        now = [100.0]
        self.enterContext(
            mock.patch("wisteriaarch.process.upstream_loads.now_s", lambda: now[0])
        )
        loads = UpstreamLoads()
        with loads.sending("u"):
            loads.record_report("u", ReportedLoad(running=4, waiting=2, slots=4))
            self.assertEqual(loads.requests("u"), 6)
            now[0] += REPORT_RETENTION_S
            self.assertEqual(loads.requests("u"), 1)
            loads.record_report("u", ReportedLoad(running=0, waiting=0, slots=4))
            self.assertEqual(loads.requests("u"), 1)

    def test_stated_speed_holds_for_a_short_time_only(self):
        """A machine states its speed many times a second; an old one misleads."""
        stated = ReportedSlowdown()
        self.assertEqual(stated.at(5.0), 1.0)
        for number in range(40):
            stated.record(1.0, number / 10)
        stated.record(2.0, 4.0)
        self.assertAlmostEqual(stated.at(4.0), 2.0)
        self.assertLess(stated.at(5.0), 1.11)

    def test_speed_is_learnt_in_a_few_answers_apart_from_what_the_machine_states(self):
        """Machines of speeds 0.6 and 1.2; the second states that it is slow now."""
        loads = UpstreamLoads()
        for _ in range(5):
            loads.observe_time("slow", "r", 0.120)
            loads.record_report("fast", ReportedLoad(1, 0, 6, slowdown=1.5))
            loads.observe_time("fast", "r", 0.060 * 1.5)
        now = now_s()
        slow, fast = loads.of("slow"), loads.of("fast")
        self.assertGreater(slow.slowdown.at(now) / fast.slowdown.at(now), 1.6)
        self.assertAlmostEqual(fast.slowdown_at(now), 1.5 * fast.slowdown.at(now), 2)

    def test_restarted_upstream_is_judged_anew_while_requests_are_in_flight(self):
        loads = UpstreamLoads()
        with loads.sending("u"):
            loads.observe_time("other", "r", 0.1)
            loads.observe_time("u", "r", 0.5)
            loads.record_report("u", ReportedLoad(9, 9, 6, slowdown=3.0))
            loads.of("u").health.record_unreachable(now_s())
            loads.discard("u")
            load = loads.of("u")
            self.assertEqual(load.slowdown_at(now_s()), 1.0)
            self.assertFalse(loads.is_suspended("u"))
            self.assertEqual(loads.requests("u"), 1)
        self.assertEqual(loads.requests("u"), 0)

    def test_attempt_of_a_former_incarnation_teaches_nothing(self):
        """An upstream restarts under its id while an attempt is under way."""
        registry = UpstreamRegistry(lambda: None, mock.Mock())
        first = replace(upstream("u"), started_at_ms=1)
        registry.update([first])
        estimates = FleetEstimates.from_registry(registry)
        updater = EstimateUpdater(estimates, mock.Mock())
        route = Route("r", "h", "/", CallKind.IDEMPOTENT, (), 1.0, 1.0)
        call = RoutedCall("id", route, "s", "GET", "/", [], b"", 0.0, 0.0)
        choice = Choice(Candidate(first), 0.0)
        second = replace(first, started_at_ms=2)
        registry.update([second])
        outcome = AttemptOutcome(FailureReason.SILENT.value, 0.5)
        updater.observe_outcome(call, choice, AttemptStage.RUN, outcome)
        self.assertFalse(estimates.loads.is_suspended("u"))
        choice = Choice(Candidate(second), 0.0)
        updater.observe_outcome(call, choice, AttemptStage.RUN, outcome)
        self.assertTrue(estimates.loads.is_suspended("u"))

    def test_attempts_whose_answer_is_read_slowly_do_not_occupy_the_upstream(self):
        """Callers that read nothing keep attempts in flight until their deadline."""
        loads = UpstreamLoads()
        for _ in range(6):
            loads.begin("u", 0)
        load = loads.of("u")
        self.assertEqual(load.occupied_at(now_s()), 6)
        loads.record_report("u", ReportedLoad(1, 0, 6))
        loads.begin("u", 0)
        self.assertEqual(load.occupied_at(now_s()), 2)

    def test_slowdown_rises_and_decays(self):
        pace = Slowdown()
        for number in range(10):
            pace.observe(0.5, 0.1, float(number) / 10)
        self.assertGreater(pace.at(1.0), 3.0)
        self.assertLess(pace.at(20.0), 1.1)


class OutcomeTest(unittest.TestCase):
    def test_each_reason_says_whether_it_ran(self):
        not_run = {
            FailureReason.NOT_CONNECTED,
            FailureReason.NOTHING_SENT,
            FailureReason.DECLINED,
            FailureReason.WRONG_INSTANCE,
            FailureReason.KV_CACHE_NOT_FOUND,
        }
        self.assertEqual(set(RAN_BY_REASON), set(FailureReason))
        for reason in FailureReason:
            with self.subTest(reason=reason):
                self.assertEqual(AttemptFailed(reason).ran is Ran.NO, reason in not_run)

    def test_combined_outcome_never_becomes_safer(self):
        self.assertIs(combine_ran(Ran.UNKNOWN, Ran.NO), Ran.UNKNOWN)
        self.assertIs(combine_ran(Ran.NO, Ran.UNKNOWN), Ran.UNKNOWN)
        self.assertIs(combine_ran(Ran.UNKNOWN, Ran.YES), Ran.YES)


class EventFramerTest(unittest.TestCase):
    def test_only_whole_events_pass_at_any_split(self):
        stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
        for cut in range(len(stream)):
            framer = EventFramer()
            passed = framer.feed(stream[:cut]) + framer.feed(stream[cut:])
            self.assertEqual(passed, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
            self.assertEqual(framer.last_id, "2")
            self.assertTrue(framer.has_partial_event)
