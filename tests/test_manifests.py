"""Manifests: in force everywhere soon after acceptance, and never reverting."""

import json
import signal
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from unittest import mock

import curio

from extras.cluster import wait_until
from extras.step_controller import StepController
from wisteriaarch.emulator.scheduler import expected_text
from wisteriaarch.errors import ConfigError
from wisteriaarch.event_log import EventLog
from wisteriaarch.process.http_store import HttpTableStore
from wisteriaarch.process.manifest_copy import ManifestCopy
from wisteriaarch.process.store import NO_VERSION, Row
from wisteriaarch.status import ExitStatus
from wisteriaarch.steps import Step
from wisteriaarch.version.head import Head
from wisteriaarch.version.manifest import Manifest
from wisteriaarch.version.manifest_watcher import ManifestWatcher
from wisteriaarch.version.publication import read_head
from wisteriaarch.wire import Address

from .control_support import StoppedProcess
from .support import MODEL, ClusterTestCase, caller_spec, manifest_content

BOUND_S = 1.0
LONG_STREAM_TOKENS = 600
REFUSED = "unknown_model"
REFUSED_MODEL = {"callers": [caller_spec(models=[])]}


class ManifestTestCase(ClusterTestCase):
    """A cluster for the class; a refused model tells revisions apart."""

    services = ()

    def setUp(self):
        self.apply(manifest_content())

    def apply(self, manifest, *options, status=ExitStatus.SUCCESS):
        done = self.cluster.apply(manifest, "--json", *options)
        self.assertEqual(done.returncode, status, done.stderr + done.stdout)
        return json.loads(done.stdout) if done.stdout else None

    def status(self, name):
        return self.process(name).request("GET", "/v1/status").json()

    def kind_of(self, entry):
        """Return the error kind of a completion, or ``ok``."""
        answer = self.complete(entry=entry)
        return "ok" if answer.status == 200 else answer.json()["kind"]

    def wait_kind(self, entry, kind):
        wait_until(lambda: self.kind_of(entry) == kind)

    def assert_kind_stays(self, entries, kind, duration_s=2 * BOUND_S):
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            self.assertEqual({self.kind_of(name) for name in entries}, {kind})


class IsolationTest(ManifestTestCase):
    """Entry 2 can be cut off from the platform, and from entry 1."""

    @classmethod
    def start_entries(cls):
        for name in ("entry-1", "entry-2"):
            cls.cluster.start_entry_behind_proxies(name, freshness_bound_s=BOUND_S)

    def setUp(self):
        self.heal()
        super().setUp()

    def heal(self):
        self.cut("entry-2", "pass", delay_s=0.0)
        self.process("entry-2").send_signal(signal.SIGCONT)

    def cut(self, name, mode="hold", *, peers=True, **faults):
        """Cut an entry off from the platform and, optionally, from its peers."""
        self.cluster.set_proxy(f"{name}-platform", mode=mode)
        if peers:
            self.cluster.set_proxy("entry-1-peers", mode=mode, **faults)
            self.cluster.set_proxy("entry-2-peers", mode=mode, **faults)

    def test_paused_entry_never_serves_an_old_revision_after_waking(self):
        self.process("entry-2").send_signal(signal.SIGSTOP)
        with ThreadPoolExecutor(8) as pool:
            asked = [pool.submit(self.complete, entry="entry-2") for _ in range(8)]
            for content in (REFUSED_MODEL, {}, REFUSED_MODEL):
                self.apply(manifest_content(**content), "--timeout", "0", status=6)
            time.sleep(BOUND_S + 0.5)
            self.process("entry-2").send_signal(signal.SIGCONT)
            kinds = {future.result().json().get("kind") for future in asked}
        self.assertLessEqual(kinds, {"stale_manifest", REFUSED})
        self.wait_kind("entry-2", REFUSED)

    def test_entry_cut_off_stops_taking_requests_and_finishes_those_it_has(self):
        with ThreadPoolExecutor(1) as pool:
            body = {"max_tokens": LONG_STREAM_TOKENS, "prompt": "kennel file"}
            running = pool.submit(self.complete, body, "entry-2")
            wait_until(lambda: self.status("entry-2")["in_flight"])
            self.cut("entry-2")
            began_s = time.monotonic()
            wait_until(lambda: self.kind_of("entry-2") != "ok", every_s=0.02)
            self.assertLess(time.monotonic() - began_s, 2 * BOUND_S)
            text = running.result().json()["choices"][0]["text"]
        self.assertEqual(text, expected_text("kennel file", LONG_STREAM_TOKENS))
        refused = self.complete(entry="entry-2")
        self.assertEqual(refused.json()["kind"], "stale_manifest")
        self.assertEqual(refused.json()["ran"], "no")
        self.assertIn("retry-after", refused.headers)
        ready = self.process("entry-2").request("GET", "/readyz")
        self.assertEqual(ready.status, 503)
        self.assertEqual(self.kind_of("entry-1"), "ok")
        self.apply(manifest_content(**REFUSED_MODEL), "--timeout", "0", status=6)
        self.assertEqual(self.kind_of("entry-2"), "stale_manifest")
        self.heal()
        self.wait_kind("entry-2", REFUSED)

    def test_entry_cut_off_from_the_table_alone_follows_its_peers(self):
        self.cut("entry-2", peers=False)
        outcome = self.apply(manifest_content(**REFUSED_MODEL))
        self.assertEqual(outcome["in_force"], ["entry-1", "entry-2"])
        self.assertEqual(self.kind_of("entry-2"), REFUSED)
        self.apply(manifest_content())
        self.assert_kind_stays(["entry-2"], "ok")
        self.assertEqual(self.status("entry-2")["basis"], "peer")

    def test_confirmation_that_was_long_on_its_way_counts_as_old(self):
        self.cut("entry-2", peers=False)
        self.assert_kind_stays(["entry-2"], "ok")
        for name in ("entry-1", "entry-2"):
            self.cluster.set_proxy(f"{name}-peers", delay_s=0.6 * BOUND_S)
        self.wait_kind("entry-2", "stale_manifest")
        self.assert_kind_stays(["entry-2"], "stale_manifest")


class PublicationTest(ManifestTestCase):
    """Operators against each other, and an outage in the middle of a publication.

    Entry 1 alone polls often, so that the others learn from it.
    """

    names = ("entry-1", "entry-2", "entry-3")

    @classmethod
    def start_entries(cls):
        cls.controller = cls.enterClassContext(StepController())
        for name in cls.names:
            every_s = 0.1 if name == "entry-1" else 0.6
            cls.cluster.start_entry(
                name,
                variables=cls.controller.variables if name == "entry-1" else None,
                freshness_bound_s=BOUND_S,
                head_poll_every_s=every_s,
            )

    def test_outage_right_after_the_pointer_moved(self):
        self.controller.arm(
            Step.PUBLISH_SEEN, lambda _pid: self.cluster.set_faults(outage=True)
        )
        self.cluster.apply(manifest_content(**REFUSED_MODEL))
        for name in self.names:
            self.wait_kind(name, REFUSED)
        self.assert_kind_stays(self.names, REFUSED)
        bases = {self.status(name)["basis"] for name in self.names}
        self.assertEqual(bases, {"outage"})
        for name in ("entry-2", "entry-3"):
            self.process(name).send_signal(signal.SIGSTOP)
        self.wait_kind("entry-1", "stale_manifest")
        for name in ("entry-2", "entry-3"):
            self.process(name).send_signal(signal.SIGCONT)
        self.wait_kind("entry-1", REFUSED)
        self.cluster.set_faults(outage=False)
        for name in self.names:
            wait_until(lambda name=name: self.status(name)["basis"] == "table")

    def head(self):
        table = HttpTableStore(Address.parse(self.cluster.platform.address))
        return curio.run(read_head, table)

    def race(self, action):
        """Apply a manifest, run ``action`` before its pointer moves; return its end."""
        path = self.cluster.path / "raced.json"
        path.write_text(json.dumps(manifest_content(**REFUSED_MODEL)))
        with StepController() as controller:
            controller.arm(Step.PUBLISH_POINTER, lambda _pid: action())
            popen = self.cluster.spawn_cli(
                *("apply", str(path), "--platform", self.cluster.platform.address),
                variables=controller.variables,
            )
            _stdout, stderr = popen.communicate(timeout=60)
        return popen.returncode, stderr

    def test_operator_with_an_outdated_revision_is_refused(self):
        before = self.head()
        status, message = self.race(lambda: self.apply(manifest_content()))
        self.assertEqual(status, ExitStatus.CONFLICT, message)
        revision = before.revision + 1
        self.assertIn(f"another operator was faster: revision {revision}", message)
        self.assertEqual(self.head().generation, before.generation + 1)
        self.assertEqual(self.kind_of("entry-1"), "ok")

    def test_closure_written_meanwhile_is_no_conflict(self):
        table = HttpTableStore(Address.parse(self.cluster.platform.address))

        async def close_model():
            closed = (await read_head(table)).with_closure("engine-9", (MODEL,))
            await table.write(closed.as_transaction())

        before = self.head()
        status, message = self.race(lambda: curio.run(close_model))
        self.assertEqual(status, ExitStatus.SUCCESS, message)
        self.assertEqual(self.head().revision, before.revision + 1)
        self.assertEqual(self.head().closures, {"engine-9": (MODEL,)})

    def test_lost_answer_of_the_pointer_write_is_settled(self):
        before = self.head()
        self.cluster.set_faults(lose_answers=1)
        self.apply(manifest_content())
        self.assertEqual(self.head().generation, before.generation + 1)

    def test_outcome_that_can_not_be_read_back_is_reported_as_unknown(self):
        status, message = self.race(lambda: self.cluster.set_faults(outage=True))
        self.cluster.set_faults(outage=False)
        self.assertEqual(status, ExitStatus.OUTCOME_UNKNOWN, message)

    def test_entry_started_during_a_publication_never_goes_back(self):
        stop = threading.Event()
        accepted = []

        def publish():
            while not stop.is_set():
                done = self.cluster.apply(
                    manifest_content(), "--json", "--timeout", "0"
                )
                accepted.append(json.loads(done.stdout)["generation"])

        with ThreadPoolExecutor(1) as pool:
            publishing = pool.submit(publish)
            wait_until(lambda: len(accepted) >= 2)
            known = accepted[-1]
            started = self.cluster.start_entry("entry-4")
            wait_until(lambda: self.status("entry-4")["generation"] > known + 1)
            stop.set()
            publishing.result()
        wait_until(lambda: self.status("entry-4")["generation"] == accepted[-1])
        seen = [
            line["generation"] for line in started.log_lines() if line["event"] == 200
        ]
        self.assertGreaterEqual(seen[0], known)
        self.assertEqual(seen, sorted(set(seen)))
        self.assertEqual(self.cluster.stop("entry-4"), 0)

    def test_entry_that_starts_and_is_paused_does_not_serve_what_it_read(self):
        with StepController() as controller:
            stopped = StoppedProcess()
            controller.arm(Step.PUBLISH_SEEN, stopped.stop)
            self.addCleanup(stopped.resume)
            self.cluster.start_entry(
                "entry-5", variables=controller.variables, freshness_bound_s=BOUND_S
            )
            stopped.wait()
            with ThreadPoolExecutor(4) as pool:
                asked = [pool.submit(self.complete, entry="entry-5") for _ in range(4)]
                self.apply(
                    manifest_content(**REFUSED_MODEL), "--timeout", "0", status=6
                )
                time.sleep(2 * BOUND_S)
                stopped.resume()
                kinds = {future.result().json().get("kind") for future in asked}
            self.assertLessEqual(kinds, {"stale_manifest", REFUSED})
            self.wait_kind("entry-5", REFUSED)
            self.assertEqual(self.cluster.stop("entry-5"), 0)
        self.cluster.unregister("entry-5")


class WatcherTest(unittest.TestCase):
    """What a watcher takes from the table and from peers."""

    def setUp(self):
        self.manifest = Manifest.model_validate(manifest_content())
        self.row = Row("control", "head", NO_VERSION, None)
        table = mock.Mock(read=mock.AsyncMock(side_effect=lambda *_: self.row))
        objects = mock.Mock(
            get=mock.AsyncMock(return_value=self.manifest.canonical_bytes())
        )
        self.watcher = ManifestWatcher(table, objects, 0.1, EventLog("entry-1"))

    def head(self, generation):
        return Head(generation, generation, self.manifest.digest(), row_version=9)

    def copy(self, generation, body=None):
        head = json.dumps(self.head(generation).as_value()).encode()
        return ManifestCopy(head, body or self.manifest.canonical_bytes(), 9)

    def install(self, copy):
        curio.run(self.watcher.install_copy, copy)

    def test_generation_never_goes_down(self):
        self.install(self.copy(7))
        self.install(self.copy(6))
        self.assertEqual(self.watcher.generation, 7)
        self.row = Row("control", "head", 3, self.head(5).as_value())
        curio.run(self.watcher.refresh)
        self.assertEqual(self.watcher.generation, 7)
        self.assertEqual(self.watcher.current.head.row_version, 9)

    def test_copy_must_have_the_digest_that_its_head_names(self):
        content = manifest_content(**REFUSED_MODEL)
        other = Manifest.model_validate(content).canonical_bytes()
        for copy in (self.copy(7, other), replace(self.copy(7), head=b"[]")):
            with self.assertRaises(ConfigError):
                self.install(copy)
        self.assertEqual(self.watcher.generation, 0)
