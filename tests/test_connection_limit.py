"""Room for a new client while clients that don't read hold all connections."""

import socket
import unittest
from contextlib import asynccontextmanager
from unittest import mock

import curio
from curio.io import Socket

from wisteriaarch.connection import connection_limit
from wisteriaarch.connection.caller_connection import CallerConnection
from wisteriaarch.connection.caller_server import CallerServer
from wisteriaarch.connection.connection_limit import ConnectionLimit
from wisteriaarch.errors import ErrorKind, RequestError
from wisteriaarch.event_log import EventLog
from wisteriaarch.process.limit_reports import LimitReports
from wisteriaarch.sockets import limit_unsent, unread_for_s

from .test_client_limits import ANSWER, BUFFER_BYTES, run
from .test_stop_faults import App

LONG, CALL, SHORT, NO_ROUTE = (
    b"GET /%b HTTP/1.1\r\nHost: x\r\n\r\n" % path
    for path in (b"long", b"call", b"short", b"none")
)
POLL_S = 0.01


def fake_client():
    return mock.Mock(close=mock.AsyncMock())


async def connect(address):
    """Return a client whose receive buffer fills up with the first answers."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    client = Socket(raw)
    await client.connect(address)
    return client


async def ask(client, request=SHORT):
    """Return the status line of an answer; empty if the connection was reset."""
    try:
        await client.sendall(request)
        return (await client.recv(BUFFER_BYTES)).partition(b"\r\n")[0]
    except OSError:
        return b""


async def ask_anew(address):
    client = await connect(address)
    async with client:
        return await ask(client)


class ChoiceTest(unittest.TestCase):
    """Which connection is reset, with stated times in place of the kernel's."""

    def setUp(self):
        self.unread = {}
        self.ended = []
        self.now_s = 100.0
        for name, new in (
            ("unread_for_s", lambda client: self.unread.get(client, 0.0)),
            ("stop_transfer", self.end),
            ("now_s", lambda: self.now_s),
        ):
            self.enterContext(mock.patch.object(connection_limit, name, new))
        self.reports = mock.Mock()
        self.limit = ConnectionLimit(3, "callers", self.reports, 0.5)
        self.clients = [fake_client() for _ in range(3)]

    def end(self, client):
        self.ended.append(client)
        self.limit.release(client)

    def reported(self):
        return [call.args[0].value for call in self.reports.report.call_args_list]

    async def fill(self, *unread):
        for client, unread_s in zip(self.clients, unread, strict=True):
            self.assertTrue(await self.limit.admit(client))
            self.unread[client] = unread_s

    @run
    async def test_connection_unread_for_longest_is_reset(self):
        """A client that has only just stopped to read could be hit instead."""
        await self.fill(0.7, 0.9, 0.6)
        self.assertTrue(await self.limit.admit(fake_client()))
        self.assertEqual(self.ended, [self.clients[1]])
        self.assertEqual(self.reported(), ["unread_when_full"])

    @run
    async def test_new_client_is_refused_if_none_is_unread_for_long(self):
        """Slow readers, idle connections and running calls would be reset."""
        await self.fill(0.0, 0.4, 0.1)
        refused = fake_client()
        self.assertFalse(await self.limit.admit(refused))
        refused.close.assert_awaited_once()
        self.assertEqual(self.ended, [])
        self.assertEqual(self.reported(), ["connections"])

    @run
    async def test_a_burst_of_refusals_searches_once_until_one_can_be_found(self):
        """A search of hundreds of connections for each refusal takes milliseconds."""
        await self.fill(0.0, 0.4, 0.1)
        searches = []
        search = connection_limit.unread_for_s
        with mock.patch.object(
            connection_limit,
            "unread_for_s",
            lambda client: searches.append(client) or search(client),
        ):
            for _ in range(5):
                self.assertFalse(await self.limit.admit(fake_client()))
            self.assertEqual(len(searches), 3)
            self.now_s += 0.11
            self.unread[self.clients[1]] = 0.51
            self.assertTrue(await self.limit.admit(fake_client()))
        self.assertEqual(self.ended, [self.clients[1]])

    @run
    async def test_connections_stay_within_the_limit_while_one_ends(self):
        """Admission before the close would exceed the descriptors in a burst."""
        await self.fill(0.0, 0.9, 0.0)
        with mock.patch.object(connection_limit, "stop_transfer", self.ended.append):
            self.assertFalse(await self.limit.admit(fake_client()))
            self.assertFalse(await self.limit.admit(fake_client()))
        self.assertEqual(self.ended, [self.clients[1]])
        self.limit.release(self.clients[1])
        self.assertTrue(await self.limit.admit(fake_client()))

    @run
    async def test_a_stop_while_room_is_made_loses_no_accepted_client(self):
        """A cancelled admission dropped the client without answer or refusal."""
        await self.fill(0.0, 0.9, 0.0)
        with mock.patch.object(connection_limit, "stop_transfer", self.ended.append):
            admitting = await curio.spawn(self.limit.admit, fake_client())
            while not self.ended:
                await curio.sleep(0)
            await admitting.cancel(blocking=False)
            self.limit.release(self.clients[1])
            self.assertTrue(await admitting.join())


class UnreadForTest(unittest.TestCase):
    @run
    async def test_time_starts_again_whenever_the_client_takes_bytes(self):
        """Callers that read slowly but steadily would be taken for stuck ones."""
        server = socket.create_server(("127.0.0.1", 0))
        client = await connect(server.getsockname())
        accepted = Socket(server.accept()[0])
        server.close()
        limit_unsent(accepted, BUFFER_BYTES)
        async with accepted, client:
            self.assertEqual(unread_for_s(accepted), 0.0)
            writing = await curio.spawn(accepted.sendall, ANSWER)
            while (before_s := unread_for_s(accepted)) < 0.2:
                await curio.sleep(POLL_S)
            received = len(await client.recv(len(ANSWER)))
            while unread_for_s(accepted) >= before_s:
                await curio.sleep(POLL_S / 10)
            while received < len(ANSWER):
                received += len(await client.recv(len(ANSWER)))
            await writing.join()
            while unread_for_s(accepted):
                await curio.sleep(POLL_S)


class FullServerTest(unittest.TestCase):
    """A server for callers with real connections, all of them taken."""

    @asynccontextmanager
    async def server(self, maximum, unread_s):
        self.may_answer = curio.Event()

        async def answer(req, conn):
            if req.path == "/call":
                await self.may_answer.wait()
            if req.path == "/none":
                raise RequestError(ErrorKind.UNKNOWN_ROUTE, "x" * BUFFER_BYTES)
            body = ANSWER if req.path == "/long" else b"served"
            await conn.send_complete(200, [], body)

        self.app = app = App(answer)
        limits = {"unsent_bytes": BUFFER_BYTES, "write_timeout_s": 60.0}
        app.settings.limits = app.settings.limits.model_copy(update=limits)
        reports = LimitReports(app.metrics, EventLog("limit"))
        server = CallerServer(
            lambda client: CallerConnection(client, app, reports),
            app.log,
            ConnectionLimit(maximum, "callers", reports, unread_s),
        )
        sock = Socket(socket.create_server(("127.0.0.1", 0)))
        await server.start(sock)
        yield sock.getsockname()
        await server.end_requests(1.0)

    @run
    async def test_unread_connection_makes_room_for_a_new_client(self):
        """Ordinary callers were refused until the write timeout."""
        async with self.server(2, 0.05) as address:
            idle, stuck = await connect(address), await connect(address)
            async with idle, stuck:
                self.assertIn(b" 200 ", await ask(idle))
                await stuck.sendall(LONG)
                while b" 200 " not in await ask_anew(address):
                    await curio.sleep(POLL_S)
                self.assertIn(b" 200 ", await ask(idle))
                with self.assertRaises(ConnectionResetError):
                    while await stuck.recv(len(ANSWER)):
                        pass
        self.assertIn('{limit="unread_when_full"} 1', self.app.metrics.render())

    @run
    async def test_pending_answers_of_pipelined_requests_make_room_too(self):
        """A connection that also reads no further must end in time to be replaced."""
        await self.assert_makes_room(LONG)

    @run
    async def test_unread_refusals_make_room_too(self):
        """Nothing reads beside the write of a refusal; the write itself must fail."""
        await self.assert_makes_room(NO_ROUTE)

    async def assert_makes_room(self, request):
        async with self.server(1, 0.05) as address:
            async with await connect(address) as stuck:
                sending = await curio.spawn(stuck.sendall, request * 10_000)
                while b" 200 " not in await ask_anew(address):
                    await curio.sleep(POLL_S)
                await sending.cancel()
        self.assertIn('{limit="unread_when_full"} 1', self.app.metrics.render())

    @run
    async def test_idle_connections_and_running_calls_are_kept(self):
        """They owe nothing to read, however long they last."""
        async with self.server(2, 0.001) as address:
            idle, calling = await connect(address), await connect(address)
            async with idle, calling:
                self.assertIn(b" 200 ", await ask(idle))
                call = await curio.spawn(ask, calling, CALL)
                for _ in range(10):
                    self.assertNotIn(b" 200 ", await ask_anew(address))
                    await curio.sleep(POLL_S)
                await self.may_answer.set()
                self.assertIn(b" 200 ", await call.join())
                self.assertIn(b" 200 ", await ask(idle))
        self.assertNotIn("unread_when_full", self.app.metrics.render())
