"""Streams that two entries have placed, as one of them wasn't heard, aren't joined."""

import os
import signal
import time

from tests.stream_support import StreamCaller
from tests.test_version_out_of_step import STREAMS, OutOfStepCase
from wisteriaarch.process.member_list import MemberRecord
from wisteriaarch.process.scheduler_choice import rank_schedulers

# Placements take about this time; entries wait 0.1 s for them.
PLACEMENTS_S = 0.012
STANDSTILL_S = 0.2
ROUNDS = int(os.environ.get("OUT_OF_STEP_ROUNDS", "8"))
# After a scheduler didn't answer, it isn't asked for 0.25 s, or 1 s.
PAUSE_S = 0.4


class UnusedPlacementTest(OutOfStepCase):
    """An entry goes out of step while the scheduler answers it, and asks another one.

    Two entries have placed its streams then, at times on two versions.
    """

    def setUp(self):
        self.prepare(1)
        self.register_new_engines()
        by_host = {item.address.partition(":")[0]: item for item in self.entries}
        ranked = rank_schedulers("llm", [MemberRecord(host, 1) for host in by_host])
        self.scheduler = by_host[ranked[0]]
        self.entry = by_host[ranked[-1]]

    def begin_and_take_up(self, disturb, mend):
        """Begin streams while ``entry`` goes out of step; take them up elsewhere."""
        callers = [StreamCaller(prefix=f"{number:04x}") for number in range(STREAMS)]
        for caller in callers:
            caller.start(self.entry)
        time.sleep(self.rng.uniform(0, PLACEMENTS_S))
        disturb()
        time.sleep(STANDSTILL_S)
        mend()
        for caller in callers:
            caller.read_head()
        for caller in callers:
            caller.read_events(1).leave()
        callers = [item for item in callers if item.last_event]
        for caller in callers:
            caller.start(self.scheduler)
        for caller in callers:
            caller.read_head().read_events()
        return callers

    def play_rounds(self, disturb, mend):
        callers = []
        for _ in range(ROUNDS):
            callers += self.begin_and_take_up(disturb, mend)
            time.sleep(PAUSE_S)
        self.assert_none_joined(callers)
        self.assert_enough_go_on(callers)

    def test_entry_that_stood_still_leaves_no_false_record(self):
        self.play_rounds(
            lambda: self.entry.send_signal(signal.SIGSTOP),
            lambda: self.entry.send_signal(signal.SIGCONT),
        )

    def test_entry_that_was_cut_off_leaves_no_false_record(self):
        self.play_rounds(lambda: self.cut("peers"), self.mend)

    def test_entry_that_was_cut_off_from_the_store_too_leaves_no_false_record(self):
        self.play_rounds(lambda: self.cut("store", "peers"), self.mend)
