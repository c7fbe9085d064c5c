"""Answers without an end, or of single bytes: memory and time stay bounded."""

import time
import unittest
from unittest import mock

import curio

from wisteriaarch.connection.upstream_pool import SWEEP_EVERY_S, UpstreamPool
from wisteriaarch.errors import WireError
from wisteriaarch.http_client import HttpClientConnection
from wisteriaarch.platform.upstreams import PlatformUpstreams
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.upstreams import Upstream
from wisteriaarch.request.answer_relay import AnswerRelay
from wisteriaarch.request.attempt_failures import AttemptFailed
from wisteriaarch.request.event_stream import EVENT_MAX_BYTES, EventFramer
from wisteriaarch.request.exchange import Exchange
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.version.route_table import CallKind, Route
from wisteriaarch.wire import Address, OutgoingRequest

LIMIT_BYTES = 256 * 1024
BLOCK = b"x" * 4096
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: id\r\nServer-Seal: s\r\n"


class EndlessServer:
    """Sends a beginning and then the same block for ever; counts what it sent."""

    def __init__(self, beginning, block, pause_s=0.0):
        self.beginning = beginning
        self.block = block
        self.pause_s = pause_s
        self.sent = 0
        self.closed = False

    async def serve(self, client, _address):
        try:
            await client.recv(65536)
            await client.sendall(self.beginning)
            while True:
                await client.sendall(self.block)
                self.sent += len(self.block)
                await curio.sleep(self.pause_s)
        except OSError:
            self.closed = True
        finally:
            await client.close()


class EndlessAnswerTest(unittest.TestCase):
    def ask(self, server, use):
        """Return what ``use`` makes of an answer of ``server``."""

        async def run():
            sock = curio.tcp_server_socket("127.0.0.1", 0)
            serving = await curio.spawn(self.accept, sock, server, daemon=True)
            try:
                async with curio.timeout_after(10.0):
                    return await use(Address(*sock.getsockname()))
            finally:
                for _ in range(100):
                    if server.closed:
                        break
                    await curio.sleep(0.02)
                await serving.cancel()
                await sock.close()

        return curio.run(run)

    async def accept(self, sock, server):
        while True:
            client, address = await sock.accept()
            await curio.spawn(server.serve, client, address, daemon=True)

    async def read_whole(self, address):
        async with await HttpClientConnection.connect(address) as conn:
            await conn.send_request("GET", "/", [])
            await conn.read_head()
            return await conn.read_body(LIMIT_BYTES)

    def assert_given_up(self, beginning, block):
        server = EndlessServer(beginning, block)
        with self.assertRaises(WireError):
            self.ask(server, self.read_whole)
        self.assertTrue(server.closed)
        # What the sockets hold beside what was read.
        self.assertLess(server.sent, LIMIT_BYTES + 16 * 1024 * 1024)

    def test_head_without_end(self):
        self.assert_given_up(b"HTTP/1.1 200 OK\r\n", b"A: " + BLOCK + b"\r\n")

    def test_line_without_end(self):
        self.assert_given_up(b"HTTP/1.1 200 ", BLOCK)

    def test_informational_heads_without_end(self):
        self.assert_given_up(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64)

    def test_body_until_the_close(self):
        self.assert_given_up(HEAD + b"\r\n", BLOCK)

    def test_body_with_a_huge_length(self):
        self.assert_given_up(HEAD + b"Content-Length: 999999999999\r\n\r\n", BLOCK)

    def test_chunks_without_end(self):
        chunk = b"1000\r\n" + BLOCK + b"\r\n"
        self.assert_given_up(HEAD + b"Transfer-Encoding: chunked\r\n\r\n", chunk)

    def test_chunk_header_without_end(self):
        self.assert_given_up(HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;", BLOCK)

    def stream(self, server, wait_s):
        """Relay a stream to a caller for a time, who then leaves."""
        now = now_s()
        route = Route("r", "h", "/", CallKind.STREAM, (), 5.0, 1.0)
        call = RoutedCall("id", route, "s", "POST", "/", [], b"", now, now + 5)
        sink = mock.AsyncMock()

        async def relay(address):
            upstream = Upstream("u", "s", address, "z1", 1)
            exchange = Exchange(UpstreamPool(), PlatformUpstreams(), call, upstream)
            async with curio.ignore_after(wait_s):
                async with exchange:
                    head = await exchange.send(
                        OutgoingRequest("POST", "/", [], b""), 2.0
                    )
                    await AnswerRelay(call, sink).relay(head, exchange)

        return relay, sink

    def test_endless_event_fails_the_attempt(self):
        server = EndlessServer(HEAD + b"\r\n", BLOCK)
        relay, sink = self.stream(server, 8.0)
        with self.assertRaises(AttemptFailed):
            self.ask(server, relay)
        self.assertTrue(server.closed)
        sink.send_block.assert_not_awaited()

    def test_endless_stream_is_relayed_until_its_caller_disconnects(self):
        event = b"id: 1\ndata: " + BLOCK + b"\n\n"
        server = EndlessServer(HEAD + b"\r\n", event, pause_s=0.01)
        relay, sink = self.stream(server, 0.5)
        self.ask(server, relay)
        self.assertTrue(server.closed)
        self.assertGreater(sink.send_block.await_count, 5)

    def test_trickled_answer_ends_at_the_deadline(self):
        server = EndlessServer(HEAD + b"\r\n", b"x", pause_s=0.05)
        relay, _sink = self.stream(server, 0.5)
        began_at_s = time.monotonic()
        self.ask(server, relay)
        self.assertLess(time.monotonic() - began_at_s, 2.0)
        self.assertTrue(server.closed)


class FramerBoundTest(unittest.TestCase):
    def test_rest_is_bounded(self):
        framer = EventFramer()
        with self.assertRaises(AttemptFailed):
            for _ in range(2 * EVENT_MAX_BYTES // len(BLOCK)):
                framer.feed(BLOCK)


class IdleConnectionTest(unittest.TestCase):
    def connection(self, port):
        conn = mock.AsyncMock(HttpClientConnection, address=Address("127.0.0.1", port))
        conn.start_next_cycle.return_value = True
        conn.has_unexpected_input.return_value = False
        return conn

    def release(self, pool, conn):
        curio.run(pool.release, conn)

    def test_idle_connection_on_which_bytes_arrive_is_closed(self):
        pool = UpstreamPool()
        sound, faulty = self.connection(1), self.connection(2)
        for conn in (sound, faulty):
            self.release(pool, conn)
        faulty.has_unexpected_input.return_value = True
        later_s = now_s() + SWEEP_EVERY_S
        with mock.patch(f"{UpstreamPool.__module__}.now_s", return_value=later_s):
            self.release(pool, self.connection(1))
        faulty.close.assert_awaited_once()
        sound.close.assert_not_awaited()
