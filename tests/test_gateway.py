"""The path of a call on a route, with real processes and the platform's stand-ins."""

import http.client
import json
import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from extras.cluster import request, wait_until
from extras.gateway_cluster import (
    GatewayCluster,
    configuration,
    is_ready,
    route_row,
    server_row,
)
from tests.gateway_support import GatewayTestCase

APPS = ("app-1", "app-2")
DECODERS = ("dec-1", "dec-2")
WHOLE_STREAM = b"".join(
    f"id: {number}\ndata: piece {number}\n\n".encode() for number in range(1, 5)
)


class WholeAnswerTest(GatewayTestCase):
    def setUp(self):
        self.suspended_before = [
            line
            for line in self.gateway.log_path.read_text().splitlines()
            if '"event": 223' in line and "silent" in line
        ]

    def test_answer_and_seal_are_those_of_the_server(self):
        answer = self.send("GET", "/get/a?b=c", "w1")
        self.assertEqual(answer.status, 200)
        self.assertIn(answer.headers["server-seal"], APPS)
        self.assertIn(b"GET /get/a?b=c at", answer.body)

    def test_headers_of_the_system_are_not_passed_on(self):
        forged = {
            "Expect-Instance": "x",
            "Stage": "prefill",
            "Kv-Source": "1.2.3.4:5/6",
        }
        forged = {name.replace("-", "_"): value for name, value in forged.items()}
        answer = self.send("POST", "/post/h", "w2", b"body", Custom="kept", **forged)
        self.assertEqual(answer.status, 200)
        seen = [
            item
            for name in APPS
            for item in self.cluster.control(name)["seen"]
            if item.get("attempt-id") == "w2"
        ]
        self.assertEqual(len(seen), 1)
        self.assertEqual(seen[0]["custom"], "kept")
        self.assertEqual(seen[0]["body"], "body")
        self.assertNotEqual(seen[0]["expect-instance"], "x")
        self.assertNotIn("stage", seen[0])
        self.assertNotIn("kv-source", seen[0])
        self.assertLessEqual(int(seen[0]["deadline-remaining"]), 1500)

    def test_idempotent_call_is_repeated_after_a_lost_answer(self):
        self.fail_next(APPS[:1], "close", 1)
        self.fail_next(APPS[1:], "close", 0)
        for number in range(4):
            self.assertEqual(self.send("GET", "/get/x", f"r{number}").status, 200)

    def test_non_idempotent_call_never_runs_twice(self):
        self.fail_next(APPS, "close", 1)
        answer = self.send("POST", "/post/x", "n1")
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.ran("n1")), 1)

    def test_unanswered_prefill_is_retried_on_another_engine(self):
        """A prefill engine stops responding, and the route allows no retries."""
        self.fail_next(("pre-1",), "silent", 1)
        started_at_s = time.monotonic()
        answer = self.send_prompt(
            "/chat/dark", "dark1", 9000, Deadline_Remaining="1900"
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, WHOLE_STREAM)
        self.assertLess(time.monotonic() - started_at_s, 1.7)
        self.assertEqual(len(self.ran("dark1")), 1)

    def test_declined_call_goes_to_another_server(self):
        self.fail_next(APPS, "shed", 1)
        self.assertEqual(self.send("POST", "/post/x", "n2").status, 200)
        self.assertEqual(len(self.ran("n2")), 1)

    def test_call_that_all_servers_decline_is_refused_and_has_not_run(self):
        self.fail_next(APPS, "shed", 9)
        answer = self.send("POST", "/post/x", "n3")
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.ran("n3"), [])
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_requested_backoff_of_a_server_is_kept(self):
        self.fail_next(APPS[:1], "wait", 1)
        began_at_s = time.monotonic()
        number = 0
        while time.monotonic() - began_at_s < 1.3:
            number += 1
            self.assertEqual(self.send("GET", "/get/w", f"wait{number}").status, 200)
        seen = [
            item["attempt-id"]
            for item in self.cluster.control(APPS[0])["seen"]
            if item.get("attempt-id", "").startswith("wait")
        ]
        self.assertLessEqual(len(seen), 1)
        time.sleep(0.5)
        with ThreadPoolExecutor(8) as pool:
            again = [
                pool.submit(self.send, "GET", "/get/w", f"later{number}")
                for number in range(8)
            ]
        for answer in again:
            self.assertEqual(answer.result().status, 200)

    def test_answer_to_another_request_is_not_passed_on(self):
        self.fail_next(APPS, "foreign", 1)
        answer = self.send("POST", "/post/x", "f1")
        self.assertEqual(answer.status, 200)
        self.assertIn(b"POST /post/x", answer.body)

    def test_error_of_a_server_is_passed_on_with_its_seal(self):
        self.fail_next(APPS, "error", 1)
        answer = self.send("POST", "/post/x", "e1")
        self.assertEqual((answer.status, answer.body), (500, b"failed"))
        self.assertIn("server-seal", answer.headers)

    def test_silent_server_ends_at_the_deadline(self):
        self.fail_next(APPS, "silent", 1)
        started_at_s = time.monotonic()
        answer = self.send("POST", "/post/x", "s1", Deadline_Remaining="700")
        self.assertEqual(answer.status, 504)
        self.assertLess(time.monotonic() - started_at_s, 1.0)

    def test_silent_server_is_left_by_an_idempotent_call(self):
        self.fail_next(APPS[:1], "silent", 1)
        for number in range(3):
            self.assertEqual(self.send("GET", "/get/x", f"q{number}").status, 200)

    def test_busy_server_is_not_taken_for_a_dead_one(self):
        """Load: twelve calls in flight at once, and one on each server isn't answered.

        Answers take longer than the calls to arrive, also on a busy machine: a server
        of which nothing else is heard meanwhile is suspended, and rightly so.
        """
        for name in APPS:
            self.cluster.control(name, answer_delay_s=0.4)
            self.addCleanup(self.cluster.control, name, answer_delay_s=0.0)
        self.fail_next(APPS, "silent", 1)
        with ThreadPoolExecutor(12) as pool:
            answers = [
                pool.submit(self.send, "GET", "/get/x", f"busy{number}")
                for number in range(12)
            ]
            for answer in answers:
                self.assertEqual(answer.result().status, 200)
        suspended = [
            line
            for line in self.gateway.log_path.read_text().splitlines()
            if '"event": 223' in line and "silent" in line
        ]
        self.assertEqual(suspended, self.suspended_before)

    def test_unknown_route_is_404(self):
        self.assertEqual(self.send("GET", "/nowhere/", "u1").status, 404)


class ExplainTest(GatewayTestCase):
    def test_explanation_of_a_refused_request_names_each_attempt(self):
        self.fail_next(APPS, "shed", 9)
        self.assertEqual(self.send("POST", "/post/x", "why1").status, 503)
        log = str(self.gateway.log_path)
        done = self.cluster.run_cli("explain", "why1", log)
        self.assertEqual(done.returncode, 0, done.stderr)
        lines = done.stdout.splitlines()
        self.assertIn("[310] attempt placed on an upstream", lines[0])
        self.assertTrue(any("[311] attempt failed" in line for line in lines))
        self.assertIn("kind=upstream_overloaded ran=no", lines[-1])
        self.assertIn("answered 503", lines[-1])

    def test_unknown_request_is_reported(self):
        done = self.cluster.run_cli("explain", "nobody", str(self.gateway.log_path))
        self.assertNotEqual(done.returncode, 0)
        self.assertIn("not in the logs", done.stderr)


class StreamTest(GatewayTestCase):
    def test_long_prompt_is_prefilled_by_the_prefill_stage(self):
        answer = self.send_prompt("/chat/x", "long1", 12_000)
        self.assertEqual(answer.body, WHOLE_STREAM)
        seen = self.cluster.control("pre-1")["seen"]
        self.assertEqual(
            [s["stage"] for s in seen if s["attempt-id"] == "long1"], ["prefill"]
        )
        self.assertEqual(len(self.ran("long1")), 1)

    def test_short_prompt_is_prefilled_by_the_decode_engine(self):
        answer = self.send_prompt("/chat/x", "short1", 200)
        self.assertEqual(answer.body, WHOLE_STREAM)
        seen = self.cluster.control("pre-1")["seen"]
        self.assertNotIn("short1", [s["attempt-id"] for s in seen])

    def test_shared_prefix_is_copied_from_another_engine(self):
        for number in range(3):
            self.send_prompt("/chat/x", f"copy{number}", 16_000)
        self.cluster.write("servers", "pre-1", b"{}")
        pre2 = self.cluster.start_server("pre-2", "llm", "prefill")
        wait_until(
            lambda: (
                self.send_prompt("/chat/x", "copy9", 16_000).status == 200
                and self.cluster.control("pre-2")["seen"]
            )
        )
        sources = {s.get("kv-fetch") for s in self.cluster.control("pre-2")["seen"]}
        decoders = {self.cluster.processes[name].address for name in DECODERS}
        self.assertTrue(sources & decoders, sources)
        row = {
            "service": "llm",
            "address": self.cluster.processes["pre-1"].address,
            "zone": "z1",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "seq": 1,
            "stage": "prefill",
        }
        self.cluster.write("servers", "pre-1", row)
        self.cluster.remove("servers", "pre-2")
        self.assertIsNotNone(pre2)

    def test_cut_stream_is_resumed_on_another_server(self):
        self.fail_next(DECODERS[:1], "cut", 1)
        # At the same time, so that they go to both engines.
        with ThreadPoolExecutor(3) as pool:
            answers = [
                pool.submit(self.send_prompt, "/again/x", f"cut{number}", 200)
                for number in range(3)
            ]
        for answer in answers:
            self.assertEqual(answer.result().body, WHOLE_STREAM)
        runs = [len(self.ran(f"cut{number}")) for number in range(3)]
        self.assertEqual(sorted(runs), [1, 1, 2])

    def test_stream_cut_by_all_attempts_gives_only_a_beginning(self):
        self.fail_next(DECODERS, "cut", 1)
        with self.assertRaises(http.client.IncompleteRead) as caught:
            self.send_prompt("/again/x", "cutall", 200)
        self.assertTrue(WHOLE_STREAM.startswith(caught.exception.partial))
        self.assertEqual(len(self.ran("cutall")), 2)

    def test_cut_stream_that_may_not_be_resumed_does_not_look_complete(self):
        self.fail_next(DECODERS, "cut", 1)
        with self.assertRaises(http.client.IncompleteRead):
            self.send_prompt("/chat/x", "cut3", 200)
        self.assertEqual(len(self.ran("cut3")), 1)

    def test_unused_kv_cache_is_released(self):
        self.fail_next(DECODERS, "shed", 4)
        answer = self.send_prompt("/chat/x", "free1", 12_000)
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.ran("free1"), [])
        seen = self.cluster.control("pre-1")["seen"]
        mine = [s for s in seen if s["attempt-id"] == "free1"]
        self.assertTrue(mine)
        used = {
            s["kv-source"].rpartition("/")[2]
            for name in DECODERS
            for s in self.cluster.control(name)["seen"]
            if s.get("kv-source")
        }
        wait_until(
            lambda: (
                not set(self.cluster.control("pre-1")["handles"]) - used
                or len(self.cluster.control("pre-1")["handles"]) < len(used)
            )
        )


class FollowTest(unittest.TestCase):
    """Configuration, registrations, restart, stop and reload."""

    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        self.cluster.start_store()
        self.cluster.start_server("app-1", "app")

    def start(self, number=2, **options):
        gateway = self.cluster.start_gateway(number, **options)
        wait_until(lambda: is_ready(gateway))
        return gateway

    def status(self, gateway, path, attempt="a", method="GET"):
        headers = {"Host": "books.example", "Attempt-Id": attempt}
        return request(gateway.address, method, path, None, headers).status

    def test_new_route_and_removed_server_take_effect(self):
        gateway = self.start()
        wait_until(lambda: self.status(gateway, "/get/x") == 200)
        self.assertEqual(self.status(gateway, "/new/x"), 404)
        added = route_row("new", "/new/", "idempotent", "app")
        self.cluster.write("op", "config", configuration(5, [added]))
        wait_until(lambda: self.status(gateway, "/new/x") == 200, 1.0)
        self.cluster.remove("servers", "app-1")
        wait_until(lambda: self.status(gateway, "/get/x") == 503, 1.0)

    def test_caller_before_the_registrations_is_served(self):
        gateway = self.start()
        wait_until(lambda: self.status(gateway, "/get/x") == 200)
        self.cluster.remove("servers", "app-1")
        time.sleep(0.1)
        again = self.cluster.start_gateway(3, ports=gateway.ports)
        wait_until(lambda: is_ready(again))
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(self.status, again, "/get/x", "early")
            time.sleep(0.2)
            row = server_row(self.cluster.processes["app-1"], "app")
            self.cluster.write("servers", "app-1", row)
            self.assertEqual(waiting.result(), 200)

    def test_draining_server_gets_no_new_work_from_any_entry(self):
        """The header overrides the registration until the server restarts."""
        self.cluster.start_server("app-2", "app")
        first = self.start(2)
        second = self.start(3, ports=first.ports)
        wait_until(lambda: len(self._addresses(first)) == 2)
        # At the same time, so that they go to both servers.
        self.cluster.control("app-1", fault="leaving", count=100)
        wait_until(lambda: self._asked_at_once(first) and self._word_is_out(first))
        time.sleep(0.3)
        before = len(self.cluster.control("app-1")["seen"])
        for _ in range(3):
            self._asked_at_once(first)
            self._asked_at_once(second)
        self.assertEqual(len(self.cluster.control("app-1")["seen"]), before)
        row = server_row(self.cluster.processes["app-1"], "app", born=7)
        self.cluster.control("app-1", fault="", count=0)
        self.cluster.write("servers", "app-1", row)
        wait_until(
            lambda: (
                self._asked_at_once(second)
                and len(self.cluster.control("app-1")["seen"]) > before
            )
        )

    def _asked_at_once(self, gateway) -> bool:
        with ThreadPoolExecutor(6) as pool:
            answers = [pool.submit(self.status, gateway, "/get/x") for _ in range(6)]
        return all(answer.result() == 200 for answer in answers)

    def _word_is_out(self, gateway) -> bool:
        return '"event": 225' in gateway.log_path.read_text()

    def test_older_configuration_never_comes_back(self):
        gateway = self.start()
        added = route_row("new", "/new/", "idempotent", "app")
        self.cluster.write("op", "config", configuration(5, [added]))
        wait_until(lambda: self.status(gateway, "/new/x") == 200)
        self.cluster.write("op", "config", configuration(4))
        time.sleep(0.5)
        self.assertEqual(self.status(gateway, "/new/x"), 200)

    def test_unreadable_rows_harm_no_other(self):
        gateway = self.start()
        rows = [b"\xff\xfe", b"[]", b"3", b'{"service": 3}', b"{", b'"text"']
        for number, value in enumerate(rows):
            self.cluster.write("servers", f"bad-{number}", value)
        wait_until(lambda: self.status(gateway, "/get/x") == 200)
        self.cluster.write("op", "config", b"{]")
        time.sleep(0.3)
        self.assertEqual(self.status(gateway, "/get/x"), 200)
        wait_until(
            lambda: gateway.log_path.read_text().count('"event": 222') == len(rows)
        )

    def test_entry_without_configuration_answers_503(self):
        self.cluster.processes["store"].request("POST", "/emulate", {"refuse": 503})
        gateway = self.cluster.start_gateway(2)
        wait_until(lambda: self._listens(gateway))
        self.assertEqual(self.status(gateway, "/get/x"), 503)
        self.assertFalse(is_ready(gateway))

    def _listens(self, gateway):
        try:
            self.status(gateway, "/get/x")
        except OSError:
            return False
        return True

    def test_all_rows_are_read_again_if_the_history_is_unavailable(self):
        gateway = self.start()
        store = self.cluster.processes["store"]
        store.request("POST", "/emulate", {"forget": True})
        added = route_row("new", "/new/", "idempotent", "app")
        self.cluster.write("op", "config", configuration(5, [added]))
        store.request("POST", "/emulate", {"forget": True})
        wait_until(lambda: self.status(gateway, "/new/x") == 200, 3.0)

    def test_restart_while_the_store_is_away_takes_the_state_of_a_peer(self):
        first = self.start(2)
        second = self.start(3, ports=first.ports)
        wait_until(lambda: len(self._addresses(first)) == 2)
        store = self.cluster.processes["store"]
        store.request("POST", "/emulate", {"refuse": 503})
        second.popen.kill()
        second.popen.wait()
        seeds = [f"127.0.0.2:{first.ports[3]}"]
        again = self.cluster.start_gateway(3, ports=first.ports, seeds=seeds)
        wait_until(lambda: is_ready(again), 6.0)
        self.assertEqual(self.status(again, "/get/x"), 200)

    def _addresses(self, gateway):
        answer = request(
            gateway.directory_address,
            "GET",
            "/api/resolve?name=books.example&region=r&zone=z1",
        )
        return answer.json()["addresses"] if answer.status == 200 else []

    def test_ready_entry_is_in_its_address_list(self):
        gateway = self.cluster.start_gateway()
        wait_until(lambda: is_ready(gateway), every_s=0.001)
        self.assertEqual(self._addresses(gateway), [gateway.address])

    def test_draining_entry_is_off_the_address_list_and_still_serves(self):
        first = self.start(2)
        second = self.start(3, ports=first.ports)
        wait_until(lambda: len(self._addresses(first)) == 2)
        second.send_signal(signal.SIGTERM)
        wait_until(lambda: not is_ready(second), 0.5)
        wait_until(lambda: self._addresses(first) == [first.address], 2.0)
        self.assertEqual(self.status(second, "/get/x"), 200)
        self.assertEqual(second.wait(), 0)

    def test_request_that_crashes_servers_is_stopped_at_all_entries(self):
        self.assert_three_crashes()

    def test_crashes_are_announced_before_the_next_heartbeat(self):
        self.assert_three_crashes(heartbeat_every_s=2.0)

    def assert_three_crashes(self, **settings):
        for number in range(2, 7):
            self.cluster.start_server(f"app-{len(settings)}-{number}", "app")
        first = self.start(2, **settings)
        second = self.start(3, ports=first.ports, **settings)
        wait_until(lambda: len(self._addresses(first)) == 2)
        headers = {"Host": "books.example", "Crash": "1"}
        alive = self.count_servers()
        for number, gateway in enumerate([first, second] * 5):
            headers["Attempt-Id"] = f"c{number}"
            answer = request(gateway.address, "POST", "/post/x", b"same", headers)
            self.assertIn(answer.status, (502, 503))
            time.sleep(0.3)
        self.assertEqual(answer.status, 503)
        self.assertEqual(alive - self.count_servers(), 3)

    def count_servers(self):
        return sum(
            name.startswith("app-") and process.popen.poll() is None
            for name, process in self.cluster.processes.items()
        )

    def test_changed_settings_are_reloaded_without_a_signal(self):
        gateway = self.start(2, settings_poll_every_s=0.1)
        content = json.loads(gateway.settings_path.read_text())
        content["retry"] = {"ratio": 0.5}
        gateway.settings_path.write_text(json.dumps(content))
        wait_until(lambda: '"event": 105' in gateway.log_path.read_text())
        gateway.settings_path.write_text("{")
        gateway.send_signal(signal.SIGHUP)
        wait_until(lambda: '"event": 106' in gateway.log_path.read_text())
        self.assertEqual(self.status(gateway, "/get/x"), 200)
        answer = request(gateway.metrics_address, "GET", "/metrics")
        self.assertIn(b"wisteriaarch_requests_answered_total", answer.body)
        self.assertIn(b"wisteriaarch_configuration_version 1\n", answer.body)
        self.assertIn(b'wisteriaarch_retries_left{service="app"}', answer.body)
        answered = b'kind="idempotent",outcome="in_time",cause="200"'
        self.assertIn(b"wisteriaarch_calls_total{" + answered, answer.body)
        self.assertIn(b"wisteriaarch_upstreams_age_seconds 0", answer.body)
