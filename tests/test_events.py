"""Log events and the form of their lines."""

import io
import json
import logging
import unittest
from unittest import mock

from wisteriaarch.event_log import EventLog
from wisteriaarch.events import Event
from wisteriaarch.log_budget import LogBudget
from wisteriaarch.log_handler import open_log, redirect_library_logging


class EventsTest(unittest.TestCase):
    def test_numbers_are_unique(self):
        numbers = [event.value.number for event in Event]
        self.assertEqual(len(numbers), len(set(numbers)))

    def test_json_line_holds_the_fields(self):
        stream = io.StringIO()
        with open_log("json", "info", stream).applicationbound():
            EventLog("entry-1").write(Event.REQUEST_ROUTED, upstream="engine-1")
        line = json.loads(stream.getvalue())
        self.assertEqual(line["event"], 300)
        self.assertEqual(line["upstream"], "engine-1")

    def test_human_line_holds_the_number_and_the_fields(self):
        stream = io.StringIO()
        with open_log("human", "info", stream).applicationbound():
            EventLog("entry-1").write(Event.ENTRY_READY, weighed={"a": 1.5})
        line = stream.getvalue()
        self.assertIn('[101] entry is ready for callers weighed={"a":1.5}', line)

    def test_suppressed_lines_are_counted(self):
        stream = io.StringIO()
        now_s = [0.0]
        budget = LogBudget(10, 1e9, lambda: now_s[0])
        log = EventLog("entry-1")
        with open_log("json", "info", stream, budget).applicationbound():
            for _ in range(100):
                log.write(Event.ATTEMPT_PLACED)
            now_s[0] = 1.5
            log.write(Event.STORE_UNAVAILABLE)
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        placed = sum(line["event"] == 310 for line in lines)
        self.assertLess(placed, 10)
        left_out = [line["lines"] for line in lines if line["event"] == 118]
        self.assertEqual(left_out, [{"310": 100 - placed}])
        self.assertEqual(lines[-1]["event"], 210)

    def test_message_of_a_library_is_an_event(self):
        stream = io.StringIO()
        redirect_library_logging()
        self.addCleanup(logging.getLogger().handlers.clear)
        with open_log("json", "info", stream).applicationbound():
            logging.getLogger("curio.time").warning("took %s", "longer")
        line = json.loads(stream.getvalue())
        self.assertEqual((line["event"], line["library"]), (120, "curio.time"))
        self.assertEqual(line["detail"], "took longer")

    def test_progress_is_written_some_lines_at_a_time_and_failures_at_once(self):
        """Without batching, hundreds of calls a second cost one write for each line."""
        stream = mock.Mock()
        with open_log("json", "info", stream, LogBudget(1e6, 1e9)).applicationbound():
            log = EventLog("entry-1")
            log.write(Event.ATTEMPT_PLACED)
            stream.flush.reset_mock()
            for _ in range(50):
                log.write(Event.ATTEMPT_PLACED)
            self.assertLessEqual(stream.flush.call_count, 1)
            flushes = stream.flush.call_count
            log.write(Event.REQUEST_REFUSED)
            self.assertEqual(stream.flush.call_count, flushes + 1)
        self.assertEqual(stream.write.call_count, 52)
