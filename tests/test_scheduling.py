"""Placement of calls for other entries: messages, estimates, lost schedulers."""

import contextlib
import random
import socket
import struct
import unittest
from unittest import mock

import curio

from wisteriaarch.connection.fleet_placer import FleetPlacer
from wisteriaarch.connection.frames import encode_frame
from wisteriaarch.connection.scheduler_link import ANSWER_TIMEOUT_S, SchedulerLink
from wisteriaarch.connection.scheduling_decoder import decode_message
from wisteriaarch.connection.scheduling_encoder import encode_message
from wisteriaarch.connection.scheduling_messages import (
    CopyAnswer,
    CopyQuery,
    OutcomeReport,
    PlacedAnswer,
    PlacedChoice,
    PlaceQuery,
    RefusedAnswer,
    WaitingNotice,
    WithdrawnNotice,
)
from wisteriaarch.connection.scheduling_server import (
    SchedulingServer,
    SchedulingSession,
)
from wisteriaarch.errors import ErrorKind, FrameError, RequestError
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.fleet_estimates import FleetEstimates
from wisteriaarch.process.manifest_copy import ManifestCopy
from wisteriaarch.process.prefix_cache_index import WARM_UP_S
from wisteriaarch.process.request_limits import UNLIMITED
from wisteriaarch.process.upstream_loads import ReportedLoad
from wisteriaarch.process.upstream_signals import UpstreamSignals
from wisteriaarch.process.upstreams import Stage, UpstreamRegistry
from wisteriaarch.request.attempt_failures import AttemptFailed, FailureReason
from wisteriaarch.request.attempt_outcome import (
    ABANDONED,
    ANSWERED,
    AttemptOutcome,
)
from wisteriaarch.request.estimate_updater import EstimateUpdater
from wisteriaarch.request.placer import NoTicket
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.request.scheduler import Scheduler, SchedulingParts
from wisteriaarch.request.shared_retry_budget import SharedRetryBudget
from wisteriaarch.version.route_table import (
    CallKind,
    EngineSpec,
    Route,
    RoutedService,
    RouteTable,
)
from wisteriaarch.wire import Address

from .route_support import prompt, upstream

ROUTE = Route("r", "", "", CallKind.STREAM, (), 5.0, 0.5, 1, 2, True, 0.15)
TABLE = RouteTable(1, (), {"s": RoutedService("s", 100, EngineSpec(8, 400_000))})


def make_call(call_id="c", **more) -> RoutedCall:
    now = now_s()
    content = {
        "call_id": call_id,
        "route": ROUTE,
        "service": "s",
        "method": "POST",
        "target": "/",
        "headers": [],
        "body": b"",
        "arrived_at_s": now,
        "deadline_at_s": now + 5.0,
        "zone": "z1",
        **more,
    }
    return RoutedCall(**content)


class MessageTest(unittest.TestCase):
    def assert_survives(self, message):
        self.assertEqual(decode_message(encode_message(message)), message)

    def test_messages_survive_the_wire(self):
        choice = PlacedChoice("u", 0.25, 900, "v", 3, 1200, 1.5, 2)
        outcome = AttemptOutcome(
            ANSWERED, 0.5, 0.25, True, True, UpstreamSignals(2.0, True)
        )
        for message in (
            PlacedAnswer(4, choice, None, True, 7, 40_000.0),
            PlacedAnswer(4, None, choice, False, 0, 1.0),
            WaitingNotice(3),
            RefusedAnswer(5, "none is left"),
            OutcomeReport(6, outcome),
            OutcomeReport(
                6,
                AttemptOutcome(
                    ABANDONED, 0.5, signals=UpstreamSignals(load=ReportedLoad(1, 2, 8))
                ),
            ),
            OutcomeReport(
                6,
                AttemptOutcome(
                    ANSWERED,
                    0.5,
                    signals=UpstreamSignals(load=ReportedLoad(1, 2, 8, 1.4)),
                    event_interval_s=0.25,
                ),
            ),
            *(
                OutcomeReport(
                    6,
                    AttemptOutcome(
                        ANSWERED, 0.5, signals=UpstreamSignals(limit_per_s=per_s)
                    ),
                    is_final,
                )
                for per_s in (None, UNLIMITED, 0.0, 2.5)
                for is_final in (True, False)
            ),
            OutcomeReport(6, AttemptOutcome(ANSWERED, 0.5, transferred_bytes=70_000)),
            WithdrawnNotice(9),
            CopyQuery(),
            CopyAnswer(None),
            CopyAnswer(ManifestCopy(b"a", b"b", 12)),
        ):
            with self.subTest(message=message):
                self.assert_survives(message)

    def test_query_survives_the_wire(self):
        sent = make_call(
            prompt=prompt(9000, 8000),
            tried_upstreams={"u"},
            placements=2,
            attempts=1,
            prefills=1,
        )
        received = decode_message(encode_message(PlaceQuery(3, sent, "v")))
        call = received.call
        self.assertEqual((received.number, received.prefill_engine_id), (3, "v"))
        self.assertEqual(call.prompt, sent.prompt)
        self.assertEqual(
            (call.tried_upstreams, call.zone, call.service), ({"u"}, "z1", "s")
        )
        self.assertEqual((call.attempts, call.prefills, call.placements), (1, 1, 1))
        self.assertEqual(call.route.objective_s, ROUTE.objective_s)
        self.assertAlmostEqual(call.remaining_s(), sent.remaining_s(), delta=0.1)

    def test_call_without_a_deadline_survives_the_wire(self):
        sent = make_call(deadline_at_s=float("inf"))
        call = decode_message(encode_message(PlaceQuery(3, sent))).call
        self.assertGreater(call.remaining_s(), 1000.0)

    def test_refusal_keeps_its_kind_and_time(self):
        error = RequestError(ErrorKind.UPSTREAM_OVERLOADED, "full", retry_after_s=0.75)
        received = decode_message(encode_message(RefusedAnswer(5, "full", error)))
        self.assertIs(received.error.kind, ErrorKind.UPSTREAM_OVERLOADED)
        self.assertEqual(received.error.retry_after_s, 0.75)

    def test_messages_changed_at_random_are_read_or_refused(self):
        rng = random.Random(9)
        whole = encode_message(PlaceQuery(3, make_call(prompt=prompt(900, 500))))
        for _ in range(3000):
            data = bytearray(whole)
            for _ in range(rng.randint(1, 6)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            with contextlib.suppress(FrameError):
                decode_message(bytes(data[: rng.randint(1, len(data))]))


class Entry:
    """Scheduling side of one entry, on registrations of its own."""

    def __init__(self, name, items):
        self.name = name
        self.log = mock.Mock()
        self.registry = UpstreamRegistry(lambda: None, self.log)
        self.registry.update(items)
        self.estimates = FleetEstimates.from_registry(self.registry)
        self.parts = SchedulingParts.from_estimates(
            self.estimates, lambda: TABLE, self.log
        )
        self.scheduler = Scheduler(
            self.parts, SharedRetryBudget(0.2, 50, 10.0, lambda: 1)
        )
        self.estimate_updater = EstimateUpdater(self.estimates, self.log)

    def placer(self, names, addresses) -> FleetPlacer:
        return FleetPlacer(
            self.name,
            mock.Mock(ranked=lambda _service: names),
            self.registry,
            self.scheduler,
            Scheduler(self.parts, SharedRetryBudget(0.2, 50, 10.0, lambda: 195)),
            addresses.get,
            self.log,
        )

    def serve(self, copies=None):
        server = SchedulingServer(
            Address("127.0.0.1", 0),
            self.scheduler,
            self.estimate_updater,
            copies,
            self.log,
        )
        sock = curio.tcp_server_socket("127.0.0.1", 0)
        return server, sock


class SchedulingCase(unittest.TestCase):
    """Two entries, and a third that places their calls."""

    copies = None

    def setUp(self):
        items = [
            upstream("p", Stage.PREFILL, slots=2),
            upstream("d1", Stage.DECODE, slots=2),
            upstream("d2", Stage.DECODE, slots=2),
        ]
        self.home = Entry("home", items)
        self.one, self.two = Entry("one", items), Entry("two", items)

    def play(self, scenario):
        async def run():
            server, sock = self.home.serve(self.copies)
            addresses = {"home": Address(*sock.getsockname())}
            async with sock:
                accepting = await curio.spawn(self.accept, server, sock, daemon=True)
                placers = [
                    entry.placer(("home", entry.name), addresses)
                    for entry in (self.one, self.two)
                ]
                try:
                    await scenario(*placers)
                finally:
                    for placer in placers:
                        await placer.close()
                    await accepting.cancel()

        curio.run(run)

    async def accept(self, server, sock):
        while True:
            client, _address = await sock.accept()
            await curio.spawn(self.serve, server, client, daemon=True)

    async def serve(self, server, client):
        async with client:
            await server._serve(client)

    def in_flight(self):
        loads = self.home.estimates.loads
        return {name: loads.requests(name) for name in ("p", "d1", "d2")}

    async def settle(self):
        await curio.sleep(0.1)


class ScheduledTest(SchedulingCase):
    """Two entries have their calls placed by a third."""

    def test_work_of_all_entries_is_spread_and_counted_until_its_end(self):
        async def scenario(one, two):
            placements = [
                await placer.place(make_call(f"c{number}", prompt=prompt(300)))
                for number, placer in enumerate([one, two] * 2)
            ]
            chosen = [
                item.plan.decode.candidate.upstream.upstream_id for item in placements
            ]
            self.assertEqual(sorted(chosen), ["d1", "d1", "d2", "d2"])
            self.assertEqual(self.in_flight(), {"p": 0, "d1": 2, "d2": 2})
            for placement in placements:
                await placement.ticket.observe_outcome(
                    AttemptOutcome(ANSWERED, 0.1, 0.05)
                )
            await self.settle()
            self.assertEqual(self.in_flight(), {"p": 0, "d1": 0, "d2": 0})

        self.play(scenario)

    def test_prefix_prefilled_for_one_entry_is_known_for_the_other(self):
        """Long prompts with the same prefix arrive at different entries."""

        async def scenario(one, two):
            first = make_call("c1", prompt=prompt(17_000, 13_000))
            placement = await one.place(first)
            self.assertIsNotNone(placement.plan.prefill)
            await placement.ticket.observe_outcome(AttemptOutcome(ANSWERED, 0.4))
            await self.settle()
            again = await two.place(make_call("c2", prompt=prompt(17_000, 13_000)))
            self.assertLessEqual(again.plan.prefill.prefill_tokens, 4_000)

        self.play(scenario)

    def test_call_that_waits_for_a_prefix_and_in_the_queue_is_placed(self):
        """A burst of long prompts with one new prefix exceeds the prefill capacity."""

        async def scenario(one, two):
            tasks = []
            for number in range(12):
                call = make_call(f"c{number}", prompt=prompt(30_000, 20_000))
                placer = (one, two)[number % 2]
                tasks.append(await curio.spawn(self.run_to_end, placer, call))
            for task in tasks:
                await task.join()
            self.assertEqual(sum(self.in_flight().values()), 0)

        self.play(scenario)

    async def run_to_end(self, placer, call):
        with contextlib.suppress(RequestError):
            placement = await placer.place(call)
            await curio.sleep(0.05)
            await placement.ticket.observe_outcome(AttemptOutcome(ANSWERED, 0.05, 0.05))
            await curio.sleep(0.1)

    def test_plain_call_waits_at_the_scheduler_until_a_slot_is_free(self):
        """Upstreams of two slots each would decline what they are sent beyond."""
        planner = self.home.parts.service_planner
        in_flight, waiting = [], []

        async def end_later(placement):
            in_flight.append(max(self.in_flight().values()))
            waiting.append(planner.queue_length("s"))
            await curio.sleep(0.03)
            await placement.ticket.observe_outcome(AttemptOutcome(ANSWERED, 0.03, 0.03))

        async def ask(placer, call):
            await end_later(await placer.place(call))

        async def scenario(one, two):
            tasks = [
                await curio.spawn(ask, (one, two)[number % 2], make_call(f"c{number}"))
                for number in range(24)
            ]
            for task in tasks:
                await task.join()
            await self.settle()
            self.assertEqual(planner.queue_length("s"), 0)
            self.assertEqual(sum(self.in_flight().values()), 0)
            self.assertGreater(max(waiting), 0)
            self.assertLess(max(in_flight), 8)

        self.play(scenario)

    def test_plain_call_that_waits_is_withdrawn_with_its_caller(self):
        """A queue that keeps calls of callers who left would place them in vain."""

        async def scenario(one, _two):
            loads = self.home.estimates.loads
            for name in ("p", "d1", "d2"):
                for _ in range(6):
                    loads.begin(name, 0)
            planner = self.home.parts.service_planner
            # On a busy machine the scheduler may not answer within its 0.1 s.
            for _ in range(5):
                task = await curio.spawn(one.place, make_call())
                await curio.sleep(0.15)
                if planner.queue_length("s"):
                    break
                await task.cancel()
                await curio.sleep(0.3)
            self.assertEqual(planner.queue_length("s"), 1)
            await task.cancel()
            await self.settle()
            self.assertEqual(planner.queue_length("s"), 0)

        self.play(scenario)

    def test_new_scheduler_prefers_engines_that_may_have_the_prefix_cached(self):
        """A new scheduler would have all shared prefixes prefilled again."""

        async def scenario(one, _two):
            self.home.estimates.prefix_cache._started_at_s -= 2 * WARM_UP_S
            self.assertFalse(self.home.estimates.prefix_cache.is_warming_up())
            placement = await one.place(make_call(prompt=prompt(17_000, 13_000)))
            self.assertIsNotNone(placement.plan.prefill.fetch_from)

        self.play(scenario)

    def test_work_of_a_disconnected_entry_is_no_longer_counted(self):
        async def scenario(one, _two):
            await one.place(make_call(prompt=prompt(300)))
            self.assertEqual(sum(self.in_flight().values()), 1)
            await one.close()
            await self.settle()
            self.assertEqual(sum(self.in_flight().values()), 0)

        self.play(scenario)

    def test_requested_backoff_is_kept_by_all_entries(self):
        signals = UpstreamSignals(backoff_s=5.0)
        declined = AttemptOutcome(FailureReason.DECLINED.value, 0.1, signals=signals)
        self.assert_avoided_after(declined)

    def test_draining_upstream_gets_no_new_work(self):
        signals = UpstreamSignals(is_draining=True)
        self.assert_avoided_after(AttemptOutcome(ANSWERED, 0.1, 0.05, signals=signals))

    def assert_avoided_after(self, outcome):
        """Report an outcome from one entry; another must not get its upstream."""

        async def scenario(one, two):
            placement = await one.place(make_call(prompt=prompt(300)))
            avoided = placement.plan.decode.candidate.upstream.upstream_id
            await placement.ticket.observe_outcome(outcome)
            await self.settle()
            for number in range(6):
                call = make_call(f"c{number}", prompt=prompt(300))
                placement = await two.place(call)
                chosen = placement.plan.decode.candidate.upstream.upstream_id
                self.assertNotEqual(chosen, avoided)

        self.play(scenario)

    def test_limit_reported_by_one_entry_is_kept_for_all(self):
        """More calls arrive than the engine without a limit has slots for."""

        async def scenario(one, two):
            placement = await one.place(make_call(prompt=prompt(300)))
            limited = placement.plan.decode.candidate.upstream.upstream_id
            outcome = AttemptOutcome(
                ANSWERED, 0.1, 0.05, signals=UpstreamSignals(limit_per_s=5.0)
            )
            await placement.ticket.observe_outcome(outcome)
            await self.settle()
            chosen = []
            began_at_s = now_s()
            for number in range(10):
                for placer in (one, two):
                    call = make_call(f"c{number}", prompt=prompt(300))
                    plan = (await placer.place(call)).plan
                    first = plan.prefill or plan.decode
                    chosen.append(first.candidate.upstream.upstream_id)
            allowed = 1 + 5.0 * (now_s() - began_at_s)
            self.assertLessEqual(chosen.count(limited), allowed)

        self.play(scenario)

    def test_signals_are_applied_before_the_answer_ends(self):
        """A stream may last minutes; its head says that the upstream drains."""

        async def scenario(one, _two):
            placement = await one.place(make_call(prompt=prompt(300)))
            name = placement.plan.decode.candidate.upstream.upstream_id
            signals = UpstreamSignals(is_draining=True, limit_per_s=2.5)
            await placement.ticket.observe_signals(signals)
            await self.settle()
            self.assertIsNone(self.home.registry.get_usable(name))
            self.assertEqual(self.home.estimates.limits.per_s(name), 2.5)
            self.assertEqual(self.in_flight()[name], 1)
            await placement.ticket.observe_outcome(AttemptOutcome(ANSWERED, 60.0))
            await self.settle()
            self.assertEqual(self.in_flight()[name], 0)

        self.play(scenario)

    def test_choice_of_an_unusable_upstream_is_rejected(self):
        """The scheduler doesn't know yet that an upstream is draining."""

        async def scenario(one, _two):
            for name in ("d1", "d2"):
                self.one.registry.record_draining(name, now_s())
            call = make_call(prompt=prompt(300))
            with self.assertRaises(AttemptFailed):
                await one.place(call)
            self.assertTrue(call.tried_upstreams & {"d1", "d2"})
            await self.settle()
            self.assertEqual(sum(self.in_flight().values()), 0)

        self.play(scenario)

    def test_dead_upstream_costs_all_entries_few_attempts(self):
        """Each of 100 entries would try a dead upstream by itself."""

        async def scenario(one, two):
            reason = FailureReason.NOT_CONNECTED.value
            attempts = 0
            for number in range(100):
                placer = (one, two)[number % 2]
                call = make_call(f"c{number}", prompt=prompt(300))
                placement = await placer.place(call)
                chosen = placement.plan.decode.candidate.upstream.upstream_id
                attempts += chosen == "d1"
                cause = reason if chosen == "d1" else ANSWERED
                await placement.ticket.observe_outcome(
                    AttemptOutcome(cause, 0.01, 0.005)
                )
                await curio.sleep(0.002)
            self.assertLessEqual(attempts, 5)

        self.play(scenario)


class EndedSessionTest(unittest.TestCase):
    """An entry is killed while several of its queries are pending."""

    def test_queries_and_attempts_of_a_closed_session_are_ended(self):
        async def scenario():
            started = curio.Event()

            async def place(_call, _on_wait):
                await started.set()
                await curio.sleep(60.0)

            scheduler = mock.Mock(place=place)
            link, grant = mock.Mock(), mock.Mock()
            session = SchedulingSession(link, scheduler, mock.Mock(), mock.Mock())

            async def run(handle, _sweep):
                for number in range(4):
                    await handle(PlaceQuery(number, make_call(), ""))
                await started.wait()
                session._attempts[9] = grant
                raise ConnectionResetError

            link.run = run
            with self.assertRaises(ConnectionResetError):
                await session.run()
            grant.end.assert_called_once()

        curio.run(scenario)


class OverloadedSchedulerTest(unittest.TestCase):
    """Queries arrive faster than the scheduler answers, and are withdrawn."""

    def test_withdrawn_query_is_not_answered(self):
        async def scenario():
            scheduler = mock.Mock()
            session = SchedulingSession(
                mock.AsyncMock(), scheduler, mock.Mock(), mock.Mock()
            )
            await session._handle(PlaceQuery(1, make_call(), ""))
            await session._handle(WithdrawnNotice(1))
            scheduler.place.assert_not_called()

        curio.run(scenario)


class BrokenConnectionTest(SchedulingCase):
    """Entries are killed while their scheduler writes to them."""

    ANSWER_BYTES = 256 * 1024

    def test_scheduler_outlives_connections_that_are_reset_while_it_writes(self):
        copy = ManifestCopy(b"x" * self.ANSWER_BYTES, b"", 1)
        self.copies = mock.Mock(make_copy=lambda: copy)

        async def scenario(one, _two):
            address = one._address_of("home")
            for _ in range(30):
                await self.ask_and_reset(address)
            placement = await one.place(make_call(prompt=prompt(300)))
            self.assertNotIsInstance(placement.ticket, NoTicket)

        self.play(scenario)

    async def ask_and_reset(self, address):
        sock = await curio.open_connection(address.host, address.port)
        frame = encode_frame(encode_message(CopyQuery()))
        for _ in range(16):
            await sock.sendall(frame)
        await curio.sleep(0.01)
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await sock.close()


class LostSchedulerTest(unittest.TestCase):
    def setUp(self):
        self.entry = Entry("me", [upstream("d1", Stage.DECODE)])

    def place(self, names, address):
        async def run():
            placer = self.entry.placer(names, {"home": address})
            began_at_s = now_s()
            placement = await placer.place(make_call(prompt=prompt(300)))
            elapsed_s = now_s() - began_at_s
            again_at_s = now_s()
            await placer.place(make_call("again", prompt=prompt(300)))
            self.assertLess(now_s() - again_at_s, ANSWER_TIMEOUT_S / 2)
            await placer.close()
            return placement, elapsed_s

        return curio.run(run)

    def test_silent_scheduler_times_out_and_is_backed_off_from(self):
        async def run():
            return curio.tcp_server_socket("127.0.0.1", 0)

        sock = curio.run(run)
        self.addCleanup(sock._socket.close)
        address = Address(*sock.getsockname())
        placement, elapsed_s = self.place(("home",), address)
        self.assertIsInstance(placement.ticket, NoTicket)
        self.assertLess(elapsed_s, 3 * ANSWER_TIMEOUT_S)

    def test_scheduler_that_is_gone_is_replaced_at_once(self):
        placement, elapsed_s = self.place(("home", "me"), Address("127.0.0.1", 9))
        self.assertIsInstance(placement.ticket, NoTicket)
        self.assertLess(elapsed_s, 3 * ANSWER_TIMEOUT_S)

    def test_broken_connection_ends_pending_queries(self):
        async def run():
            link = SchedulerLink(Address("127.0.0.1", 9), mock.Mock())
            link._link = mock.AsyncMock()
            began_at_s = now_s()
            waiting = await curio.spawn(link.query, make_call(), "")
            await curio.sleep(0.01)
            await link._handle_loss(link._link, "broke")
            self.assertIsNone(await waiting.join())
            self.assertLess(now_s() - began_at_s, ANSWER_TIMEOUT_S)

        curio.run(run)
