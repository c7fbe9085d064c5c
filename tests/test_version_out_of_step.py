"""A release begins while one entry is cut off or stands still; no stream is joined."""

import json
import os
import random
import signal
import threading
import time

from extras.gateway_cluster import server_row
from tests.stream_support import StreamCaller
from tests.test_joined_versions import EVENT_EVERY_S, NEW, VersionsTestCase

# Orders of events in each kind of trouble; OUT_OF_STEP_SEEDS names others, as 1-20.
SEEDS = os.environ.get("OUT_OF_STEP_SEEDS", "1-2")
STREAMS = 12
MODES = ("hang", "reset", "refuse all")
OUT_OF_STEP_S = (1.0, 3.0)
REGISTERED_S = 0.5


def stage_of(name):
    return "prefill" if name.endswith("pre") else "decode"


class OutOfStepCase(VersionsTestCase):
    """Three entries, whose links can be cut, and engines of v2 that aren't registered.

    ``entry`` is out of step while they register; streams begin at the others.
    """

    def setUp(self):
        """Do nothing: each play has a cluster of its own."""

    def start_entry(self, number):
        self.set_links(number, "", [])
        entry = self.cluster.start_gateway(
            number,
            self.ports,
            module="tests.cut_entry",
            variables={"CUT_FILE": str(self.cut_path(number))},
        )
        self.ports = entry.ports
        self.entries.append(entry)

    def cut_path(self, number):
        return self.cluster.path / f"cut-{number}.json"

    def set_links(self, number, mode, ports):
        path = self.cut_path(number)
        listening = self.ports[3:4] if self.ports else []
        content = {"mode": mode, "ports": ports, "listening": listening}
        path.with_suffix(".new").write_text(json.dumps(content), encoding="utf-8")
        path.with_suffix(".new").rename(path)

    def cut(self, *which):
        ports = {"store": self.cluster.processes["store"].port, "peers": self.ports[3]}
        number = int(self.entry.name.rpartition("-")[2])
        mode = self.rng.choice(MODES)
        self.set_links(number, mode, [ports[item] for item in which])

    def mend(self):
        self.set_links(int(self.entry.name.rpartition("-")[2]), "", [])

    def prepare(self, seed):
        self.rng = random.Random(seed)
        super().setUp()
        for name in NEW:
            arguments = ("emulate", "server", "--name", name, "--stage", stage_of(name))
            self.cluster.start(name, *arguments)
        self.entry = self.rng.choice(self.entries)
        self.others = [item for item in self.entries if item is not self.entry]

    def register_new_engines(self):
        for name in NEW:
            process = self.cluster.processes[name]
            row = server_row(process, "llm", stage_of(name), version="v2")
            self.cluster.control(name, event_interval_s=EVENT_EVERY_S)
            self.cluster.write("servers", name, row)
        time.sleep(REGISTERED_S)

    def play(self, seed, disturb, mend):
        """Take streams of both versions up at an entry that may not know of v2."""
        self.prepare(seed)
        disturb()
        before_s = time.monotonic()
        self.register_new_engines()
        callers = self.begin_elsewhere()
        self.break_streams(callers)
        is_mended_first = self.rng.random() < 0.5
        lasts_s = self.rng.uniform(*OUT_OF_STEP_S)
        time.sleep(max(0.0, before_s + lasts_s - time.monotonic()))
        if is_mended_first:
            mend()
            time.sleep(self.rng.choice((0.0, 0.02, 0.1, 0.5)))
        self.take_up_here(callers, mend)
        for caller in callers:
            caller.leave()
        self.began |= {caller.servers[0].partition("-")[0] for caller in callers}
        self.assert_none_joined(callers)

    def begin_elsewhere(self):
        callers = [
            StreamCaller(prefix=f"{number:04x}").begin(self.rng.choice(self.others))
            for number in range(STREAMS)
        ]
        for caller in callers:
            caller.read_events(1)
        return [item for item in callers if item.last_event]

    def break_streams(self, callers):
        """Break streams by their callers or the loss of another entry."""
        if self.rng.random() < 0.3:
            self.others.pop().popen.kill()
        for caller in callers:
            caller.leave()

    def take_up_here(self, callers, mend):
        for caller in callers:
            caller.start(self.entry)
        threading.Timer(self.rng.uniform(0, 0.3), mend).start()
        for caller in callers:
            caller.read_head().read_events()


class OutOfStepTest(OutOfStepCase):
    def run_seeds(self, disturb, mend):
        self.began = set()
        first, _, last = SEEDS.partition("-")
        for seed in range(int(first), int(last or first) + 1):
            with self.subTest(seed=seed):
                try:
                    self.play(seed, disturb, mend)
                finally:
                    self.doCleanups()
        # A scheduler that is cut off from the store begins no stream on v2.
        self.assertEqual(self.began, {"old", "new"})

    def test_entry_that_stood_still_joins_no_stream(self):
        self.run_seeds(
            lambda: self.entry.send_signal(signal.SIGSTOP),
            lambda: self.entry.send_signal(signal.SIGCONT),
        )

    def test_entry_that_is_cut_from_the_others_joins_no_stream(self):
        self.run_seeds(lambda: self.cut("peers"), self.mend)

    def test_entry_that_is_cut_from_the_store_joins_no_stream(self):
        self.run_seeds(lambda: self.cut("store"), self.mend)

    def test_entry_that_is_cut_from_both_joins_no_stream(self):
        self.run_seeds(lambda: self.cut("store", "peers"), self.mend)
