"""Requests with one block in their prompts crashed engines, one after the other."""

import contextlib
import hashlib
import signal
import threading
import time
from http.client import HTTPException

from extras.cluster import wait_until
from extras.gateway_cluster import GatewayCluster, server_row
from tests.gateway_support import RouteCluster
from wisteriaarch.emulator.engine import CRASH_MARKER

from .test_poison import PoisonTestCase

FIRST_BLOCK = "f00d"
CRASH_BLOCK = "dead"
CONTACT_S = 3.0
# Requests with the block that may still reach engines, once CONTACT_S have passed
# since the crash of this number.
TOLERATED = 3
CRASHES_UNTIL_KNOWN = 5
SERVED_SHARE_MIN = 0.5
ENGINES = ("dec-1", "dec-2", "dec-3")
RESTART_S = 1.0
KEEPER_POLL_S = 0.02
SOUND_EVERY_S = 0.08
CRASHING_EVERY_S = 0.2


class Engines:
    """Decode engines; one that has ended is replaced by a new one a second later."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._running = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._keep)
        self.ended_at_s = []

    def __enter__(self):
        for name in ENGINES:
            self._start(name, 1)
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        self._thread.join()

    def _start(self, name, number):
        engine = f"{name}-{number}"
        process = self._cluster.start(
            engine, "emulate", "server", "--name", engine, "--stage", "decode"
        )
        self._cluster.control(engine, crash_block=CRASH_BLOCK)
        row = server_row(process, "llm", "decode")
        self._cluster.write("servers", engine, row)
        self._running[name] = (process, engine, number, None)

    def _keep(self):
        while not self._stopped.wait(KEEPER_POLL_S):
            for name, (process, engine, number, ended) in list(self._running.items()):
                now = time.monotonic()
                if ended is None and process.popen.poll() is not None:
                    self.ended_at_s.append(now)
                    self._running[name] = (process, engine, number, now)
                elif ended is not None and now - ended > RESTART_S:
                    self._cluster.remove("servers", engine)
                    self._start(name, number + 1)


class CrashingBlockTest(RouteCluster):
    """Three entries, one prefill engine and three decode engines."""

    PLAYED_S = 12.0
    LAST_S = 4.0

    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        self.cluster.start_store()
        self.cluster.start_server("app-1", "app")
        self.cluster.start_server("pre-1", "llm", "prefill")
        self.engines = self.enterContext(Engines(self.cluster))
        first = self.cluster.start_gateway(2)
        others = [self.cluster.start_gateway(n, first.ports) for n in (3, 4)]
        self.entries = [first, *others]
        for entry in self.entries:
            wait_until(lambda entry=entry: self.send(entry, "b1", "warm") == 200)
        self.sound = []
        self.stopped = threading.Event()
        self.addCleanup(self.stopped.set)

    def send(self, entry, block, attempt):
        own = hashlib.blake2b(attempt.encode(), digest_size=8).hexdigest()
        try:
            return self.ask_prompt(
                "/again/x",
                attempt,
                3000,
                entry,
                Prefix_Hash=f"{FIRST_BLOCK}:1000,{block}:1000,{own}:1000",
            ).status
        except (OSError, HTTPException):
            return 0

    def send_repeatedly(self, entry, pause_s, next_block):
        number = 0
        while not self.stopped.wait(pause_s):
            number += 1
            block = next_block(number)
            status = self.send(entry, block, f"{entry.name}{block}x{number}")
            if block != CRASH_BLOCK:
                self.sound.append((time.monotonic(), status))

    def play(self, disturb=lambda: None):
        """Send sound and crashing requests through all entries for some time."""
        threads = [threading.Thread(target=disturb)]
        for entry in self.entries:
            for pause_s, next_block in (
                (SOUND_EVERY_S, lambda number: f"b{number % 20}"),
                (CRASHING_EVERY_S, lambda _number: CRASH_BLOCK),
            ):
                arguments = (entry, pause_s, next_block)
                threads.append(
                    threading.Thread(target=self.send_repeatedly, args=arguments)
                )
        for thread in threads:
            thread.start()
        time.sleep(self.PLAYED_S)
        self.stopped.set()
        for thread in threads:
            thread.join()

    def assert_rules_kept(self):
        ended = self.engines.ended_at_s
        self.assertGreater(len(ended), 0)
        if len(ended) >= CRASHES_UNTIL_KNOWN:
            known_at_s = ended[CRASHES_UNTIL_KNOWN - 1] + CONTACT_S
            later = [at_s for at_s in ended if at_s > known_at_s]
            self.assertLessEqual(len(later), TOLERATED, "BUDGET")
        since_s = time.monotonic() - self.LAST_S
        last = [status for at_s, status in self.sound if at_s > since_s]
        served = sum(status == 200 for status in last)
        self.assertGreaterEqual(served, SERVED_SHARE_MIN * len(last), "LOST")

    def test_block_that_crashes_engines_is_stopped_and_sound_prompts_are_served(self):
        self.play()
        self.assert_rules_kept()

    def test_block_is_stopped_through_freeze_and_restart_of_entries(self):
        def disturb():
            time.sleep(2.0)
            self.entries[1].send_signal(signal.SIGSTOP)
            time.sleep(1.0)
            killed = self.entries[2]
            killed.send_signal(signal.SIGKILL)
            killed.wait()
            self.cluster.start_gateway(4, self.entries[0].ports)
            time.sleep(1.0)
            self.entries[1].send_signal(signal.SIGCONT)

        self.play(disturb)
        self.assert_rules_kept()

    def test_verdict_outlives_a_restart_of_all_entries(self):
        def restart_all():
            time.sleep(7.0)
            for entry in self.entries:
                entry.send_signal(signal.SIGKILL)
            for number, entry in zip((2, 3, 4), self.entries, strict=True):
                entry.wait()
                self.cluster.start_gateway(number, entry.ports)
            self.restarted_at_s = time.monotonic()

        self.play(restart_all)
        self.assert_rules_kept()
        late = [at_s for at_s in self.engines.ended_at_s if at_s > self.restarted_at_s]
        self.assertLessEqual(len(late), TOLERATED, "BUDGET")


class CrashingPrefixTest(PoisonTestCase):
    """The own interface: prompts that begin alike crash engines."""

    PREFIX = "a common beginning that is longer than a block " * 16
    ROUNDS = 2

    def test_common_beginning_crashes_few_engines(self):
        self.wait_for_engines()
        before = self.crashes()
        for number in range(self.ROUNDS):
            for entry in self.entries:
                self.wait_for_engines()
                with contextlib.suppress(OSError, HTTPException):
                    self.complete(self.body(f"{number} {entry}"), entry)
        self.assertLessEqual(self.crashes() - before, CRASHES_UNTIL_KNOWN + TOLERATED)
        self.wait_for_engines()
        sound = {"prompt": f"sound {self.PREFIX}", "max_tokens": 4}
        for entry in self.entries:
            self.assertEqual(self.complete(sound, entry).status, 200)

    def body(self, text):
        prompt = f"{CRASH_MARKER} {self.PREFIX}{text} {'tail ' * 60}"
        return {"prompt": prompt, "max_tokens": 8}
