"""Stand-in of a server with a thread for each connection, for tests."""

import contextlib
import socket
import threading

from wisteriaarch.wire import Address


class ThreadedServer:
    """Accepts connections on a free port; ``_serve`` talks to each client.

    ``receive_bytes`` is the size of the sockets' receive buffers, the system's if None.
    """

    def __init__(self, receive_bytes=None):
        self._sock = socket.socket()
        if receive_bytes:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(256)
        self.address = str(Address(*self._sock.getsockname()))

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *exc_info):
        self.close()

    def start(self):
        """Accept connections until the server is closed."""
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                client, _address = self._sock.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(client,), daemon=True).start()

    def _run(self, client):
        with client, contextlib.suppress(OSError):
            self._serve(client)

    def _serve(self, client):
        """Talk to a client; its connection is closed afterwards."""

    def close(self):
        """Accept no further connections."""
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
