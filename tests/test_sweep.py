"""Old claims are removed, none before its time, whoever sweeps or is killed."""

import contextlib
import http.client
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from extras.cluster import wait_until
from extras.step_controller import StepController, kill
from wisteriaarch.request.claim_sweep import ROWS_PER_BATCH
from wisteriaarch.steps import Step

from .support import ClusterTestCase

KEPT_S = 4.0
GONE_WITHIN_S = 25.0
SWEEP_EVERY_S = 0.04
KEYS = 3 * ROWS_PER_BATCH
LARGE_BYTES = 20_000
SLOW_RUN_S = 3.5
LATER_KEYS = 24
WATCH_EVERY_S = 0.02


class ClaimWatch:
    """Notes when claims are first seen with an outcome and when they are last seen.

    A context manager; it reads the claims again and again meanwhile.
    """

    def __init__(self, read_claims):
        self.settled_s = {}
        self.last_seen_s = {}
        self._read_claims = read_claims
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        self._thread.join()

    def _watch(self):
        while not self._stopped.wait(WATCH_EVERY_S):
            asked_at_s = time.monotonic()
            claims = self._read_claims()
            self.last_seen_s.update(dict.fromkeys(claims, asked_at_s))
            for key, claim in claims.items():
                if claim["state"] != "claimed" or key == "orphan":
                    self.settled_s.setdefault(key, time.monotonic())


class SweepTest(ClusterTestCase):
    entries = ("entry-1", "entry-2", "entry-3")
    settings = {"claims_kept_s": KEPT_S, "claims_sweep_every_s": SWEEP_EVERY_S}

    @classmethod
    def start_entries(cls):
        for name in cls.entries:
            cls.cluster.start_entry(name, **cls.settings)

    def export(self, key, entry="entry-1"):
        return self.call_service("/export", b"x", entry, {"Idempotency-Key": key})

    def setUp(self):
        self.objects_before = self.objects()

    def objects(self):
        counters = self.cluster.platform.request("GET", "/counters").json()
        return counters["objects"]

    def stored_answers(self):
        return self.objects() - self.objects_before

    def control_service(self, **faults):
        self.process("portal-1").request("POST", "/control", faults)

    def runs(self, key):
        return self.process("portal-1").request("GET", "/runs").json().get(key, 0)

    def claims(self):
        """Return the rows of claims by key, without the caller."""
        rows = self.cluster.platform.request("GET", "/table/claims").json()["rows"]
        return {row["key"].partition("/")[2]: row["value"] for row in rows}

    def ages_when_gone(self, watch, keys):
        """Wait until the claims are gone; return their ages when last seen."""
        wait_until(lambda: not self.claims().keys() & keys, GONE_WITHIN_S)
        return {key: watch.last_seen_s[key] - watch.settled_s[key] for key in keys}

    def export_all(self, keys):
        with ThreadPoolExecutor(16) as pool:
            answers = list(pool.map(self.export, keys))
        self.assertEqual({answer.status for answer in answers}, {200})

    def test_claims_are_kept_for_their_time_and_then_removed(self):
        self.control_service(padding_bytes=LARGE_BYTES, delay_s=SLOW_RUN_S)
        keys = {f"kept-{number}" for number in range(KEYS)}
        with ClaimWatch(self.claims) as watch:
            self.export_all(["slow"])
            self.control_service(delay_s=0.0)
            self.leave_unsettled("orphan")
            self.export_all(keys)
            wait_until(lambda: self.stored_answers() == KEYS + 1)
            ages = self.ages_when_gone(watch, keys | {"slow", "orphan"})
        self.assertGreaterEqual(min(ages.values()), KEPT_S)
        self.assertEqual(self.stored_answers(), 0)
        self.assertEqual(self.runs("orphan"), 0)
        for key in ("slow", "orphan"):
            runs = self.runs(key)
            self.assertEqual(self.export(key, "entry-2").status, 200)
            self.assertEqual(self.runs(key), runs + 1)

    def leave_unsettled(self, key):
        """Kill an entry that has claimed a key."""
        with StepController() as controller:
            owner = self.cluster.start_entry(
                "owner", variables=controller.variables, **self.settings
            )
            wait_until(lambda: owner.request("GET", "/readyz").status == 200)
            controller.arm(Step.CLAIM_WRITTEN, kill)
            with contextlib.suppress(OSError, http.client.HTTPException):
                self.export(key, owner.name)
            owner.wait()
        self.assertEqual(self.claims()[key]["state"], "claimed")
        answer = self.export(key, "entry-2")
        self.assertEqual(answer.json()["kind"], "outcome_unknown")

    def test_lost_answers_and_a_killed_sweeper_remove_no_young_claim(self):
        extra = self.cluster.start_entry("sweeper", **self.settings)
        wait_until(lambda: extra.request("GET", "/readyz").status == 200)
        keys = {f"later-{number}" for number in range(LATER_KEYS)}
        with ClaimWatch(self.claims) as watch:
            for number, key in enumerate(keys):
                self.export_all([key])
                self.cluster.set_faults(lose_answers=1)
                if number == LATER_KEYS // 2:
                    extra.popen.kill()
            ages = self.ages_when_gone(watch, keys)
        self.assertGreaterEqual(min(ages.values()), KEPT_S)
