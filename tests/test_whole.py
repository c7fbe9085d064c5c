"""Each caller receives the whole answer to its own request, or an explicit error."""

import contextlib
import http.client
import json
from concurrent.futures import ThreadPoolExecutor

from extras.cluster import wait_until
from wisteriaarch.emulator.scheduler import expected_text
from wisteriaarch.version.manifest import DEFAULT_ATTEMPTS_MAX

from .scripted_engine import ScriptedEngine, raw_answer, whole_answer
from .support import AUTHORIZATION, MODEL, ClusterTestCase

STREAM_END = b"data: [DONE]\n\n"
EVENT_PREFIX = b"data: "
CUT_EVERY_BYTES = 11
TOKENS = 300
FEW_TOKENS = 4


def streamed_content(body):
    """Return the text of a streamed answer and the ids that its events carry."""
    events = body.removesuffix(STREAM_END).split(b"\n\n")[:-1]
    contents = [json.loads(event.removeprefix(EVENT_PREFIX)) for event in events]
    text = "".join(content["choices"][0]["text"] for content in contents)
    return text, {content["id"] for content in contents}


class WholeTestCase(ClusterTestCase):
    def stream(self, prompt, tokens=TOKENS, headers=None):
        body = {"prompt": prompt, "stream": True, "max_tokens": tokens}
        return self.complete(body, headers=headers)

    def assert_whole(self, answer, prompt, tokens=TOKENS):
        self.assertTrue(answer.body.endswith(STREAM_END), answer.body[-300:])
        text, ids = streamed_content(answer.body)
        self.assertEqual(text, expected_text(prompt, tokens))
        self.assertEqual(len(ids), 1)


class CutStreamTest(WholeTestCase):
    engines = ("engine-1", "engine-2", "engine-3")

    def running(self, engine):
        return self.process(engine).request("GET", "/load").json()["running"]

    def test_streams_cut_by_a_crash_are_continued(self):
        prompts = [f"bibliography {number}" for number in range(18)]
        with ThreadPoolExecutor(len(prompts)) as pool:
            answers = [pool.submit(self.stream, prompt) for prompt in prompts]
            wait_until(lambda: self.running("engine-2") >= 2)
            with contextlib.suppress(OSError, http.client.HTTPException):
                self.process("engine-2").request("POST", "/crash")
            for prompt, answer in zip(prompts, answers, strict=True):
                self.assert_whole(answer.result(), prompt)
        log = self.process("entry-1").log_lines()
        self.assertTrue(any(line["event"] == 301 for line in log))

    def test_cancelled_streams_leave_no_answer_to_others(self):
        def cancel(number):
            host, _, port = self.process("entry-1").address.rpartition(":")
            conn = http.client.HTTPConnection(host, int(port))
            body = {
                "model": MODEL,
                "prompt": f"cancelled {number}",
                "stream": True,
                "max_tokens": 3000,
            }
            conn.request("POST", "/v1/completions", json.dumps(body), AUTHORIZATION)
            conn.getresponse().read(200)
            conn.close()

        def use(number):
            cancel(number)
            prompt = f"kept {number}"
            self.assert_whole(self.stream(prompt, 40), prompt, 40)

        with ThreadPoolExecutor(8) as pool:
            list(pool.map(use, range(24)))
        for engine in self.engines:
            wait_until(lambda engine=engine: self.running(engine) == 0)


class ScriptedEngineTest(WholeTestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        target = cls.cluster.processes["engine-1"].address
        cls.engine = cls.enterClassContext(ScriptedEngine(target))
        cls.cluster.register("engine-1", "engine", cls.engine.address, "zone-a")
        wait_until(cls.uses_scripted_engine)

    @classmethod
    def uses_scripted_engine(cls):
        body = {"model": MODEL, "prompt": "first", "max_tokens": 1}
        entry = cls.cluster.processes["entry-1"]
        entry.request("POST", "/v1/completions", body, AUTHORIZATION)
        return cls.engine.attempts["first"]

    def script(self, prompt, *changes):
        self.engine.script[prompt].extend(changes)

    def cut_all_over(self, stream):
        payload = {"prompt": "cut 000", "stream": stream, "max_tokens": FEW_TOKENS}
        size = len(raw_answer(f"req-{0:032x}", payload))
        for cut in range(0, size, CUT_EVERY_BYTES):
            prompt = f"cut {cut:03} {stream}"
            self.script(prompt, lambda raw, cut=cut: raw[:cut])
            yield prompt

    def test_stream_cut_at_any_byte_is_continued(self):
        for prompt in self.cut_all_over(stream=True):
            with self.subTest(prompt):
                answer = self.stream(prompt, FEW_TOKENS)
                self.assert_whole(answer, prompt, FEW_TOKENS)

    def test_json_answer_cut_at_any_byte_is_not_passed_on(self):
        for prompt in self.cut_all_over(stream=False):
            with self.subTest(prompt):
                answer = self.complete({"prompt": prompt, "max_tokens": FEW_TOKENS})
                text = answer.json()["choices"][0]["text"]
                self.assertEqual(text, expected_text(prompt, FEW_TOKENS))

    def test_answer_without_marked_end_is_not_passed_on(self):
        def strip_length(raw):
            head, _, body = raw.partition(b"\r\n\r\n")
            head = head.partition(b"\r\nContent-Length")[0]
            return head + b"\r\nConnection: close\r\n\r\n" + body

        self.script("unmarked", strip_length)
        self.assertEqual(self.complete({"prompt": "unmarked"}).status, 200)
        self.assertEqual(self.engine.attempts["unmarked"], 2)

    def test_answer_of_another_request_is_not_passed_on(self):
        for stream in (True, False):
            prompt = f"other {stream}"
            self.script(prompt, lambda raw: raw.replace(b'"req-', b'"old-', 1))
            answer = self.complete({"prompt": prompt, "stream": stream})
            self.assertNotIn(b"old-", answer.body)
            self.assertEqual(self.engine.attempts[prompt], 2)

    def test_stream_that_can_not_be_continued_ends_in_an_error(self):
        headers = {"X-Non-Idempotent": "true", "Idempotency-Key": "cut"}
        for prompt, cuts, more in (
            ("always cut", DEFAULT_ATTEMPTS_MAX, {}),
            ("cut once", 1, headers),
        ):
            with self.subTest(prompt):
                self.script(prompt, *[lambda raw: raw[:-30]] * cuts)
                with self.assertRaises(http.client.IncompleteRead) as caught:
                    self.stream(prompt, FEW_TOKENS, more)
                body = caught.exception.partial
                self.assertNotIn(STREAM_END, body)
                self.assertIn(b"event: error\n", body)
                self.assertNotIn(b'"ran": "no"', body)
                self.assertEqual(self.engine.attempts[prompt], cuts)

    def test_error_of_an_engine_is_ambiguous_unless_it_says_otherwise(self):
        headers = {"X-Non-Idempotent": "true", "Idempotency-Key": "failed"}
        self.script("failed", *[lambda raw: whole_answer(500, b"{}")] * 2)
        answer = self.complete({"prompt": "failed"}, headers=headers)
        self.assertEqual(answer.json()["ran"], "unknown")
        self.assertEqual(self.engine.attempts["failed"], 1)
        self.assertEqual(self.complete({"prompt": "failed"}).status, 200)

    def test_deadline_ends_with_a_true_answer(self):
        self.script("late", lambda raw: raw[:0] if wait_late() else raw)
        answer = self.complete({"prompt": "late"}, headers={"X-Deadline-Ms": "900"})
        self.assertEqual(answer.json()["kind"], "deadline_exceeded", answer.body)
        self.assertEqual(answer.json()["ran"], "unknown")
        self.assertIn("retry-after", answer.headers)


def wait_late():
    with contextlib.suppress(TimeoutError):
        wait_until(lambda: False, timeout_s=2)
    return True
