"""Replays of overloads with customers and kinds of calls of several priorities."""

import random
import unittest
from collections import Counter, defaultdict

import curio
import logbook

from extras.replay.engines import EngineCosts
from extras.replay.fleet import FleetReplay
from extras.replay.load import CustomerSpec, Deployment, KindSpec, Peak
from wisteriaarch.event_log import EventLog
from wisteriaarch.process.fleet_estimates import FleetEstimates
from wisteriaarch.request.estimate_updater import EstimateUpdater
from wisteriaarch.request.scheduler import Scheduler, SchedulingParts
from wisteriaarch.request.shared_retry_budget import SharedRetryBudget

from .service_replay import ZONES, Load, ServiceReplay

SPEEDS = {"z1": (0.55,), "z2": (1.0,), "z3": (1.2,)}
RATE = 50_000.0
COSTS = EngineCosts(RATE, 1e6, 0.005, 0.001, 1e-4, 16, 442_000)
PREFILLS = 6
TOKENS = 6_000
CALLS_PER_S = PREFILLS * RATE / TOKENS
SMALL = tuple(CustomerSpec(f"small-{number}") for number in range(80))
LARGE = CustomerSpec("large", 20.0)
CUSTOMERS = (LARGE, *SMALL)
# Callers of the replay disconnect after this time without an event.
CALLER_LEAVES_S = 2.0
SERVED = ("in time", "late")
BURSTS = ((4.0, 6.8), (14.0, 28.0))


def long_kind(per_s, priority=0, spread=0.0) -> KindSpec:
    return KindSpec("long", per_s, TOKENS, 4, (), 0.5, 4.0, 5, 1.5, priority, spread)


def short_kind(per_s, priority=0) -> KindSpec:
    return KindSpec("short", per_s, 300, 60, (), 0.3, 4.0, 5, 1.5, priority, 0.3)


def play(kinds, peaks=(), seconds=20.0, customers=CUSTOMERS, replay=FleetReplay):
    """Return the requests of a replay with their ends."""
    deployment = Deployment(
        "shares", PREFILLS, 3, COSTS, kinds, peaks, seconds, customers
    )
    with logbook.NullHandler().applicationbound():
        return replay(deployment, 1, {}).run().requests


def equal_shares(requests) -> Counter:
    """Return how many requests of each customer an equal share would serve.

    Each customer has its part of the capacity for itself, and serves no request that
    its caller would not wait for.
    """
    per_customer_s = len(CUSTOMERS) * TOKENS / (PREFILLS * RATE)
    served, free_at_s = Counter(), defaultdict(float)
    for arrival, _end in sorted(requests, key=lambda item: item[0].at_s):
        name = arrival.customer
        ends_at_s = max(arrival.at_s, free_at_s[name]) + per_customer_s
        if ends_at_s <= arrival.at_s + CALLER_LEAVES_S:
            served[name] += 1
            free_at_s[name] = ends_at_s
    return served


class SuccessorReplay(FleetReplay):
    """Replay in which a scheduler without state takes over after 8 s."""

    async def _play(self):
        async with curio.TaskGroup() as group:
            await group.spawn(self._replace_scheduler)
            await super()._play()

    async def _replace_scheduler(self):
        await curio.sleep(8.0)
        log = EventLog("successor")
        estimates = FleetEstimates.from_registry(self._estimates.registry)
        parts = SchedulingParts.from_estimates(estimates, lambda: self._table, log)
        self._estimates = estimates
        self._estimate_updater = EstimateUpdater(estimates, log)
        self._scheduler = Scheduler(
            parts, SharedRetryBudget(0.2, 56.0, 10.0, lambda: 1)
        )


class UrgentReplay(FleetReplay):
    """Replay of the requests of priority 0 alone, at the times of all."""

    async def _send_request(self, arrival):
        if arrival.kind.priority == 0:
            await super()._send_request(arrival)


class LargeCustomerTest(unittest.TestCase):
    """Load: 80 small customers, and one that sends 20 times as much as each of them."""

    def check(self, load, replay=FleetReplay):
        requests = play((long_kind(load * CALLS_PER_S),), replay=replay)
        served = Counter(item.customer for item, end in requests if end in SERVED)
        asked = Counter(item.customer for item, _end in requests)
        least = equal_shares(requests)
        below = {
            item.name: (served[item.name], least[item.name])
            for item in SMALL
            if served[item.name] < least[item.name]
        }
        self.assertEqual(below, {})
        small_served = sum(served.values()) - served["large"]
        small_asked = sum(asked.values()) - asked["large"]
        self.assertGreater(small_served / small_asked, served["large"] / asked["large"])
        # The order leaves no capacity unused.
        capacity = CALLS_PER_S * 20.0
        self.assertGreater(sum(served.values()), 0.9 * min(capacity, len(requests)))

    def test_small_customers_have_their_share_at_1_2_times_the_capacity(self):
        self.check(1.2)

    def test_small_customers_have_their_share_at_twice_the_capacity(self):
        self.check(2.0)

    def test_small_customers_have_their_share_at_4_times_the_capacity(self):
        self.check(4.0)

    def test_new_scheduler_without_state_keeps_the_shares(self):
        """The scheduler ends in the overload; nobody tells its successor the order."""
        self.check(2.0, SuccessorReplay)


class OtherEnginesTest(unittest.TestCase):
    """Load: 1.5 times the capacity of long prompts; short ones need other engines."""

    def test_short_prompts_wait_for_no_long_ones_of_other_customers(self):
        """Those of a customer that had more than its share, too: nobody would gain."""
        kinds = (long_kind(1.5 * CALLS_PER_S, 0, 0.3), short_kind(150.0))
        ends = defaultdict(Counter)
        for arrival, end in play(kinds):
            ends[arrival.kind.name, arrival.customer == LARGE.name][end] += 1
        self.assertGreater(ends["long", True]["refused"], 0)
        for is_large in (False, True):
            short = ends["short", is_large]
            with self.subTest(large=is_large):
                self.assertGreaterEqual(short["in time"] / short.total(), 0.99)


class KindsTest(unittest.TestCase):
    """Load: twice as many long prompts as usual for 2.8 s and 14 s, and few short."""

    LONG_PER_S = 0.8 * CALLS_PER_S
    SHORT_PER_S = 150.0

    def kinds(self, long_priority, short_priority):
        return (
            long_kind(self.LONG_PER_S, long_priority, 0.3),
            short_kind(self.SHORT_PER_S, short_priority),
        )

    def play(self, long_priority, short_priority, urgent_alone=False):
        """Return (arrival, end) by priority."""
        peaks = [
            Peak(start, end, factor, kind)
            for start, end in BURSTS
            for kind, factor in (("long", 2.0), ("short", 0.4))
        ]
        peaks += [Peak(9.0, 11.8, 2.0, "short"), Peak(9.0, 11.8, 0.4, "long")]
        kinds = self.kinds(long_priority, short_priority)
        replay = UrgentReplay if urgent_alone else FleetReplay
        by_priority = defaultdict(list)
        for item in play(kinds, tuple(peaks), 30.0, SMALL[:20], replay):
            by_priority[item[0].kind.priority].append(item)
        return by_priority

    def served_in_bursts(self, requests):
        """Return how many requests of each burst are served, and of the other time."""
        served = Counter()
        for arrival, end in requests:
            burst = next(
                (item for item in BURSTS if item[0] <= arrival.at_s < item[1]), None
            )
            served[burst] += end in SERVED
        return served

    def test_calls_with_free_engines_are_served_beside_urgent_long_prompts(self):
        """Short prompts need other engines, which can serve all of them in time."""
        requests = self.play(0, 2)
        long_ends = Counter(end for _item, end in requests[0])
        self.assertGreater(long_ends["refused"], 0)
        ends = Counter(end for _item, end in requests[2])
        self.assertGreaterEqual(ends["in time"] / ends.total(), 0.99)
        self.assertEqual(ends["refused"], 0)

    def test_urgent_long_prompts_are_served_as_if_they_were_alone(self):
        """Work that short prompts leave on shared engines may cost one in a hundred."""
        beside = self.served_in_bursts(self.play(0, 2)[0])
        alone = self.served_in_bursts(self.play(0, 2, urgent_alone=True)[0])
        for burst, served in alone.items():
            with self.subTest(burst=burst):
                self.assertGreaterEqual(beside[burst], 0.99 * served)

    def test_urgent_short_prompts_are_served_beside_long_ones(self):
        requests = self.play(2, 0)
        ends = Counter(end for _item, end in requests[0])
        self.assertEqual(ends["refused"], 0)
        self.assertGreater(ends["in time"] / ends.total(), 0.99)

    def test_less_urgent_kind_alone_uses_all_room(self):
        """A kind that is held back without need would leave engines unused."""
        ends = []
        for priority in (0, 2):
            kinds = (long_kind(1.2 * CALLS_PER_S, priority, 0.3),)
            requests = play(kinds, (), 10.0, SMALL[:20])
            ends.append([(item.number, end) for item, end in requests])
        self.assertEqual(*ends)


class WithoutCustomersTest(unittest.TestCase):
    """Without customers, priorities of routes have no effect on the order."""

    def test_priorities_of_routes_change_nothing(self):
        ends = []
        for priority in (0, 2):
            kinds = (long_kind(1.5 * CALLS_PER_S, 0, 0.3), short_kind(40.0, priority))
            requests = play(kinds, (), 8.0, ())
            ends.append([(item.number, end) for item, end in requests])
        self.assertEqual(*ends)
        self.assertIn("refused", {end for _number, end in ends[0]})


class CustomerServiceReplay(ServiceReplay):
    """Replay of plain calls, 20 of 100 from one customer and one from each other."""

    def __init__(self, load: Load):
        super().__init__(load)
        self._customer_rng = random.Random(1)
        self.customers: dict[float, str] = {}
        self.ends: dict[float, str] = {}

    async def _run(self, entry, call, asked_at_s, second):
        if asked_at_s not in self.customers:
            weights = [item.weight for item in CUSTOMERS]
            (customer,) = self._customer_rng.choices(CUSTOMERS, weights)
            self.customers[asked_at_s] = customer.name
        call.customer = self.customers[asked_at_s]
        outcome = await super()._run(entry, call, asked_at_s, second)
        self.ends[asked_at_s] = outcome[0]
        return outcome


class PlainServiceTest(unittest.TestCase):
    """Load: a large customer beside 80 small ones on three uneven plain upstreams."""

    SERVICE_S = 0.2

    def check(self, load, tolerance=0):
        demand = {zone: load for zone in ZONES}
        spec = Load(self.SERVICE_S, SPEEDS, demand, amplitude=0.0)
        replay = CustomerServiceReplay(spec)
        replay.run()
        per_customer_s = len(CUSTOMERS) / spec.capacity
        served, least, free_at_s = Counter(), Counter(), defaultdict(float)
        for asked_at_s, name in sorted(replay.customers.items()):
            served[name] += replay.ends[asked_at_s] in SERVED
            ends_at_s = max(asked_at_s, free_at_s[name]) + per_customer_s
            if ends_at_s <= asked_at_s + spec.deadline_s:
                least[name] += 1
                free_at_s[name] = ends_at_s
        below = {
            item.name: (served[item.name], least[item.name])
            for item in SMALL
            if served[item.name] < least[item.name] - tolerance
        }
        self.assertEqual(below, {})
        asked = Counter(replay.customers.values())
        shares = [served[item.name] / asked[item.name] for item in SMALL]
        self.assertGreater(min(shares), served["large"] / asked["large"])

    def test_small_customers_have_their_share_at_1_2_times_the_capacity(self):
        self.check(1.2)

    def test_small_customers_have_their_share_at_twice_the_capacity(self):
        self.check(2.0)

    def test_small_customers_have_their_share_at_4_times_the_capacity(self):
        """Service times vary by 30%, unlike those of an equal share: 2 of 21 calls."""
        self.check(4.0, tolerance=2)
