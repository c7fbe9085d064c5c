"""One customer's burst delays and displaces no other customer's calls."""

import random
import unittest
from dataclasses import dataclass

from wisteriaarch.request.fair_queue import DEMAND_S, FairOrder, Turn

CUSTOMERS = 830


@dataclass(eq=False)
class Call:
    """A waiting call of a test."""

    turn: Turn
    cost: float = 1.0
    on_time_until_s: float = 10.0


def call(customer, arrived_at_s=0.0, priority=1, prioritized=False, **more) -> Call:
    return Call(Turn(priority, customer, arrived_at_s, prioritized), **more)


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.order = FairOrder()

    def enter(self, *calls):
        for item in calls:
            self.order.enter(item.turn)

    def serve(self, calls, count, at_s=0.0):
        """Dispatch calls one after the other; returns their customers."""
        left, served = list(calls), []
        for _ in range(count):
            first = self.order.sort(left, at_s)[0]
            left.remove(first)
            self.order.charge(first.turn, first.cost, left, at_s)
            served.append(first.turn.customer)
        return served

    def test_more_urgent_priority_goes_first(self):
        calls = [call("a", 0.0, 2), call("b", 0.1, 0), call("c", 0.2, 1)]
        self.assertEqual(
            [item.turn.priority for item in self.order.sort(calls, 0.3)], [0, 1, 2]
        )

    def test_burst_waits_behind_the_customers_own_calls(self):
        """A burst that came first would delay every other customer by its length."""
        calls = [call("large", number / 100) for number in range(50)]
        calls += [call(f"small{number}", 1.0) for number in range(5)]
        self.enter(*calls)
        served = self.serve(calls, 10)
        self.assertEqual(served[0], "large")
        self.assertEqual(served[1:6], [f"small{number}" for number in range(5)])

    def test_shares_are_of_work_and_not_of_calls(self):
        """A customer of long prompts would get a multiple of the capacity of others."""
        calls = [call("long", number, cost=4.0) for number in range(20)]
        calls += [call("short", number, cost=1.0) for number in range(40)]
        self.enter(*calls)
        served = self.serve(calls, 25)
        self.assertEqual(served.count("long"), 5)

    def test_one_customer_alone_is_served_in_order_of_arrival(self):
        """Without customers, priorities or load the order is that of arrival."""
        calls = [call("", number / 10) for number in range(9)]
        random.Random(1).shuffle(calls)
        order = self.order.sort(calls, 1.0)
        self.assertEqual(order, sorted(calls, key=lambda item: item.turn.arrived_at_s))

    def test_calls_on_time_go_before_overdue_ones_of_the_same_priority(self):
        overdue = call("a", 0.0, on_time_until_s=0.5)
        on_time, urgent = call("b", 0.9), call("c", 0.0, 0, on_time_until_s=0.1)
        self.assertEqual(
            self.order.sort([overdue, on_time, urgent], 1.0), [urgent, on_time, overdue]
        )

    def test_starving_size_goes_first_within_its_customers_turn_only(self):
        """Prioritized prompts of a burst would go before other customers' calls."""
        calls = [call("large", 0.0), call("large", 0.1, prioritized=True)]
        calls += [call("large", 0.2, prioritized=True), call("small", 0.3)]
        order = self.order.sort(calls, 1.0)
        self.assertEqual(
            [(item.turn.customer, item.turn.arrived_at_s) for item in order],
            [("large", 0.1), ("small", 0.3), ("large", 0.2), ("large", 0.0)],
        )

    def test_idle_customer_gains_no_credit(self):
        """A customer that comes back would take all capacity for a while."""
        calls = [call("busy", number) for number in range(40)]
        self.enter(*calls)
        for item in calls[:20]:
            self.order.charge(item.turn, item.cost, calls[20:], 0.0)
        late = [call("new", 50.0 + number) for number in range(20)]
        self.enter(*late)
        served = self.serve(calls[20:] + late, 10)
        self.assertEqual(served.count("new"), 5)

    def test_customer_served_out_of_turn_keeps_no_advantage(self):
        """Calls on time of a burst overtake overdue ones; this must be made up for."""
        overdue = [call("small", n / 10, on_time_until_s=0.0) for n in range(4)]
        large = [call("large", 1.0 + n / 10) for n in range(4)]
        self.enter(*overdue, *large)
        self.assertEqual(self.serve(overdue + large, 4, 2.0), ["large"] * 4)
        new = [call("large", 3.0), call("other", 3.1)]
        self.enter(*new)
        left = overdue + new
        self.assertEqual(self.serve(left, 2, 3.2), ["other", "large"])

    def test_refusal_costs_a_customer_no_turn(self):
        """A customer whose overdue calls are refused would start behind again."""
        calls = [call("busy", number) for number in range(40)]
        self.enter(*calls)
        self.order.refuse(Turn(1, "refused", 0.5), 0.5)
        self.serve(calls, 4, 1.0)
        again = call("refused", 2.0)
        self.enter(again)
        self.assertEqual(self.serve([*calls[4:], again], 1, 2.0), ["refused"])

    def test_cost_ahead_is_that_of_calls_that_go_before(self):
        calls = [call("large", number / 10) for number in range(10)]
        calls += [call("small", 1.0), call("x", 0.0, 2), call("y", 0.0, 0)]
        self.enter(*calls)

        def ahead(customer, **more):
            return self.order.cost_ahead(Turn(1, customer, 2.0), calls, 2.0, **more)

        self.assertEqual(ahead("large"), 1 + 1 + 10)
        self.assertEqual(ahead("new"), 1 + 1 + 1)
        self.assertEqual(ahead("new", is_overdue=True), 1 + 1 + 10)


class StateTest(unittest.TestCase):
    """A scheduler serves 830 customers for days."""

    def test_state_is_bounded_by_the_customers_that_are_active(self):
        order, rng = FairOrder(), random.Random(1)
        waiting = [call("waits")]
        order.enter(waiting[0].turn)
        for number in range(5 * CUSTOMERS):
            item = call(f"c{number % CUSTOMERS}", priority=rng.choice((0, 2)))
            order.enter(item.turn)
            order.charge(item.turn, 1.0, [*waiting, item], 0.0)
            self.assertLessEqual(len(order), 3)
        order.charge(waiting[0].turn, 1.0, [], 0.0)
        self.assertEqual(len(order), 0)

    def test_refused_customers_are_dropped_after_a_short_time(self):
        order, waiting = FairOrder(), [call("waits")]
        order.enter(waiting[0].turn)
        for number in range(CUSTOMERS):
            order.refuse(Turn(1, f"c{number}", 0.0), 0.0)
        self.assertEqual(len(order), CUSTOMERS + 1)
        order.charge(Turn(1, "next", 0.0), 1.0, waiting, DEMAND_S + 0.1)
        self.assertLessEqual(len(order), 2)

    def test_customers_ahead_of_the_waiting_ones_are_kept_until_reached(self):
        order = FairOrder()
        waiting = [call("waits", number) for number in range(9)]
        order.enter(waiting[0].turn)
        order.charge(Turn(1, "burst", 0.0), 3.0, waiting, 0.0)
        self.assertEqual(len(order), 2)
        for _ in range(3):
            order.charge(waiting.pop().turn, 1.0, waiting, 0.0)
        self.assertEqual(len(order), 1)

    def test_new_scheduler_orders_what_it_sees(self):
        """The scheduler ends in a burst, and its successor has no state."""
        successor = FairOrder()
        calls = [call("large", number / 100) for number in range(50)]
        calls += [call("small", 1.0)]
        self.assertEqual(successor.sort(calls, 1.0)[1].turn.customer, "small")
