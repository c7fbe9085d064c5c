"""Heads of answers that break HTTP: no part of them reaches a caller."""

import time
import unittest

import curio

from extras.cluster import wait_until
from extras.gateway_cluster import (
    GatewayCluster,
    configuration,
    is_ready,
    route_row,
    server_row,
)
from wisteriaarch.errors import WireError
from wisteriaarch.http_client import HttpClientConnection
from wisteriaarch.wire import Address

from .gateway_support import RouteCluster
from .raw_server import RawServer

TIMEOUT_S = 5.0
ID = b"Attempt-Id: %b\r\nServer-Seal: s\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + ID
LENGTH = b"Content-Length: 2\r\n"
BODY = b"\r\nok"

ODD_STATUSES = {
    f"status {status}": b"HTTP/1.1 %d X\r\n" % status + ID + LENGTH + BODY
    for status in (600, 777, 999)
} | {
    f"status {status:03}": b"HTTP/1.1 %03d X\r\n" % status + ID + LENGTH + BODY
    for status in (0, 7, 99)
}
ODD_NAMES = {
    "blank in a name": OK + b"X Y: 1\r\n" + LENGTH + BODY,
    "blank before the colon": OK + b"X : 1\r\n" + LENGTH + BODY,
    "control byte in a name": OK + b"X\x01Y: 1\r\n" + LENGTH + BODY,
    "tab in a name": OK + b"X\tY: 1\r\n" + LENGTH + BODY,
    "NUL in a name": OK + b"X\x00Y: 1\r\n" + LENGTH + BODY,
    "empty name": OK + b": 1\r\n" + LENGTH + BODY,
    "blank before a name": OK + b" X: 1\r\n" + LENGTH + BODY,
    "tab before a name": OK + b"\tX: 1\r\n" + LENGTH + BODY,
    "line of a blank": OK + b" \r\n" + LENGTH + BODY,
    "blank before the length": OK + b" " + LENGTH + BODY,
    "blank before the first name": b"HTTP/1.1 200 OK\r\n " + ID + LENGTH + BODY,
    "blank before a name of an informational head": (
        b"HTTP/1.1 103 Early Hints\r\nA: b\r\n c: d\r\n\r\n" + OK + LENGTH + BODY
    ),
    "blank after a lone line feed": OK + b"A: b\n c: d\r\n" + LENGTH + BODY,
}
ODD_FRAMING = {
    "two framings": (
        OK + b"Transfer-Encoding: chunked\r\n" + LENGTH + b"\r\n2\r\nok\r\n0\r\n\r\n"
    ),
    "chunks in HTTP/1.0": (
        b"HTTP/1.0 200 OK\r\n" + ID + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "another version": b"HTTP/2.0 200 OK\r\n" + ID + LENGTH + BODY,
}
ODD_HEADS = ODD_STATUSES | ODD_NAMES | ODD_FRAMING
SOUND_HEADS = {
    "length": OK + LENGTH + BODY,
    "chunks": OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "blanks around a value": OK + b"A:  b c \t\r\n" + LENGTH + BODY,
    "informational head": b"HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + OK + LENGTH + BODY,
    "body that begins with a blank": OK + LENGTH + b"\r\n k",
    "status 599": b"HTTP/1.1 599 X\r\n" + ID + LENGTH + BODY,
    "no reason": b"HTTP/1.1 200\r\n" + ID + LENGTH + BODY,
}


class PieceSocket:
    """Socket that receives an answer in pieces of some bytes."""

    def __init__(self, answer, piece_bytes):
        self.answer = answer
        self.piece_bytes = piece_bytes

    async def sendall(self, _data):
        pass

    async def recv(self, _size):
        piece = self.answer[: self.piece_bytes]
        self.answer = self.answer[self.piece_bytes :]
        return piece


class ConnectionHeadTest(unittest.TestCase):
    PIECES_BYTES = (1, 2, 3, 7, 65536)

    def read(self, answer, piece_bytes):
        async def run():
            sock = PieceSocket(answer, piece_bytes)
            conn = HttpClientConnection(Address("127.0.0.1", 1), sock)
            await conn.send_request("GET", "/", [])
            await conn.read_head()
            return await conn.read_body()

        return curio.run(run)

    def test_odd_heads_are_refused_however_they_arrive(self):
        """Guards against heads with lines that are no fields, and odd statuses."""
        for name, answer in ODD_HEADS.items():
            for piece_bytes in self.PIECES_BYTES:
                with self.subTest(name, piece_bytes=piece_bytes):
                    with self.assertRaises(WireError):
                        self.read(answer, piece_bytes)

    def test_sound_heads_are_read_however_they_arrive(self):
        """Guards against rules that sound answers don't meet."""
        for name, answer in SOUND_HEADS.items():
            for piece_bytes in self.PIECES_BYTES:
                with self.subTest(name, piece_bytes=piece_bytes):
                    self.assertEqual(len(self.read(answer, piece_bytes)), 2)


class GatewayHeadTest(RouteCluster):
    """The same through a real entry, on routes for whole answers and streams."""

    KINDS = {"whole": "non_idempotent", "events": "stream"}
    EVENT = b"id: 1\ndata: x\n\n"

    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        routes = [
            route_row(name, f"/{name}/", kind, name)
            for name, kind in self.KINDS.items()
        ]
        content = configuration(routes=routes)
        content["services"] += [
            {"name": name, "health-path": "/health", "max-conns": 100}
            for name in self.KINDS
        ]
        self.cluster.start_store(content)
        self.server = self.enterContext(RawServer(b""))
        for name in self.KINDS:
            self.cluster.write("servers", name, server_row(self.server, name))
        self.entry = self.cluster.start_gateway()
        wait_until(lambda: is_ready(self.entry))
        for name in self.KINDS:
            wait_until(lambda name=name: self.ask_server(name, OK + LENGTH) == 200)

    def ask_server(self, service, head):
        """Return the status of a request that the server answers with a head."""
        requests = self.server.requests
        body = self.EVENT if service == "events" else b"ok"
        head = head.removesuffix(BODY)
        self.server.answer = head.replace(LENGTH, b"") + b"\r\n" + body
        if LENGTH in head:
            length = b"Content-Length: %d\r\n" % len(body)
            self.server.answer = head.replace(LENGTH, length) + b"\r\n" + body
        until_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < until_s:
            answer = self.ask("POST", f"/{service}/x", f"{until_s}", self.entry, b"{}")
            if self.server.requests > requests:
                return answer.status
        return None

    def test_odd_heads_are_no_success(self):
        """Guards against an answer that isn't the server's."""
        for service in self.KINDS:
            for name, answer in ODD_HEADS.items():
                with self.subTest(name, service=service):
                    self.assertEqual(self.ask_server(service, answer), 502)


if __name__ == "__main__":
    unittest.main()
