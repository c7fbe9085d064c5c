"""Plain calls wait in order while all their upstreams are full, and none in vain."""

import unittest
from dataclasses import replace
from unittest import mock

import curio

from wisteriaarch.errors import ErrorKind, RequestError
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.fleet_estimates import FleetEstimates
from wisteriaarch.process.upstreams import UpstreamRegistry
from wisteriaarch.request.fair_queue import Turn
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.request.scheduler import Scheduler, SchedulingParts
from wisteriaarch.request.service_queue import ServiceQueue, WaitingCall
from wisteriaarch.request.shared_retry_budget import SharedRetryBudget
from wisteriaarch.version.route_table import CallKind, Route

from .route_support import upstream
from .service_replay import ZONES, DirectScheduler, Load, ServiceReplay

UNEVEN = {"z1": (0.55,), "z2": (1.0,), "z3": (1.2,)}


def waiting(arrived_at_s, priority=1, on_time_until_s=1.0, **more) -> WaitingCall:
    content = {
        "unservable_at_s": 2.0,
        "work_s": 0.1,
        "capacity": 10.0,
        "decide": lambda: "placed",
        "refuse": lambda: "refused",
        **more,
    }
    return WaitingCall(priority, arrived_at_s, on_time_until_s, **content)


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.5
        self.queue = ServiceQueue(lambda: self.now)

    def poll(self, *calls):
        self.queue._calls.extend(calls)
        return list(self.queue.poll())

    def test_priority_goes_first_then_calls_on_time_then_arrival(self):
        urgent = waiting(0.4, priority=0)
        early, later = waiting(0.1), waiting(0.2)
        overdue = waiting(0.0, on_time_until_s=0.3)
        order = self.poll(overdue, later, urgent, early)
        self.assertEqual(order, [urgent, early, later, overdue])

    def test_burst_of_one_customer_waits_behind_its_own_calls(self):
        """Another customer's call would wait for all of the burst."""
        burst = [waiting(0.1 + n / 100, customer="large") for n in range(10)]
        small = waiting(0.4, customer="small")
        for item in (*burst, small):
            self.queue._order.enter(item.turn)
        order = self.poll(*burst, small)
        self.assertEqual(order, [burst[0], small, *burst[1:]])
        self.queue._calls += burst
        ahead = self.queue.work_ahead_s(Turn(1, "other", 0.5))
        self.assertAlmostEqual(ahead, 0.1)
        self.assertAlmostEqual(self.queue.work_ahead_s(Turn(1, "large", 0.5)), 1.0)

    def test_call_that_can_not_be_placed_does_not_block_other_groups(self):
        """A zone's upstreams are full while those of another have free slots."""
        stuck = [
            waiting(0.1, group="z1", decide=lambda: None, unservable_at_s=9.0)
            for _ in range(20)
        ]
        free = waiting(0.4, group="z2", unservable_at_s=9.0)
        self.assertEqual(self.poll(*stuck, free), [free])

    def test_call_that_can_not_meet_its_deadline_is_refused_at_once(self):
        """120 calls of 0.1 s each wait for a capacity of 10: 1.2 s of work."""
        calls = [
            waiting(number / 1000, decide=lambda: None, unservable_at_s=5.0)
            for number in range(120)
        ]
        late = waiting(0.4, unservable_at_s=0.6)
        self.assertEqual(
            [item.decision for item in self.poll(*calls, late)][0:1], ["refused"]
        )

    def test_expected_wait_counts_what_goes_before(self):
        self.queue._calls += [waiting(0.1 + n / 100) for n in range(10)]
        self.queue._calls += [waiting(0.1, priority=2) for _ in range(10)]
        self.assertAlmostEqual(
            self.queue.expected_wait_s(Turn(1, "", 0.5), 1.0, 10.0), 0.1
        )
        self.assertAlmostEqual(
            self.queue.expected_wait_s(Turn(0, "", 0.5), 1.0, 10.0), 0.0
        )
        self.assertAlmostEqual(
            self.queue.expected_wait_s(Turn(2, "", 0.5), 1.0, 10.0), 0.2
        )
        self.assertEqual(
            self.queue.expected_wait_s(Turn(1, "", 0.5), 1.0, 0.0), float("inf")
        )

    def test_overdue_call_counts_on_what_others_leave(self):
        """Calls on time use 0.8 of the capacity: other work takes 5 times as long."""
        self.queue._calls += [waiting(0.1 + n / 100) for n in range(10)]
        for _ in range(80):
            self.queue.record_accepted(1, 0.1)
        self.assertAlmostEqual(
            self.queue.expected_wait_s(Turn(1, "", 0.5), -0.1, 10.0), 0.5, places=3
        )


class WaitTest(unittest.TestCase):
    """One upstream of two slots, sent one call in advance; calls find it full."""

    def setUp(self):
        registry = UpstreamRegistry(lambda: None, mock.Mock())
        registry.update([upstream("u", slots=2)])
        estimates = FleetEstimates.from_registry(registry)
        self.loads = estimates.loads
        parts = SchedulingParts.from_estimates(estimates, lambda: None, mock.Mock())
        self.planner = parts.service_planner
        self.times = estimates.service_times
        self.scheduler = Scheduler(parts, SharedRetryBudget(0.2, 50, 10.0, lambda: 1))
        for _ in range(3):
            self.loads.begin("u", 0)

    def call(self, left_s=2.0, priority=1):
        route = Route(
            "r", "h", "/", CallKind.IDEMPOTENT, (), 2.0, 1.0, priority=priority
        )
        now = now_s()
        return RoutedCall("id", route, "s", "GET", "/", [], b"", now, now + left_s)

    def test_call_waits_is_told_so_and_is_placed_once_a_slot_is_free(self):
        async def scenario():
            told = []

            async def on_wait():
                told.append(now_s())

            task = await curio.spawn(self.scheduler.place, self.call(), on_wait)
            await curio.sleep(0.03)
            self.assertEqual(len(told), 1)
            self.assertEqual(self.planner.queue_length("s"), 1)
            self.loads.of("u").end(0)
            plan = await task.join()
            self.assertEqual(plan.decode.candidate.upstream.upstream_id, "u")
            self.assertEqual(self.planner.queue_length("s"), 0)

        curio.run(scenario)

    def test_cancelled_call_leaves_the_queue(self):
        """A caller disconnects, or its entry places the call by itself."""

        async def scenario():
            task = await curio.spawn(self.scheduler.place, self.call())
            await curio.sleep(0.02)
            await task.cancel()
            self.assertEqual(self.planner.queue_length("s"), 0)

        curio.run(scenario)

    def test_call_whose_deadline_passes_before_its_turn_is_refused_at_once(self):
        async def scenario():
            for _ in range(20):
                self.times.observe("s", "r", 0.5)
            tasks = [
                await curio.spawn(self.scheduler.place, self.call(9.0))
                for _ in range(3)
            ]
            await curio.sleep(0.02)
            asked_at_s = now_s()
            with self.assertRaises(RequestError) as caught:
                await self.scheduler.place(self.call(1.0))
            self.assertLess(now_s() - asked_at_s, 0.02)
            self.assertIs(caught.exception.kind, ErrorKind.UPSTREAM_OVERLOADED)
            self.assertGreater(caught.exception.retry_after_s, 1.0)
            for task in tasks:
                await task.cancel()

        curio.run(scenario)

    def test_long_stream_meets_its_objective_by_its_first_event(self):
        """Streams of 5 s with an objective of 1 s would all count as overdue."""
        for _ in range(20):
            self.times.observe("s", "r", 5.0)
        call = self.call()
        self.assertLess(self.planner._on_time_within_s(call, 5.0), 0.0)
        stream = replace(call, route=replace(call.route, kind=CallKind.STREAM))
        self.assertGreater(self.planner._on_time_within_s(stream, 5.0), 0.9)

    def test_urgent_call_does_not_wait_for_less_urgent_ones(self):
        async def scenario():
            task = await curio.spawn(self.scheduler.place, self.call(priority=2))
            await curio.sleep(0.02)
            self.loads.of("u").end(0)
            await self.scheduler.place(self.call(priority=0))
            self.loads.begin("u", 0)
            await curio.sleep(0.02)
            self.assertEqual(self.planner.queue_length("s"), 1)
            await task.cancel()

        curio.run(scenario)


class OtherUpstreamTest(unittest.TestCase):
    """One upstream of two is full, and calls wait for it that the other declined."""

    def setUp(self):
        registry = UpstreamRegistry(lambda: None, mock.Mock())
        registry.update([upstream("full", slots=2), upstream("free", slots=2)])
        estimates = FleetEstimates.from_registry(registry)
        self.loads = estimates.loads
        parts = SchedulingParts.from_estimates(estimates, lambda: None, mock.Mock())
        self.queue = parts.service_planner._queues["s"]
        self.scheduler = Scheduler(parts, SharedRetryBudget(0.2, 50, 10.0, lambda: 1))
        for _ in range(40):
            self.loads.begin("full", 0)
        route = Route("r", "h", "/", CallKind.IDEMPOTENT, (), 2.0, 1.0)
        self.call = RoutedCall(
            "id", route, "s", "GET", "/", [], b"", now_s(), now_s() + 2.0
        )

    def check_is_placed(self, work_s):
        """Place a call behind some of ``work_s`` seconds each."""
        now = now_s()
        declined = [
            waiting(
                now - 1.0,
                self.call.priority,
                on_time_until_s=now + 9.0,
                unservable_at_s=now + 99.0,
                work_s=work_s,
                decide=lambda: None,
                choices="full",
            )
            for _ in range(6)
        ]
        self.queue._calls.extend(declined)

        async def scenario():
            async with curio.timeout_after(0.5):
                plan = await self.scheduler.place(self.call)
            self.assertEqual(plan.decode.candidate.upstream.upstream_id, "free")
            self.assertEqual(self.queue._calls, declined)
            self.queue._calls.clear()

        curio.run(scenario)

    def test_call_does_not_wait_beside_a_free_upstream(self):
        self.check_is_placed(work_s=0.1)

    def test_call_is_not_refused_beside_a_free_upstream(self):
        """The work before it takes longer than the time that it has."""
        self.check_is_placed(work_s=5.0)


class OverloadTest(unittest.TestCase):
    """Demand waves of 15 s, other phases by zone, on three machines of 6 slots.

    Calls take 72 ms at speed 1; callers whose calls are refused come back. Compared
    with sending each call at once to the cheapest upstream.
    """

    FACTORS = (0.7, 1.1, 1.6, 2.4)

    @classmethod
    def setUpClass(cls):
        cls.loads = {
            factor: Load(0.072, UNEVEN, dict.fromkeys(ZONES, factor), length_s=15.0)
            for factor in cls.FACTORS
        }
        cls.direct = {
            factor: ServiceReplay(load, 1, DirectScheduler).run()
            for factor, load in cls.loads.items()
        }
        cls.queued = {
            factor: ServiceReplay(load, 1).run() for factor, load in cls.loads.items()
        }

    def test_baseline_has_the_fault(self):
        """An upstream with a short queue declines a large part at a peak."""
        self.assertGreater(self.direct[1.1].declined_share, 0.2)

    def test_upstreams_decline_next_to_nothing(self):
        for factor, result in self.queued.items():
            with self.subTest(factor=factor):
                self.assertLess(result.declined_share, 0.005)

    def test_more_calls_meet_their_objective(self):
        for factor, result in self.queued.items():
            with self.subTest(factor=factor):
                before = self.direct[factor].share("in time")
                gain = 1.2 if factor > 1 else 1.0
                self.assertGreaterEqual(result.share("in time"), gain * before)

    def test_most_of_what_upstreams_can_serve_is_on_time(self):
        for factor, result in self.queued.items():
            with self.subTest(factor=factor):
                servable = min(1.0, 1 / factor)
                self.assertGreater(result.share("in time"), 0.85 * servable)

    def test_no_call_waits_until_its_deadline(self):
        for factor, result in self.queued.items():
            with self.subTest(factor=factor):
                self.assertLess(result.share("missed"), 0.01)

    def test_calm_load_is_served_as_before(self):
        self.assertEqual(self.queued[0.7].share("in time"), 1.0)

    def test_late_reports_do_not_leave_upstreams_idle(self):
        """Ends are known up to 100 ms late, longer than a call of 22 ms takes."""
        load = Load(
            0.022, UNEVEN, dict.fromkeys(ZONES, 1.3), length_s=6.0, report_max_s=0.1
        )
        result = ServiceReplay(load, 1).run()
        served = result.ends["in time"] + result.ends["late"]
        self.assertGreater(served, 0.9 * load.capacity * load.length_s)
        self.assertLess(result.declined_share, 0.1)


class PriorityTest(unittest.TestCase):
    """Twice the capacity, in equal parts of priorities 0 and 2."""

    def test_urgent_calls_are_served_first(self):
        load = Load(
            0.072,
            UNEVEN,
            dict.fromkeys(ZONES, 2.0),
            amplitude=0.0,
            priorities=(0, 2),
            length_s=8.0,
        )
        result = ServiceReplay(load, 1).run()
        self.assertGreater(result.share("in time", 0), 0.8)
        self.assertLess(result.share("in time", 2), result.share("in time", 0))
