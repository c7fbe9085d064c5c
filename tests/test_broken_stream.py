"""A stream broke off, and what came of the next server was no continuation."""

import unittest

import curio

from wisteriaarch.process.clock import now_s
from wisteriaarch.request.answer_relay import AnswerRelay
from wisteriaarch.request.attempt_failures import AttemptFailed
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.request.upstream_protocol import UpstreamHead
from wisteriaarch.version.route_table import CallKind, Route

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
STREAM_HEADERS = [("Content-Type", "text/event-stream")]


class Sink:
    def __init__(self):
        self.sent = b""
        self.ended = False

    async def send_complete(self, status, headers, body):
        self.sent += f"{status}".encode() + body

    async def start_stream(self, headers):
        pass

    async def send_block(self, block):
        self.sent += block

    async def end_stream(self):
        self.ended = True


class Answer:
    """Blocks of an answer's body; the connection breaks unless ``is_whole``."""

    def __init__(self, *blocks, is_whole=True):
        self._blocks = [
            *blocks,
            None if is_whole else AttemptFailed.nothing_sent("cut"),
        ]

    async def read_block(self):
        block = self._blocks.pop(0)
        if isinstance(block, AttemptFailed):
            raise block
        return block

    async def hold(self, _size):
        pass

    async def read_body(self):
        body = b""
        while (block := await self.read_block()) is not None:
            body += block
        return body


class BrokenStreamTest(unittest.TestCase):
    def setUp(self):
        route = Route("r", "h", "/", CallKind.STREAM, (), 5.0, 1.0, resumable=True)
        now = now_s()
        self.sink = Sink()
        call = RoutedCall("id", route, "s", "POST", "/", [], b"", now, now + 5)
        self.relay = AnswerRelay(call, self.sink)

    def answer(self, answer, status=200, headers=STREAM_HEADERS):
        """Relay one server's answer; return whether the attempt failed."""
        try:
            curio.run(self.relay.relay, UpstreamHead(status, headers), answer)
        except AttemptFailed:
            return True
        return False

    def break_off(self):
        self.assertTrue(self.answer(Answer(EVENTS, b"id: 3\nda", is_whole=False)))
        self.assertEqual(self.sink.sent, EVENTS)

    def assert_nothing_more(self):
        self.assertEqual(self.sink.sent, EVENTS)
        self.assertFalse(self.sink.ended)

    def test_error_of_the_next_server_is_no_part_of_the_stream(self):
        for status in (301, 400, 404, 500, 503):
            with self.subTest(status=status):
                self.setUp()
                self.break_off()
                self.assertTrue(self.answer(Answer(b"failed\n\n"), status=status))
                self.assert_nothing_more()

    def test_answer_that_is_no_stream_is_no_part_of_it(self):
        headers = [("Content-Type", "application/json")]
        self.break_off()
        self.assertTrue(self.answer(Answer(b'{"error": 1}\n\n'), headers=headers))
        self.assert_nothing_more()

    def test_empty_continuation_is_no_end_of_the_stream(self):
        self.break_off()
        self.assertTrue(self.answer(Answer()))
        self.assert_nothing_more()

    def test_head_in_the_middle_of_a_stream_is_no_event(self):
        head = b"HTTP/1.1 500 x\r\nContent-Length: 4\r\n\r\nno"
        for end in (b"", b"\n\n"):
            with self.subTest(end=end):
                self.setUp()
                self.assertTrue(self.answer(Answer(EVENTS, head + end)))
                self.assert_nothing_more()

    def test_stream_that_ends_inside_an_event_is_broken_off(self):
        """It may have neither a length nor chunks, and end with its connection."""
        self.assertTrue(self.answer(Answer(EVENTS, b"id: 3\ndata: c\n")))
        self.assert_nothing_more()

    def test_continuation_ends_the_stream(self):
        self.break_off()
        self.assertFalse(self.answer(Answer(b"id: 3\ndata: c\n\n")))
        self.assertTrue(self.sink.ended)
        self.assertEqual(self.sink.sent, EVENTS + b"id: 3\ndata: c\n\n")
