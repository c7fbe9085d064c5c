"""Connections to upstreams through another entry: the handshake and its bounds."""

import random
import unittest
from unittest import mock

import curio
from curio import socket

from wisteriaarch.connection.frames import FrameReader, encode_frame
from wisteriaarch.connection.relay_client import PEER_BACKOFF_S, RelayClient
from wisteriaarch.connection.relay_codec import (
    RELAY_MARK,
    RelayAnswer,
    RelayOutcome,
    decode_answer,
    decode_query,
    encode_answer,
    encode_query,
)
from wisteriaarch.connection.relay_server import RelayServer
from wisteriaarch.connection.upstream_connector import UpstreamConnector
from wisteriaarch.errors import FrameError, WisteriaError
from wisteriaarch.http_client import HttpClientConnection
from wisteriaarch.sockets import serve_clients
from wisteriaarch.wire import Address

HELLO = b"hello"


class RelayCodecTest(unittest.TestCase):
    def test_messages_survive_the_wire(self):
        address = Address("10.0.0.1", 80)
        self.assertEqual(decode_query(encode_query(address)), address)
        for outcome in RelayOutcome:
            answer = RelayAnswer(outcome, "why")
            self.assertEqual(decode_answer(encode_answer(answer)), answer)

    def test_malformed_ones_are_refused(self):
        for decode in (decode_query, decode_answer):
            for data in (b"", b"x", b"\xff" * 40):
                with self.subTest(data=data), self.assertRaises(FrameError):
                    decode(data)


class RelayTest(unittest.TestCase):
    """An upstream that says what it is sent, and an entry that relays to it."""

    async def echo(self, client):
        self.clients += 1
        while data := await client.recv(100):
            await client.sendall(data)
        self.closed += 1

    async def serve_peer(self, client):
        try:
            first = await self.server.serve_if_asked(client)
            self.others.append(first)
        except (OSError, WisteriaError) as exc:
            self.errors.append(exc)

    async def start(self, known=True):
        self.clients = self.closed = 0
        self.others, self.errors = [], []
        log = mock.Mock()
        upstream_sock = curio.tcp_server_socket("127.0.0.1", 0)
        self.upstream = Address(*upstream_sock.getsockname())
        addresses = [self.upstream] if known else []
        self.connector = UpstreamConnector(lambda: addresses, log)
        self.server = RelayServer(self.connector, log)
        peer_sock = curio.tcp_server_socket("127.0.0.1", 0)
        self.peer = Address(*peer_sock.getsockname())
        self.tasks = [
            await curio.spawn(serve_clients, upstream_sock, self.echo, log),
            await curio.spawn(serve_clients, peer_sock, self.serve_peer, log),
        ]
        self.client = RelayClient(lambda: [self.peer], random.Random(1))

    async def stop(self):
        for task in self.tasks:
            await task.cancel()

    def play(self, main, **options):
        async def run():
            await self.start(**options)
            try:
                await main()
            finally:
                await self.stop()

        curio.run(run)

    def test_bytes_pass_both_ways_and_the_end_is_passed_on(self):
        async def main():
            sock = await self.client.open_socket(self.upstream)
            async with sock:
                await sock.sendall(HELLO)
                self.assertEqual(await sock.recv(100), HELLO)
            await curio.sleep(0.1)
            self.assertEqual((self.clients, self.closed), (1, 1))

        self.play(main)

    def test_only_registered_upstreams_are_reached(self):
        async def main():
            with self.assertRaises(OSError):
                await self.client.open_socket(self.upstream)
            self.assertIsInstance(self.errors[0], FrameError)
            self.assertEqual(self.clients, 0)

        self.play(main, known=False)

    def test_entry_that_is_cut_off_itself_says_so_and_is_left_alone(self):
        async def main():
            self.connector.paths.is_cut_off = True
            with self.assertRaises(TimeoutError):
                await self.client.open_socket(self.upstream)
            self.connector.paths.is_cut_off = False
            with self.assertRaises(TimeoutError):
                await self.client.open_socket(self.upstream)
            self.assertEqual(self.clients, 0)
            await curio.sleep(PEER_BACKOFF_S + 0.05)
            async with await self.client.open_socket(self.upstream):
                pass

        self.play(main)

    def test_upstream_that_is_down_is_told_from_an_entry_that_cannot_tell(self):
        async def main():
            await self.tasks[0].cancel()
            with self.assertRaises(TimeoutError):
                await self.client.open_socket(self.upstream)
            await curio.sleep(PEER_BACKOFF_S + 0.05)
            self.connector.paths.record_answer(Address("10.0.0.9", 1))
            with self.assertRaises(ConnectionRefusedError):
                await self.client.open_socket(self.upstream)

        self.play(main)

    def test_other_connections_of_peers_keep_their_first_byte(self):
        async def main():
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            async with sock:
                await sock.connect((self.peer.host, self.peer.port))
                await sock.sendall(encode_frame(b"content"))
                await curio.sleep(0.1)
            self.assertEqual(self.others, [encode_frame(b"content")[:1]])
            self.assertNotEqual(self.others[0], RELAY_MARK)

        self.play(main)

    def test_first_byte_is_part_of_the_next_frame(self):
        async def main():
            data = encode_frame(b"content")
            sock = mock.Mock(recv=mock.AsyncMock(return_value=data[1:]))
            self.assertEqual(await FrameReader(sock, data[:1]).read(), b"content")

        self.play(main)

    def test_relayed_idle_connection_is_not_used_once_the_links_are_back(self):
        async def main():
            conn = HttpClientConnection(self.upstream, mock.Mock(), is_relayed=True)
            self.assertFalse(self.connector.is_usable(conn))
            self.connector.paths.is_cut_off = True
            self.assertTrue(self.connector.is_usable(conn))

        self.play(main)
