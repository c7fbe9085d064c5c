"""Requests that an entry had read ended without an answer as it stopped (LOST)."""

import http.client
import json
import signal
import threading
import time
import unittest
from pathlib import Path

from extras.cluster import wait_until
from extras.exit_callers import LONG_ROUTES, Caller, requests_of, runs
from extras.exit_soak import run_seed
from extras.gateway_cluster import GatewayCluster, configuration, is_ready
from tests.gateway_support import RouteCluster
from tests.support import AUTHORIZATION, MODEL, ClusterTestCase
from wisteriaarch.events import Event

PLATFORM_GRACE_S = 8.0
GRACE_S = 4.0
KEEP_S = 1.0
# A call that arrives with the signal may be taken before the entry knows of it.
SIGNAL_S = 0.2
LATE_S = 3.0
ENGINES = ("dec-1", "dec-2", "dec-3")
SERVERS = ("app-1", "app-2")
QUICK_S, SLOW_S = 0.05, 1.6
OUTLASTING_S = 12.0
SPREAD = 16
SEEDS = (2, 5, 8)


class ExitTestCase(RouteCluster):
    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        self.cluster.start_store(configuration(routes=LONG_ROUTES))
        for name in SERVERS:
            self.cluster.start_server(name, "app", slots=32)
        for name in ENGINES:
            self.cluster.start_server(name, "llm", "decode", slots=16)
        self.control(ENGINES, event_interval_s=QUICK_S)
        self.callers, self.threads = [], []

    def control(self, names, **faults):
        for name in names:
            self.cluster.control(name, **faults)

    def start_entry(self, grace_s=GRACE_S, module="wisteriaarch"):
        self.entry = self.cluster.start_gateway(
            stop_grace_s=grace_s, callers_keep_s=KEEP_S, module=module
        )
        wait_until(lambda: is_ready(self.entry))
        for path in ("/get/x", "/long-chat/x"):
            warm = Caller(self.entry, f"warm{path}", path, keeps=False)
            wait_until(lambda warm=warm: warm.call().complete)

    def call(self, count, path, **options):
        for _ in range(count):
            name = f"{path.strip('/')}-{len(self.callers)}"
            caller = Caller(self.entry, name, path, **options)
            self.callers.append(caller)
            self.start(caller.run)

    def call_once(self, path):
        """Send one call in the background; returns a list that will hold its end."""
        caller = Caller(self.entry, f"once{path}", path, keeps=False)
        self.start(caller.call)
        return caller.outcomes

    def start(self, target):
        self.threads.append(threading.Thread(target=target, daemon=True))
        self.threads[-1].start()

    def stop(self, number=signal.SIGTERM):
        self.stopped_at_s = time.monotonic()
        self.entry.send_signal(number)

    def wait_for_exit(self):
        """Return what the callers saw, in order of time, and all ids that ran."""
        self.entry.wait()
        self.exit_after_s = time.monotonic() - self.stopped_at_s
        for thread in self.threads:
            thread.join(30)
        outcomes = [o for caller in self.callers for o in caller.outcomes]
        outcomes.sort(key=lambda outcome: outcome.began_at_s)
        return outcomes, runs(self.cluster, (*SERVERS, *ENGINES))

    def describe(self, outcomes):
        return [outcome.describe(self.stopped_at_s) for outcome in outcomes]


class SlowEnginesTest(ExitTestCase):
    def test_no_call_of_a_stop_is_cut_as_engines_turn_slow(self):
        self.start_entry(PLATFORM_GRACE_S)
        for number in range(SPREAD):
            pause_s = 1.0 + number * PLATFORM_GRACE_S / SPREAD
            self.call(1, "/long-chat/x", pause_s=pause_s, keeps=number % 3 > 0)
            self.call(1, "/long-again/x", pause_s=pause_s, keeps=number % 2 > 0)
        self.call(2, "/get/x", keeps=False)
        time.sleep(1.0)
        self.stop()
        self.control(ENGINES, event_interval_s=SLOW_S)
        outcomes, ran = self.wait_for_exit()
        first_s = self.stopped_at_s + SIGNAL_S
        later = [o for o in outcomes if o.began_at_s > first_s]
        cut = [o for o in later if o.call_id in ran and not o.complete]
        once = [o for o in cut if o.path == "/long-chat/x"]
        late = [o for o in cut if o.began_at_s > self.stopped_at_s + LATE_S]
        self.assertEqual(self.describe(once), [])
        self.assertEqual(self.describe(late), [])
        self.assertTrue(any(o.status == 503 for o in later))
        self.assertTrue(any(o.complete for o in later))
        self.assertEqual(self.entry.popen.returncode, 0)


class LastMomentsTest(ExitTestCase):
    def test_what_was_read_until_the_exit_is_answered(self):
        self.control(SERVERS, answer_delay_s=0.2)
        self.start_entry()
        self.call(3, "/get/x")
        self.call(3, "/get/x", keeps=False)
        self.call(3, "/post/x", keeps=False, deadline_ms=1500)
        self.call(6, "/post/x", chunks=15, deadline_ms=1500)
        self.call(6, "/post/x", chunks=8, keeps=False, deadline_ms=1500)
        self.control(ENGINES[:1], event_interval_s=SLOW_S)
        self.call(4, "/long-again/x")
        time.sleep(1.5)
        self.stop()
        outcomes, ran = self.wait_for_exit()
        later = [o for o in outcomes if o.ended_at_s > self.stopped_at_s]
        short = [o for o in later if "long" not in o.path]
        lost = [o for o in short if not o.explained(o.call_id in ran)]
        self.assertEqual(self.describe(lost), [])
        self.assertTrue(any(o.complete for o in short))
        self.assertTrue(any(o.status == 503 for o in short))
        self.assertEqual(self.entry.popen.returncode, 0)

    def test_calls_that_outlast_the_grace_end_explicitly(self):
        self.start_entry()
        self.control(SERVERS, answer_delay_s=OUTLASTING_S)
        self.control(ENGINES, event_interval_s=OUTLASTING_S)
        plain, stream = self.call_once("/long-post/x"), self.call_once("/long-chat/x")
        time.sleep(1.0)
        self.stop()
        self.wait_for_exit()
        self.assertLess(self.exit_after_s, GRACE_S)
        self.assertEqual(plain[0].status, 502, self.describe(plain))
        self.assertEqual(plain[0].headers["x-ran"], "unknown")
        self.assertEqual(plain[0].error_kind, "entry_stopped")
        cut = requests_of(self.entry, Event.REQUEST_CUT)
        self.assertEqual(cut, {plain[0].call_id, stream[0].call_id})


class StopTest(ExitTestCase):
    def assert_calls_are_answered(self, first, *more):
        self.control(ENGINES, event_interval_s=0.5)
        self.control(SERVERS, answer_delay_s=1.0)
        ends = [self.call_once(p) for p in ("/long-again/x", "/post/x", "/long-chat/x")]
        time.sleep(0.3)
        self.stop(first)
        for number in more:
            time.sleep(0.2)
            self.entry.send_signal(number)
        time.sleep(0.5)
        ends.append(self.call_once("/get/x"))
        self.wait_for_exit()
        self.assertEqual(self.describe(e[0] for e in ends if not e[0].complete), [])
        self.assertEqual(self.entry.popen.returncode, 0)

    def test_error_of_the_stop_itself_cuts_no_call(self):
        self.start_entry(module="tests.failing_announce_entry")
        self.assert_calls_are_answered(signal.SIGTERM)

    def test_sigint_and_signals_amid_a_stop_cut_no_call(self):
        self.start_entry()
        more = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
        self.assert_calls_are_answered(signal.SIGINT, *more)


class EarlyHangupTest(RouteCluster):
    def test_sighup_amid_the_start_ends_no_entry(self):
        cluster = self.enterContext(GatewayCluster())
        cluster.start_store()
        for number, delay_s in enumerate((0.1, 0.2, 0.3, 0.4), start=2):
            with self.subTest(delay_s=delay_s):
                entry = cluster.start_gateway(number)
                wait_until(lambda pid=entry.popen.pid: is_interpreting(pid), every_s=0)
                time.sleep(delay_s)
                entry.send_signal(signal.SIGHUP)
                wait_until(lambda e=entry: is_ready(e) or e.popen.poll() is not None)
                self.assertIsNone(entry.popen.poll())


def is_interpreting(pid):
    """Whether Python has set its handler of SIGINT, the last step of its start."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    caught = int(status.partition("SigCgt:")[2].split()[0], 16)
    return bool(caught & 1 << (signal.SIGINT - 1))


class ServeTest(ClusterTestCase):
    """The entry with the program's own interface."""

    engine_costs = {"step_base_s": 0.02}
    entries = ()
    services = ()

    @classmethod
    def setUpClass(cls):
        # A run with nohup hands its ignored signal down to the entries.
        before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        cls.addClassCleanup(signal.signal, signal.SIGHUP, before)
        super().setUpClass()

    def stop_during_stream(self, name, tokens, number):
        """Return the entry, which has ended, and the last bytes of the answer."""
        entry = self.cluster.start_entry(name, callers_keep_s=0.2, stop_timeout_s=1.5)
        wait_until(lambda: self.complete(entry=name).status == 200)
        conn = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=30)
        self.addCleanup(conn.close)
        body = {"model": MODEL, "prompt": "a", "max_tokens": tokens, "stream": True}
        conn.request("POST", "/v1/completions", json.dumps(body), AUTHORIZATION)
        answer = conn.getresponse()
        answer.read(1)
        entry.send_signal(number)
        try:
            end = answer.read()
        except http.client.IncompleteRead as exc:
            end = exc.partial
        entry.wait()
        return entry, end[-500:].decode()

    def test_stream_that_outlasts_the_stop_ends_with_an_error_event(self):
        entry, end = self.stop_during_stream("entry-term", 1000, signal.SIGTERM)
        self.assertEqual(len(requests_of(entry, Event.REQUEST_CUT)), 1)
        self.assertIn("event: error", end)
        self.assertEqual(entry.popen.returncode, 0)

    def test_sighup_to_serve_cuts_no_stream(self):
        entry, end = self.stop_during_stream("entry-hup", 40, signal.SIGHUP)
        self.assertTrue(end.endswith("data: [DONE]\n\n"), end)
        self.assertEqual(entry.popen.returncode, 0)


class SoakTest(unittest.TestCase):
    def test_no_request_is_lost_as_all_entries_stop(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                findings = run_seed(seed)
                self.assertEqual(findings.lost, [], findings.faults)
                self.assertGreater(findings.statuses[200], 50)
