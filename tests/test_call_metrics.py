"""Counters and histograms of calls on routes, as they are shown."""

import unittest
from types import SimpleNamespace

import curio

from wisteriaarch.errors import ErrorKind, Ran, RequestError
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.metrics import Count, Duration, Gauge, Metrics
from wisteriaarch.request.call_metrics import CallMetrics
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.version.route_table import CallKind, Route

OBJECTIVE_S = 0.5


class CallMetricsTest(unittest.TestCase):
    def setUp(self):
        self.metrics = Metrics()
        self.calls = CallMetrics(self.metrics)

    def measure(self, raised=None, status=200, first_s=0.1):
        route = Route("r", "h", "/", CallKind.STREAM, (), 5.0, OBJECTIVE_S)
        arrived_at_s = now_s() - 2.0
        call = RoutedCall(
            "id", route, "s", "GET", "/", [], b"", arrived_at_s, arrived_at_s + 5
        )
        relay = SimpleNamespace(status=status, first_event_at_s=None)
        if first_s is not None:
            relay.first_event_at_s = arrived_at_s + first_s
        with self.calls.measure(call, relay):
            if raised is not None:
                raise raised

    def shown(self, outcome, cause) -> bool:
        labels = f'kind="stream",outcome="{outcome}",cause="{cause}"'
        line = f"wisteriaarch_calls_total{{{labels}}} 1\n"
        return line in self.metrics.render()

    def test_outcome_depends_on_the_objective(self):
        self.measure(first_s=0.1)
        self.measure(first_s=OBJECTIVE_S + 0.1)
        self.assertTrue(self.shown("in_time", "200"))
        self.assertTrue(self.shown("late", "200"))
        late_s = self.metrics.quantile_s(
            Duration.CALL_FIRST_EVENT, 0.5, "stream", "late"
        )
        self.assertAlmostEqual(late_s, OBJECTIVE_S + 0.1, delta=0.02)

    def test_calls_are_counted_by_priority_where_there_are_customers(self):
        """Whether refusals follow the order is visible, without names of customers."""
        for priority, label in ((0, "0"), (2, "2"), (40_000, "9")):
            route = Route("r", "h", "/", CallKind.STREAM, (), 5.0, 0.5, priority)
            call = RoutedCall("id", route, "s", "GET", "/", [], b"", now_s(), 1e9)
            call.urgencies = range(10)
            call.customer = "huka270"
            relay = SimpleNamespace(status=200, first_event_at_s=now_s())
            with self.calls.measure(call, relay):
                pass
            line = f'priority_calls_total{{priority="{label}",outcome="in_time"}} 1\n'
            self.assertIn(line, self.metrics.render())
        self.assertNotIn("huka270", self.metrics.render())
        self.measure()
        self.assertEqual(self.metrics.render().count("priority_calls_total{"), 3)

    def test_error_of_an_upstream_is_no_answer_in_time(self):
        self.measure(status=503)
        self.assertTrue(self.shown("upstream_error", "503"))

    def test_refusals_and_failures_carry_their_kind(self):
        for ran, outcome in ((Ran.NO, "refused"), (Ran.UNKNOWN, "failed")):
            exc = RequestError(ErrorKind.UPSTREAM_FAILED, "broke", ran=ran)
            with self.assertRaises(RequestError):
                self.measure(exc, first_s=None)
            self.assertTrue(self.shown(outcome, "upstream_failed"))

    def test_attempts_outside_the_zone_are_counted_by_pair(self):
        """Traffic between zones is charged; operators must see who sends it."""
        self.calls.record_zone("run", "z1", "z1")
        for _ in range(2):
            self.calls.record_zone("run", "z1", "z2")
        name = "wisteriaarch_attempts_outside_zone_total"
        labels = 'stage="run",zone="z1",upstream_zone="z2"'
        lines = [line for line in self.metrics.render().split("\n") if name in line]
        self.assertEqual(lines[2:], [f"{name}{{{labels}}} 2"])

    def test_disconnected_caller_is_counted(self):
        with self.assertRaises(curio.TaskCancelled):
            self.measure(curio.TaskCancelled("left"))
        self.assertTrue(self.shown("left", "TaskCancelled"))


class RenderTest(unittest.TestCase):
    def test_histograms_have_a_series_for_each_set_of_labels(self):
        metrics = Metrics()
        metrics.observe(Duration.ATTEMPT, 0.25, "prefill", "answered")
        metrics.observe(Duration.ATTEMPT, 1.5, "run", "silent")
        text = metrics.render()
        self.assertIn(
            'wisteriaarch_attempt_seconds{stage="run",cause="silent",quantile="0.5"}',
            text,
        )
        self.assertIn(
            'wisteriaarch_attempt_seconds_count{stage="prefill",cause="answered"} 1',
            text,
        )

    def test_names_from_outside_cannot_break_the_format(self):
        gauges = {Gauge.RETRIES_LEFT: {('a"b\\c\nd',): 1.0}}
        text = Metrics().render(gauges)
        self.assertIn('{service="a\\"b\\\\c\\nd"} 1', text)

    def test_every_label_has_a_value(self):
        metrics = Metrics()
        metrics.count(Count.CALLS, "stream")
        with self.assertRaises(ValueError):
            metrics.render()
