"""Request-Urgency follows priorities where the configuration has customers.

An engine admits lower values first and preempts higher ones first.
"""

import unittest

from wisteriaarch.process.clock import now_s
from wisteriaarch.request.routed_call import Prompt, RoutedCall
from wisteriaarch.request.urgency import (
    prefill_urgency,
    run_urgency,
    urgency_of,
    urgency_range,
)
from wisteriaarch.version.customers import Customer, CustomerDirectory, key_digest
from wisteriaarch.version.route_table import CallKind, Route, RouteTable

from .customer_support import check_for

SIZES = (1, 500, 2_000, 8_000, 32_000, 130_000, 500_000)


def route(priority: int) -> Route:
    return Route(f"r{priority}", "", "", CallKind.STREAM, (), 5.0, 0.5, priority)


def table(priorities, customers=()) -> RouteTable:
    directory = CustomerDirectory.from_customers(customers)
    routes = tuple(
        Route(f"r{item}", "", "", CallKind.STREAM, (), 5.0, 0.5, item, public=True)
        for item in priorities
    )
    return RouteTable(1, routes, {}, directory)


def admitted(config, priority, tokens) -> RoutedCall:
    public = next(item for item in config.routes if item.priority == priority)
    now = now_s()
    req = RoutedCall(
        "c", public, "s", "POST", "/", [], b"", now, now + 5, Prompt(tokens, 9)
    )
    check_for(config).admit(req, config)
    return req


class UrgencyTest(unittest.TestCase):
    def test_more_urgent_priority_is_lower_whatever_the_size(self):
        """A long prompt of an urgent kind would be preempted by short ones."""
        for priorities in ((0, 2), (0, 1, 2), (1, 5, 7, 40, 999), tuple(range(10))):
            config = table(priorities)
            with self.subTest(priorities=priorities):
                values = [
                    [prefill_urgency(admitted(config, item, size)) for size in SIZES]
                    for item in priorities
                ]
                for own, less_urgent in zip(values, values[1:], strict=False):
                    self.assertLess(max(own), min(less_urgent))
                flat = sum(values, [])
                self.assertGreaterEqual(min(flat), 0)
                self.assertLessEqual(max(flat), 9)

    def test_sizes_order_calls_of_one_priority(self):
        config = table((0, 2))
        for priority in (0, 2):
            values = [
                prefill_urgency(admitted(config, priority, size)) for size in SIZES
            ]
            self.assertEqual(values, sorted(values))
            self.assertGreater(values[-1], values[0])

    def test_more_than_ten_priorities_keep_their_order(self):
        known = range(12)
        lowest = [urgency_range(item, known)[0] for item in known]
        self.assertEqual(lowest, [*range(10), 9, 9])

    def test_run_states_the_same_urgency(self):
        """The default of 5 would mix the priorities of running streams."""
        config = table((0, 2))
        for priority in (0, 2):
            req = admitted(config, priority, 3_000)
            self.assertEqual(run_urgency(req), prefill_urgency(req))

    def test_priority_of_a_customer_counts(self):
        customers = [Customer("a", frozenset((key_digest("k"),)), 0)]
        config = table((2,), customers)
        req = admitted(config, 2, 3_000)
        self.assertIn(prefill_urgency(req), range(5, 10))
        req.key_digest = key_digest("k")
        check_for(config).check_again(req)
        self.assertIn(prefill_urgency(req), range(5))

    def test_without_customers_only_the_size_of_a_prefill_counts(self):
        config = RouteTable(1, (route(2),), {})
        now = now_s()
        for size in SIZES:
            req = RoutedCall(
                "c", route(2), "s", "POST", "/", [], b"", now, now + 5, Prompt(size, 9)
            )
            check_for(config).admit(req, config)
            self.assertEqual(prefill_urgency(req), urgency_of(size))
            self.assertIsNone(run_urgency(req))
