"""Connections to upstreams: what may be used again after an answer."""

import unittest

import curio

from wisteriaarch.http_client import HttpClientConnection
from wisteriaarch.wire import Address

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class AnsweringSocket:
    """Socket that fails after some sent bytes, with an answer to receive."""

    def __init__(self, takes_bytes):
        self.takes_bytes = takes_bytes
        self.sent = b""

    async def sendall(self, data):
        self.sent += data[: self.takes_bytes]
        if len(data) > self.takes_bytes:
            raise BrokenPipeError("the server reads no further")

    async def recv(self, _size):
        return ANSWER


class EarlyAnswerTest(unittest.TestCase):
    """An upstream answers before it has read a long body, and reads the rest later."""

    def ask(self, takes_bytes):
        async def run():
            conn = HttpClientConnection(
                Address("127.0.0.1", 1), AnsweringSocket(takes_bytes)
            )
            try:
                await conn.send_request("POST", "/x", [], b"b" * 100_000)
            except OSError:
                self.assertLess(takes_bytes, 100_000)
            head = await conn.read_head()
            body = await conn.read_body()
            return head.status, body, conn.start_next_cycle()

        return curio.run(run)

    def test_connection_on_which_a_body_was_cut_is_not_used_again(self):
        self.assertEqual(self.ask(20_000), (200, b"ok", False))

    def test_connection_on_which_all_was_sent_is_used_again(self):
        self.assertEqual(self.ask(200_000), (200, b"ok", True))
