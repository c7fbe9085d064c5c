"""Verdicts on prompt blocks that crash engines, without I/O, for fleets of any size."""

import random
import unittest
from unittest import mock

import curio

from wisteriaarch.connection.member_codec import (
    Datagram,
    DatagramKind,
    decode_datagram,
    encode_datagram,
)
from wisteriaarch.errors import (
    ErrorKind,
    FrameError,
    Ran,
    RequestError,
    StoreUnavailable,
)
from wisteriaarch.process.digest import (
    NO_BLOCK_RECORDS,
    BlockAnswer,
    BlockCrash,
    BlockRecords,
)
from wisteriaarch.process.member_list import MemberRecord
from wisteriaarch.request.block_history import RECENT_S, RETENTION_S
from wisteriaarch.request.block_quarantine import (
    PROBE_INTERVAL_S,
    TRIAL_DELAYS_S,
    BlockQuarantine,
    TrialPolicy,
)
from wisteriaarch.request.block_rows import (
    RECORDS_MAX,
    BlockRows,
    decode_records,
    encode_records,
)
from wisteriaarch.request.block_trial import BlockTrial, choose_trial_owner
from wisteriaarch.request.kept_records import CHECK_EVERY_S
from wisteriaarch.request.prefix_assignments import BLOCK_BYTES, prefix_digests

from .memory_table import MemoryTable

CRASH_BLOCK = "crash"
FIRST_BLOCKS = ("first-1", "first-2", "first-3", "first-4")
EXPORTED = 16


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


class QuarantineTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.log = mock.Mock()
        self.is_owner = True
        self.entries = 8
        self.quarantine = self.new_quarantine()

    def new_quarantine(self):
        return BlockQuarantine(
            self.log,
            ErrorKind.CRASHES_UPSTREAMS,
            TrialPolicy(lambda _block: self.is_owner, lambda: self.entries),
            self.clock,
            mock.Mock(uniform=lambda _low, high: high),
        )

    def crash(self, number, *requests, quarantine=None):
        """Record requests, each a list of blocks, in flight at one crash."""
        for index, blocks in enumerate(requests):
            (quarantine or self.quarantine).record_crash(
                f"request-{number}-{index}", tuple(blocks), f"crash-{number}"
            )

    def is_refused(self, *blocks, trial=None, quarantine=None):
        trial = trial or BlockTrial(is_granted=False)
        try:
            (quarantine or self.quarantine).check(blocks, trial, Ran.NO)
        except RequestError:
            return True
        return False

    def convict(self, quarantine=None):
        for number in range(3):
            first = FIRST_BLOCKS[number]
            self.crash(number, [first, CRASH_BLOCK], quarantine=quarantine)


class VerdictTest(QuarantineTestCase):
    def test_block_at_three_crashes_of_different_requests_is_refused(self):
        self.crash(1, ["first-1", CRASH_BLOCK], ["first-2", "b7"])
        self.crash(2, ["first-1", CRASH_BLOCK], ["first-3", "b8"])
        self.assertFalse(self.is_refused("first-1", CRASH_BLOCK))
        self.crash(3, ["first-2", CRASH_BLOCK], ["first-3", "b9"])
        self.assertTrue(self.is_refused("first-1", CRASH_BLOCK))
        self.assertTrue(self.is_refused("first-4", CRASH_BLOCK))
        self.assertFalse(self.is_refused("first-1", "b7"))

    def test_retries_of_one_request_accuse_no_block(self):
        for crash_id in ("a", "b", "c", "d"):
            self.quarantine.record_crash("same", ("first-1", "b1"), crash_id)
        self.assertFalse(self.is_refused("first-1", "b1"))

    def test_block_that_is_answered_in_between_is_not_accused(self):
        for number in range(6):
            self.clock.now_s += 0.1
            self.crash(number, ["first-1", CRASH_BLOCK])
            self.clock.now_s += 0.1
            self.quarantine.record_answer(("first-1", "b1"))
        self.assertTrue(self.is_refused("first-1", CRASH_BLOCK))
        self.assertFalse(self.is_refused("first-1", "b1"))

    def test_blocks_that_nothing_tells_apart_are_probed_a_few_times_a_second(self):
        for number in range(3):
            self.crash(number, ["first-1", CRASH_BLOCK])
        self.assertTrue(self.is_refused("first-1", "b1"))
        self.assertTrue(self.is_refused("first-2", CRASH_BLOCK))
        self.clock.now_s += PROBE_INTERVAL_S * self.entries
        self.assertFalse(self.is_refused("first-1", "b1"))
        self.assertTrue(self.is_refused("first-1", "b1"))
        self.clock.now_s += 0.1
        self.quarantine.record_answer(("first-1", "b1"))
        self.assertFalse(self.is_refused("first-1", "b1"))
        self.assertTrue(self.is_refused("first-2", CRASH_BLOCK))

    def test_crash_of_a_probe_tells_which_block_is_the_cause(self):
        self.is_owner = False
        for number in range(3):
            self.crash(number, ["first-1"], ["first-2"])
        self.assertTrue(self.is_refused("first-2"))
        self.clock.now_s += PROBE_INTERVAL_S * self.entries
        self.assertFalse(self.is_refused("first-2"))
        self.crash(4, ["first-2"])
        self.clock.now_s += PROBE_INTERVAL_S * self.entries
        self.assertTrue(self.is_refused("first-2"))
        self.assertFalse(self.is_refused("first-1"))

    def test_request_with_all_suspects_is_no_probe(self):
        """Blocks that always come together went on crashing engines as probes."""
        self.is_owner = False
        for number in range(3):
            self.crash(number, ["first-1", CRASH_BLOCK])
        self.assertTrue(self.is_refused("first-1", CRASH_BLOCK))
        self.clock.now_s += 10 * PROBE_INTERVAL_S * self.entries
        self.assertTrue(self.is_refused("first-1", CRASH_BLOCK))
        self.assertFalse(self.is_refused("first-1", "b1"))

    def test_block_that_was_never_answered_is_presumed_the_cause(self):
        """All engines crash at once, so that nothing is answered in between."""
        self.quarantine.record_answer(("first-1", "b1"))
        self.clock.now_s += 60.0
        for number in range(4):
            self.crash(number, ["first-1", CRASH_BLOCK], ["first-1", "b1"])
        self.assertTrue(self.is_refused("first-2", CRASH_BLOCK))
        self.assertFalse(self.is_refused("first-1", "b2"))

    def test_block_that_turns_bad_is_found_by_its_number_of_crashes(self):
        self.is_owner = False
        self.quarantine.record_answer(("first-1", CRASH_BLOCK))
        self.clock.now_s += 1.0
        for number in range(4):
            self.crash(number, ["first-1", CRASH_BLOCK])
        for number in range(4, 7):
            self.crash(number, ["first-2", CRASH_BLOCK])
        self.assertTrue(self.is_refused("first-3", CRASH_BLOCK))
        self.clock.now_s += PROBE_INTERVAL_S * self.entries
        self.assertFalse(self.is_refused("first-1", "b1"))
        self.quarantine.record_answer(("first-1", "b1"))
        self.assertFalse(self.is_refused("first-1", "b1"))

    def test_two_blocks_that_crash_engines_are_both_found(self):
        for number in range(3):
            self.crash(number, ["first-1", CRASH_BLOCK], ["first-2", "b1"])
            self.crash(10 + number, ["first-1", "other"], ["first-2", "b1"])
            self.clock.now_s += 0.1
            self.quarantine.record_answer(("first-1", "first-2", "b1"))
        self.assertTrue(self.is_refused("first-3", CRASH_BLOCK))
        self.assertTrue(self.is_refused("first-3", "other"))
        self.assertFalse(self.is_refused("first-2", "b1"))

    def test_old_crashes_are_forgotten(self):
        self.convict()
        self.clock.now_s += RETENTION_S + 1
        self.assertFalse(self.is_refused("first-1", CRASH_BLOCK))
        self.assertFalse(self.quarantine.has_evidence)


class TrialTest(QuarantineTestCase):
    """A block that was accused by mistake comes back; one that crashes stays away."""

    def test_sound_block_is_released_by_the_first_trial(self):
        self.convict()
        self.clock.now_s += TRIAL_DELAYS_S[0]
        self.assertFalse(self.is_refused("first-1", CRASH_BLOCK))
        self.assertTrue(self.is_refused("first-1", CRASH_BLOCK))
        self.clock.now_s += 0.1
        self.assertTrue(self.quarantine.record_answer(("first-1", CRASH_BLOCK)))
        self.assertFalse(self.is_refused("first-1", CRASH_BLOCK))

    def test_block_that_still_crashes_gets_few_trials(self):
        self.convict()
        tried = 0
        for step in range(10_000):
            self.clock.now_s += 0.1
            if not self.is_refused("first-1", CRASH_BLOCK):
                tried += 1
                self.crash(100 + step, ["first-1", CRASH_BLOCK])
        self.assertEqual(tried, len(TRIAL_DELAYS_S))

    def test_trial_goes_on_until_its_request_is_at_a_crash(self):
        self.convict()
        self.clock.now_s += TRIAL_DELAYS_S[0]
        trial = BlockTrial()
        self.assertFalse(self.is_refused(CRASH_BLOCK, trial=trial))
        self.assertFalse(self.is_refused(CRASH_BLOCK, trial=trial))
        trial.is_granted = False
        self.assertTrue(self.is_refused(CRASH_BLOCK, trial=trial))

    def test_entry_that_starts_repeats_no_trial(self):
        self.convict()
        self.clock.now_s += TRIAL_DELAYS_S[0] + 0.1
        self.crash(9, ["first-1", CRASH_BLOCK])
        started = self.new_quarantine()
        started.merge(self.quarantine.export(EXPORTED))
        self.clock.now_s += 2 * TRIAL_DELAYS_S[0]
        self.assertTrue(self.is_refused(CRASH_BLOCK, quarantine=started))

    def test_other_entries_run_no_trial(self):
        self.convict()
        self.is_owner = False
        self.clock.now_s += TRIAL_DELAYS_S[-1]
        self.assertTrue(self.is_refused(CRASH_BLOCK))

    def test_one_of_the_living_entries_owns_a_trial(self):
        names = [f"10.0.0.{number}" for number in range(400)]
        owners = {choose_trial_owner(f"block-{n}", names) for n in range(400)}
        self.assertGreater(len(owners), 200)
        owner = choose_trial_owner("block-1", names)
        names.remove(owner)
        self.assertIn(choose_trial_owner("block-1", names), names)


class ExchangeTest(QuarantineTestCase):
    def test_verdict_reaches_an_entry_that_missed_the_crashes(self):
        self.is_owner = False
        self.convict()
        self.clock.now_s += 2 * RECENT_S
        other = self.new_quarantine()
        other.merge(self.quarantine.export(EXPORTED))
        self.assertTrue(self.is_refused("first-4", CRASH_BLOCK, quarantine=other))

    def test_answer_elsewhere_releases_a_block(self):
        self.is_owner = False
        other = self.new_quarantine()
        for quarantine in (self.quarantine, other):
            self.convict(quarantine)
        self.clock.now_s += 1.0
        other.record_answer((CRASH_BLOCK,))
        self.quarantine.merge(other.export(EXPORTED))
        self.assertFalse(self.is_refused("first-1", CRASH_BLOCK))

    def test_records_that_are_sent_back_and_forth_expire(self):
        other = self.new_quarantine()
        self.convict()
        for _ in range(200):
            self.clock.now_s += RETENTION_S / 100
            other.merge(self.quarantine.export(EXPORTED))
            self.quarantine.merge(other.export(EXPORTED))
        self.assertFalse(self.is_refused("first-1", CRASH_BLOCK))
        self.assertFalse(other.export(EXPORTED))

    def test_nothing_is_sent_without_crashes_or_long_after_an_ordinary_one(self):
        self.assertFalse(self.quarantine.export(EXPORTED))
        self.crash(1, ["first-1", "b1"])
        self.assertTrue(self.quarantine.export(EXPORTED))
        self.clock.now_s += RECENT_S + 1
        self.assertFalse(self.quarantine.export(EXPORTED))

    def test_datagram_carries_the_records(self):
        records = BlockRecords(
            (BlockCrash("r", "c", ("a", "b"), 1.5),), (BlockAnswer("a", 0.25),)
        )
        sender = MemberRecord("10.0.0.1", 1)
        datagram = Datagram(DatagramKind.PING, sender, blocks=records)
        self.assertEqual(decode_datagram(encode_datagram(datagram)).blocks, records)
        empty = BlockRecords((BlockCrash("", "c", (), 0.0),))
        with self.assertRaises(FrameError):
            decode_datagram(
                encode_datagram(Datagram(DatagramKind.PING, sender, blocks=empty))
            )

    def test_prefixes_have_the_same_keys_at_all_entries(self):
        body = b'{"prompt": "' + b"x" * (4 * BLOCK_BYTES) + b'"}'
        other = body.replace(b'x"}', b'y"}')
        self.assertEqual(prefix_digests("m", body), prefix_digests("m", other))
        self.assertNotEqual(prefix_digests("m", body), prefix_digests("n", body))
        changed = body.replace(b"xx", b"zz", 1)
        self.assertFalse(
            set(prefix_digests("m", body)) & set(prefix_digests("m", changed))
        )


class FleetTest(unittest.TestCase):
    """Crashes and answers at many entries that tell each other with a delay."""

    STEP_S = 0.02
    CONTACT_S = 3.0
    TOLERATED = 3
    RESTART_S = 3.0

    def play(
        self, entries, engines, seed, crashing_share=0.1, per_s=60.0, restart_s=1e9
    ):
        """Return the times of the crashes, and the served share of sound requests.

        All entries start again at ``restart_s``, and read what the first one wrote to
        the store, which it does 0.1 s after a change.
        """
        rng = random.Random(seed)
        clock = Clock()
        names = [f"entry-{number}" for number in range(entries)]

        def start(name):
            return BlockQuarantine(
                mock.Mock(),
                ErrorKind.CRASHES_UPSTREAMS,
                TrialPolicy(
                    lambda block: choose_trial_owner(block, names) == name,
                    lambda: entries,
                ),
                clock,
                rng,
            )

        fleet = {name: start(name) for name in names}
        down_until = dict.fromkeys(range(engines), 0.0)
        running = {engine: [] for engine in range(engines)}
        inbox = []
        row, written_version, writes = encode_records(NO_BLOCK_RECORDS), 0, []
        crashes, sound, served = [], 0, 0
        number = 0
        while clock.now_s < 1025.0:
            clock.now_s += self.STEP_S
            if clock.now_s >= restart_s:
                restart_s = 1e9
                fleet = {name: start(name) for name in names}
                for quarantine in fleet.values():
                    quarantine.merge(decode_records(row))
                written_version, writes = fleet[names[0]].version, []
            writer = fleet[names[0]]
            if writer.version != written_version:
                written_version = writer.version
                value = encode_records(writer.export(RECORDS_MAX))
                writes.append((clock.now_s + CHECK_EVERY_S, value))
            while writes and writes[0][0] <= clock.now_s:
                row = writes.pop(0)[1]
            for item in [item for item in inbox if item[0] <= clock.now_s]:
                inbox.remove(item)
                for name in names:
                    fleet[name].merge(item[1])
            for requests in running.values():
                for request in [r for r in requests if r[3] <= clock.now_s]:
                    requests.remove(request)
                    if fleet[request[0]].record_answer(request[2]):
                        records = fleet[request[0]].export(EXPORTED)
                        inbox.append((clock.now_s + 0.05, records))
            if rng.random() > per_s * self.STEP_S:
                continue
            number += 1
            name, first = rng.choice(names), rng.choice(FIRST_BLOCKS)
            is_crashing = rng.random() < crashing_share
            block = CRASH_BLOCK if is_crashing else f"b{rng.randrange(1000)}"
            is_late = clock.now_s > 1012.0
            sound += is_late and not is_crashing
            up = [e for e in running if down_until[e] <= clock.now_s]
            try:
                fleet[name].check((first, block), BlockTrial(), Ran.NO)
            except RequestError:
                continue
            if not up:
                continue
            engine = rng.choice(up)
            request = (name, number, (first, block), clock.now_s + 0.1)
            running[engine].append(request)
            if not is_crashing:
                served += is_late
                continue
            crashes.append(clock.now_s)
            down_until[engine] = clock.now_s + self.RESTART_S
            told = set()
            for owner, identity, blocks, _end in running[engine]:
                fleet[owner].record_crash(str(identity), blocks, f"{engine}@{number}")
                told.add(owner)
            running[engine].clear()
            inbox += [
                (clock.now_s + 0.05, fleet[owner].export(EXPORTED)) for owner in told
            ]
        return crashes, served / max(1, sound)

    def assert_rules_kept(self, crashes, share):
        self.assertGreaterEqual(len(crashes), 3)
        if len(crashes) >= 5:
            known_s = crashes[4] + self.CONTACT_S
            later = [at_s for at_s in crashes if at_s > known_s]
            self.assertLessEqual(len(later), self.TOLERATED)
        self.assertGreater(share, 0.9)

    def test_rules_hold_for_8_and_400_entries(self):
        for entries, engines, seeds in ((8, 6, 12), (400, 30, 2)):
            for seed in range(seeds):
                with self.subTest(entries=entries, seed=seed):
                    self.assert_rules_kept(*self.play(entries, engines, seed))

    def test_rules_hold_when_all_entries_start_again_at_once(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                self.assert_rules_kept(*self.play(8, 6, seed, restart_s=1014.0))


class BlockRowsTest(QuarantineTestCase):
    """What all entries knew is in the store when they start again."""

    def setUp(self):
        super().setUp()
        self.store = MemoryTable()

    async def run_for_a_while(self, quarantine, is_writer=True):
        rows = BlockRows(quarantine, self.store, lambda: is_writer, mock.Mock())
        task = await curio.spawn(rows.run)
        await curio.sleep(2.5 * CHECK_EVERY_S)
        await task.cancel()

    def start(self, quarantine, is_writer=True):
        curio.run(self.run_for_a_while, quarantine, is_writer)

    def test_verdict_outlives_all_entries(self):
        self.convict()
        self.start(self.quarantine)
        restarted = self.new_quarantine()
        self.start(restarted)
        self.assertTrue(self.is_refused(CRASH_BLOCK, quarantine=restarted))
        self.assertFalse(self.is_refused("first-4", quarantine=restarted))

    def test_only_the_writer_writes(self):
        self.convict()
        self.start(self.quarantine, is_writer=False)
        self.assertEqual(self.store.rows, {})

    def test_store_that_is_away_is_asked_again(self):
        self.store.error = StoreUnavailable("away")
        self.start(self.quarantine)
        self.store.error = None
        self.convict()
        self.start(self.quarantine)
        self.assertEqual(len(self.store.rows), 1)

    def test_row_of_another_form_says_nothing(self):
        for value in (None, [], {"crashes": 3}, {"crashes": [[1]], "answers": []}):
            with self.subTest(value=value):
                self.assertEqual(decode_records(value), NO_BLOCK_RECORDS)
