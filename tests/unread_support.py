"""Client that pipelines requests and reads no answers, for tests."""

import contextlib
import os
import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterator

from extras.cluster import Process

# A small receive buffer fills up with the first answers.
RECEIVE_BUFFER_BYTES = 4096
SEND_S = 8.0
SELECT_S = 0.1
SAMPLE_EVERY_S = 0.05
RequestBlocks = Callable[[int], Iterator[bytes]]


class UnreadClient:
    """Sends pipelined requests on many connections and reads none of the answers.

    ``blocks(number)`` yields what connection ``number`` sends. Ends by itself after
    SEND_S or once each connection has sent ``bytes_each``; the connections stay open
    until ``close``.
    """

    def __init__(self, address: str, count: int, bytes_each: int, blocks):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._bytes_each = bytes_each
        self._blocks: RequestBlocks = blocks
        self._socks: list[socket.socket] = []
        self._sent = 0
        self._selector = selectors.DefaultSelector()
        for number in range(count):
            self._connect(number)
        self._thread = threading.Thread(target=self._send_all, daemon=True)
        self._thread.start()

    @property
    def sent_bytes(self) -> int:
        """Number of bytes sent so far."""
        return self._sent

    @property
    def is_sending(self) -> bool:
        """Whether the client hasn't ended yet."""
        return self._thread.is_alive()

    def close(self) -> None:
        """Wait for the client's end, and close its connections."""
        self._thread.join()
        self._selector.close()
        for sock in self._socks:
            sock.close()

    def _connect(self, number: int) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect(self._address)
        self._socks.append(sock)
        state = _Sending(self._blocks(number), self._bytes_each)
        self._selector.register(sock, selectors.EVENT_WRITE, state)

    def _send_all(self) -> None:
        stop_at_s = time.monotonic() + SEND_S
        while self._selector.get_map() and time.monotonic() < stop_at_s:
            for key, _events in self._selector.select(SELECT_S):
                if not self._send_some(key.fileobj, key.data):
                    self._selector.unregister(key.fileobj)

    def _send_some(self, sock: socket.socket, state: "_Sending") -> bool:
        try:
            sent = sock.send(state.next_bytes())
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._sent += sent
        return state.advance(sent)


class _Sending:
    """What one connection sends."""

    def __init__(self, blocks: Iterator[bytes], bytes_left: int):
        self._blocks = blocks
        self._block = b""
        self._bytes_left = bytes_left

    def next_bytes(self) -> bytes:
        if not self._block:
            self._block = next(self._blocks)
        return self._block

    def advance(self, sent: int) -> bool:
        """Record what was sent; False once nothing more is to be sent."""
        self._block = self._block[sent:]
        self._bytes_left -= sent
        return self._bytes_left > 0


def open_descriptors(process: Process) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{process.popen.pid}/fd"))


def most_descriptors(process: Process, client: UnreadClient) -> int:
    """Return the most descriptors that a process had until the client's end."""
    most = open_descriptors(process)
    while client.is_sending:
        time.sleep(SAMPLE_EVERY_S)
        most = max(most, open_descriptors(process))
    return most
