"""Requests that came late in a planned stop were passed on and then cut (LOST)."""

import http.client
import signal
import threading
import time
import unittest
from dataclasses import replace

from extras.cluster import wait_until
from extras.gateway_cluster import HOST, GatewayCluster, is_ready
from tests.gateway_support import RouteCluster
from tests.test_scheduling import ROUTE, make_call
from wisteriaarch.errors import ErrorKind, RequestError
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.stop_schedule import StopSchedule
from wisteriaarch.request.stop_admission import StopAdmission

GRACE_S = 6.0
KEEP_S = 2.0
EVENT_EVERY_S = 0.35
CALLERS = 6
PAUSE_S = 0.05
TIMEOUT_S = 10.0


class LateRequestTest(RouteCluster):
    """An entry is stopped while callers go on sending streams of 1.4 s to it."""

    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        self.cluster.start_store()
        for name in ("dec-1", "dec-2"):
            self.cluster.start_server(name, "llm", "decode")
            self.cluster.control(name, event_interval_s=EVENT_EVERY_S)
        self.entry = self.cluster.start_gateway(
            stop_grace_s=GRACE_S, callers_keep_s=KEEP_S
        )
        wait_until(lambda: is_ready(self.entry))
        wait_until(lambda: self.stream("warm")[0] == 200)
        self.ends = []

    def stream(self, call_id, conn=None):
        """Send a stream that may not be repeated; returns its status and its end."""
        host, _, port = self.entry.address.rpartition(":")
        conn = conn or http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
        headers = {
            "Host": HOST,
            "Attempt-Id": call_id,
            "Deadline-Remaining": "2000",
            "Model": "m",
            "Token-Counts": "200,40",
        }
        try:
            conn.request("POST", "/chat/x", b"{}", headers)
            answer = conn.getresponse()
            return answer.status, answer.read().count(b"\n\n")
        except (OSError, http.client.HTTPException):
            return 0, 0

    def send_repeatedly(self, number):
        count = 0
        while self.entry.popen.poll() is None:
            count += 1
            call_id = f"late-{number}-{count}"
            sent_at_s = time.monotonic()
            status, events = self.stream(call_id)
            self.ends.append((sent_at_s, call_id, status, events))
            time.sleep(PAUSE_S)

    def test_no_request_of_a_planned_stop_is_passed_on_and_cut(self):
        threads = [
            threading.Thread(target=self.send_repeatedly, args=(number,))
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
            time.sleep(EVENT_EVERY_S)
        stopped_at_s = time.monotonic()
        self.entry.send_signal(signal.SIGTERM)
        self.entry.wait()
        for thread in threads:
            thread.join()
        ran = {
            call
            for name in ("dec-1", "dec-2")
            for call in self.cluster.control(name)["ran"]
        }
        ends = [item for item in self.ends if item[0] >= stopped_at_s]
        cut = [
            call_id
            for _at_s, call_id, status, events in ends
            if call_id in ran and (status, events) != (200, 4)
        ]
        statuses = [status for _at_s, _call_id, status, _events in ends]
        self.assertEqual(cut, [])
        self.assertGreater(statuses.count(200), 0)
        self.assertGreater(statuses.count(503), 0)


class StopAdmissionTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.admission = StopAdmission(lambda: self.now_s)

    def begin(self):
        now_s = self.now_s
        self.admission.begin(
            StopSchedule(now_s, now_s + 3.0, now_s + 6.0, now_s + 8.0, 0.5)
        )

    def is_refused(self, **more):
        try:
            self.admission.check(make_call(**more))
        except RequestError as exc:
            self.assertIs(exc.kind, ErrorKind.STOPPING)
            return True
        return False

    def test_nothing_is_refused_before_a_stop(self):
        self.assertFalse(self.is_refused())

    def test_calls_are_refused_once_they_would_outlast_the_process(self):
        self.admission.observe(make_call(), 2.0)
        self.begin()
        self.assertFalse(self.is_refused())
        self.now_s += 5.3
        self.assertTrue(self.is_refused())

    def test_call_of_an_unknown_kind_counts_with_its_deadline(self):
        self.begin()
        self.assertFalse(self.is_refused())
        self.now_s += 4.0
        self.assertTrue(self.is_refused())

    def test_past_answers_admit_no_call_that_may_run_once_at_most(self):
        more = {"route": replace(ROUTE, resumable=False)}
        self.admission.observe(make_call(**more), 0.1)
        self.begin()
        self.assertTrue(self.is_refused(deadline_at_s=now_s() + 15.0, **more))

    def test_past_answers_admit_repeatable_calls_for_a_while(self):
        more = {"route": replace(ROUTE, resumable=True)}
        self.admission.observe(make_call(**more), 0.1)
        self.begin()
        self.assertFalse(self.is_refused(deadline_at_s=now_s() + 15.0, **more))
        self.now_s += 3.1
        self.assertTrue(self.is_refused(deadline_at_s=now_s() + 15.0, **more))
