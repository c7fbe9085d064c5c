"""Stand-in of a server that sends given bytes as its answer, for tests."""

import contextlib
import re
import socket
import struct
import threading
import time

from wisteriaarch.wire import Address

HEAD_END = b"\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Smaller than a long upload, so that its sender waits for the server to read on.
RECEIVE_BUFFER_BYTES = 16 * 1024


class RawServer:
    """Answers each request's head with ``answer``; a context manager.

    ``%b`` in the answer stands for the request's attempt id. With ``resets`` the
    connection is reset ``delay_s`` after that, else it is closed once the request's
    sender has closed its side or all of ``body_bytes`` was read.
    """

    def __init__(self, answer, resets=False, delay_s=0.05, body_bytes=0):
        self.answer = answer
        self.requests = 0
        self._resets = resets
        self._delay_s = delay_s
        self._body_bytes = body_bytes
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(64)
        self.address = str(Address(*self._sock.getsockname()))

    def __enter__(self):
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc_info):
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _accept(self):
        while True:
            try:
                client, _address = self._sock.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        with client, contextlib.suppress(OSError):
            received = b""
            while HEAD_END not in received:
                block = client.recv(1024)
                if not block:
                    return
                received += block
            self.requests += 1
            found = re.search(rb"(?i)attempt-id: (\S+)", received)
            client.sendall(self.answer.replace(b"%b", found[1] if found else b"-"))
            if self._resets:
                time.sleep(self._delay_s)
                linger = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                client.setsockopt(*linger)
                return
            self._read_rest(client, received.partition(HEAD_END)[2])

    def _read_rest(self, client, received):
        size = len(received)
        while size < self._body_bytes:
            size += len(client.recv(65536))
