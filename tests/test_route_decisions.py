"""Decisions of the route path, apart from I/O, each on the load that it answers."""

import unittest
from dataclasses import replace
from unittest import mock

import curio

from wisteriaarch.errors import Ran, RequestError
from wisteriaarch.process.cache_belief import READING_MAX_S, CacheBelief, Holding
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.digest import SentWork
from wisteriaarch.process.upstream_health import SUSPEND_MIN_S, UpstreamHealth
from wisteriaarch.process.upstream_loads import Pace, UpstreamLoads
from wisteriaarch.process.upstreams import Stage, Upstream
from wisteriaarch.request.candidate import Candidate, find_home, relative_paces
from wisteriaarch.request.crash_ledger import CrashLedger
from wisteriaarch.request.event_stream import EventFramer
from wisteriaarch.request.outcomes import (
    RAN_AFTER,
    AttemptFailed,
    FailureReason,
    worse,
)
from wisteriaarch.request.placement import (
    place_decode,
    place_prefill,
    place_service_call,
)
from wisteriaarch.request.reading_turn import ReadingForecast, Turn, choose_turn
from wisteriaarch.request.retry_share import RetryShare
from wisteriaarch.request.routed_call import Prompt, PromptPart, RoutedCall
from wisteriaarch.request.shared_reading import wait_for_part, wait_limit_s
from wisteriaarch.request.stage_busyness import StageBusyness
from wisteriaarch.request.stage_plan import FleetPace, plan_stages
from wisteriaarch.request.urgency import urgency_of
from wisteriaarch.version.route_table import CallKind, Route
from wisteriaarch.wire import Address

RATE = 40_000.0
CALM = FleetPace(RATE)


def upstream(name, stage=None, zone="z1", slots=8) -> Upstream:
    return Upstream(name, "s", Address("10.0.0.1", 1), zone, slots, stage=stage)


def candidate(name, stage=None, zone="z1", **more) -> Candidate:
    return Candidate(upstream(name, stage, zone), **more)


def prompt(tokens, shared=0, part="p") -> Prompt:
    parts = (PromptPart(part, shared), PromptPart("own", tokens - shared))
    return Prompt(tokens, 100, parts if shared else parts[1:])


def fleet(prefills=2, decodes=3) -> list[Candidate]:
    return [
        *(candidate(f"p{n}", Stage.PREFILL) for n in range(prefills)),
        *(candidate(f"d{n}", Stage.DECODE) for n in range(decodes)),
    ]


class ServicePlacementTest(unittest.TestCase):
    def test_slow_and_failing_upstreams_get_less(self):
        slow = candidate("a", pace=5.0)
        failing = candidate("b", failure_share=0.5)
        loaded = candidate("c", requests=6)
        choice = place_service_call([slow, failing, loaded], "z1")
        self.assertEqual(choice.candidate, loaded)

    def test_suspended_one_is_the_last_resort(self):
        suspended = candidate("a", suspended=True)
        self.assertEqual(place_service_call([suspended], "z1").candidate, suspended)
        full = candidate("b", full=True, requests=30)
        self.assertEqual(place_service_call([suspended, full], "z1").candidate, full)

    def test_own_zone_goes_before_an_equal_one(self):
        items = [candidate("a", zone="z2"), candidate("b", zone="z1")]
        self.assertEqual(place_service_call(items, "z1").candidate, items[1])

    def test_no_upstream(self):
        self.assertIsNone(place_service_call([], "z1"))


class StagePlanTest(unittest.TestCase):
    def test_short_prompt_is_not_behind_long_ones(self):
        items = [
            candidate("p0", Stage.PREFILL, prompt_tokens=40_000),
            candidate("d0", Stage.DECODE, requests=4),
        ]
        plan = plan_stages(items, prompt(300), CALM, "z1", 0.15)
        self.assertIsNone(plan.prefill)
        self.assertEqual(plan.decode.candidate.upstream.upstream_id, "d0")

    def test_long_prompt_is_read_apart_in_the_calm(self):
        plan = plan_stages(fleet(), prompt(9000), CALM, "z1", 0.15)
        self.assertIsNotNone(plan.prefill)

    def test_short_prompts_leave_a_busy_decode_stage(self):
        busy = FleetPace(RATE, busy_prefill=0.1, busy_decode=0.9)
        plan = plan_stages(fleet(), prompt(600), busy, "z1", 0.15)
        self.assertIsNotNone(plan.prefill)

    def test_reading_never_holds_streams_longer_than_their_pause(self):
        items = [
            candidate("p0", Stage.PREFILL, prompt_tokens=400_000),
            candidate("d0", Stage.DECODE),
        ]
        plan = plan_stages(items, prompt(9000), CALM, "z1", 0.15)
        self.assertIsNotNone(plan.prefill)
        plan = plan_stages(items, prompt(9000), CALM, "z1", None)
        self.assertIsNone(plan.prefill)

    def test_one_stage_missing(self):
        decodes = [item for item in fleet() if item.upstream.stage is Stage.DECODE]
        self.assertIsNone(plan_stages(decodes, prompt(9000), CALM, "z1", 0.15).prefill)
        plan = plan_stages([], prompt(9000), CALM, "z1", 0.15)
        self.assertIsNone(plan.prefill)
        self.assertIsNone(plan.decode)

    def test_nothing_is_read_while_no_engine_runs_prompts(self):
        prefills = [item for item in fleet() if item.upstream.stage is Stage.PREFILL]
        plan = plan_stages(prefills, prompt(9000), CALM, "z1", 0.15)
        self.assertIsNone(plan.prefill)
        self.assertIsNone(plan.decode)

    def test_shared_part_is_copied_from_its_holder(self):
        items = fleet()
        items[3] = candidate("d1", Stage.DECODE, holding=Holding.HELD)
        plan = plan_stages(items, prompt(17_000, 13_000), CALM, "z1", 0.15)
        self.assertEqual(plan.prefill.fetch_from.upstream_id, "d1")

    def test_holder_reads_by_itself_unless_its_queue_is_long(self):
        holder = candidate("p0", Stage.PREFILL, holding=Holding.HELD)
        idle = candidate("p1", Stage.PREFILL)
        long = prompt(17_000, 13_000)
        self.assertEqual(
            place_prefill([holder, idle], long, RATE, "z1").candidate, holder
        )
        queued = candidate(
            "p0", Stage.PREFILL, holding=Holding.HELD, prompt_tokens=60_000
        )
        choice = place_prefill([queued, idle], long, RATE, "z1", [queued])
        self.assertEqual(choice.candidate, idle)

    def test_runs_stay_with_their_shared_part_until_the_engine_is_full(self):
        home = candidate("d0", Stage.DECODE, requests=4, holding=Holding.HELD)
        other = candidate("d1", Stage.DECODE)
        long = prompt(17_000, 13_000)
        self.assertEqual(place_decode([home, other], long, RATE, "z1").candidate, home)
        full = candidate("d0", Stage.DECODE, requests=8, holding=Holding.HELD)
        self.assertEqual(place_decode([full, other], long, RATE, "z1").candidate, other)

    def test_homes_spread_and_move_only_with_their_engine(self):
        items = fleet(prefills=0, decodes=6)
        parts = [f"part-{number}" for number in range(300)]
        homes = {part: find_home(part, items) for part in parts}
        self.assertEqual(len(set(homes.values())), 6)
        fewer = items[1:]
        moved = [
            part
            for part in parts
            if homes[part] != "d0" and find_home(part, fewer) != homes[part]
        ]
        self.assertEqual(moved, [])


class RelativePaceTest(unittest.TestCase):
    def test_a_peak_makes_no_upstream_a_slow_one(self):
        items = [candidate("a", pace=4.0), candidate("b", pace=5.0)]
        items += [candidate("p", Stage.PREFILL, pace=1.0)]
        paces = [item.pace for item in relative_paces(items)]
        self.assertEqual(paces, [1.0, 1.25, 1.0])

    def test_a_fast_upstream_does_not_make_the_others_slow(self):
        items = [candidate("a", pace=0.5), candidate("b", pace=1.0)]
        self.assertEqual([item.pace for item in relative_paces(items)], [0.5, 1.0])


class UrgencyTest(unittest.TestCase):
    def test_less_to_read_is_never_less_urgent(self):
        levels = [urgency_of(tokens) for tokens in range(0, 200_000, 500)]
        self.assertEqual(levels, sorted(levels))
        self.assertGreaterEqual(min(levels), 0)
        self.assertLessEqual(max(levels), 9)


class BusynessTest(unittest.TestCase):
    def test_swing_of_the_mix_is_seen_within_a_second(self):
        now = [0.0]
        busy = StageBusyness(lambda: 10, lambda: now[0])
        for _ in range(20):
            now[0] += 0.05
            busy.note(Stage.DECODE, 0.01)
        self.assertGreater(busy.share(Stage.DECODE, 3), 0.35)
        self.assertEqual(busy.share(Stage.PREFILL, 3), 0.0)
        now[0] += 2.0
        self.assertLess(busy.share(Stage.DECODE, 3), 0.1)

    def test_share_is_bounded(self):
        busy = StageBusyness(lambda: 10, lambda: 0.0)
        busy.note(Stage.PREFILL, 100.0)
        self.assertLess(busy.share(Stage.PREFILL, 0), 1.0)


class RetryShareTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0

    def share(self, entries=5):
        return RetryShare(0.2, 50, 10.0, lambda: entries, lambda: self.now)

    def taken(self, share, times=1000) -> int:
        return sum(share.take("s") for _ in range(times))

    def test_entries_together_stay_below_the_bound(self):
        shares = [self.share() for _ in range(5)]
        for share in shares:
            for _ in range(40):
                share.note_request("s")
        total = sum(self.taken(share) for share in shares)
        self.assertLessEqual(total, 0.9 * (0.2 * 200 + 50))
        self.assertGreater(total, 0.5 * (0.2 * 200 + 50))

    def test_window_slides(self):
        share = self.share()
        used = self.taken(share)
        self.now = 9.9
        self.assertFalse(share.take("s"))
        self.now = 10.1
        self.assertEqual(self.taken(share), used)

    def test_each_later_reading_of_a_prompt_costs_a_repeat(self):
        share = self.share()
        left = share.left("s")
        self.assertTrue(share.take_for_reading("s", 0))
        self.assertEqual(share.left("s"), left)
        self.assertTrue(share.take_for_reading("s", 1))
        self.assertEqual(share.left("s"), left - 1)
        self.taken(share)
        self.assertFalse(share.take_for_reading("s", 1))
        self.assertTrue(share.take_for_reading("s", 0))

    def test_services_are_apart(self):
        share = self.share()
        self.taken(share)
        self.assertTrue(share.take("other"))

    def test_changed_bounds_hold_at_once(self):
        share = self.share()
        share.configure(0.0, 0.0, 10.0)
        self.assertFalse(share.take("s"))


class HealthTest(unittest.TestCase):
    def test_unreached_upstream_is_left_out_for_longer_each_time(self):
        health = UpstreamHealth()
        health.note_unreached(0.0)
        self.assertTrue(health.is_suspended(SUSPEND_MIN_S - 0.01))
        self.assertFalse(health.is_suspended(SUSPEND_MIN_S + 0.01))
        health.note_unreached(1.0)
        self.assertTrue(health.is_suspended(1.0 + 2 * SUSPEND_MIN_S - 0.01))

    def test_single_failure_does_not_suspend(self):
        health = UpstreamHealth()
        health.note_failure(0.0)
        health.note_failure(0.1)
        self.assertFalse(health.is_suspended(0.2))
        health.note_failure(0.2)
        self.assertTrue(health.is_suspended(0.3))

    def test_failure_share_fades(self):
        health = UpstreamHealth()
        for number in range(10):
            health.note_failure(number / 10)
        self.assertGreater(health.failure_share(1.0), 0.5)
        self.assertLess(health.failure_share(20.0), 0.05)


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
        """Return how long a call waits whose part is ready after some time."""
        call = mock.Mock(prompt=self.LONG, remaining_s=lambda: 5.0)

        def find():
            holding = belief.holding("p0", "part", 1e6)
            return [candidate("p0", Stage.PREFILL, holding=holding)]

        async def read():
            await curio.sleep(ready_after_s)
            belief.note("p0", "part", 0, ready=True)

        async def main():
            reading = await curio.spawn(read)
            began_at_s = now_s()
            await wait_for_part(call, find, RATE, mock.Mock())
            waited_s = now_s() - began_at_s
            await reading.cancel()
            return waited_s

        return curio.run(main)


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

    def test_late_prompt_waits_until_it_must_start(self):
        late = ReadingForecast(1.0, 0.2, 0.03, aim_left_s=0.5, left_s=9.0)
        self.assertEqual(choose_turn(late), Turn.LATER)
        self.assertEqual(choose_turn(replace(late, left_s=2.0)), Turn.LAST_MOMENT)

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
                if choose(forecast) is not Turn.LATER:
                    waiting.remove(arrived_at_s)
                    free_at_s = max(now, free_at_s) + self.READING_S
                    waits.append(free_at_s - arrived_at_s)
            now += self.STEP_S
        return waits


class LoadsTest(unittest.TestCase):
    def test_work_of_peers_counts_and_is_replaced(self):
        loads = UpstreamLoads()
        loads.absorb_sent("peer", (SentWork("u", 3, 1000),))
        with loads.sending("u", 50):
            self.assertEqual((loads.requests("u"), loads.prompt_tokens("u")), (4, 1050))
            self.assertEqual(list(loads.export_sent()), [SentWork("u", 1, 50)])
        loads.absorb_sent("peer", ())
        self.assertEqual(loads.requests("u"), 0)

    def test_pace_of_a_slow_upstream_rises_and_fades(self):
        pace = Pace()
        for number in range(10):
            pace.note(0.5, 0.1, float(number) / 10)
        self.assertGreater(pace.at(1.0), 3.0)
        self.assertLess(pace.at(20.0), 1.1)


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


class CrashLedgerTest(unittest.TestCase):
    def call(self, body=b"x", path="/a"):
        route = Route("r", "h", "/", CallKind.IDEMPOTENT, (), 1.0, 1.0)
        return RoutedCall("id", route, "s", "POST", path, [], body, 0.0, 0.0)

    def test_entries_together_stop_after_three_crashes(self):
        ledgers = [CrashLedger() for _ in range(3)]
        for number, ledger in enumerate(ledgers):
            for other in ledgers:
                other.check(self.call())
            ledger.note_crash(self.call(), f"u{number}")
            for other in ledgers:
                other.absorb(tuple(ledger.export()))
        for ledger in ledgers:
            with self.assertRaises(RequestError):
                ledger.check(self.call())
            ledger.check(self.call(b"another body"))

    def test_one_crash_seen_twice_counts_once(self):
        ledger = CrashLedger()
        for _ in range(5):
            ledger.note_crash(self.call(), "u")
        ledger.check(self.call())

    def test_success_clears(self):
        ledger = CrashLedger()
        for number in range(3):
            ledger.note_crash(self.call(), f"u{number}")
        ledger.note_success(self.call())
        ledger.check(self.call())

    def test_old_crashes_do_not_count(self):
        now = [0.0]
        ledger = CrashLedger(lambda: now[0])
        for number in range(3):
            ledger.note_crash(self.call(), f"u{number}")
        now[0] = 200.0
        ledger.check(self.call())


class OutcomeTest(unittest.TestCase):
    def test_each_reason_says_whether_it_ran(self):
        not_run = {
            FailureReason.NOT_CONNECTED,
            FailureReason.NOTHING_SENT,
            FailureReason.DECLINED,
            FailureReason.WRONG_INSTANCE,
            FailureReason.MEMORY_GONE,
        }
        self.assertEqual(set(RAN_AFTER), set(FailureReason))
        for reason in FailureReason:
            with self.subTest(reason=reason):
                self.assertEqual(AttemptFailed(reason).ran is Ran.NO, reason in not_run)

    def test_what_is_known_never_improves(self):
        self.assertIs(worse(Ran.UNKNOWN, Ran.NO), Ran.UNKNOWN)
        self.assertIs(worse(Ran.NO, Ran.UNKNOWN), Ran.UNKNOWN)
        self.assertIs(worse(Ran.UNKNOWN, Ran.YES), Ran.YES)


class EventFramerTest(unittest.TestCase):
    def test_only_whole_events_pass_at_any_split(self):
        stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
        for cut in range(len(stream)):
            framer = EventFramer()
            passed = framer.feed(stream[:cut]) + framer.feed(stream[cut:])
            self.assertEqual(passed, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
            self.assertEqual(framer.last_id, "2")
            self.assertTrue(framer.has_rest)
