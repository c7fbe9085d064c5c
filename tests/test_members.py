"""Which entries live: records, probes and their cost, on a simulated network."""

import random
import unittest
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

import curio

from wisteriaarch.connection.member_codec import (
    Datagram,
    DatagramKind,
    decode_datagram,
    encode_datagram,
)
from wisteriaarch.connection.prober import PROBE_EVERY_S, Prober
from wisteriaarch.errors import FrameError
from wisteriaarch.process.address_choice import (
    ADDRESSES_MAX,
    ADDRESSES_MIN,
    choose_entries,
)
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.digest import CrashRecord, LimitRecord
from wisteriaarch.process.member_list import MemberList, MemberRecord, MemberState
from wisteriaarch.process.request_limits import UNLIMITED, RequestLimits
from wisteriaarch.process.rows import StorePosition
from wisteriaarch.process.scheduler_choice import rank_schedulers

PORT = 7000


def member(name, **more) -> MemberRecord:
    return MemberRecord(name, more.pop("incarnation", 1), ready=True, **more)


IN_FORCE = SimpleNamespace(generation=StorePosition(0, 1), configuration_version=1)


class MemberListTest(unittest.TestCase):
    def setUp(self):
        self.members = MemberList(member("me"))

    def state_of(self, name):
        return self.members.get(name).state

    def test_records_give_the_same_list_in_any_order(self):
        records = [
            member("a"),
            member("a", state=MemberState.DEAD),
            member("a", revision=1),
            member("a", revision=1, state=MemberState.LEAVING),
            member("a", revision=2, state=MemberState.LEAVING),
            member("a", incarnation=2),
        ]
        for seed in range(50):
            members = MemberList(member("me"))
            shuffled = records * 2
            random.Random(seed).shuffle(shuffled)
            for record in shuffled:
                members.merge(record)
            self.assertEqual(members.get("a"), records[-1])

    def test_dead_entry_is_alive_again_only_by_its_own_record(self):
        self.members.merge(member("a"))
        self.assertIsNotNone(self.members.mark_dead("a"))
        self.assertFalse(self.members.merge(member("a")))
        self.assertIs(self.state_of("a"), MemberState.DEAD)
        self.assertTrue(self.members.merge(member("a", revision=1)))
        self.assertIs(self.state_of("a"), MemberState.ALIVE)

    def test_entry_refutes_a_record_that_marks_it_dead(self):
        self.assertTrue(self.members.merge(member("me", state=MemberState.DEAD)))
        self.assertGreater(
            self.members.own_record.precedence,
            member("me", state=MemberState.DEAD).precedence,
        )

    def test_restart_with_a_clock_set_back_supersedes_the_earlier_start(self):
        self.assertTrue(self.members.merge(member("me", incarnation=9, revision=4)))
        later = member("me", incarnation=9, revision=4, state=MemberState.DEAD)
        self.assertGreater(self.members.own_record.precedence, later.precedence)

    def test_newer_generation_alone_is_kept_but_is_no_change(self):
        self.members.merge(member("a", generation=StorePosition(0, 3)))
        self.assertFalse(
            self.members.merge(member("a", generation=StorePosition(0, 7)))
        )
        self.assertEqual(self.members.highest_generation(), StorePosition(0, 7))
        self.members.merge(member("a", generation=StorePosition(0, 5)))
        self.assertEqual(self.members.highest_generation(), StorePosition(0, 7))

    def test_leaving_entry_takes_no_callers(self):
        self.members.merge(member("a", revision=1, state=MemberState.LEAVING))
        self.assertFalse(self.members.get("a").accepts_callers)


class DatagramTest(unittest.TestCase):
    def test_datagram_survives_the_wire(self):
        sent = Datagram(
            DatagramKind.MEMBER_UPDATE,
            member(
                "a",
                zone="z",
                cores=0.5,
                generation=StorePosition(2, 9),
                configuration=4,
            ),
            7,
            (member("b", state=MemberState.DEAD),),
            "c",
            True,
            (CrashRecord("f00d@u", 1, False),),
            limits=(LimitRecord("u", 2.5, 0.251), LimitRecord("v", UNLIMITED, 3.001)),
        )
        received = decode_datagram(encode_datagram(sent))
        for limit, sent_limit in zip(received.limits, sent.limits, strict=True):
            self.assertAlmostEqual(limit.age_s, sent_limit.age_s, delta=0.002)
            self.assertEqual(replace(limit, age_s=sent_limit.age_s), sent_limit)
        self.assertEqual(replace(received, limits=()), replace(sent, limits=()))

    def test_datagrams_changed_at_random_are_read_or_refused(self):
        rng = random.Random(5)
        limits = (LimitRecord("u", 2.5, 0.251),)
        whole = encode_datagram(
            Datagram(DatagramKind.PING, member("a"), 1, limits=limits)
        )
        read = 0
        for _ in range(3000):
            data = bytearray(whole)
            for _ in range(rng.randint(1, 6)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            try:
                decode_datagram(bytes(data[: rng.randint(1, len(data))]))
                read += 1
            except FrameError:
                continue
        self.assertLess(read, 3000)


class Network:
    """Datagrams between simulated entries; ``lost`` is the share that is lost."""

    def __init__(self, count, seed=1, lost=0.02):
        self.drops = lambda _sender, _receiver, _data: False
        self.rng = random.Random(seed)
        self.lost = lost
        self.silent = set()
        self.cut = set()
        self.sent = 0
        self.bytes = 0
        self.queues = {}
        self.entries = {}
        self.log = mock.Mock()
        for number in range(count):
            self.add(f"e{number}")

    def add(self, name):
        self.queues[name] = curio.Queue()
        members = MemberList(member(name))
        prober = Prober(members, lambda: (), PORT, IN_FORCE, self.log, seed=name)
        prober._sock = Endpoint(self, name)
        self.entries[name] = prober
        return prober

    async def deliver(self, sender, data, address):
        receiver = address[0]
        self.sent += 1
        self.bytes += len(data)
        is_lost = self.rng.random() < self.lost or self.drops(sender, receiver, data)
        if is_lost or sender in self.silent or (sender, receiver) in self.cut:
            return
        if receiver in self.queues:
            await self.queues[receiver].put((data, (sender, PORT)))

    async def start(self):
        self.tasks = {}
        for name, prober in self.entries.items():
            for other in self.entries.values():
                prober.members.merge(other.members.own_record)
            self.tasks[name] = [
                await curio.spawn(prober._receive, daemon=True),
                await curio.spawn(prober._probe_periodically, daemon=True),
            ]

    async def kill(self, name):
        for task in self.tasks.pop(name):
            await task.cancel()
        self.silent.add(name)
        self.queues[name] = curio.Queue()

    async def stop(self):
        for name in list(self.tasks):
            await self.kill(name)

    def believers(self, name, state):
        """Count the entries that take one for being in a state."""
        return sum(
            prober.members.get(name).state is state
            for other, prober in self.entries.items()
            if other != name and other in self.tasks
        )


class Endpoint:
    """Socket of one simulated entry."""

    def __init__(self, network, name):
        self.network = network
        self.name = name

    async def sendto(self, data, address):
        await self.network.deliver(self.name, data, address)

    async def recvfrom(self, _size):
        return await self.network.queues[self.name].get()


class ProberCase(unittest.TestCase):
    ENTRIES = 60

    def play(self, scenario, **options):
        async def run():
            network = Network(self.ENTRIES, **options)
            await network.start()
            await curio.sleep(0.2)
            try:
                return await scenario(network)
            finally:
                await network.stop()

        return curio.run(run)

    async def wait_for(self, reached, limit_s):
        waited_s = 0.0
        while not reached() and waited_s < limit_s:
            await curio.sleep(0.05)
            waited_s += 0.05
        self.assertTrue(reached())
        return waited_s


class ProberTest(ProberCase):
    def test_crash_is_known_everywhere_soon(self):
        async def scenario(network):
            await network.kill("e7")
            others = self.ENTRIES - 1
            await self.wait_for(
                lambda: network.believers("e7", MemberState.DEAD) >= 0.9 * others, 4.0
            )

        self.play(scenario)

    def test_leave_is_known_at_once(self):
        async def scenario(network):
            leaving = network.entries["e3"]
            leaving.members.update_own_state(ready=True, leaving=True)
            await leaving.announce()
            others = self.ENTRIES - 1
            await self.wait_for(
                lambda: network.believers("e3", MemberState.LEAVING) >= 0.9 * others,
                0.5,
            )

        self.play(scenario)

    def test_lost_datagrams_mark_no_entry_dead(self):
        async def scenario(network):
            await curio.sleep(3.0)
            for name in network.entries:
                self.assertEqual(network.believers(name, MemberState.DEAD), 0)

        self.play(scenario, lost=0.1)

    def test_probe_succeeds_after_lost_pings(self):
        """A ping, its relayed pings and the next direct ping are lost."""

        async def scenario(network):
            asked = []

            def drops(sender, receiver, data):
                datagram = decode_datagram(data)
                asks = sender == "e1" and (
                    datagram.target == "e2"
                    or (receiver == "e2" and datagram.kind is DatagramKind.PING)
                )
                asked.extend([receiver] * asks)
                return asks and len(asked) <= 5

            network.drops = drops
            await network.entries["e1"]._probe("e2")
            self.assertIs(
                network.entries["e1"].members.get("e2").state, MemberState.ALIVE
            )

        self.play(scenario, lost=0.0)

    def test_lost_refutation_is_repeated(self):
        """An entry that loses the refutation would keep a living entry marked dead."""

        async def scenario(network):
            e1, e2 = network.entries["e1"], network.entries["e2"]
            network.cut = {("e2", "e1")}
            e1.members.mark_dead("e2")
            e2.members.merge(e1.members.get("e2"))
            await curio.spawn(e2._refute, daemon=True)
            await curio.sleep(0.05)
            network.cut = set()
            await self.wait_for(
                lambda: e1.members.get("e2").state is MemberState.ALIVE, 0.4
            )

        self.play(scenario, lost=0.0)

    def test_entry_cut_off_from_one_other_is_reached_through_others(self):
        async def scenario(network):
            network.cut = {("e1", "e2"), ("e2", "e1")}
            await network.entries["e1"]._probe("e2")
            await curio.sleep(1.5)
            self.assertEqual(network.believers("e2", MemberState.DEAD), 0)

        self.play(scenario, lost=0.0)

    def test_isolated_entry_marks_no_other_dead(self):
        async def scenario(network):
            network.cut = {(other, "e1") for other in network.entries}
            await curio.sleep(4.0)
            members = network.entries["e1"].members
            self.assertGreater(len(members.living_others()), 0.9 * self.ENTRIES)

        self.play(scenario)

    def test_paused_entry_that_was_marked_dead_is_back_after_its_return(self):
        async def scenario(network):
            network.silent.add("e5")
            others = self.ENTRIES - 1
            await self.wait_for(
                lambda: network.believers("e5", MemberState.DEAD) >= 0.9 * others, 4.0
            )
            network.silent.discard("e5")
            await self.wait_for(
                lambda: network.believers("e5", MemberState.ALIVE) >= 0.9 * others, 3.0
            )

        self.play(scenario)

    def test_cost_of_an_entry_does_not_grow_with_their_number(self):
        async def scenario(network):
            before, size = network.sent, network.bytes
            await curio.sleep(4.0)
            sent_per_s = (network.sent - before) / 4.0 / self.ENTRIES
            bytes_per_s = (network.bytes - size) / 4.0 / self.ENTRIES
            self.assertLess(sent_per_s, 4 / PROBE_EVERY_S)
            self.assertLess(bytes_per_s, 2048)

        self.play(scenario, lost=0.0)


class LimitGossipTest(ProberCase):
    """Request limits of upstreams, which reach all entries with pings and acks."""

    LIMIT_KNOWN_WITHIN_S = 3.0

    def know_limits(self, prober):
        limits = RequestLimits()
        prober.gossip.known_limits = limits.export
        prober.gossip.on_limits = limits.merge
        return limits

    def all_limits(self, network):
        return {
            name: self.know_limits(prober) for name, prober in network.entries.items()
        }

    def test_limit_and_its_end_are_known_everywhere_soon(self):
        async def scenario(network):
            limits = self.all_limits(network)
            for per_s in (2.5, 4.0, UNLIMITED):
                limits["e7"].observe("u", per_s, now_s())
                await self.wait_for(
                    lambda per_s=per_s: all(
                        item.per_s("u") == per_s for item in limits.values()
                    ),
                    self.LIMIT_KNOWN_WITHIN_S,
                )
            self.assertFalse(any(item.any_in_force for item in limits.values()))

        self.play(scenario, lost=0.1)

    def test_starting_entry_receives_the_limits(self):
        async def scenario(network):
            limits = self.all_limits(network)
            for item in limits.values():
                item.observe("u", 2.5, now_s())
            prober = network.add("new")
            new = self.know_limits(prober)
            prober._list_entry_ids = lambda: ("e1", "e2")
            network.tasks["new"] = [await curio.spawn(prober._receive, daemon=True)]
            await prober._request_members()
            await self.wait_for(lambda: new.per_s("u") == 2.5, 0.5)

        self.play(scenario, lost=0.0)


class SchedulerChoiceTest(unittest.TestCase):
    def test_entries_choose_the_same_one_and_large_ones_more_often(self):
        large = [member(f"large{n}", cores=2.0) for n in range(10)]
        small = [member(f"small{n}", cores=0.5) for n in range(30)]
        living = large + small
        chosen = [rank_schedulers(f"s{n}", living)[0] for n in range(300)]
        share = sum(name.startswith("large") for name in chosen) / len(chosen)
        self.assertGreater(share, 0.8)
        again = [rank_schedulers(f"s{n}", living[::-1])[0] for n in range(300)]
        self.assertEqual(chosen, again)

    def test_loss_of_an_entry_moves_its_services_alone(self):
        living = [member(f"e{n}") for n in range(20)]
        before = {f"s{n}": rank_schedulers(f"s{n}", living) for n in range(100)}
        for service, ranked in before.items():
            left = [item for item in living if item.entry_id != "e4"]
            now = rank_schedulers(service, left)[0]
            self.assertEqual(now, ranked[1] if ranked[0] == "e4" else ranked[0])

    def test_entry_that_leaves_schedules_nothing_while_others_can(self):
        living = [member(f"e{n}", state=MemberState.LEAVING) for n in range(5)]
        ready = member("ready")
        self.assertEqual(rank_schedulers("s", [*living, ready])[0], "ready")


class AddressChoiceTest(unittest.TestCase):
    """Hundreds of entries, a tenth of them with four times the processor share."""

    def setUp(self):
        self.rng = random.Random(3)
        self.living = [
            *(
                member(f"{zone}-large{n}", zone=zone, cores=2.0)
                for zone in "ab"
                for n in range(3)
            ),
            *(
                member(f"{zone}-small{n}", zone=zone, cores=0.5)
                for zone in "ab"
                for n in range(30)
            ),
        ]

    def test_own_zone_comes_first_and_shares_follow_size(self):
        counts = {item.entry_id: 0.0 for item in self.living}
        for _ in range(400):
            named = choose_entries(self.living, "a", self.rng)
            self.assertTrue(all(name.startswith("a-") for name in named))
            self.assertLessEqual(len(named), ADDRESSES_MAX)
            for name in named:
                counts[name] += 1 / len(named)
        large, small = counts["a-large0"], counts["a-small0"]
        self.assertGreater(large, 2 * small)

    def test_entries_that_leave_or_are_not_ready_are_not_named(self):
        gone = [member("x", zone="a", state=MemberState.LEAVING)]
        gone.append(MemberRecord("y", 1, zone="a"))
        named = choose_entries([*gone, member("z", zone="b")], "a", self.rng)
        self.assertEqual(named, ["z"])

    def test_lost_zone_is_served_by_others(self):
        living = [item for item in self.living if item.zone == "b"]
        named = choose_entries(living, "a", self.rng)
        self.assertGreaterEqual(len(named), ADDRESSES_MIN)
