"""Commands of operators: waits, messages and exit codes."""

import json
import signal
import time
import unittest
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

import curio

from extras.cluster import wait_until
from wisteriaarch.cli import fleet_view
from wisteriaarch.emulator.scheduler import expected_text
from wisteriaarch.process.http_store import HttpInstanceList
from wisteriaarch.process.store import Instance
from wisteriaarch.status import ExitStatus
from wisteriaarch.wire import Address

from .support import MODEL, ClusterTestCase, manifest_content

LONG_STREAM_TOKENS = 400


class CommandTest(ClusterTestCase):
    engines = ("engine-1", "engine-2")
    entries = ("entry-1", "entry-2")
    services = ("portal-1",)

    def setUp(self):
        for name in self.entries:
            wait_until(lambda name=name: self.is_ready(name))

    def is_ready(self, name):
        return self.process(name).request("GET", "/readyz").status == 200

    def run_cli(self, *arguments, status=ExitStatus.SUCCESS):
        """Run a command and return what it printed, decoded."""
        platform = ("--platform", self.cluster.platform.address, "--json")
        done = self.cluster.run_cli(*arguments, *platform)
        self.assertEqual(done.returncode, status, done.stderr + done.stdout)
        self.assertNotIn("Traceback", done.stderr)
        return json.loads(done.stdout) if done.stdout else done.stderr

    def runs(self, engine):
        journal = self.process(engine).request("GET", "/journal").json()
        return sum(journal["runs"].values())

    def test_drain_waits_for_streams_and_cuts_none(self):
        with ThreadPoolExecutor(8) as pool:
            body = {"max_tokens": LONG_STREAM_TOKENS, "prompt": "kennel file"}
            running = [
                pool.submit(self.complete, body, f"entry-{index % 2 + 1}")
                for index in range(8)
            ]
            wait_until(lambda: self.runs("engine-1") and self.runs("engine-2"))
            drained = self.run_cli("drain", "engine-1")
            state = self.process("engine-1").request("GET", "/orders").json()
            before = self.runs("engine-1")
            answers = [future.result() for future in running]
        self.assertEqual(drained["unused_by"], ["entry-1", "entry-2"])
        self.assertEqual(state["streams"], {})
        for answer in answers:
            self.assertEqual(answer.status, 200, answer.body)
            text = answer.json()["choices"][0]["text"]
            self.assertEqual(text, expected_text("kennel file", LONG_STREAM_TOKENS))
        for index in range(8):
            self.assertEqual(self.complete(entry=f"entry-{index % 2 + 1}").status, 200)
        self.assertEqual(self.runs("engine-1"), before, "new work after the drain")
        status = self.run_cli("status")["entries"]["entry-2"]
        self.assertEqual(status["marks"]["engine-1"]["mark"], "draining")
        shown = self.cluster.run_cli(
            "status", "--platform", self.cluster.platform.address
        ).stdout
        self.assertIn("engine-1: draining", shown)
        self.assertRegex(shown, r"entry-1: revision \d+, generation \d+, confirmed")
        again = self.run_cli("drain", "engine-1")
        self.assertEqual(again["generation"], drained["generation"])
        undrained = self.run_cli("undrain", "engine-1")
        self.assertEqual(undrained["in_force"], ["entry-1", "entry-2"])

    def test_replacement_and_withdrawal(self):
        self.cluster.start_engine("engine-3", models=[f"{MODEL}@v1"])
        replaced = self.run_cli("replace", "engine-2", "engine-3")
        self.assertEqual(replaced["replacement"], "engine-3")
        self.run_cli("withdraw", "engine-1")
        for index in range(4):
            answer = self.complete(entry=f"entry-{index % 2 + 1}")
            self.assertEqual(answer.status, 200, answer.body)
        self.assertGreaterEqual(self.runs("engine-3"), 4)
        for name in ("engine-1", "engine-2"):
            self.run_cli("undrain", name)

    def test_replacement_of_a_plain_service_takes_its_calls(self):
        self.cluster.start_service("portal-2")
        self.run_cli("replace", "portal-1", "portal-2")
        for name in self.entries:
            answer = self.call_service("/notes", entry=name)
            self.assertEqual(answer.status, 200, answer.body)
            self.assertEqual(answer.json()["service"], "portal-2")
        self.run_cli("undrain", "portal-1")

    def test_names_are_checked_against_manifest_and_instances(self):
        invalid = ExitStatus.INVALID_INPUT
        message = self.run_cli("drain", "engine-7", status=invalid)
        self.assertIn("got 'engine-7'; expected one of: engine-1, engine-2", message)
        message = self.run_cli("replace", "engine-1", "entry-1", status=invalid)
        self.assertIn("field 'NEW': got 'entry-1'", message)

    def test_replacement_of_another_group_is_refused(self):
        self.cluster.start_engine("engine-4")
        path = self.cluster.path / "some.json"
        content = manifest_content(self.engines)
        content["groups"].append({"name": "medellin", "upstreams": ["engine-4"]})
        path.write_text(json.dumps(content))
        self.run_cli("apply", str(path))
        replaced = ("replace", "engine-1", "engine-4")
        message = self.run_cli(*replaced, status=ExitStatus.INVALID_INPUT)
        self.assertIn("got 'engine-4' of group 'medellin' for 'engine-1'", message)
        path.write_text(json.dumps(manifest_content(self.engines)))
        self.run_cli("apply", str(path))
        self.run_cli(*replaced)
        path.write_text(json.dumps(content))
        self.run_cli("apply", str(path), status=ExitStatus.INVALID_INPUT)
        self.run_cli("undrain", "engine-1")

    def test_taken_addresses_are_named(self):
        taken = self.process("entry-1")
        path = self.cluster.path / "taken.json"
        content = json.loads((self.cluster.path / "entry-1.json").read_text())
        content["listen"]["port"] = taken.port
        path.write_text(json.dumps(content))
        port = str(taken.port)
        commands = {
            "listen": ("serve", "--config", str(path)),
            "--port": ("emulate", "platform", "--port", port),
        }
        for field, command in commands.items():
            with self.subTest(field):
                done = self.cluster.run_cli(*command)
                self.assertEqual(done.returncode, ExitStatus.INVALID_INPUT)
                self.assertNotIn("Traceback", done.stderr)
                expected = f"field '{field}': got '{taken.address}'; expected a free"
                self.assertIn(expected, done.stderr)

    def test_manifest_that_cannot_be_placed_is_refused(self):
        path = self.cluster.path / "some.json"
        content = manifest_content(self.engines)
        content["models"][0]["replicas"] = 3
        path.write_text(json.dumps(content))
        before = self.run_cli("status")["entries"]["entry-1"]["revision"]
        message = self.run_cli("apply", str(path), status=ExitStatus.INVALID_INPUT)
        self.assertIn(f"field 'models.{MODEL}.replicas': got 3", message)
        after = self.run_cli("status")["entries"]["entry-1"]["revision"]
        self.assertEqual(after, before)

    def test_exit_codes(self):
        path = self.cluster.path / "some.json"
        path.write_text(json.dumps({**manifest_content(self.engines), "sites": 1}))
        done = self.cluster.run_cli("check", str(path))
        self.assertEqual(done.returncode, ExitStatus.INVALID_INPUT)
        self.assertIn("field 'sites': unknown field", done.stderr)
        path.write_text(json.dumps(manifest_content(self.engines)))
        self.assertEqual(self.cluster.run_cli("check", str(path)).returncode, 0)
        self.assertEqual(self.cluster.run_cli("apply").returncode, ExitStatus.USAGE)
        expect = ("apply", str(path), "--expect-revision", "99")
        message = self.run_cli(*expect, status=ExitStatus.CONFLICT)
        self.assertIn("expected 99", message)
        self.assertIn("another operator", message)
        self.cluster.set_faults(outage=True)
        self.addCleanup(self.cluster.set_faults, outage=False)
        self.run_cli("drain", "engine-1", status=ExitStatus.UNAVAILABLE)

    def test_apply_names_the_entries_where_it_is_not_in_force(self):
        path = self.cluster.path / "some.json"
        path.write_text(json.dumps(manifest_content(self.engines)))
        self.process("entry-2").send_signal(signal.SIGSTOP)
        self.addCleanup(self.process("entry-2").send_signal, signal.SIGCONT)
        hasty = ("apply", str(path), "--timeout", "0.5")
        outcome = self.run_cli(*hasty, status=ExitStatus.NOT_IN_FORCE)
        self.assertEqual(outcome["not_in_force"], ["entry-2"])
        outcome = self.run_cli("apply", str(path))
        self.assertEqual(outcome["silent"], ["entry-2"])
        self.assertEqual(outcome["in_force"], ["entry-1"])


class EntryPollTest(unittest.TestCase):
    """How often ``apply`` polls 100 entries, one of which never answers."""

    ENTRIES = 100

    def setUp(self):
        self.asked = Counter()
        self.in_flight = self.most_in_flight = 0
        self.late = {f"entry-{number}" for number in range(10)}
        address = Address("127.0.0.1", 1)
        listed = [
            Instance(f"entry-{number}", "entry", "z", address)
            for number in range(self.ENTRIES)
        ]
        answer = mock.AsyncMock(return_value=listed)
        self.enterContext(mock.patch.object(HttpInstanceList, "list", answer))
        self.enterContext(mock.patch.object(fleet_view, "_read_status", self.read))

    async def read(self, entry):
        name = entry.instance_id
        self.asked[name] += 1
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        await curio.sleep(0.002)
        self.in_flight -= 1
        if name == "entry-99":
            return None
        behind = name in self.late and self.asked[name] < 4
        return mock.Mock(generation=1 if behind else 2, members=(), freshness_bound_s=9)

    def test_polls_are_bounded_and_confirmed_entries_are_polled_less_often(self):
        wait = fleet_view.wait_for_entries
        began_s = time.monotonic()
        outcome = curio.run(wait, None, lambda status: status.generation == 2, 1.2)
        rereads = 1 + int(time.monotonic() - began_s)
        self.assertEqual(outcome.missing, ["entry-99"])
        self.assertEqual(len(outcome.met), self.ENTRIES - 1)
        self.assertLessEqual(self.most_in_flight, fleet_view.CONCURRENT_QUERIES_MAX)
        self.assertLessEqual(self.asked["entry-50"], 1 + rereads)
        self.assertGreaterEqual(self.asked["entry-99"], 5)
