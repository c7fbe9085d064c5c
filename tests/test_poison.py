"""Requests that crash engines: few engines are lost, and innocents are answered."""

import contextlib
import http.client
import threading
from concurrent.futures import ThreadPoolExecutor

from extras.cluster import wait_until
from wisteriaarch.emulator.engine import CRASH_MARKER
from wisteriaarch.emulator.scheduler import expected_text
from wisteriaarch.events import Event

from .support import ClusterTestCase

ENTRIES = ("entry-1", "entry-2", "entry-3")
INNOCENTS = 18
INNOCENT_TOKENS = 200
TWICE_TOKENS = 400
REPEATS = 6
HEARTBEATS_OFF_S = 600.0
QUARANTINED_EVENT = Event.REQUEST_QUARANTINED.value.number
CRASH_EVENTS = (Event.CRASH_RECORDED.value.number, QUARANTINED_EVENT)
CLEARED_EVENT = Event.SUSPECT_CLEARED.value.number
ISOLATED_EVENT = Event.REQUEST_ISOLATED.value.number


class PoisonTestCase(ClusterTestCase):
    engines = ("engine-1", "engine-2", "engine-3", "engine-4")
    entries = ENTRIES

    def ask_engines(self, target):
        """Send a request to every engine, waiting for those that restart."""

        def answers():
            with contextlib.suppress(OSError, http.client.HTTPException):
                return [
                    self.process(name).request("GET", target).json()
                    for name in self.engines
                ]

        return wait_until(answers)

    def crashes(self):
        return sum(journal["crashes"] for journal in self.ask_engines("/journal"))

    def wait_for_engines(self):
        """Wait until every engine holds the model again."""
        wait_until(
            lambda: all(load["models"] for load in self.ask_engines("/load")), 30
        )

    def poison(self, text, entry, headers=None):
        body = {"prompt": f"{text} {CRASH_MARKER}", "max_tokens": 8}
        return self.complete(body, entry, headers)

    def assert_quarantined(self, answer):
        self.assertEqual(answer.json()["kind"], "quarantined", answer.body)
        self.assertNotIn("retry-after", answer.headers)


class PoisonTest(PoisonTestCase):
    def innocents_beside(self, act):
        """Stream innocent requests through all entries while ``act`` runs."""
        stopped = threading.Event()

        def stream(number):
            rounds = 0
            while not stopped.is_set():
                prompt = f"innocent {number} {rounds} {self.id()}"
                body = {
                    "prompt": prompt,
                    "max_tokens": INNOCENT_TOKENS,
                    "stream": True,
                }
                answer = self.complete(body, ENTRIES[number % len(ENTRIES)])
                expected = expected_text(prompt, INNOCENT_TOKENS).split()
                got = [
                    part.partition(b'"')[0] for part in answer.body.split(b'text":"')
                ]
                self.assertEqual([word.decode().strip() for word in got[1:]], expected)
                rounds += 1
            return rounds

        with ThreadPoolExecutor(INNOCENTS) as pool:
            streams = [pool.submit(stream, number) for number in range(INNOCENTS)]
            try:
                act()
            finally:
                stopped.set()
            self.assertTrue(all(rounds.result() for rounds in streams))

    def quarantines(self, entry):
        lines = self.process(entry).log_lines()
        return sum(line["event"] == QUARANTINED_EVENT for line in lines)

    def test_repeated_poison_request_crashes_two_engines(self):
        self.wait_for_engines()
        before = self.crashes()
        heard = {entry: self.quarantines(entry) for entry in ENTRIES}

        def send_repeatedly():
            self.assert_quarantined(self.poison("repeated", ENTRIES[0]))
            for entry in ENTRIES:
                wait_until(lambda entry=entry: self.quarantines(entry) > heard[entry])
            for entry in ENTRIES * REPEATS:
                answer = self.poison("repeated", entry)
                self.assert_quarantined(answer)
                self.assertEqual(answer.json()["ran"], "no")

        self.innocents_beside(send_repeatedly)
        self.assertEqual(self.crashes() - before, 2)

    def test_poison_request_through_all_entries_crashes_few_engines(self):
        self.wait_for_engines()
        before = self.crashes()

        def send_at_once():
            with ThreadPoolExecutor(len(ENTRIES)) as pool:
                answers = list(
                    pool.map(lambda entry: self.poison("at once", entry), ENTRIES)
                )
            for answer in answers:
                self.assert_quarantined(answer)

        self.innocents_beside(send_at_once)
        self.assertLessEqual(self.crashes() - before, len(ENTRIES) + 1)

    def test_non_idempotent_poison_request_is_never_run_again(self):
        self.wait_for_engines()
        before = self.crashes()
        headers = {"X-Non-Idempotent": "true", "Idempotency-Key": "poison"}
        for entry in ENTRIES:
            answer = self.poison("once", entry, headers)
            self.assertEqual(answer.json()["kind"], "outcome_unknown")
            self.assertEqual(answer.json()["ran"], "unknown")
        self.assertEqual(self.crashes() - before, 1)


class EntriesWithoutContactTest(PoisonTestCase):
    engines = ("engine-1", "engine-2")
    entries = ("entry-1", "entry-2")
    # A crashed engine stays away until the entries have read the changed list.
    engine_costs = {"restart_s": 2.0}

    @classmethod
    def start_entries(cls):
        for name in cls.entries:
            cls.cluster.start_entry(
                name,
                heartbeat_every_s=HEARTBEATS_OFF_S,
                freshness_bound_s=2 * HEARTBEATS_OFF_S,
            )

    def list_only(self, engine):
        """Let entries see one engine alone."""
        for name in self.engines:
            self.cluster.unregister(name)
        address = self.process(engine).address
        self.cluster.register(engine, "engine", address, "zone-a")

        def routes_there_only():
            return all(
                self.runs_on(engine, self.complete(entry=entry))
                for entry in self.entries * 4
            )

        wait_until(routes_there_only)

    def runs_on(self, engine, answer):
        runs = self.process(engine).request("GET", "/journal").json()["runs"]
        return answer.status == 200 and answer.json()["id"] in runs

    def running(self, engine):
        return self.process(engine).request("GET", "/load").json()["running"]

    def wait_for_run(self, engine):
        wait_until(lambda: self.running(engine))

    def test_innocent_in_flight_at_two_crashes_is_answered(self):
        self.wait_for_engines()
        before = self.crashes()
        self.list_only("engine-1")
        prompt = "innocent twice"
        body = {"prompt": prompt, "max_tokens": TWICE_TOKENS}
        # Calls that found out the list are over, so that only the innocent runs.
        wait_until(lambda: not self.running("engine-1"))
        with ThreadPoolExecutor(2) as pool:
            innocent = pool.submit(self.complete, body, "entry-1")
            self.wait_for_run("engine-1")
            once = {"X-Non-Idempotent": "true", "Idempotency-Key": "first copy"}
            first = self.poison("unheard", "entry-1", once)
            self.assertEqual(first.json()["kind"], "outcome_unknown")
            address = self.process("engine-2").address
            self.cluster.unregister("engine-1")
            self.cluster.register("engine-2", "engine", address, "zone-a")
            self.wait_for_run("engine-2")
            wait_until(lambda: self.complete(entry="entry-2").status == 200)
            second = pool.submit(self.poison, "unheard", "entry-2")
            self.assert_quarantined(second.result())
            text = innocent.result().json()["choices"][0]["text"]
        self.assertEqual(text, expected_text(prompt, TWICE_TOKENS))
        wait_until(lambda: self.complete(entry="entry-1").status == 200)
        self.assert_quarantined(self.poison("unheard", "entry-1"))
        crashes = self.crashes() - before
        self.assertEqual(crashes, 1 + self.count_events("entry-2", CRASH_EVENTS))
        if crashes == 2:
            self.assertTrue(self.innocent_was_cleared_first())
        else:
            self.assertEqual(crashes, 3)

    def count_events(self, entry, numbers):
        """Count an entry's own events, without those reported by other entries."""
        lines = self.process(entry).log_lines()
        return sum(line["event"] in numbers and not line.get("heard") for line in lines)

    def innocent_was_cleared_first(self):
        """Whether the innocent ran to its end before the other one's isolated run.

        It doesn't explain the crashes any more then, so that no third one is needed.
        """
        cleared_at = self.last_event_at("entry-1", CLEARED_EVENT)
        isolated_at = self.last_event_at("entry-2", ISOLATED_EVENT)
        return cleared_at < isolated_at

    def last_event_at(self, entry, number):
        lines = self.process(entry).log_lines()
        return max(line["time"] for line in lines if line["event"] == number)
