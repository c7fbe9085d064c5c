"""Duties: one caller at a time whatever fails, and counts that survive failures."""

import json
import unittest
from unittest import mock

import curio

from extras import duty_cloud, duty_drill
from extras.duty_drill import EPOCH_S, WINDOW_S, World, play
from extras.duty_simulation import START_S, Simulation
from wisteriaarch.connection import usage_sender
from wisteriaarch.connection.usage_reporter import UsageReporter
from wisteriaarch.entry_duties import EntryDuties
from wisteriaarch.errors import LeaseLost
from wisteriaarch.process import duty
from wisteriaarch.process.duty import Duty
from wisteriaarch.process.gateway_settings import GatewaySettings
from wisteriaarch.process.settings_models import parse_model
from wisteriaarch.request.run_counter import RunCounter

from .template_support import render_settings

SEEDS = range(1, 5)
DURATION_S = 120.0
NO_SCALING = "none"


def first_windows_of(world):
    """Return the windows that began in the run and whose reports are due in it."""
    first = int((EPOCH_S + START_S) // WINDOW_S) + 1
    last = int((EPOCH_S + world.sim.now_s - 10.0) // WINDOW_S)
    return range(first, last)


def usage_world(case, **options):
    """Return a world in virtual time without faults, all calls answered, no scaling."""
    sim = Simulation(1)
    for module in duty_drill.MODULES:
        case.enterContext(mock.patch.object(module, "now_s", lambda: sim.now_s))
    case.enterContext(mock.patch.object(usage_sender, "UsageLink", duty_drill.Link))
    case.enterContext(mock.patch.object(World, "_move_scheduler"))
    answered = dict.fromkeys(duty_cloud.LATE_SHARES, 0.0)
    case.enterContext(mock.patch.dict(duty_cloud.LATE_SHARES, answered))
    case.enterContext(mock.patch.object(duty_cloud, "LOST_ANSWERS_SHARE", 0.0))
    world = World(sim, False, faults=False, **options)
    world.scheduler = NO_SCALING
    return world


class DrillTest(unittest.TestCase):
    def test_no_order_of_events_breaks_a_rule(self):
        """Guards against equal tokens, late calls after newer ones and A, B, A."""
        for seed in SEEDS:
            for require_fence in (False, True):
                with self.subTest(seed=seed, require_fence=require_fence):
                    world = play(seed, require_fence, DURATION_S)
                    self.assertEqual(world.cloud.violations, [])
                    self.assertGreater(len(world.cloud.reports), 12)

    def violations(self, seeds):
        return [item for seed in seeds for item in play(seed, False).cloud.violations]

    def test_drill_finds_a_successor_that_does_not_wait(self):
        """Guards against a drill that would find nothing."""
        waits = dict.fromkeys(duty.LATE_CALL_S, 0.0)
        with mock.patch.dict(duty.LATE_CALL_S, waits):
            self.assertNotEqual(self.violations(range(1, 16)), [])

    def test_drill_finds_a_call_after_a_pause(self):
        """Guards against a drill that would find nothing."""
        with mock.patch.object(Duty, "require_token"):
            self.assertNotEqual(self.violations(range(1, 16)), [])

    def test_drill_finds_reports_that_are_not_recorded(self):
        """Guards against a drill that would find nothing."""

        async def add_up(reporter, _key, window):
            return reporter._totals.of_window(window)

        with mock.patch.object(UsageReporter, "_read_recorded", add_up):
            self.assertNotEqual(self.violations(range(1, 16)), [])


class UsageAccuracyTest(unittest.TestCase):
    def counts_off(self, world):
        """Return the greatest difference from a true count, as a share of it."""
        worst = 0.0
        for window in first_windows_of(world):
            report = world.cloud.reports[window]
            for customer in duty_drill.CUSTOMERS:
                true_count = world.truth[window, customer]
                difference = abs(report.get(customer, 0) - true_count)
                worst = max(worst, difference / true_count)
        return worst

    def test_counts_are_exact_without_faults(self):
        """Guards against lost and doubled counts."""
        world = usage_world(self)
        world.sim.run(60.0)
        self.assertEqual(self.counts_off(world), 0.0)

    def test_killed_entries_lose_less_than_the_tolerance(self):
        """Guards against counts that are lost with the holder or another entry."""
        for holder_dies in (True, False):
            world = usage_world(self, entries=20)
            world.sim.run(31.0)
            held = [item.usage.is_held for item in world.entries.values()]
            self.assertEqual(held.count(True), 1)
            victims = [
                item
                for item in world.entries.values()
                if item.usage.is_held is holder_dies
            ]
            world._kill(victims[0])
            world.sim.run(40.0)
            self.assertLess(self.counts_off(world), 0.05)
            self.assertEqual(duty_drill.late_windows(world), [])

    def test_holder_that_restarts_at_once_has_the_counts_of_its_former_process(self):
        """Guards against a quick restart; a quarter of a window was lost."""
        world = usage_world(self, entries=4)
        world.sim.run(30.2)
        held = [item for item in world.entries.values() if item.usage.is_held]
        world._kill(held[0])
        world.sim.run(40.0)
        self.assertLess(self.counts_off(world), 0.05)

    def test_clock_steps_do_not_shift_counts(self):
        """Guards against clocks of a third of the entries that are 2 s off."""
        world = usage_world(self, entries=10)
        world.sim.run(10.0)
        for entry in list(world.entries.values())[:3]:
            entry.process.step_s = 2.0
        world.sim.run(20.0)
        for entry in world.entries.values():
            entry.process.step_s = 0.0
        world.sim.run(30.0)
        self.assertEqual(self.counts_off(world), 0.0)

    def test_calls_to_the_store_are_few(self):
        """Guards against renewals and polls that cost too much."""
        world = usage_world(self, entries=10)
        world.sim.run(20.0)
        calls = world.store.calls
        world.sim.run(100.0)
        self.assertLess((world.store.calls - calls) / 100.0, 4.2)


class OrderOfHoldersTest(unittest.TestCase):
    def test_first_holder_waits_for_a_term_after_its_last_call(self):
        """Guards against A, B, A within a lease term, each having released cleanly."""
        sim = Simulation(1)
        for module in duty_drill.MODULES:
            self.enterContext(mock.patch.object(module, "now_s", lambda: sim.now_s))
        self.enterContext(mock.patch.object(usage_sender, "UsageLink", duty_drill.Link))
        self.enterContext(mock.patch.object(World, "_move_scheduler"))
        self.enterContext(mock.patch.object(duty, "CONTENDER_POLL_S", 0.0))
        self.enterContext(
            mock.patch.object(duty_cloud.Client, "_exchange", duty_cloud.answer_at_once)
        )
        world = World(sim, False, faults=False)
        sim.run(20.0)
        for _ in range(20):
            for name in ("e1", "e0"):
                world.scheduler = name
                sim.run(1.0)
        self.assertEqual(world.cloud.violations, [])
        holders = {item.holder for item in world.cloud.arrivals("autoscale")}
        self.assertEqual(holders, {"e0", "e1"})


class NotHeldTest(unittest.TestCase):
    def test_duty_that_is_not_held_gives_no_authority(self):
        """Guards against calls before the lease is taken."""
        world = usage_world(self)
        held = next(iter(world.entries.values())).usage
        with self.assertRaises(LeaseLost):
            held.authority()

    def test_unwanted_duty_makes_no_calls_to_the_store(self):
        """Guards against calls to the store for a duty that nobody wants."""
        world = usage_world(self)
        entry = next(iter(world.entries.values()))
        curio.run(entry.scaling.step)
        self.assertEqual(world.store.calls, 0)


class DutySettingsTest(unittest.TestCase):
    def test_template_names_the_duties_where_there_is_an_address(self):
        """Guards against a template that isn't JSON on either kind of deployment."""
        bounds = {
            "require-fence": False,
            "report-window-s": 5,
            "usage-off": 0.05,
            "usage-late-s": 10,
        }
        cloud = {
            "address": "127.0.0.9:80",
            "duties": ["usage", "autoscale"],
            "duty-per-s": 5,
        }
        content = render_settings(bounds=bounds, **{"cloud-api": cloud})
        cfg = parse_model(GatewaySettings, json.dumps(content), "settings.json")
        self.assertTrue(cfg.duties.has("usage") and cfg.duties.has("autoscale"))
        self.assertFalse(cfg.duties.require_fence)
        self.assertEqual(str(cfg.duties.address.address()), "127.0.0.9:80")

    def test_deployment_without_an_address_has_no_duties(self):
        """Guards against calls to the store and messages that nobody asked for."""
        content = render_settings()
        cfg = parse_model(GatewaySettings, json.dumps(content), "settings.json")
        self.assertIsNone(cfg.duties)
        network, runs = mock.Mock(), RunCounter()
        duties = EntryDuties.from_config(cfg, None, network, runs, None, None)
        self.assertIsNone(duties)
        self.assertIsNone(runs.counts)
        self.assertEqual(network.mock_calls, [])
