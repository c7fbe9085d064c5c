"""Watches of the store's rows, against a scripted store."""

import unittest
from unittest import mock

import curio

from wisteriaarch.errors import HistoryUnavailable, StoreUnavailable
from wisteriaarch.event_log import EventLog
from wisteriaarch.process import (
    row_watch as row_watch_module,
    upstreams as upstreams_module,
)
from wisteriaarch.process.member_list import MemberList, MemberRecord
from wisteriaarch.process.row_copy import RowCopy
from wisteriaarch.process.row_watch import RowWatch
from wisteriaarch.process.rows import RowsRead, RowTable, StoredRow
from wisteriaarch.process.upstreams import Upstream, UpstreamRegistry
from wisteriaarch.process.watcher_election import (
    STAGGER_PER_RANK_S,
    WATCHER_TIMEOUT_S,
    WATCHERS_MAX,
    WatcherElection,
)
from wisteriaarch.wire import Address


def row(key, version, value=b"x", *, deleted=False) -> StoredRow:
    return StoredRow(key, version, value, deleted)


class ScriptedRows:
    """Gives the answers of a list in order; an exception is raised."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []

    async def read_all(self, _table):
        return self._next("all")

    async def wait_for_changes(self, _table, after, _wait_s):
        return self._next(after)

    def _next(self, asked):
        self.asked.append(asked)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class TableUpdateTest(unittest.TestCase):
    """One entry watches the store and sends updates to another."""

    def setUp(self):
        log = EventLog("test")
        self.told = []
        self.source = ScriptedRows(
            RowsRead((row("a", 1),), 5),
            RowsRead((row("b", 7),), 9),
            RowsRead((row("a", 11, deleted=True),), 12),
            RowsRead((), 20),
        )
        self.watcher = RowWatch(self.source, RowTable.UPSTREAMS, 1.0, log, lambda: None)
        self.watcher.on_update = self.tell
        self.follower = RowWatch(
            ScriptedRows(), RowTable.UPSTREAMS, 1.0, log, lambda: None
        )

    async def tell(self, news):
        self.told.append(news)

    def watch(self, steps):
        async def run():
            for _ in range(steps):
                await self.watcher._poll()

        curio.run(run)

    def test_follower_has_what_the_watcher_has(self):
        self.watch(4)
        self.follower.install_copy(RowCopy((row("a", 1),), 5, 1))
        for news in self.told[1:]:
            self.assertTrue(self.follower.apply_update(news))
        self.assertEqual(self.follower.rows, {"b": row("b", 7)})
        self.assertEqual(self.follower.version, 12)
        self.assertTrue(self.follower.apply_update(self.watcher.confirmation_update()))
        self.assertEqual(self.follower.version, 20)

    def test_update_after_a_lost_update_is_not_applied(self):
        self.watch(3)
        self.follower.install_copy(RowCopy((row("a", 1),), 5, 1))
        self.assertFalse(self.follower.apply_update(self.told[-1]))
        self.assertEqual(list(self.follower.rows), ["a"])

    def test_confirmation_reveals_a_lost_update(self):
        self.watch(4)
        self.follower.install_copy(RowCopy((row("a", 1),), 5, 1))
        self.assertFalse(self.follower.apply_update(self.watcher.confirmation_update()))

    def test_late_update_does_not_undo_a_removal(self):
        self.watch(3)
        self.follower.install_copy(self.watcher.make_copy())
        for news in self.told:
            self.follower.apply_update(news)
        self.assertEqual(list(self.follower.rows), ["b"])

    def test_watcher_that_lost_the_store_confirms_nothing(self):
        self.source.answers[3] = StoreUnavailable("away")
        self.watch(4)
        self.assertIsNone(self.watcher.confirmation_update())

    def test_watcher_confirms_all_the_time_between_two_answers(self):
        """Without changes the store answers a watch only after its whole wait."""
        self.watch(4)
        waited_s = 0.9 * 1.0
        now_s = row_watch_module.now_s() + waited_s
        with mock.patch.object(row_watch_module, "now_s", lambda: now_s):
            self.assertIsNotNone(self.watcher.confirmation_update())

    def test_recovery_of_the_store_is_announced(self):
        self.source.answers[3] = StoreUnavailable("away")
        self.source.answers.append(RowsRead((), 21))
        self.watch(5)
        self.follower.install_copy(self.watcher.make_copy())
        self.follower.apply_update(self.watcher.confirmation_update())
        self.assertAlmostEqual(
            self.follower.recovered_at_s, self.watcher.recovered_at_s, delta=0.1
        )


class WatcherElectionTest(unittest.TestCase):
    """Which of many entries watch the store."""

    def setUp(self):
        self.now = 100.0

    def duties(self, count):
        records = [MemberRecord(f"e{number}", 1, ready=True) for number in range(count)]
        duties = []
        for own in records:
            members = MemberList(own)
            for other in records:
                members.merge(other)
            duties.append(WatcherElection(members, lambda: self.now))
        return duties

    def due(self, duties):
        return sum(duty.should_watch() for duty in duties)

    def test_few_of_many_watch_and_all_of_few(self):
        many = self.duties(195)
        for duty in many:
            duty.record_watcher_contact()
        self.assertEqual(self.due(many), WATCHERS_MAX)
        self.assertEqual(self.due(self.duties(9)), 9)

    def test_one_takes_over_where_no_watcher_is_heard(self):
        """All watchers are lost at once before a change."""
        duties = self.duties(195)
        for duty in duties:
            duty.record_watcher_contact()
        self.now += WATCHER_TIMEOUT_S + (WATCHERS_MAX + 0.5) * STAGGER_PER_RANK_S
        self.assertEqual(self.due(duties), WATCHERS_MAX + 1)
        for duty in duties:
            duty.record_watcher_contact()
        self.assertEqual(self.due(duties), WATCHERS_MAX)


class RowWatchTest(unittest.TestCase):
    def watch(self, *answers, on_change=lambda: None) -> RowWatch:
        self.source = ScriptedRows(*answers)
        log = EventLog("test")
        return RowWatch(self.source, RowTable.UPSTREAMS, 1.0, log, on_change)

    def play(self, watch, steps=None):
        async def run():
            for _ in range(steps or len(self.source.answers)):
                await watch._poll()

        curio.run(run)

    def test_changes_are_merged(self):
        watch = self.watch(
            RowsRead((row("a", 1), row("b", 2)), 5),
            RowsRead((row("a", 7, b"y"), row("b", 8, deleted=True)), 9),
        )
        self.play(watch)
        self.assertEqual(watch.rows, {"a": row("a", 7, b"y")})
        self.assertEqual((watch.version, watch.changed_version), (9, 8))
        self.assertEqual(self.source.asked, ["all", 5])

    def test_all_rows_are_read_again_if_the_history_is_unavailable(self):
        watch = self.watch(
            RowsRead((row("a", 1),), 5),
            HistoryUnavailable("x"),
            RowsRead((row("c", 6),), 7),
        )
        self.play(watch)
        self.assertEqual(list(watch.rows), ["c"])

    def test_older_answers_are_not_taken(self):
        watch = self.watch(
            RowsRead((row("a", 4),), 5), HistoryUnavailable("x"), RowsRead((), 3)
        )
        self.play(watch)
        self.assertEqual(list(watch.rows), ["a"])

    def test_late_row_does_not_replace_a_newer_one(self):
        watch = self.watch(
            RowsRead((row("a", 4, b"new"),), 5), RowsRead((row("a", 3, b"old"),), 6)
        )
        self.play(watch)
        self.assertEqual(watch.rows["a"].value, b"new")

    def test_copy_of_a_peer_is_taken_only_where_it_is_newer(self):
        watch = self.watch(RowsRead((row("a", 4),), 5))
        self.play(watch)
        watch.install_copy(RowCopy((row("b", 3),), 4))
        self.assertEqual(list(watch.rows), ["a"])
        copy = RowCopy.decode(RowCopy((row("b", 8),), 9).encode())
        watch.install_copy(copy)
        self.assertEqual(list(watch.rows), ["b"])

    def test_return_of_the_store_is_known_when_its_rows_are_taken(self):
        seen = []
        watch = self.watch(
            RowsRead((row("a", 1),), 5),
            StoreUnavailable("x"),
            RowsRead((row("a", 6, deleted=True),), 7),
            on_change=lambda: seen.append(watch.recovered_at_s),
        )
        self.play(watch)
        self.assertIsNone(seen[0])
        self.assertIsNotNone(seen[1])


class UpstreamRegistryTest(unittest.TestCase):
    def setUp(self):
        self.regained_at_s = None
        self.now = 100.0
        self.addCleanup(setattr, upstreams_module, "now_s", upstreams_module.now_s)
        upstreams_module.now_s = lambda: self.now
        self.registry = UpstreamRegistry(lambda: self.regained_at_s, EventLog("test"))

    def upstream(self, name, **more):
        return Upstream(name, "s", Address("10.0.0.1", 1), "z", 4, **more)

    def usable(self):
        return sorted(item.upstream_id for item in self.registry.usable("s"))

    def test_lapsed_registration_is_kept_for_a_while_after_the_return(self):
        self.registry.update([self.upstream("a"), self.upstream("b")])
        self.regained_at_s = self.now
        self.registry.update([self.upstream("b")])
        self.assertEqual(self.usable(), ["a", "b"])
        self.now += upstreams_module.REGISTRATION_GRACE_S + 0.1
        self.assertEqual(self.usable(), ["b"])

    def test_removed_registration_is_gone_at_once_otherwise(self):
        self.registry.update([self.upstream("a"), self.upstream("b")])
        self.registry.update([self.upstream("b")])
        self.assertEqual(self.usable(), ["b"])

    def test_leaving_one_is_not_kept(self):
        self.registry.update([self.upstream("a", is_draining=True)])
        self.regained_at_s = self.now
        self.registry.update([])
        self.assertEqual(self.usable(), [])

    def test_kept_one_that_comes_back_counts_once(self):
        self.registry.update([self.upstream("a")])
        self.regained_at_s = self.now
        self.registry.update([])
        self.registry.update([self.upstream("a")])
        self.assertEqual(self.usable(), ["a"])

    def test_restart_under_the_same_id_is_noticed(self):
        lost = []
        self.registry.on_incarnation_ended = lost.append
        self.registry.update([self.upstream("a", started_at_ms=1)])
        self.registry.update([self.upstream("a", started_at_ms=1)])
        self.assertEqual(lost, [])
        self.registry.update([self.upstream("a", started_at_ms=2)])
        self.assertEqual(lost, ["a"])
        self.registry.update([])
        self.assertEqual(lost, ["a", "a"])

    def test_registry_settles_after_the_start_and_after_a_return(self):
        self.assertTrue(self.registry.may_be_incomplete())
        self.registry.update([])
        self.assertTrue(self.registry.may_be_incomplete())
        self.now += upstreams_module.REGISTRATION_GRACE_S + 0.1
        self.assertFalse(self.registry.may_be_incomplete())
        self.regained_at_s = self.now
        self.assertTrue(self.registry.may_be_incomplete())
