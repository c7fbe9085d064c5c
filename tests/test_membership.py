"""Membership among entries: frames, neighbours, spreading and freshness rules."""

import contextlib
import json
import random
import signal
import socket
import time
import unittest
import zlib
from dataclasses import replace
from unittest import mock

import capnp
import curio

from extras import record_age
from extras.cluster import Cluster, wait_until
from wisteriaarch.connection.frames import LENGTH_BYTES, MAX_FRAME_BYTES
from wisteriaarch.connection.peer_codec import (
    SCHEMA_PATH,
    MessageKind,
    PeerMessage,
    decode_message,
    encode_message,
)
from wisteriaarch.errors import FrameError
from wisteriaarch.process import http_store
from wisteriaarch.process.digest import (
    CrashRecord,
    EntryRecord,
    LimitRecord,
    PeerDigest,
    SentWork,
)
from wisteriaarch.process.heartbeat import (
    CHANGED_RECORDS_MAX,
    PEER_RECORDS_MAX,
    DigestHooks,
    HeartbeatComposer,
)
from wisteriaarch.process.http_store import HttpInstanceList
from wisteriaarch.process.membership import (
    DRIFT_MARGIN_S,
    MULTI_HOP_PROPAGATION_HEARTBEATS,
    Membership,
)
from wisteriaarch.process.neighbours import choose_neighbours
from wisteriaarch.process.request_limits import UNLIMITED
from wisteriaarch.process.staleness import ServingBasis, StalenessCheck
from wisteriaarch.wire import Address

from .support import MODEL, ClusterTestCase

BOUND_S = 3.0


def record(name, generation=1, confirmed_age_s=None, **more):
    return EntryRecord(name, 1, generation, confirmed_age_s, ready=True, **more)


def message(digest, kind=MessageKind.HEARTBEAT, sequence=1, echo=0):
    return PeerMessage(kind, sequence, echo, digest)


class CodecTest(unittest.TestCase):
    def test_message_survives_the_wire(self):
        sent = message(
            PeerDigest(
                record("entry-1", 7),
                (record("entry-2", 6, leaving=True),),
                (CrashRecord("f00d", 2, True),),
                (SentWork("engine-1", 3, 4000),),
                (LimitRecord("engine-1", 2.5, 0.0), LimitRecord("e-2", UNLIMITED, 0.0)),
                needs_manifest=True,
            )
        )
        received = decode_message(encode_message(sent))
        own = replace(received.digest.entry, heard_age_s=0.0)
        others = tuple(replace(r, heard_age_s=0.0) for r in received.digest.others)
        limits = tuple(replace(r, age_s=0.0) for r in received.digest.limits)
        digest = replace(received.digest, entry=own, others=others, limits=limits)
        self.assertEqual(replace(received, digest=digest), sent)

    def test_ages_are_never_understated(self):
        sent = message(PeerDigest(record("entry-1", confirmed_age_s=0.1234567)))
        age_s = decode_message(encode_message(sent)).digest.entry.confirmed_age_s
        self.assertGreaterEqual(age_s, 0.1234567)

    def test_fields_of_a_later_version_are_ignored(self):
        text = SCHEMA_PATH.read_text()
        text = text.replace("@0xc3f1a9d27be40586", "@0xc3f1a9d27be40587")
        later = text.replace(
            "needsManifest @4 :Bool;", "needsManifest @4 :Bool; more @12 :List(Text);"
        )
        with Cluster() as cluster:
            path = cluster.path / "later.capnp"
            path.write_text(later)
            schema = capnp.load(str(path))
        frame = schema.Message.new_message(version=2, kind=99)
        frame.digest.entry.entryId = "entry-9"
        frame.digest.more = ["a", "b"]
        received = decode_message(zlib.compress(frame.to_bytes()))
        self.assertEqual((received.kind, received.version), (99, 2))
        self.assertEqual(received.digest.entry.entry_id, "entry-9")

    def test_frames_changed_at_random_are_read_or_refused(self):
        rng = random.Random(7)
        whole = encode_message(message(PeerDigest(record("entry-1"))))
        for _ in range(3000):
            data = bytearray(zlib.decompress(whole))
            for _ in range(rng.randint(1, 6)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            data = bytes(data[: rng.randint(1, len(data))])
            for sent in (data, zlib.compress(data)):
                with contextlib.suppress(FrameError):
                    decode_message(sent)

    def test_malformed_frames_are_refused(self):
        whole = encode_message(message(PeerDigest(record("entry-1"))))
        nameless = encode_message(message(PeerDigest(record(""))))
        for data in (b"", whole[:40], whole[:-8], b"\xff" * 64, nameless):
            with self.assertRaises(FrameError):
                decode_message(data)


class NeighboursTest(unittest.TestCase):
    def test_few_entries_all_know_each_other(self):
        names = [f"entry-{i}" for i in range(9)]
        chosen = choose_neighbours("entry-0", names, peers_max=12)
        self.assertEqual(set(chosen), set(names) - {"entry-0"})

    def test_many_entries_form_one_graph_of_small_diameter(self):
        names = [f"entry-{i}" for i in range(400)]
        for peers_max, hops_max in ((4, 20), (8, 8), (12, 6)):
            edges = {n: choose_neighbours(n, names, peers_max) for n in names}
            for name, peers in edges.items():
                self.assertLessEqual(len(peers), peers_max)
                self.assertTrue(all(name in edges[peer] for peer in peers))
            reached, hops = {names[0]}, 0
            while len(reached) < len(names):
                reached |= {peer for name in reached for peer in edges[name]}
                hops += 1
            self.assertLessEqual(hops, hops_max)


class SpreadTest(unittest.TestCase):
    def test_records_of_100_entries_spread_through_6_peers(self):
        oldest, majority = record_age.measure(entries=100, peers=6)
        self.assertLessEqual(oldest, MULTI_HOP_PROPAGATION_HEARTBEATS)
        self.assertLessEqual(majority, oldest)


class RulesTest(unittest.TestCase):
    """Rules of membership and freshness on a clock that the test moves."""

    def setUp(self):
        self.now = 1000.0
        for name in ("member", "membership", "staleness"):
            patch = mock.patch(f"wisteriaarch.process.{name}.now_s", lambda: self.now)
            self.enterContext(patch)
        self.listed = ["entry-1", "entry-2", "entry-3"]
        self.members = Membership(
            "entry-1",
            lambda: self.listed,
            lambda: record("entry-1", 5),
            BOUND_S,
            heartbeat_every_s=0.1,
            peers_max=8,
        )
        self.source = mock.Mock(
            generation=5, accepted_generation=5, confirmed_at_s=self.now
        )
        self.freshness = StalenessCheck(BOUND_S, self.source, self.members)

    def hear(self, *records, age_s=0.0):
        digest = PeerDigest(records[0], records[1:])
        self.members.apply_digest(digest, self.now - age_s)

    def test_outage_needs_a_majority_and_nobody_with_contact(self):
        self.now += BOUND_S + 1
        self.hear(record("entry-2", 5, 9.0))
        self.assertIs(self.freshness.basis(), ServingBasis.OUTAGE)
        self.hear(record("entry-2", 6, 9.0))
        self.assertIs(self.freshness.basis(), ServingBasis.NONE, "a higher generation")
        self.source.generation = 6
        self.assertIs(self.freshness.basis(), ServingBasis.OUTAGE)
        self.hear(record("entry-3", 7, 0.1))
        self.assertIs(self.freshness.basis(), ServingBasis.NONE, "a peer has contact")
        self.source.generation = 7
        self.assertIs(self.freshness.basis(), ServingBasis.PEER)
        self.now += BOUND_S + 1
        self.assertIs(self.freshness.basis(), ServingBasis.NONE, "nobody was heard")

    def test_entry_never_confirmed_does_not_serve_in_an_outage(self):
        self.source.confirmed_at_s = None
        self.hear(record("entry-2", 5))
        self.assertIs(self.freshness.basis(), ServingBasis.NONE)

    def test_lagging_counts_out_only_those_that_cannot_admit(self):
        self.assertEqual(self.members.lagging_entry_ids(5), ["entry-2", "entry-3"])
        self.hear(record("entry-2", 5))
        self.assertEqual(self.members.lagging_entry_ids(5), ["entry-3"])
        self.now += BOUND_S + DRIFT_MARGIN_S + 0.1
        self.assertEqual(
            self.members.lagging_entry_ids(5), ["entry-3"], "no half is heard"
        )
        self.hear(record("entry-2", 5))
        self.assertEqual(self.members.lagging_entry_ids(5), [])
        self.hear(record("entry-3", 4))
        self.assertEqual(self.members.lagging_entry_ids(5), ["entry-3"])
        self.assertEqual(
            self.members.lagging_entry_ids(6, self.now),
            ["entry-1", "entry-2", "entry-3"],
        )

    def test_new_incarnation_replaces_the_old_and_is_not_undone(self):
        self.hear(record("entry-2", 5, leaving=True))
        self.now += 1
        restarted = replace(record("entry-2", 0), incarnation=2)
        self.hear(restarted)
        self.hear(record("entry-3", 5), record("entry-2", 5, heard_age_s=1.5))
        member = self.members.members["entry-2"]
        self.assertEqual((member.incarnation, member.leaving), (2, False))

    def test_records_take_turns_within_the_bound_of_a_heartbeat(self):
        names = [f"entry-{i}" for i in range(10, 110)]
        self.hear(record("entry-2"), *(record(name) for name in names))
        composer = HeartbeatComposer(self.members, DigestHooks())
        seen = set()
        for _ in range(2 + len(names) // (PEER_RECORDS_MAX - CHANGED_RECORDS_MAX)):
            others = composer.compose("entry-2", False).others
            self.assertLessEqual(len(others), PEER_RECORDS_MAX)
            seen.update(item.entry_id for item in others)
        self.assertEqual(seen, set(names))


class PeersTest(ClusterTestCase):
    """Entries in a ring, so that state travels over entries between."""

    services = ()
    entries = tuple(f"entry-{i}" for i in range(1, 7))

    @classmethod
    def start_entries(cls):
        for name in cls.entries:
            zone = "zone-b" if name == "entry-5" else "zone-a"
            cls.cluster.start_entry(name, zone, peers_max=2, callers_keep_s=2.0)

    def members(self, name):
        status = self.process(name).request("GET", "/v1/status").json()
        return {item["entry"]: item for item in status["members"]}

    def named(self, name):
        answer = self.process(name).request("GET", "/v1/entries")
        return [item["id"] for item in answer.json()["entries"]]

    def own_zone_first(self, name, names):
        alone, others = ["entry-5"], [item for item in names if item != "entry-5"]
        return alone + others if name == "entry-5" else others + alone

    def test_state_reaches_entries_that_are_no_neighbours(self):
        for name in self.entries:
            own_first = self.own_zone_first(name, self.entries)
            wait_until(lambda name=name, own=own_first: self.named(name) == own)
            generations = {m["generation"] for m in self.members(name).values()}
            self.assertEqual(generations, {1})
        self.process("entry-6").send_signal(signal.SIGTERM)
        rest = self.entries[:-1]
        for name in rest:
            own_first = self.own_zone_first(name, rest)
            wait_until(lambda name=name, own=own_first: self.named(name) == own)
        self.assertEqual(self.process("entry-6").wait(), 0)

    def test_bad_frames_end_their_connection_alone(self):
        settings = (self.cluster.path / "entry-1.json").read_text()
        port = json.loads(settings)["peer_listen"]["port"]
        oversized = (MAX_FRAME_BYTES + 1).to_bytes(LENGTH_BYTES, "big")
        content = b"\xff" * 64
        malformed = len(content).to_bytes(LENGTH_BYTES, "big") + content
        for data in (oversized, malformed, b"GET / HTTP/1.1\r\n\r\n"):
            with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
                sock.sendall(data)
                self.assert_closed(sock)
        wait_until(lambda: len(self.refused_frames()) == 3)
        until_s = time.monotonic() + 1.0
        while time.monotonic() < until_s:
            answer = self.complete({"model": MODEL})
            self.assertEqual(answer.status, 200)
        lost = [e for e in self.process("entry-1").log_lines() if e["event"] == 601]
        self.assertEqual([e for e in lost if e.get("peer") != "entry-6"], [])

    def assert_closed(self, sock):
        with contextlib.suppress(ConnectionResetError):
            self.assertEqual(sock.recv(1), b"")

    def refused_frames(self):
        return [e for e in self.process("entry-1").log_lines() if e["event"] == 602]


class InstanceListTest(unittest.TestCase):
    """The list as followed by its changes is the same as when read afresh."""

    def setUp(self):
        self.cluster = self.enterContext(Cluster())
        self.platform = self.cluster.start_platform()
        self.followed = HttpInstanceList(Address.parse(self.platform.address))
        self.answers = []
        ask = http_store._ask

        async def note_answer(*arguments):
            response = await ask(*arguments)
            self.answers.append(response.json())
            return response

        self.enterContext(mock.patch.object(http_store, "_ask", note_answer))

    def register(self, name, **more):
        self.cluster.register(name, "engine", "127.0.0.1:1", "zone-a", **more)

    def read(self, client):
        return {item.instance_id: item for item in curio.run(client.list)}

    def assert_followed(self, *changed):
        """Check the list, and that no more than ``changed`` was sent for it."""
        afresh = HttpInstanceList(self.followed.address)
        self.assertEqual(self.read(self.followed), self.read(afresh))
        answer = self.answers[-2]
        self.assertFalse(answer["full"])
        sent = {item["id"] for item in answer["instances"]} | set(answer["removed"])
        self.assertEqual(sent, set(changed))

    def test_changes_alone_are_sent(self):
        for number in range(20):
            self.register(f"engine-{number}")
        self.assertEqual(len(self.read(self.followed)), 20)
        self.assert_followed()
        self.register("engine-20")
        self.register("engine-3", leaving=True)
        self.cluster.unregister("engine-4")
        self.assert_followed("engine-20", "engine-3", "engine-4")
        self.cluster.set_faults(list_lag_s=2.0)
        self.cluster.unregister("engine-5")
        self.assert_followed()
        wait_until(lambda: "engine-5" not in self.read(self.followed))
        self.assert_followed()

    def test_list_of_another_platform_replaces_what_is_known(self):
        self.register("engine-1")
        self.read(self.followed)
        other = self.cluster.start("platform-2", "emulate", "platform")
        content = {"id": "engine-2", "kind": "engine", "zone": "zone-a"}
        content["address"] = "127.0.0.1:1"
        other.request("PUT", "/instances/engine-2", content)
        self.followed.address = Address.parse(other.address)
        self.assertEqual(set(self.read(self.followed)), {"engine-2"})
