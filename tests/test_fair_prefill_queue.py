"""The prefill queue of a deployment with customers, without a network."""

import unittest
from types import SimpleNamespace

from wisteriaarch.request.fair_prefill_queue import FairPrefillQueue
from wisteriaarch.request.prefill_queue import PrefillQueue, QueuedCall
from wisteriaarch.request.prefill_queues import PrefillQueues
from wisteriaarch.request.priority_balance import PriorityBalance

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

    def fill(self, customer, priority=1, arrived_at_s=0.0, tokens=100, free=False):
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
        self.queue.record_dispatched(call("large"), 5_000, True)
        self.assertTrue(self.queue.must_wait(call("large")))
        self.assertFalse(self.queue.must_wait(call("other")))


class PrioritiesTest(QueueCase):
    """Two kinds of calls, of which the urgent one waits for engines."""

    def served(self, priority, dispatched, arrived):
        for number in range(arrived):
            item = call("a", priority)
            self.queue.record_arrival(item)
            if number < dispatched:
                self.queue.record_dispatched(item, 10, True)

    def test_less_urgent_kind_waits_while_the_urgent_one_is_not_served(self):
        self.fill("a", 0)
        self.served(0, 0, 4)
        self.assertTrue(self.queue.must_wait(call("b", 2)))
        self.fill("b", 2, free=True)
        self.assertEqual(list(self.queue.poll()), [])

    def test_less_urgent_kind_uses_other_engines_while_it_is_served_less(self):
        """Free engines would stay unused for as long as urgent calls wait."""
        self.fill("a", 0)
        self.served(0, 9, 10)
        self.served(2, 4, 10)
        free = self.fill("b", 2, free=True)
        self.assertFalse(self.queue.must_wait(call("b", 2)))
        self.assertEqual(list(self.queue.poll()), [free])

    def test_kind_that_is_held_back_is_refused_before_the_urgent_one(self):
        """It would be served after the overload, in which urgent calls were refused."""
        urgent = self.fill("a", 0)
        self.served(0, 1, 4)
        held = self.fill("b", 2, free=True)
        self.assertEqual(list(self.queue.poll()), [])
        self.now = 0.5
        self.queue.record_refused(call("a", 0))
        self.assertEqual([item.decision for item in self.queue.poll()], ["refused"])
        self.assertNotIn(held, self.queue._calls)
        self.assertIn(urgent, self.queue._calls)

    def test_kind_alone_is_never_held_back(self):
        free = self.fill("b", 2, free=True)
        self.assertFalse(self.queue.must_wait(call("c", 2)))
        self.assertEqual(list(self.queue.poll()), [free])

    def test_balance_forgets_after_some_seconds(self):
        """An overload that is over would hold back a kind for long."""
        balance = PriorityBalance(lambda: self.now)
        for _ in range(10):
            balance.record_arrival(0)
            balance.record_arrival(2)
        self.assertFalse(balance.may_overtake(2, {0}))
        self.now = 8.0
        for _ in range(10):
            balance.record_arrival(0)
            balance.record_dispatched(0, True)
            balance.record_arrival(2)
        self.assertTrue(balance.may_overtake(2, {0}))


class ConfigurationTest(unittest.TestCase):
    def test_queue_depends_on_the_configuration_in_force(self):
        """A deployment without customers keeps its order."""
        has_customers = False
        queues = PrefillQueues(lambda: has_customers)
        self.assertIs(type(queues.of("s")), PrefillQueue)
        has_customers = True
        self.assertIs(type(queues.of("s")), FairPrefillQueue)
        self.assertEqual(queues.waiting("s"), [])
