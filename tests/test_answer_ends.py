"""Answers that end with their connection: complete only after a regular end."""

import contextlib
import time
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
from wisteriaarch.connection.upstream_pool import UpstreamPool
from wisteriaarch.errors import WireError
from wisteriaarch.http_client import HttpClientConnection
from wisteriaarch.memory_budget import MemoryBudget
from wisteriaarch.platform.upstreams import PlatformUpstreams
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.upstreams import Upstream
from wisteriaarch.request.answer_relay import AnswerRelay
from wisteriaarch.request.attempt_failures import AttemptFailed
from wisteriaarch.request.exchange import Exchange
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.version.route_table import CallKind, Route
from wisteriaarch.wire import Address, OutgoingRequest

from .gateway_support import RouteCluster
from .raw_server import RawServer

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nServer-Seal: s\r\n\r\n"
PART = HEAD + b"a part of the body"
EVENTS = HEAD + b"id: 1\ndata: x\n\n"
LONG_BYTES = 4 * 1024 * 1024
DELAYS_S = (0.0, 0.02, 0.2)
TIMEOUT_S = 5.0


async def ask(address, body, use):
    """Send a request as an attempt does, and return what ``use`` reads of it."""
    async with curio.timeout_after(TIMEOUT_S):
        async with await HttpClientConnection.connect(address) as conn:
            with contextlib.suppress(OSError):
                await conn.send_request("POST", "/x", [], body)
            await conn.read_head()
            return await use(conn)


class ConnectionEndTest(unittest.TestCase):
    def read(self, server, body=b"", use=HttpClientConnection.read_body):
        return curio.run(ask, Address.parse(server.address), body, use)

    def test_reset_while_a_long_request_is_written(self):
        """Guards against a part of a body that is taken for the whole."""
        for delay_s in DELAYS_S:
            with RawServer(PART, resets=True, delay_s=delay_s) as server:
                with self.subTest(delay_s), self.assertRaises(WireError):
                    self.read(server, b"b" * LONG_BYTES)

    def test_body_that_is_skipped_has_the_same_end(self):
        """Guards against a connection that goes on after a reset."""

        async def skip(conn):
            await conn.skip_body(LONG_BYTES)

        with RawServer(PART, resets=True) as server:
            with self.assertRaises(WireError):
                self.read(server, b"b" * LONG_BYTES, skip)

    def test_regular_close_ends_the_body(self):
        """Guards against sound answers without a length that are given up."""
        for size in (0, LONG_BYTES):
            with RawServer(PART, body_bytes=size) as server:
                body = self.read(server, b"b" * size)
                self.assertEqual(body, b"a part of the body")

    def test_answer_that_is_given_up_for_memory(self):
        """Guards against a body whose reading this process itself has ended."""
        budget = MemoryBudget()

        async def give_up(conn):
            conn._budget = budget
            reading = await curio.spawn(conn.read_body)
            await curio.sleep(0.1)
            budget._revoke(conn._reservation)
            await reading.join()

        with RawServer(PART, body_bytes=1) as server:
            with self.assertRaises(curio.TaskError) as raised:
                self.read(server, use=give_up)
        self.assertIsInstance(raised.exception.__cause__, WireError)

    def test_end_of_a_relayed_connection(self):
        """Guards against a lost relay that looks like the end of a body."""

        async def read_relayed(conn):
            conn.is_relayed = True
            return await conn.read_body()

        with RawServer(PART) as server:
            with self.assertRaises(WireError):
                self.read(server, use=read_relayed)


class RelayedAnswerTest(unittest.TestCase):
    """What the caller gets of an answer that is reset while its upload is written."""

    def relay(self, kind, answer):
        now = now_s()
        route = Route("r", "h", "/", kind, (), TIMEOUT_S, 1.0)
        body = b"b" * LONG_BYTES
        call = RoutedCall("id", route, "s", "POST", "/", [], body, now, now + TIMEOUT_S)
        sink = mock.AsyncMock()

        async def run(address):
            upstream = Upstream("u", "s", address, "z1", 1)
            exchange = Exchange(UpstreamPool(), PlatformUpstreams(), call, upstream)
            async with exchange:
                req = OutgoingRequest("POST", "/", [("Attempt-Id", "id")], body)
                head = await exchange.send(req, TIMEOUT_S)
                await AnswerRelay(call, sink).relay(head, exchange)

        with RawServer(answer, resets=True) as server:
            with self.assertRaises(AttemptFailed):
                curio.run(run, Address.parse(server.address))
        return sink

    def test_part_of_a_whole_answer_is_not_sent(self):
        """Guards against a part of an answer that reaches the caller as complete."""
        sink = self.relay(CallKind.IDEMPOTENT, PART)
        sink.send_complete.assert_not_awaited()

    def test_part_of_a_stream_does_not_end_it(self):
        """Guards against a stream that ends as complete where it was cut."""
        sink = self.relay(CallKind.STREAM, EVENTS)
        sink.end_stream.assert_not_awaited()


class GatewayAnswerEndTest(RouteCluster):
    """The same through a real entry."""

    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        routes = [
            route_row("whole", "/whole/", "non_idempotent", "whole"),
            route_row("events", "/events/", "stream", "events"),
        ]
        content = configuration(routes=routes)
        content["services"] += [
            {"name": name, "health-path": "/health", "max-conns": 100}
            for name in ("whole", "events")
        ]
        self.cluster.start_store(content)
        self.cluster.start_server("app-1", "app")
        self.entry = self.cluster.start_gateway()
        wait_until(lambda: is_ready(self.entry))
        wait_until(
            lambda: self.ask("GET", "/get/warm", "warm", self.entry).status == 200
        )

    def test_answers_that_are_reset_are_no_success(self):
        """Guards against a success with a part of the server's body."""
        for service, answer in (("whole", PART), ("events", EVENTS)):
            server = self.enterContext(RawServer(answer, resets=True))
            row = server_row(server, service)
            self.cluster.write("servers", service, row)
            deadline_s = time.monotonic() + TIMEOUT_S
            while not server.requests and time.monotonic() < deadline_s:
                status = self.ask(
                    "POST",
                    f"/{service}/x",
                    f"{service}-1",
                    self.entry,
                    b"b" * LONG_BYTES,
                ).status
            self.assertGreater(server.requests, 0)
            self.assertNotEqual(status, 200)


if __name__ == "__main__":
    unittest.main()
