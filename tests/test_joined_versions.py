"""Streams were joined from two software versions of a service's engines (ORDER)."""

import contextlib
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException

from extras.cluster import wait_until
from extras.gateway_cluster import GatewayCluster, is_ready, server_row
from tests.gateway_support import RouteCluster
from tests.stream_support import StreamCaller
from tests.support import MODEL
from tests.test_whole import WholeTestCase

OLD = ("old-pre", "old-dec-1", "old-dec-2")
NEW = ("new-pre", "new-dec-1", "new-dec-2")
EVENT_EVERY_S = 0.12
# Streams last longer than it takes to start three engines on a busy machine.
SLOW_EVENT_EVERY_S = 1.5
ENTRIES = (2, 3, 4)
STREAMS = 18
PREFIXES = 9
# New streams begin on all these days, so that at least half of the take-ups must go on.
GO_ON_SHARE_MIN = 0.5
# Records reach the store within this time.
RECORD_S = 0.3
STORE_READ_S = 0.5


class VersionsTestCase(RouteCluster):
    """Three entries before engines of two versions, three of each."""

    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        self.cluster.start_store()
        for name in OLD:
            self.start_engine(name, "v1")
        self.entries = []
        self.ports = None
        for number in ENTRIES:
            self.start_entry(number)
        for entry in self.entries:
            self.wait_until_served(entry)

    def start_engine(self, name, version):
        stage = "prefill" if name.endswith("pre") else "decode"
        self.cluster.start_server(name, "llm", stage, version=version)
        self.cluster.control(name, event_interval_s=EVENT_EVERY_S)

    def start_new_engines(self):
        """Let the engines of the new version serve beside those of the old one."""
        for name in NEW:
            self.start_engine(name, "v2")
        time.sleep(STORE_READ_S)

    def start_entry(self, number):
        entry = self.cluster.start_gateway(number, self.ports)
        self.ports = entry.ports
        self.entries.append(entry)

    def wait_until_served(self, entry):
        wait_until(lambda: is_ready(entry))
        wait_until(lambda: StreamCaller().begin(entry).leave().statuses == [200])

    def restart_all(self):
        """Kill all entries at once and start them again."""
        for entry in self.entries:
            entry.popen.kill()
        for entry in self.entries:
            entry.wait()
            entry.popen.stdout.close()
        self.entries = []
        for number in ENTRIES:
            self.start_entry(number)
        for entry in self.entries:
            wait_until(lambda entry=entry: is_ready(entry))

    def begin_streams(self, count=STREAMS):
        """Return callers that have read the first event of their streams."""
        callers = [
            StreamCaller().begin(self.entries[number % len(self.entries)])
            for number in range(count)
        ]
        for caller in callers:
            caller.read_events(1)
        self.assertEqual({tuple(item.statuses) for item in callers}, {(200,)})
        return callers

    def take_up(self, callers):
        """Let callers take their streams up, each at another entry than before."""
        for number, caller in enumerate(callers):
            caller.leave()
            caller.begin(self.entries[(number + 1) % len(self.entries)])
        for caller in callers:
            caller.read_events()

    def versions(self, caller):
        return {name.partition("-")[0] for name in caller.servers}

    def assert_none_joined(self, callers):
        joined = [item.servers for item in callers if len(self.versions(item)) > 1]
        self.assertEqual(joined, [])
        self.assertLessEqual({item.statuses[-1] for item in callers}, {200, 503})

    def assert_enough_go_on(self, callers):
        went_on = sum(item.is_complete for item in callers)
        statuses = [item.statuses for item in callers]
        self.assertGreaterEqual(went_on, GO_ON_SHARE_MIN * len(callers), statuses)


class TakeUpTest(VersionsTestCase):
    def test_stream_is_taken_up_at_the_version_that_began_it(self):
        callers = self.begin_streams(STREAMS // 2)
        self.start_new_engines()
        callers += self.begin_streams(STREAMS // 2)
        self.assertEqual(set().union(*map(self.versions, callers)), {"old", "new"})
        self.take_up(callers)
        self.assert_none_joined(callers)
        self.assert_enough_go_on(callers)

    def test_stream_is_taken_up_at_its_version_after_the_loss_of_all_entries(self):
        self.start_new_engines()
        callers = self.begin_streams()
        time.sleep(RECORD_S)
        self.restart_all()
        self.take_up(callers)
        self.assert_none_joined(callers)
        self.assert_enough_go_on(callers)

    def test_stream_begun_before_the_other_version_came_survives_the_loss_too(self):
        for name in OLD:
            self.cluster.control(name, event_interval_s=SLOW_EVENT_EVERY_S)
        callers = self.begin_streams()
        self.start_new_engines()
        self.restart_all()
        self.take_up(callers)
        self.assert_none_joined(callers)
        self.assert_enough_go_on(callers)

    def test_stream_of_a_version_that_has_left_does_not_go_on(self):
        callers = self.begin_streams()
        self.start_new_engines()
        for name in OLD:
            self.cluster.remove("servers", name)
        self.restart_all()
        self.take_up(callers)
        self.assert_none_joined(callers)
        self.assertEqual({item.statuses[-1] for item in callers}, {503})

    def test_version_replaced_while_all_entries_are_away_does_not_go_on(self):
        callers = self.begin_streams()
        for entry in self.entries:
            entry.popen.kill()
        self.start_new_engines()
        for name in OLD:
            self.cluster.remove("servers", name)
        self.restart_all()
        self.take_up(callers)
        self.assert_none_joined(callers)

    def test_stream_is_taken_up_at_its_version_while_an_entry_is_frozen(self):
        self.start_new_engines()
        callers = self.begin_streams()
        time.sleep(RECORD_S)
        frozen = self.entries.pop()
        frozen.send_signal(signal.SIGSTOP)
        self.addCleanup(frozen.send_signal, signal.SIGCONT)
        self.take_up(callers)
        self.assert_none_joined(callers)
        self.assert_enough_go_on(callers)

    def test_stream_is_taken_up_at_its_version_whichever_entry_is_killed(self):
        self.start_new_engines()
        callers = self.begin_streams()
        time.sleep(RECORD_S)
        for entry in self.entries[:2]:
            entry.popen.kill()
        self.entries = self.entries[2:]
        self.take_up(callers)
        self.assert_none_joined(callers)
        self.assert_enough_go_on(callers)


class OneAnswerTest(VersionsTestCase):
    def runs(self):
        """Return the servers that ran each call, or prefilled its prompt."""
        seen = {}
        for name in (*OLD, *NEW):
            for headers in self.cluster.control(name)["seen"]:
                seen.setdefault(headers["attempt-id"], []).append((name, headers))
        return seen

    def test_cut_stream_is_continued_by_its_version(self):
        self.start_new_engines()
        for name in (*OLD, *NEW):
            self.cluster.control(name, fault="cut", count=3)
        callers = [
            StreamCaller().begin(self.entries[number % len(self.entries)])
            for number in range(STREAMS)
        ]
        for caller in callers:
            caller.read_events()
        seen = self.runs()
        resumed = 0
        for caller in callers:
            runs = seen[caller.first_call]
            versions = {name.partition("-")[0] for name, _headers in runs}
            resumed += any("last-event-id" in headers for _name, headers in runs)
            self.assertEqual(len(versions), 1, runs)
        self.assertGreater(resumed, 2)

    def test_prompt_is_prefilled_and_decoded_by_one_version(self):
        self.start_new_engines()
        callers = [
            StreamCaller(9000, f"{number % PREFIXES:04x}").start(self.entries[0])
            for number in range(STREAMS)
        ]
        for caller in callers:
            caller.read_head().read_events()
        addresses = {
            self.cluster.processes[name].address: name for name in (*OLD, *NEW)
        }
        crossings = []
        for runs in self.runs().values():
            names = {name for name, _headers in runs}
            for _name, headers in runs:
                for field in ("kv-source", "kv-fetch"):
                    address = headers.get(field, "").partition("/")[0]
                    names |= {addresses[address]} if address else set()
            versions = {name.partition("-")[0] for name in names}
            crossings += [names] if len(versions) > 1 else []
        self.assertEqual(crossings, [])


class OwnInterfaceTest(WholeTestCase):
    """A stream that breaks off goes on at engines of its software version alone."""

    SOFTWARE = {
        "engine-1": "old",
        "engine-2": "old",
        "engine-3": "new",
        "engine-4": "new",
    }
    engines = tuple(SOFTWARE)

    @classmethod
    def start_engine(cls, name):
        software = cls.SOFTWARE[name]
        models = [f"{MODEL}@v1"]
        cls.cluster.start_engine(name, models=models, software=software)

    def test_cut_stream_is_continued_by_its_software_version(self):
        prompts = [f"bibliography {number}" for number in range(STREAMS)]
        with ThreadPoolExecutor(len(prompts)) as pool:
            answers = [pool.submit(self.stream, prompt) for prompt in prompts]
            wait_until(lambda: self.running("engine-2") >= 2)
            with contextlib.suppress(OSError, HTTPException):
                self.process("engine-2").request("POST", "/crash")
            for prompt, answer in zip(prompts, answers, strict=True):
                self.assert_whole(answer.result(), prompt)
        runs = {}
        for name, software in self.SOFTWARE.items():
            for call in self.process(name).request("GET", "/journal").json()["runs"]:
                runs.setdefault(call, []).append((name, software))
        joined = {
            call: names
            for call, names in runs.items()
            if len({software for _name, software in names}) > 1
        }
        resumed = [call for call, names in runs.items() if len(names) > 1]
        self.assertEqual(joined, {})
        self.assertGreater(len(resumed), 0)

    def running(self, engine):
        return self.process(engine).request("GET", "/load").json()["running"]


class StoreTest(VersionsTestCase):
    def test_stream_is_taken_up_at_its_version_while_the_store_is_away(self):
        self.start_new_engines()
        callers = self.begin_streams()
        time.sleep(RECORD_S)
        store = self.cluster.processes["store"]
        store.request("POST", "/emulate", {"refuse": 503})
        self.take_up(callers)
        self.assert_none_joined(callers)
        self.assert_enough_go_on(callers)

    def test_stream_is_not_joined_after_an_older_copy_and_the_loss_of_all(self):
        store = self.cluster.processes["store"]
        store.request("POST", "/emulate", {"copy": True})
        self.start_new_engines()
        callers = self.begin_streams()
        time.sleep(RECORD_S)
        store.request("POST", "/emulate", {"come-back": True})
        for name in NEW:
            row = server_row(
                self.cluster.processes[name],
                "llm",
                "prefill" if name.endswith("pre") else "decode",
                version="v2",
            )
            self.cluster.write("servers", name, row)
        self.restart_all()
        self.take_up(callers)
        self.assert_none_joined(callers)
