"""Limits on what a client may hold: bytes read ahead, answers, connections, bodies."""

import socket
import unittest
from contextlib import asynccontextmanager
from unittest import mock

import curio
from curio.io import Socket

from wisteriaarch.client_socket import ClientSocket
from wisteriaarch.connection.caller_connection import CallerConnection
from wisteriaarch.connection.caller_server import CallerServer
from wisteriaarch.connection.connection_limit import ConnectionLimit
from wisteriaarch.errors import AnswerUnread, ErrorKind, RequestError
from wisteriaarch.event_log import EventLog
from wisteriaarch.events import Event
from wisteriaarch.http_server import HttpServerConnection
from wisteriaarch.memory_budget import SMALL_BYTES, MemoryBudget
from wisteriaarch.process.client_limits import MIB, ClientLimits
from wisteriaarch.process.gateway_settings import GatewaySettings
from wisteriaarch.process.limit_reports import ClientLimit, LimitReports
from wisteriaarch.process.metrics import Metrics
from wisteriaarch.process.settings_models import LimitSettings
from wisteriaarch.sockets import limit_unsent

from .test_stop_faults import App

TIMEOUT_S = 20.0
BUFFER_BYTES = 4096
ANSWER = b"y" * MIB
REQUEST = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
SETTINGS = {
    "entry_id": "127.0.0.2",
    "zone": "z1",
    "front": "127.0.0.2:1",
    "ready": "127.0.0.2:2",
    "directory": "127.0.0.2:3",
    "store": "127.0.0.1:4",
    "peer_port": 5,
}


def run(test):
    """Run a coroutine method as a test."""

    def wrapper(self):
        async def main():
            async with curio.timeout_after(TIMEOUT_S):
                await test(self)

        curio.run(main)

    wrapper.__name__ = test.__name__
    return wrapper


def limits_of(**settings) -> ClientLimits:
    return ClientLimits.from_config(GatewaySettings(**SETTINGS, **settings))


class DerivedLimitsTest(unittest.TestCase):
    def test_limits_follow_from_memory_and_descriptors(self):
        limits = limits_of(memory_mb=160, max_fds=1638)
        self.assertEqual(limits, ClientLimits(480, 51, 16 * MIB))
        limits = limits_of(memory_mb=552, max_fds=1638)
        self.assertEqual((limits.connections, limits.info_connections), (655, 51))

    def test_stated_number_replaces_the_derived_one(self):
        limits = limits_of(memory_mb=160, limits=LimitSettings(connections=7))
        self.assertEqual(limits.connections, 7)

    def test_without_resources_messages_share_what_they_did_before(self):
        self.assertEqual(limits_of().message_bytes, 16 * MIB)


class LimitReportsTest(unittest.TestCase):
    def test_each_effect_is_counted_and_logged_once_in_a_while(self):
        metrics, log = Metrics(), mock.Mock()
        reports = LimitReports(metrics, log)
        with mock.patch("wisteriaarch.process.limit_reports.now_s") as now_s:
            for now_s.return_value in (5.0, 5.1, 5.2, 7.0):
                reports.report(ClientLimit.UNREAD, server="callers")
            reports.report(ClientLimit.MEMORY, server="callers")
        seen = [
            (item.args[0], item.kwargs["limit"], item.kwargs["times"])
            for item in log.write.call_args_list
        ]
        event = Event.CLIENT_LIMIT_REACHED
        self.assertEqual(
            seen,
            [
                (event, "unread_answer", 1),
                (event, "unread_answer", 3),
                (event, "memory", 1),
            ],
        )
        self.assertIn('limits_reached_total{limit="unread_answer"} 4', metrics.render())


class ClientSocketTest(unittest.TestCase):
    """The server side is tested against a raw socket."""

    def setUp(self):
        self.reached = []

    @asynccontextmanager
    async def pair(self, **limits):
        """Yield a server's socket and the raw socket of its client."""
        server = socket.create_server(("127.0.0.1", 0))
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        raw.connect(server.getsockname())
        accepted = Socket(server.accept()[0])
        server.close()
        limit_unsent(accepted, BUFFER_BYTES)
        async with accepted, Socket(raw) as client:
            yield (
                ClientSocket(accepted, on_limit=self.reached.append, **limits),
                client,
            )

    @run
    async def test_unread_answer_ends_the_connection(self):
        """Without the time limit, the writer held its call and answer for ever."""
        async with self.pair(write_timeout_s=0.2) as (server, _client):
            with self.assertRaises(AnswerUnread):
                await server.write(ANSWER)
        self.assertEqual(self.reached, [ClientLimit.UNREAD])

    @run
    async def test_slow_but_steady_reader_gets_the_whole_answer(self):
        """A limit on the whole write would cut callers with little bandwidth."""
        async with self.pair(write_timeout_s=0.3) as (server, client):
            writing = await curio.spawn(server.write, ANSWER)
            received = 0
            while received < len(ANSWER):
                received += len(await client.recv(MIB // 16))
                await curio.sleep(0.01)
            await writing.join()
        self.assertEqual(self.reached, [])

    @run
    async def test_reading_ahead_ends_at_the_limit_and_loses_nothing(self):
        """The buffer grew by 64 KB for each request of a connection."""
        sent = b"".join(REQUEST % number for number in range(2000))
        async with self.pair(pipelined_bytes=2048) as (server, client):
            sending = await curio.spawn(client.sendall, sent)
            async with curio.ignore_after(0.2):
                await server.read_ahead()
            first = await server.receive()
            self.assertEqual(len(first), 2048)
            async with curio.ignore_after(0.2):
                await server.read_ahead()
            received = first
            while len(received) < len(sent):
                received += await server.receive()
            await sending.join()
        self.assertEqual(received, sent)
        self.assertEqual(self.reached, [ClientLimit.PIPELINED] * 2)

    @run
    async def test_close_is_noticed_behind_unread_input(self):
        """Unread input hides the end of the connection from reads."""
        async with self.pair(pipelined_bytes=1024) as (server, client):
            watching = await curio.spawn(server.read_ahead)
            await client.sendall(b"x" * 8192)
            await curio.sleep(0.1)
            self.assertFalse(watching.terminated)
            await client.close()
            await watching.join()

    @run
    async def test_many_pipelined_requests_are_answered_in_order(self):
        count = 500
        async with self.pair(pipelined_bytes=1024) as (server, client):
            sent = b"".join(REQUEST % number for number in range(count))
            sending = await curio.spawn(client.sendall, sent)
            answers = await curio.spawn(self.read_until, client, b"<%d>" % (count - 1))
            with HttpServerConnection(server) as conn:
                for _ in range(count):
                    req = await conn.read_head()
                    await conn.read_body()
                    async with curio.ignore_after(0.001):
                        await conn.wait_for_close()
                    body = b"<%b>" % req.path[1:].encode()
                    await conn.send_response(200, [], body)
                    self.assertTrue(conn.start_next_cycle())
            text = await answers.join()
            await sending.join()
        places = [text.index(b"<%d>" % number) for number in range(count)]
        self.assertEqual(places, sorted(places))

    async def read_until(self, client, end):
        received = b""
        while end not in received:
            received += await client.recv(MIB)
        return received

    @run
    async def test_complete_body_counts_until_its_request_ends(self):
        """Bodies of calls that ran weren't counted, and many exceeded the memory."""
        body = b"x" * (4 * SMALL_BYTES)
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
        budget = MemoryBudget(6 * SMALL_BYTES, 0)
        async with self.pair() as (server, client), self.pair() as (other, late):
            first = HttpServerConnection(server, _budget=budget)
            second = HttpServerConnection(other, _budget=budget)
            for peer in (client, late):
                await curio.spawn(peer.sendall, head + body, daemon=True)
            await first.read_head()
            self.assertEqual(await first.read_body(), body)
            self.assertEqual(budget.used_bytes, len(body))
            await second.read_head()
            with self.assertRaises(RequestError) as caught, second:
                await second.read_body()
            self.assertEqual(caught.exception.kind.value, "memory_exhausted")
            await first.send_response(200, [], b"")
            self.assertTrue(first.start_next_cycle())
        self.assertEqual(budget.used_bytes, 0)
        self.assertEqual(self.reached, [ClientLimit.MEMORY])

    @run
    async def test_connection_that_ends_gives_its_memory_back(self):
        body = b"x" * (4 * SMALL_BYTES)
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
        budget = MemoryBudget(6 * SMALL_BYTES, 0)
        async with self.pair() as (server, client):
            await curio.spawn(client.sendall, head + body, daemon=True)
            with HttpServerConnection(server, _budget=budget) as conn:
                await conn.read_head()
                await conn.read_body()
            self.assertEqual(budget.used_bytes, 0)


class ConnectionLimitTest(unittest.TestCase):
    @run
    async def test_unread_refusals_are_counted_and_end_the_connection(self):
        """A timer around refusals ended these connections without a trace."""

        async def answer(_req, _conn):
            raise RequestError(ErrorKind.UNKNOWN_ROUTE, "x" * 4096)

        app = App(answer)
        limits = {"unsent_bytes": BUFFER_BYTES, "write_timeout_s": 0.2}
        app.settings.limits = app.settings.limits.model_copy(update=limits)
        reports = LimitReports(app.metrics, EventLog("limit"))
        server = CallerServer(
            lambda client: CallerConnection(client, app, reports), app.log
        )
        sock = Socket(socket.create_server(("127.0.0.1", 0)))
        await server.start(sock)
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        raw.connect(sock.getsockname())
        async with Socket(raw) as client:
            await client.sendall(REQUEST % 1 * 500)
            while not server.open_connections:
                await curio.sleep(0.01)
            while server.open_connections:
                await curio.sleep(0.01)
        self.assertIn('{limit="unread_answer"} 1', app.metrics.render())
        await server.end_requests(1.0)

    @run
    async def test_connections_above_the_limit_are_refused_until_one_ends(self):
        """Connections without a bound took all descriptors of the process."""

        async def answer(_req, conn):
            await conn.send_complete(200, [], b"served")

        app = App(answer)
        reports = LimitReports(app.metrics, EventLog("limit"))
        limit = ConnectionLimit(1, "callers", reports)
        server = CallerServer(
            lambda client: CallerConnection(client, app, reports), app.log, limit
        )
        sock = Socket(socket.create_server(("127.0.0.1", 0)))
        await server.start(sock)
        first = await curio.open_connection(*sock.getsockname())
        self.assertIn(b" 200 ", await self.ask(first))
        refused = await curio.open_connection(*sock.getsockname())
        self.assertTrue((await refused.recv(4096)).startswith(b"HTTP/1.1 503 "))
        self.assertEqual(await refused.recv(4096), b"")
        await first.close()
        while server.open_connections:
            await curio.sleep(0.01)
        second = await curio.open_connection(*sock.getsockname())
        self.assertIn(b" 200 ", await self.ask(second))
        self.assertIn('{limit="connections"} 1', app.metrics.render())
        for client in (refused, second):
            await client.close()
        await server.end_requests(1.0)

    async def ask(self, client):
        await client.sendall(REQUEST % 1)
        return await client.recv(4096)
