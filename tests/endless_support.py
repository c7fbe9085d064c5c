"""Stand-in of a faulty server, which sends bytes without end, for tests."""

import re
import select
import socket
import threading
from pathlib import Path

from .threaded_server import ThreadedServer

# The smallest machines have 160 MB.
PEAK_MAX_KB = 150 * 1024
BLOCK = b"x" * 65536
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nServer-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FOREIGN = HEAD.replace(b"%b", b"another")
HUGE = b"Content-Length: 999999999999\r\n\r\n"

# What each faulty server sends at first, and then again and again.
WAYS = {
    "head": (HEAD, b"A: " + b"x" * 4096 + b"\r\n"),
    "line": (b"HTTP/1.1 200 ", BLOCK),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 64),
    "until-close": (HEAD + b"\r\n", BLOCK),
    "length": (HEAD + HUGE, BLOCK),
    "chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "small-chunks": (CHUNKED, b"2\r\nxx\r\n" * 4096),
    "extension": (CHUNKED + b"1;", BLOCK),
    "trailer": (CHUNKED + b"0\r\n", b"A: " + b"x" * 4096 + b"\r\n"),
    "not-found": (HEAD.replace(b"200 OK", b"404 No") + HUGE, BLOCK),
    "no-content": (HEAD.replace(b"200 OK", b"204 No") + b"\r\n", BLOCK),
    "foreign": (FOREIGN + HUGE, BLOCK),
    "single-bytes": (HEAD + HUGE, b"x"),
    "event": (HEAD + b"\r\ndata: ", BLOCK),
    "event-lines": (HEAD + b"\r\n", b"data: x\n" * 8192),
}
STREAMED = ("event", "event-lines")


class EndlessServer(ThreadedServer):
    """Answers calls without end; ``open`` counts those whose connection isn't closed.

    All other requests are passed on to the address ``sound``, if there is one.
    """

    def __init__(self, way, sound=None):
        super().__init__()
        self.way = way
        self.sound = sound
        self.accepted = self.open = 0
        self._lock = threading.Lock()
        self.start()

    def _serve(self, client):
        head = client.recv(65536)
        if self.sound and b"/completions" not in head:
            self._pass_on(client, head)
        elif head:
            self._answer(client, head)

    def _pass_on(self, client, head):
        with socket.create_connection(self.sound) as server:
            server.sendall(head)
            ends = {client: server, server: client}
            while True:
                for source in select.select(list(ends), [], [])[0]:
                    block = source.recv(65536)
                    if not block:
                        return
                    ends[source].sendall(block)

    def _answer(self, client, head):
        self._count(1)
        try:
            beginning, block = WAYS[self.way]
            found = re.search(rb"(?i)attempt-id: (\S+)", head)
            client.sendall(beginning.replace(b"%b", found[1] if found else b"-"))
            while True:
                client.sendall(block)
        finally:
            self._count(-1)

    def _count(self, change):
        with self._lock:
            self.open += change
            self.accepted += change > 0


def peak_kb(process) -> int:
    """Return the largest resident memory that a process has had."""
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status)[1])
