"""A server closed in its answer's head, and the answer counted as whole (MIXED)."""

import unittest

import curio

from tests.test_broken_stream import Sink
from tests.test_repeated_refusal import Server
from wisteriaarch.connection.upstream_pool import UpstreamPool
from wisteriaarch.platform.upstreams import PlatformUpstreams
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.upstreams import Upstream
from wisteriaarch.request.answer_relay import AnswerRelay
from wisteriaarch.request.attempt_failures import AttemptFailed
from wisteriaarch.request.exchange import Exchange
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.request.upstream_protocol import AttemptOptions
from wisteriaarch.version.route_table import CallKind, Route

TIMEOUT_S = 2.0
HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: c\r\nServer-Seal: s\r\n"
FRAMINGS = {
    "length": ("Content-Length: 20\r\n", b"id: 1\ndata: a\n\nid: 2"),
    "chunks": (
        "Transfer-Encoding: chunked\r\n",
        b"f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    ),
    "end of connection": ("", b"id: 1\ndata: a\n\n"),
}


class ClosingServer(Server):
    """Answers one request with the given bytes and closes the connection."""

    async def _serve(self, client, script):
        async with client:
            await client.recv(65536)
            await client.sendall(script[0])


class CutHeadTest(unittest.TestCase):
    """The caller gets nothing of an answer whose head isn't whole."""

    def relay(self, raw, kind):
        return curio.run(self.exchange, raw, kind)

    async def exchange(self, raw, kind):
        sink = Sink()
        async with ClosingServer([raw]) as server:
            route = Route("r", "h", "/", kind, (), 5.0, 1.0, resumable=False)
            now = now_s()
            call = RoutedCall("c", route, "s", "POST", "/", [], b"", now, now + 5)
            upstream = Upstream("u", "s", server.address, "z1", 1)
            pool, protocol = UpstreamPool(), PlatformUpstreams()
            try:
                async with Exchange(pool, protocol, call, upstream) as exchange:
                    req = protocol.run_request(call, upstream, AttemptOptions())
                    head = await exchange.send(req, TIMEOUT_S)
                    await AnswerRelay(call, sink).relay(head, exchange)
            except AttemptFailed:
                return sink, True
            finally:
                await pool.close()
        return sink, False

    def test_head_cut_at_any_byte_is_no_answer(self):
        for name, (framing, _body) in FRAMINGS.items():
            head = f"{HEAD}{framing}\r\n".encode()
            for kind in CallKind:
                for end in range(len(head)):
                    with self.subTest(framing=name, kind=kind, end=end):
                        sink, has_failed = self.relay(head[:end], kind)
                        self.assertTrue(has_failed)
                        self.assertEqual((sink.sent, sink.ended), (b"", False))

    def test_whole_head_without_a_whole_body_is_no_whole_answer(self):
        for name in ("length", "chunks"):
            framing, body = FRAMINGS[name]
            raw = f"{HEAD}{framing}\r\n".encode() + body
            head_bytes = len(raw) - len(body)
            for kind in CallKind:
                for end in range(head_bytes, len(raw)):
                    with self.subTest(framing=name, kind=kind, end=end):
                        sink, has_failed = self.relay(raw[:end], kind)
                        self.assertTrue(has_failed)
                        self.assertFalse(sink.ended)
                        if kind is not CallKind.STREAM:
                            self.assertEqual(sink.sent, b"")

    def test_whole_answer_is_passed_on(self):
        for name in ("chunks", "end of connection"):
            framing, body = FRAMINGS[name]
            for kind in CallKind:
                with self.subTest(framing=name, kind=kind):
                    raw = f"{HEAD}{framing}\r\n".encode() + body
                    sink, has_failed = self.relay(raw, kind)
                    self.assertFalse(has_failed)
                    self.assertIn(b"id: 1\ndata: a\n\n", sink.sent)

    def test_stream_without_events_is_no_whole_answer(self):
        raw = f"{HEAD}\r\n".encode()
        sink, has_failed = self.relay(raw, CallKind.STREAM)
        self.assertTrue(has_failed)
        self.assertEqual((sink.sent, sink.ended), (b"", False))
