"""The prefill queue of a deployment with customers, without a network."""

import unittest
from dataclasses import dataclass, field
from types import SimpleNamespace

from wisteriaarch.process.upstreams import Stage
from wisteriaarch.request.fair_prefill_queue import FairPrefillQueue
from wisteriaarch.request.prefill_queue import PrefillQueue, QueuedCall
from wisteriaarch.request.prefill_queues import PrefillQueues

RATE = 1_000.0
ON_TIME_S = 1.0
DEADLINE_S = 5.0


def call(customer, priority=1, arrived_at_s=0.0) -> SimpleNamespace:
    """Return what the queue reads of a routed call."""
    return SimpleNamespace(
        customer=customer,
        priority=priority,
        arrived_at_s=arrived_at_s,
        prioritized=False,
    )


class QueueCase(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.queue = FairPrefillQueue(lambda: self.now)
        self.free = False

    def fill(
        self,
        customer,
        priority=1,
        arrived_at_s=0.0,
        tokens=100,
        free=False,
        stage=None,
    ):
        item = QueuedCall(
            arrived_at_s,
            arrived_at_s + ON_TIME_S,
            arrived_at_s + DEADLINE_S,
            False,
            tokens,
            RATE,
            lambda: "placed" if free or self.free else None,
            lambda: "refused",
            priority,
            customer,
            stage,
        )
        self.queue._order.enter(item.turn)
        self.queue._calls.append(item)
        return item

    def wait_s(self, item, within_s=ON_TIME_S):
        return self.queue.expected_wait_s(self.queue.order_of(item), within_s, RATE)


class CustomersTest(QueueCase):
    """A large customer sends a burst; others send as usual."""

    def test_burst_is_dispatched_behind_other_customers(self):
        self.free = True
        burst = [self.fill("large", arrived_at_s=n / 100) for n in range(4)]
        small = self.fill("small", arrived_at_s=0.5)
        self.assertEqual(list(self.queue.poll()), [burst[0], small, *burst[1:]])

    def test_expected_wait_follows_the_order(self):
        """The burst is refused by its own length, and others aren't."""
        for number in range(20):
            self.fill("large", arrived_at_s=number / 100)
        self.assertAlmostEqual(self.wait_s(call("small", arrived_at_s=0.5)), 0.1)
        self.assertGreaterEqual(self.wait_s(call("large", arrived_at_s=0.5)), 2.0)

    def test_unservable_calls_are_those_of_the_burst(self):
        for number in range(80):
            self.fill("large", arrived_at_s=number / 100)
        small = self.fill("small", arrived_at_s=0.9)
        refused = [item.customer for item in self.queue.poll()]
        self.assertEqual(set(refused), {"large"})
        self.assertIn(small, self.queue._calls)

    def test_short_prompt_waits_only_if_its_customer_is_ahead(self):
        """Many short prompts of one customer would take the share of others."""
        self.fill("small")
        self.assertFalse(self.queue.must_wait(call("large")))
        self.queue.record_dispatched(call("large"), 5_000)
        self.assertTrue(self.queue.must_wait(call("large")))
        self.assertFalse(self.queue.must_wait(call("other")))


class PrioritiesTest(QueueCase):
    """Two kinds of calls, of which the urgent one waits for engines."""

    def test_call_whose_engines_are_free_never_waits_for_more_urgent_ones(self):
        """No urgent call would be served sooner if it did."""
        urgent = self.fill("a", 0)
        self.queue.record_refused(call("a", 0))
        self.assertFalse(self.queue.must_wait(call("b", 2)))
        free = self.fill("b", 2, free=True)
        self.assertEqual(list(self.queue.poll()), [free])
        self.assertEqual(free.decision, "placed")
        self.assertIn(urgent, self.queue._calls)

    def test_urgent_call_goes_first_where_both_want_the_same_engine(self):
        self.free = True
        later = self.fill("b", 2)
        urgent = self.fill("a", 0, arrived_at_s=0.5)
        self.assertEqual(list(self.queue.poll()), [urgent, later])

    def test_less_urgent_long_prompt_takes_no_engine_that_an_urgent_one_may_use(self):
        """The engine that has the prefix of the urgent one is busy for a moment."""
        urgent = self.fill("a", 0, stage=Stage.PREFILL)
        later = self.fill("b", 2, free=True, stage=Stage.PREFILL)
        self.assertEqual(list(self.queue.poll()), [])
        self.queue._calls.remove(urgent)
        self.assertEqual(list(self.queue.poll()), [later])

    def test_overdue_prompt_takes_no_engine_that_one_on_time_may_use(self):
        """It would make that one overdue, too."""
        self.now = ON_TIME_S + 0.5
        on_time = self.fill("a", arrived_at_s=self.now, stage=Stage.PREFILL)
        overdue = self.fill("b", free=True, stage=Stage.PREFILL)
        self.assertEqual(list(self.queue.poll()), [])
        self.queue._calls.remove(on_time)
        self.assertEqual(list(self.queue.poll()), [overdue])

    def test_call_with_a_free_engine_is_not_refused_for_the_work_of_others(self):
        for _ in range(60):
            self.fill("a", 0, tokens=200)
        free = self.fill("b", 2, free=True)
        decided = {item: item.decision for item in self.queue.poll()}
        self.assertEqual(decided[free], "placed")

    def test_less_urgent_call_is_refused_first_where_both_want_the_same_engine(self):
        """The work of the urgent ones leaves no time for it."""
        for _ in range(33):
            self.fill("a", 0, tokens=200)
        behind = self.fill("b", 2)
        self.assertEqual(list(self.queue.poll()), [behind])
        self.assertEqual(behind.decision, "refused")


@dataclass
class Trial:
    """Calls by their ends: placed at once, after a wait, or refused."""

    at_once: int = 0
    waited_s: list[float] = field(default_factory=list)
    refused: int = 0

    @property
    def placed(self) -> int:
        return self.at_once + len(self.waited_s)


class UnrelatedOverloadTest(unittest.TestCase):
    """Load: for 20 s twice the urgent long prompts that their engines can prefill.

    Less urgent calls need other engines, which are free all the time.
    """

    LENGTH_S = 20.0
    STEP_S = 0.01
    URGENT_PER_S = 10
    OTHERS_PER_S = 25
    TOKENS = 200

    def play(self, others_per_s: float) -> dict[int, Trial]:
        """Return the ends of calls by priority."""
        self.now, self.busy_until_s = 0.0, 0.0
        self.queue = FairPrefillQueue(lambda: self.now)
        self.trials = {0: Trial(), 2: Trial()}
        due_s = {0: 0.0, 2: 0.0}
        steps = {0: 1 / self.URGENT_PER_S}
        if others_per_s:
            steps[2] = 1 / others_per_s
        while self.now < self.LENGTH_S:
            for priority, step_s in steps.items():
                while due_s[priority] <= self.now:
                    self.arrive(priority)
                    due_s[priority] += step_s
            for item in self.queue.poll():
                self.end(item)
            self.now += self.STEP_S
        return self.trials

    def arrive(self, priority: int) -> None:
        arriving = call("a", priority, self.now)
        is_waiting = len(self.queue) > 0 and (
            priority == 0 or self.queue.must_wait(arriving)
        )
        decide = self.place_urgent if priority == 0 else lambda: "placed"
        if not is_waiting and decide() is not None:
            self.queue.record_dispatched(arriving, self.TOKENS)
            self.trials[priority].at_once += 1
            return
        item = QueuedCall(
            self.now,
            self.now + ON_TIME_S,
            self.now + DEADLINE_S,
            False,
            self.TOKENS,
            RATE,
            decide,
            lambda: "refused",
            priority,
            "a",
        )
        self.queue._order.enter(item.turn)
        self.queue._calls.append(item)

    def place_urgent(self) -> str | None:
        if self.busy_until_s > self.now:
            return None
        self.busy_until_s = self.now + self.TOKENS / RATE
        return "placed"

    def end(self, item: QueuedCall) -> None:
        trial, turn = self.trials[item.priority], call("a", item.priority)
        if item.decision == "refused":
            trial.refused += 1
            self.queue.record_refused(turn)
            return
        trial.waited_s.append(self.now - item.arrived_at_s)
        self.queue.record_dispatched(turn, item.tokens)

    def test_calls_with_free_engines_are_placed_at_once(self):
        others = self.play(self.OTHERS_PER_S)[2]
        self.assertEqual(others.refused, 0)
        self.assertEqual(others.waited_s, [])
        self.assertGreaterEqual(others.placed, self.LENGTH_S * self.OTHERS_PER_S - 1)

    def test_urgent_calls_lose_nothing_by_the_others(self):
        alone, beside = self.play(0)[0], self.play(self.OTHERS_PER_S)[0]
        self.assertEqual(beside.placed, alone.placed)
        self.assertEqual(beside.waited_s, alone.waited_s)
        self.assertEqual(beside.refused, alone.refused)


class ConfigurationTest(unittest.TestCase):
    def test_queue_depends_on_the_configuration_in_force(self):
        """A deployment without customers keeps its order."""
        has_customers = False
        queues = PrefillQueues(lambda: has_customers)
        self.assertIs(type(queues.of("s")), PrefillQueue)
        has_customers = True
        self.assertIs(type(queues.of("s")), FairPrefillQueue)
        self.assertEqual(queues.waiting("s"), [])
