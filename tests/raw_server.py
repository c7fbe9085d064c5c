"""Stand-in of a server that sends given bytes as its answer, for tests."""

import re
import socket
import time

from wisteriaarch.sockets import RESET_ON_CLOSE

from .threaded_server import ThreadedServer

HEAD_END = b"\r\n\r\n"
# Smaller than a long upload, so that its sender waits for the server to read on.
RECEIVE_BUFFER_BYTES = 16 * 1024


class RawServer(ThreadedServer):
    """Answers each request's head with ``answer``; a context manager.

    ``%b`` in the answer stands for the request's attempt id. With ``resets`` the
    connection is reset ``delay_s`` after that, else it is closed once the request's
    sender has closed its side or all of ``body_bytes`` was read.
    """

    def __init__(self, answer, resets=False, delay_s=0.05, body_bytes=0):
        super().__init__(RECEIVE_BUFFER_BYTES)
        self.answer = answer
        self.requests = 0
        self._resets = resets
        self._delay_s = delay_s
        self._body_bytes = body_bytes

    def _serve(self, client):
        received = b""
        while HEAD_END not in received:
            block = client.recv(1024)
            if not block:
                return
            received += block
        self.requests += 1
        found = re.search(rb"(?i)attempt-id: (\S+)", received)
        client.sendall(self.answer.replace(b"%b", found[1] if found else b"-"))
        if not self._resets:
            self._read_rest(client, received.partition(HEAD_END)[2])
            return
        time.sleep(self._delay_s)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def _read_rest(self, client, received):
        size = len(received)
        while size < self._body_bytes:
            size += len(client.recv(65536))
