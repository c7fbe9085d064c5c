"""The platform's store comes back from an older copy of itself.

Load pattern: the store is away for a moment and has lost what it acknowledged in the
last seconds. Its versions go back and are given out again, its era rises by one, and
operator and upstreams write again what is still true, some seconds later.
"""

import json
import unittest
from unittest import mock

import curio

from extras.cluster import wait_until
from extras.gateway_cluster import (
    GatewayCluster,
    configuration,
    is_ready,
    route_row,
    server_row,
)
from tests.gateway_support import RouteCluster
from tests.lease_support import FakeTable
from tests.test_row_watch import ScriptedRows, row
from wisteriaarch.errors import (
    HistoryUnavailable,
    LeaseLost,
    StoreUnavailable,
    WriteOutcomeUnknown,
)
from wisteriaarch.event_log import EventLog
from wisteriaarch.platform.adapter import Platform
from wisteriaarch.platform.store import PlatformStore
from wisteriaarch.process import (
    fleet_state as fleet_state_module,
    upstreams as upstreams_module,
)
from wisteriaarch.process.entry_list import EntryList
from wisteriaarch.process.fleet_state import FleetState
from wisteriaarch.process.lease import Lease
from wisteriaarch.process.lease_record import Contender, next_epoch
from wisteriaarch.process.row_copy import RowCopy
from wisteriaarch.process.row_watch import RowWatch
from wisteriaarch.process.rows import RowsRead, RowTable, StoredRow, StorePosition
from wisteriaarch.process.settings_models import LeaseSettings
from wisteriaarch.process.store import Put, Transaction
from wisteriaarch.process.store_era import StoreEra
from wisteriaarch.process.upstreams import Upstream, UpstreamRegistry
from wisteriaarch.wire import Address

GROUP = "llm"
HOST_OF_FIRST = "127.0.0.2"
TERM_S = 3.0
# The users' bound for service after a fault that ends a day.
RECOVERY_S = 12.0


class StoreEraTest(unittest.TestCase):
    def test_era_rises_and_an_older_one_is_told_apart(self):
        era = StoreEra(clock=lambda: 7.0)
        seen = []
        era.subscribe(lambda: seen.append(era.current))
        self.assertTrue(era.observe(0))
        self.assertTrue(era.observe(2))
        self.assertFalse(era.observe(1))
        self.assertTrue(era.observe(2))
        self.assertEqual((seen, era.observed_at_s), ([2], 7.0))

    def test_a_later_era_goes_before_any_version(self):
        self.assertGreater(StorePosition(1, 3), StorePosition(0, 900))
        self.assertGreater(StorePosition(1, 4), StorePosition(1, 3))


class WatchTest(unittest.TestCase):
    """Rows of an older copy are taken for what they are: newer than the former ones."""

    def watch(self, *answers):
        self.source = ScriptedRows(*answers)
        self.told = []
        watch = RowWatch(
            self.source, RowTable.UPSTREAMS, 1.0, EventLog("test"), lambda: None
        )

        async def tell(news):
            self.told.append(news)

        watch.on_update = tell
        return watch

    def step(self, watch, count=1):
        async def run():
            for _ in range(count):
                await watch._poll()

        curio.run(run)

    def test_rows_of_the_older_copy_replace_those_of_the_former_era(self):
        watch = self.watch(
            RowsRead((row("a", 8), row("b", 9)), 10),
            HistoryUnavailable("410"),
            RowsRead((row("a", 3),), 5, era=1),
        )
        self.step(watch, 3)
        self.assertEqual(set(watch.rows), {"a"})
        self.assertEqual(watch.position, StorePosition(1, 5))
        self.assertTrue(watch.has_contact(5.0))
        self.assertIsNotNone(watch.recovered_at_s)

    def test_changes_of_another_history_are_not_mixed_in(self):
        """The store was away unnoticed and has grown past the version known here."""
        watch = self.watch(
            RowsRead((row("a", 8),), 10),
            RowsRead((row("b", 11),), 12, era=1),
            RowsRead((row("a", 2), row("b", 11)), 12, era=1),
        )
        self.step(watch, 2)
        self.assertEqual(set(watch.rows), {"a"})
        self.step(watch)
        self.assertEqual(watch.rows["a"].version, 2)
        self.assertEqual(watch.position, StorePosition(1, 12))

    def test_an_answer_of_the_former_era_is_not_taken(self):
        watch = self.watch(
            RowsRead((row("a", 1),), 2, era=1), RowsRead((row("a", 8),), 10, era=0)
        )
        self.step(watch)
        watch._can_follow_changes = False
        self.step(watch)
        self.assertEqual(watch.rows["a"].version, 1)
        self.assertFalse(watch.has_contact(5.0))

    def test_news_of_a_later_era_asks_for_a_copy_and_of_a_former_one_says_nothing(self):
        watcher = self.watch(
            RowsRead((row("a", 8),), 10), RowsRead((row("c", 4),), 5, era=1)
        )
        self.step(watcher)
        former = self.told[-1]
        follower = RowWatch(
            ScriptedRows(), RowTable.UPSTREAMS, 1.0, EventLog("test"), lambda: None
        )
        follower.install_copy(watcher.make_copy())
        watcher._can_follow_changes = False
        self.step(watcher)
        self.assertEqual(self.told[-1].era, 1)
        self.assertFalse(follower.apply_update(self.told[-1]))
        follower.install_copy(RowCopy.decode(watcher.make_copy().encode()))
        self.assertEqual(set(follower.rows), {"c"})
        confirmed_at_s = follower.confirmed_at_s
        self.assertTrue(follower.apply_update(former))
        self.assertEqual(set(follower.rows), {"c"})
        self.assertEqual(follower.confirmed_at_s, confirmed_at_s)


class ReturningTable(FakeTable):
    """Table that can go on from a copy of itself."""

    def __init__(self):
        super().__init__()
        self.era = 0
        self._copy = {}

    def copy_rows(self):
        self._copy = dict(self.rows)

    def come_back(self):
        self.rows = dict(self._copy)
        self.era += 1

    async def read(self, table, key):
        found = await super().read(table, key)
        return type(found)(
            found.table, found.key, found.version, found.value, era=self.era
        )

    async def write(self, transaction):
        await super().write(transaction)
        if transaction.era != self.era:
            raise WriteOutcomeUnknown("taken by another copy")


class LeaseTest(unittest.TestCase):
    """No two holders share a fencing token, and a former one orders no more."""

    def setUp(self):
        self.table = ReturningTable()
        clock = mock.patch("wisteriaarch.process.lease.now_s", lambda: self.table.now_s)
        self.enterContext(clock)
        self.enterContext(mock.patch.object(EventLog, "write"))
        self.eras = {}

    def lease(self, name):
        settings = LeaseSettings(term_s=TERM_S, renew_every_s=0.5, drift_margin_s=0.25)
        era = self.eras[name] = StoreEra(lambda: self.table.now_s)
        return Lease(
            GROUP,
            Contender(name, f"{name}-1"),
            self.table,
            settings,
            lambda: (),
            EventLog(name),
            era=era,
        )

    def advance(self, lease, seconds=0.0):
        self.table.now_s += seconds
        curio.run(lease.acquire_or_renew)

    def learn(self, *names):
        for name in names:
            self.eras[name].observe(self.table.era)

    def test_epoch_of_a_lost_takeover_is_not_given_out_again(self):
        first, second = self.lease("a"), self.lease("b")
        self.table.copy_rows()
        self.advance(first)
        lost_epoch = first.lease_term.epoch
        self.table.come_back()
        self.learn("b")
        self.advance(second)
        self.assertFalse(second.is_held())
        self.advance(second, TERM_S + 0.3)
        self.assertTrue(second.is_held())
        self.assertGreater(second.lease_term.epoch, lost_epoch)

    def test_successor_orders_once_a_forgotten_holder_can_order_no_more(self):
        first, second = self.lease("a"), self.lease("b")
        self.table.copy_rows()
        self.advance(first)
        first_ends_at_s = first.lease_term.expires_at_s
        self.table.come_back()
        self.learn("b")
        self.advance(second)
        self.advance(second, TERM_S + 0.3)
        self.assertFalse(second.may_issue_orders())
        self.advance(second, 2.0)
        self.advance(second, 1.0)
        self.assertTrue(second.may_issue_orders())
        self.assertGreaterEqual(self.table.now_s, first_ends_at_s + TERM_S)

    def test_tenure_ends_as_soon_as_the_new_era_is_known(self):
        lease = self.lease("a")
        self.advance(lease)
        self.table.copy_rows()
        self.table.come_back()
        lease.require_remaining(0.0)
        self.learn("a")
        with self.assertRaises(LeaseLost):
            lease.require_remaining(0.0)
        with self.assertRaises(LeaseLost):
            lease.epoch_check()

    def test_holder_whose_row_the_copy_has_takes_the_lease_anew(self):
        lease = self.lease("a")
        self.advance(lease)
        former = lease.lease_term.epoch
        self.table.copy_rows()
        self.table.come_back()
        self.learn("a")
        self.advance(lease)
        self.assertFalse(lease.is_held())
        self.advance(lease, TERM_S + 0.3)
        self.assertTrue(lease.is_held())
        self.assertGreater(lease.lease_term.epoch, former)

    def test_takeover_written_while_the_store_changed_its_copy_does_not_count(self):
        lease = self.lease("a")
        self.table.copy_rows()
        read = self.table.read

        async def come_back_after(table, key):
            found = await read(table, key)
            if table == "epochs" and not self.table.era:
                self.table.come_back()
            return found

        self.table.read = come_back_after
        self.advance(lease)
        self.learn("a")
        self.assertFalse(lease.is_held())
        self.advance(lease, 1.0)
        self.assertFalse(lease.is_held())

    def test_epochs_rise_through_any_number_of_returns(self):
        epochs = [next_epoch(0, 0)]
        for era in (0, 0, 1, 1, 2, 5, 5, 1 << 20):
            epochs.append(next_epoch(epochs[-1], era))
        self.assertEqual(epochs, sorted(set(epochs)))
        self.assertEqual(epochs[:3], [1, 2, 3])
        self.assertLess(epochs[-1], 1 << 53)


class RegistryTest(unittest.TestCase):
    """Which upstreams are used while the store lists those of some seconds ago."""

    def setUp(self):
        self.now_s = 100.0
        self.regained_at_s = None
        self.enterContext(
            mock.patch.object(upstreams_module, "now_s", lambda: self.now_s)
        )
        self.registry = UpstreamRegistry(lambda: self.regained_at_s, EventLog("test"))

    def upstream(self, name, **more):
        address = Address("10.0.0.1", 80)
        return Upstream(name, "app", address, "z", 4, **more)

    def come_back(self):
        self.regained_at_s = self.now_s
        self.registry.exclude_departed()

    def usable(self):
        return {item.upstream_id for item in self.registry.usable("app")}

    def test_upstream_that_left_stays_away(self):
        self.registry.update([self.upstream("a"), self.upstream("b")])
        self.registry.update([self.upstream("a")])
        self.now_s += 2.0
        self.come_back()
        self.registry.update([self.upstream("a"), self.upstream("b")])
        self.assertEqual(self.usable(), {"a"})

    def test_upstream_that_was_leaving_takes_no_new_work(self):
        self.registry.update([self.upstream("a"), self.upstream("b", is_draining=True)])
        self.come_back()
        self.registry.update([self.upstream("a"), self.upstream("b")])
        self.assertEqual(self.usable(), {"a"})

    def test_upstream_that_started_again_is_used(self):
        self.registry.update([self.upstream("a"), self.upstream("b", started_at_ms=1)])
        self.registry.update([self.upstream("a")])
        self.come_back()
        self.registry.update([self.upstream("a"), self.upstream("b", started_at_ms=2)])
        self.assertEqual(self.usable(), {"a", "b"})

    def test_upstream_that_the_store_still_lists_later_is_used(self):
        self.registry.update([self.upstream("a"), self.upstream("b")])
        self.registry.update([self.upstream("a")])
        self.come_back()
        self.registry.update([self.upstream("a"), self.upstream("b")])
        self.now_s += upstreams_module.DEPARTED_EXCLUSION_S + 0.1
        self.assertEqual(self.usable(), {"a", "b"})

    def test_upstream_that_the_copy_has_forgotten_is_used_for_a_while(self):
        self.registry.update([self.upstream("a"), self.upstream("b")])
        self.come_back()
        self.registry.update([self.upstream("a")])
        self.assertEqual(self.usable(), {"a", "b"})
        self.now_s += upstreams_module.REGISTRATION_GRACE_S + 0.1
        self.assertEqual(self.usable(), {"a"})


class ConfigurationTest(unittest.TestCase):
    """A configuration that was in force never goes back."""

    def setUp(self):
        self.now_s = 100.0
        self.enterContext(
            mock.patch.object(fleet_state_module, "now_s", lambda: self.now_s)
        )
        self.enterContext(mock.patch.object(EventLog, "write"))

    def state(self):
        adapter = Platform(Address("127.0.0.1", 9))
        return FleetState(adapter, 1.0, EventLog("test"))

    def take(self, state, version, row_version, era):
        value = json.dumps(configuration(version)).encode()
        rows = (StoredRow("config", row_version, value),)
        state._era.observe(era)
        state._configuration.install_copy(RowCopy(rows, row_version, row_version, era))

    def test_older_copy_does_not_bring_back_an_older_configuration(self):
        state = self.state()
        self.take(state, 5, 90, 0)
        self.take(state, 3, 20, 1)
        self.assertEqual(state.configuration_version, 5)
        self.take(state, 6, 25, 1)
        self.assertEqual(state.configuration_version, 6)

    def test_entry_that_starts_takes_what_the_others_have_in_force(self):
        state, starting = self.state(), self.state()
        self.take(state, 5, 90, 0)
        self.take(state, 3, 20, 1)
        starting.newest_peer_configuration = lambda: state.configuration_version
        self.take(starting, 3, 20, 1)
        self.assertIsNone(starting.routes)
        curio.run(starting.install_copy, state.make_copy())
        self.assertEqual(starting.configuration_version, 5)
        self.take(starting, 6, 25, 1)
        self.assertEqual(starting.configuration_version, 6)

    def test_entry_that_can_not_ask_the_others_serves_by_what_the_store_has(self):
        starting = self.state()
        starting.newest_peer_configuration = lambda: 5
        self.take(starting, 3, 20, 1)
        self.assertIsNone(starting.routes)
        self.now_s += fleet_state_module.PEER_COPY_WAIT_S + 0.1
        starting._apply_configuration()
        self.assertEqual(starting.configuration_version, 3)

    def test_first_start_of_all_does_not_wait_for_others(self):
        starting = self.state()
        self.take(starting, 3, 20, 0)
        self.assertEqual(starting.configuration_version, 3)


class RegistrationTest(unittest.TestCase):
    def test_entry_writes_its_own_row_again(self):
        era = StoreEra()
        written = []

        class Source:
            async def put(self, _table, key, _value):
                written.append(key)

        entries = EntryList(Source(), "10.0.0.1", "z", 1, 2, (), era)

        async def run():
            task = await curio.spawn(entries.register)
            await curio.sleep(0.1)
            before = len(written)
            era.observe(1)
            await curio.sleep(2.3)
            await task.cancel()
            return before

        self.assertEqual(curio.run(run), 1)
        self.assertEqual(written, ["10.0.0.1", "10.0.0.1"])


class PlatformStoreTest(unittest.TestCase):
    """The client against the stand-in of the store."""

    def setUp(self):
        cluster = self.enterContext(GatewayCluster())
        cluster.start_store()
        self.process = cluster.processes["store"]
        self.store = PlatformStore(Address.parse(self.process.address))

    def come_back(self):
        self.process.request("POST", "/emulate", {"come-back": True})

    def write(self, version, era):
        put = Put("leases", "llm", {}, version)
        curio.run(self.store.write, Transaction((put,), era=era))

    def test_every_answer_tells_the_era(self):
        self.process.request("POST", "/emulate", {"copy": True})
        self.write(0, 0)
        self.come_back()
        with self.assertRaises(HistoryUnavailable):
            curio.run(self.store.wait_for_changes, RowTable.CONFIGURATION, 999, 0.1)
        self.assertEqual(self.store.era.current, 1)
        self.assertFalse(curio.run(self.store.read, "leases", "llm").exists)
        read = curio.run(self.store.read_all, RowTable.CONFIGURATION)
        self.assertEqual(read.position, StorePosition(1, read.version))

    def test_write_that_another_copy_took_is_uncertain(self):
        self.process.request("POST", "/emulate", {"copy": True})
        self.come_back()
        with self.assertRaises(WriteOutcomeUnknown):
            self.write(0, 0)
        row = curio.run(self.store.read, "leases", "llm")
        self.assertEqual((row.exists, row.era), (True, 1))

    def test_answer_of_an_older_copy_counts_as_none(self):
        self.store.era.observe(3)
        with self.assertRaises(StoreUnavailable):
            curio.run(self.store.read_all, RowTable.CONFIGURATION)
        with self.assertRaises(WriteOutcomeUnknown):
            self.write(0, 3)


class DrillTest(RouteCluster):
    """The drill before three entries, one of which starts in the middle of it."""

    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        self.cluster.start_store(configuration(1, (self.route("/old/"),)))
        for name in ("app-1", "app-2", "app-3"):
            self.cluster.start_server(name, "app")
        first = self.cluster.start_gateway(2)
        seeds = [f"{HOST_OF_FIRST}:{first.ports[3]}"]
        self.gateways = [first, self.start(3, first, seeds)]
        self.seeds = seeds
        for gateway in self.gateways:
            wait_until(lambda gateway=gateway: is_ready(gateway))
            wait_until(lambda g=gateway: self.get("/get/warm", g) == 200)

    def start(self, number, first, seeds):
        return self.cluster.start_gateway(number, first.ports, seeds=seeds)

    def route(self, prefix):
        return route_row(prefix.strip("/"), prefix, "idempotent", "app")

    def get(self, path, gateway):
        self.asked = getattr(self, "asked", 0) + 1
        return self.ask("GET", path, f"a{self.asked}", gateway).status

    def statuses(self, path):
        return {self.get(path, gateway) for gateway in self.gateways}

    def control_store(self, **faults):
        self.cluster.processes["store"].request("POST", "/emulate", faults)

    def register(self, name, **more):
        process = self.cluster.processes[name]
        self.cluster.write("servers", name, server_row(process, "app", **more))

    def ran(self, name):
        return len(self.cluster.control(name)["ran"])

    def test_configuration_and_upstreams_do_not_go_back(self):
        self.control_store(copy=True)
        newer = configuration(2, (self.route("/new/"),))
        self.cluster.write("op", "config", newer)
        self.register("app-2", state="draining")
        self.cluster.remove("servers", "app-3")
        wait_until(lambda: self.statuses("/new/x") == {200})
        wait_until(lambda: self.statuses("/old/x") == {404})
        before = [self.ran(name) for name in ("app-2", "app-3")]
        self.control_store(refuse=503)
        self.control_store(**{"come-back": True})
        self.gateways.append(self.start(4, self.gateways[0], self.seeds))
        wait_until(lambda: is_ready(self.gateways[2]))
        for _ in range(15):
            self.assertEqual(self.statuses("/new/x"), {200})
            self.assertEqual(self.statuses("/old/x"), {404})
        after_copy = [self.ran(name) for name in ("app-2", "app-3")]
        self.assertEqual(after_copy, before)
        self.cluster.write("op", "config", newer)
        later = configuration(3, (self.route("/later/"),))
        self.cluster.write("op", "config", later)
        wait_until(lambda: self.statuses("/later/x") == {200}, RECOVERY_S)
        wait_until(lambda: self.statuses("/new/x") == {404}, RECOVERY_S)

    def test_two_returns_in_a_row_leave_the_entries_in_contact(self):
        self.control_store(copy=True)
        for version in (2, 3):
            self.cluster.write("op", "config", configuration(version))
            wait_until(lambda: self.statuses("/old/x") == {404})
            self.control_store(**{"come-back": True})
        newest = configuration(4, (self.route("/new/"),))
        self.cluster.write("op", "config", newest)
        wait_until(lambda: self.statuses("/new/x") == {200}, RECOVERY_S)
        self.assertEqual(self.statuses("/get/x"), {200})
