"""The whole path: a request through an entry to an engine and back."""

from extras.cluster import wait_until
from wisteriaarch.emulator.scheduler import expected_text
from wisteriaarch.events import Event

from .support import (
    AUTHORIZATION,
    MODEL,
    ClusterTestCase,
    caller_spec,
    manifest_content,
)


class PathTest(ClusterTestCase):
    def test_json_answer_belongs_to_its_request(self):
        answer = self.complete({"prompt": "Caro, 1867", "max_tokens": 5})
        self.assertEqual(answer.status, 200, answer.body)
        text = answer.json()["choices"][0]["text"]
        self.assertEqual(text, expected_text("Caro, 1867", 5))

    def test_stream_ends_with_its_mark(self):
        answer = self.complete({"stream": True})
        self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(answer.body.count(b"\n\n"), 5)

    def test_first_call_of_a_new_entry_waits_for_its_first_reports(self):
        """The entry knows the engines before it has polled any of them."""
        self.cluster.start_entry("entry-new", load_poll_every_s=0.5)
        process = self.process("entry-new")
        body = {"model": MODEL, "prompt": "first", "max_tokens": 1}
        while True:
            answer = process.request("POST", "/v1/completions", body, AUTHORIZATION)
            if answer.status != 503 or answer.json()["kind"] != "stale_manifest":
                break
        self.assertEqual(answer.status, 200, answer.body)

    def test_unknown_model_is_named(self):
        problem = self.complete({"model": "absent"}).json()
        self.assertEqual(problem["kind"], "unknown_model")
        self.assertEqual((problem["field"], problem["value"]), ("model", "absent"))
        self.assertEqual(problem["ran"], "no")
        log = self.process("entry-1").log_path.read_text(encoding="utf-8")
        self.assertNotIn("Traceback", log)

    def test_manifest_that_the_settings_do_not_fit_is_logged(self):
        self.addCleanup(self.cluster.apply, manifest_content())
        callers = [
            caller_spec(deadline_s=10.0),
            caller_spec("slow", "2", deadline_s=500),
        ]
        content = manifest_content(callers=callers)
        content["groups"][0]["order_read_timeout_s"] = 2.5
        self.assertEqual(self.cluster.apply(content).returncode, 0)
        wait_until(lambda: len(self.unfit_settings()) == 2)
        stop, lease = self.unfit_settings()
        self.assertEqual((stop["field"], stop["value"]), ("stop_timeout_s", 120.0))
        self.assertIn("callers.slow.deadline_s", stop["expected"])
        self.assertEqual((lease["field"], lease["value"]), ("lease.term_s", 3.0))
        self.assertIn("groups.bogota.order_read_timeout_s", lease["expected"])

    def unfit_settings(self):
        number = Event.SETTINGS_CONFLICT.value.number
        lines = self.process("entry-1").log_lines()
        return [line for line in lines if line["event"] == number]

    def test_service_call_needs_a_key_where_the_manifest_says_so(self):
        answer = self.call_service("/export")
        self.assertEqual(answer.status, 400)
        self.assertEqual(answer.json()["kind"], "key_required")
        answer = self.call_service("/export", headers={"Idempotency-Key": "k1"})
        self.assertEqual(answer.json()["key"], "k1")
