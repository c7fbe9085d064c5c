"""Non-idempotent calls run at most once, and what was told "not run" did not run."""

import contextlib
import http.client
import threading
from concurrent.futures import ThreadPoolExecutor

from extras.cluster import request, wait_until
from extras.ports import free_port
from extras.step_controller import StepController, kill
from wisteriaarch.steps import Step

from .once_support import OnceTestCase
from .support import AUTHORIZATION

WRITES_PER_CLAIM = 2
SLOW_TABLE_S = 0.3


class KeyTest(OnceTestCase):
    def test_same_key_at_two_entries_at_once_runs_once(self):
        self.control_service(delay_s=0.5)
        self.addCleanup(self.control_service, delay_s=0.0)
        entries = ["entry-1", "entry-2"] * 3
        with ThreadPoolExecutor(len(entries)) as pool:
            answers = list(pool.map(lambda name: self.export("twice", name), entries))
        self.assertEqual([answer.status for answer in answers], [200] * len(entries))
        self.assertEqual(len({answer.body for answer in answers}), 1)
        self.assertEqual(self.runs("twice"), 1)

    def test_key_with_another_body_is_refused(self):
        self.assertEqual(self.export("reused").status, 200)
        for entry in self.entries:
            answer = self.export("reused", entry, body=b"another bibliography")
            self.assertEqual(answer.status, 422)
            self.assertEqual(answer.json()["kind"], "key_reused")
        self.assertEqual(self.runs("reused"), 1)

    def test_retry_waits_for_its_own_first_attempt(self):
        self.control_service(delay_s=0.6)
        self.addCleanup(self.control_service, delay_s=0.0)
        self.leave("left", "entry-1")
        for entry in self.entries:
            self.assertEqual(self.export("left", entry, b"x").status, 200)
        self.assertEqual(self.runs("left"), 1)

    def test_duplicate_is_refused_with_a_retry_delay(self):
        self.control_service(delay_s=1.5)
        self.addCleanup(self.control_service, delay_s=0.0)
        first = threading.Thread(target=self.export, args=("slow",))
        first.start()
        self.addCleanup(first.join)
        wait_until(lambda: self.runs("slow") == 1)
        for entry in self.entries:
            answer = self.export("slow", entry, **{"X-Deadline-Ms": "300"})
            self.assertEqual(answer.json()["kind"], "duplicate_in_progress")
            self.assertNotEqual(answer.json()["ran"], "no")
            self.assertIn("retry-after", answer.headers)
        wait_until(lambda: self.export("slow", "entry-2").status == 200)
        self.assertEqual(self.runs("slow"), 1)

    def test_stored_streamed_answer_is_returned_again(self):
        headers = {"Idempotency-Key": "stream", "X-Non-Idempotent": "true"}
        body = {"prompt": "Isaacs, 1867", "stream": True, "max_tokens": 500}
        first = self.complete(body, "entry-1", headers)
        self.assertTrue(first.body.endswith(b"data: [DONE]\n\n"))
        for entry in self.entries:
            again = self.complete(body, entry, headers)
            self.assertEqual(again.body, first.body)
            for name in ("content-type", "transfer-encoding"):
                self.assertEqual(again.headers.get(name), first.headers[name])
        journal = self.process("engine-1").request("GET", "/journal").json()
        self.assertEqual(journal["runs"]["stream"], 1)

    def test_call_is_not_repeated_after_a_service_crash(self):
        for moment in ("before", "during", "after", "midway"):
            with self.subTest(moment=moment):
                self.control_service(die=moment)
                for entry in (*self.entries, "entry-1"):
                    self.assert_unknown(self.export(moment, entry))
                self.assertLessEqual(self.runs(moment), 1)

    def test_post_without_key_is_not_repeated(self):
        for moment, method, status, runs in (
            ("during", "POST", 502, 1),
            ("during", "GET", 200, 2),
        ):
            before = self.runs("")
            self.control_service(die=moment)
            target = "/services/portal/style-sheet"
            address = self.process("entry-1").address
            answer = request(address, method, target, None, AUTHORIZATION)
            self.assertEqual(answer.status, status, answer.body)
            self.assertEqual(self.runs("") - before, runs)

    def test_call_that_reached_no_upstream_may_be_sent_again(self):
        address = self.process("portal-1").address
        dead = f"127.0.0.1:{free_port()}"
        self.cluster.register("portal-1", "service", dead, "zone-a")
        back = ("portal-1", "service", address, "zone-a")
        self.addCleanup(self.cluster.register, *back)
        wait_until(lambda: self.call_service("/probe").status != 200)
        self.assert_not_run(self.export("unreached"), "unreached")
        self.cluster.register(*back)
        for entry in self.entries:
            wait_until(
                lambda entry=entry: (
                    self.call_service("/probe", entry=entry).status == 200
                )
            )
        self.assertEqual(self.export("unreached", "entry-2").status, 200)
        self.assertEqual(self.runs("unreached"), 1)


class OwnerAndStoreFaultTest(OnceTestCase):
    def kill_owner_at(self, step):
        key = step.value
        with StepController() as controller:
            owner = self.start_controlled_entry(f"owner-{step.value}", controller)
            controller.arm(step, kill)
            with contextlib.suppress(OSError, http.client.HTTPException):
                self.export(key, owner.name)
            owner.wait()
        return key

    def test_graceful_stop_waits_for_a_run_whose_caller_left(self):
        self.control_service(delay_s=2.0)
        self.addCleanup(self.control_service, delay_s=0.0)
        owner = self.cluster.start_entry("stopping")
        wait_until(lambda: owner.request("GET", "/readyz").status == 200)
        self.leave("stopped", owner.name)
        self.addCleanup(self.cluster.set_faults, latency_s=0.0)
        self.cluster.set_faults(latency_s=SLOW_TABLE_S)
        self.assertEqual(self.cluster.stop(owner.name), 0)
        self.cluster.set_faults(latency_s=0.0)
        self.assertEqual(self.export("stopped", body=b"x").status, 200)
        self.assertEqual(self.runs("stopped"), 1)

    def test_owner_killed_before_the_claim_leaves_the_key_free(self):
        key = self.kill_owner_at(Step.CLAIM_WRITE)
        self.assertEqual(self.export(key).status, 200)
        self.assertEqual(self.runs(key), 1)

    def test_owner_killed_later_leaves_an_unknown_outcome(self):
        for step in (Step.CLAIM_WRITTEN, Step.REQUEST_SENT, Step.CLAIM_RESULT):
            with self.subTest(step=step):
                key = self.kill_owner_at(step)
                for entry in self.entries:
                    self.assert_unknown(self.export(key, entry))
                self.assertLessEqual(self.runs(key), 1)

    def test_lost_answer_to_the_claim(self):
        self.cluster.set_faults(lose_answers=2)
        self.assertEqual(self.export("lost").status, 200)
        self.assertEqual(self.export("lost", "entry-2").status, 200)
        self.assertEqual(self.runs("lost"), 1)
        row = self.cluster.platform.request("GET", "/table/claims/editora%2Flost")
        self.assertEqual(row.json()["version"], WRITES_PER_CLAIM)

    def test_claim_of_unknown_outcome_is_not_run_and_is_released(self):
        self.cluster.start_proxy("store-proxy", self.cluster.platform.address)
        host, _, port = self.process("store-proxy").address.rpartition(":")
        platform = {"host": host, "port": int(port)}
        with StepController() as controller:
            entry = self.start_controlled_entry(
                "cut-off", controller, platform=platform
            )

            def hold(_pid):
                self.cluster.set_proxy("store-proxy", mode="hold_down")

            controller.arm(Step.CLAIM_WRITE, hold)
            answer = self.export("held", entry.name, **{"X-Deadline-Ms": "800"})
            self.assert_not_run(answer, "held")
            self.cluster.set_proxy("store-proxy", mode="pass")
            answer = self.export("held", "entry-2")
            self.assertEqual(answer.status, 200, answer.body)
            self.assertEqual(self.export("held", entry.name).body, answer.body)
        self.assertEqual(self.runs("held"), 1)

    def test_outage_refuses_claims_and_keeps_results(self):
        self.addCleanup(self.cluster.set_faults, outage=False)
        self.control_service(delay_s=0.5)
        with ThreadPoolExecutor(1) as pool:
            running = pool.submit(self.export, "running")
            wait_until(lambda: self.runs("running") == 1)
            self.cluster.set_faults(outage=True)
            result = running.result()
        self.control_service(delay_s=0.0)
        self.assertEqual(result.status, 200)
        for key in ("out-1", "out-2"):
            answer = self.export(key)
            self.assertEqual(answer.json()["kind"], "store_unavailable")
            self.assert_not_run(answer, key)
        self.assertEqual(self.call_service("/export", entry="entry-2").status, 400)
        self.assertEqual(self.call_service("/style-sheet").status, 200)
        self.cluster.set_faults(outage=False)
        for key in ("out-1", "out-2"):
            wait_until(lambda key=key: self.export(key).status == 200)
            self.assertEqual(self.runs(key), 1)
        again = self.export("running", "entry-2")
        self.assertEqual(again.body, result.body)
        self.assertEqual(self.runs("running"), 1)
