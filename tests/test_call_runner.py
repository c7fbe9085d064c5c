"""Errors that a call on a route ends with, without upstreams."""

import unittest

import curio

from wisteriaarch.errors import ErrorKind, Ran, RequestError
from wisteriaarch.event_log import EventLog
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.fleet_estimates import FleetEstimates
from wisteriaarch.process.metrics import Metrics
from wisteriaarch.process.upstreams import Upstream, UpstreamRegistry
from wisteriaarch.request.block_quarantine import TrialPolicy
from wisteriaarch.request.call_runner import CallRunner
from wisteriaarch.request.exchange import is_down
from wisteriaarch.request.placer import DecodePlacement, NoTicket, Placement
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.request.scheduler import Scheduler, SchedulingParts
from wisteriaarch.request.shared_retry_budget import SharedRetryBudget
from wisteriaarch.version.route_table import CallKind, Route
from wisteriaarch.wire import Address


class LocalPlacer:
    """Places calls without another entry."""

    def __init__(self, scheduler):
        self.scheduler = scheduler

    async def place(self, call):
        return Placement(await self.scheduler.place(call), NoTicket())

    async def place_decode(self, call, prefill_engine):
        return DecodePlacement(
            await self.scheduler.place_decode(call, prefill_engine), NoTicket()
        )


class FinalErrorTest(unittest.TestCase):
    def end(self, ran: Ran) -> RequestError:
        log = EventLog("test")
        estimates = FleetEstimates.from_registry(UpstreamRegistry(lambda: None, log))
        parts = SchedulingParts.from_estimates(estimates, lambda: None, log)
        retries = SharedRetryBudget(0.2, 50, 10.0, lambda: 1)
        runner = CallRunner(
            None,
            estimates,
            None,
            LocalPlacer(Scheduler(parts, retries)),
            parts.fairness,
            TrialPolicy(),
            None,
            Metrics(),
            log,
        )
        route = Route("r", "h", "/", CallKind.IDEMPOTENT, (), 5.0, 1.0)
        now = now_s()
        call = RoutedCall("id", route, "s", "GET", "/", [], b"", now, now + 5, ran=ran)
        with self.assertRaises(RequestError) as caught:
            curio.run(runner.run, call, None)
        return caught.exception

    def test_without_upstreams_a_call_has_not_run(self):
        exc = self.end(Ran.NO)
        self.assertEqual((exc.kind, exc.ran), (ErrorKind.NO_UPSTREAM, Ran.NO))

    def test_call_that_may_have_run_is_never_reported_as_not_run(self):
        exc = self.end(Ran.UNKNOWN)
        self.assertEqual((exc.kind, exc.ran), (ErrorKind.UPSTREAM_FAILED, Ran.UNKNOWN))


class CrashProbeTest(unittest.TestCase):
    """Whether an upstream that broke off a connection has crashed."""

    def test_process_that_still_listens_while_it_ends_is_down(self):
        self.assertTrue(curio.run(self.probe, _end_soon))

    def test_process_that_keeps_its_connections_is_up(self):
        self.assertFalse(curio.run(self.probe, _stay))

    async def probe(self, behave):
        sock = curio.tcp_server_socket("127.0.0.1", 0)
        upstream = Upstream("app-1", "app", Address(*sock.getsockname()), "z1", 1)
        behaving = await curio.spawn(behave, sock)
        try:
            return await is_down(upstream)
        finally:
            await behaving.cancel()
            await sock.close()


async def _end_soon(sock):
    await curio.sleep(0.01)
    await sock.close()


async def _stay(sock):
    await curio.sleep(10.0)
