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


class KindsTest(unittest.TestCase):
    """Load: bursts of 2.8 s and 14 s with twice as many long prompts and few short."""

    LONG_PER_S = 0.8 * CALLS_PER_S
    SHORT_PER_S = 150.0

    def play(self, long_priority, short_priority):
        peaks = [
            Peak(start, end, factor, kind)
            for start, end in BURSTS
            for kind, factor in (("long", 2.0), ("short", 0.4))
        ]
        peaks += [Peak(9.0, 11.8, 2.0, "short"), Peak(9.0, 11.8, 0.4, "long")]
        kinds = (
            long_kind(self.LONG_PER_S, long_priority, 0.3),
            short_kind(self.SHORT_PER_S, short_priority),
        )
        return play(kinds, tuple(peaks), 30.0, SMALL[:20])

    def shares(self, requests, window_of):
        """Return served and asked requests by window and priority."""
        served, asked = defaultdict(Counter), defaultdict(Counter)
        for arrival, end in requests:
            window = window_of(arrival.at_s)
            asked[window][arrival.kind.priority] += 1
            served[window][arrival.kind.priority] += end in SERVED
        return served, asked

    def check_urgent_is_served_most(self, requests):
        """In each burst, and in each second in which any request isn't served.

        Longer windows over the end of a burst would compare calls of different times.
        """
        windows = (
            lambda at_s: next(
                (item for item in BURSTS if item[0] <= at_s < item[1]), 0
            ),
            lambda at_s: int(at_s),
        )
        for window_of in windows:
            served, asked = self.shares(requests, window_of)
            contended = [item for item in asked if served[item] != asked[item]]
            self.assertTrue(contended)
            for window in contended:
                with self.subTest(window=window):
                    # One request more or less is within the resolution of a window.
                    urgent = (served[window][0] + 1) / asked[window][0]
                    self.assertGreaterEqual(
                        urgent, served[window][2] / asked[window][2]
                    )

    def test_urgent_long_prompts_are_served_at_least_as_often(self):
        """Short prompts need other engines and would never wait."""
        requests = self.play(0, 2)
        self.check_urgent_is_served_most(requests)
        short = [end for item, end in requests if item.kind.name == "short"]
        served = sum(end in SERVED for end in short) / len(short)
        self.assertGreater(served, 0.7)

    def test_urgent_short_prompts_are_served_at_least_as_often(self):
        requests = self.play(2, 0)
        self.check_urgent_is_served_most(requests)
        late = [end for item, end in requests if item.kind.priority == 0]
        self.assertGreater(sum(end == "in time" for end in late) / len(late), 0.99)

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
