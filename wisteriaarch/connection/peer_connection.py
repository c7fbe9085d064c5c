"""Connection between two entries, with a time bound for each received message."""

from collections import OrderedDict
from typing import Any

import curio
from curio import socket

from ..process.clock import now_s
from ..process.digest import PeerDigest
from ..process.manifest_copy import ManifestCopy
from ..sockets import open_socket
from ..wire import Address
from .frames import LENGTH_BYTES, FrameReader, encode_frame
from .peer_codec import MessageKind, PeerMessage, decode_message, encode_message

SENT_TIMES_MAX = 8


class PeerConnection:
    """Messages over one socket; an async context manager that closes the socket.

    ``bytes_sent`` and ``bytes_received`` include the length prefixes of the frames.
    ``received`` are bytes that were read from the socket before.
    """

    def __init__(self, sock: Any, received: bytes = b""):
        self._sock = sock
        self._frames = FrameReader(sock, received)
        self._sequence = 0
        self._last_received = 0
        self._sent_at_s: OrderedDict[int, float] = OrderedDict()
        self.bytes_sent = 0
        self.bytes_received = 0

    @classmethod
    async def connect(cls, address: Address) -> "PeerConnection":
        """Open a connection; raises OSError if this fails or times out."""
        return cls(await open_socket(address))

    @classmethod
    def from_socket(cls, sock: Any, received: bytes = b"") -> "PeerConnection":
        """Return a connection over a connected socket."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(sock, received)

    async def __aenter__(self) -> "PeerConnection":
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the socket."""
        await self._sock.close()

    async def send(
        self,
        kind: MessageKind,
        digest: PeerDigest,
        manifest: ManifestCopy | None = None,
    ) -> None:
        """Send one message; raises OSError."""
        self._sequence += 1
        message = PeerMessage(
            kind, self._sequence, self._last_received, digest, manifest
        )
        content = encode_message(message)
        self._sent_at_s[self._sequence] = now_s()
        while len(self._sent_at_s) > SENT_TIMES_MAX:
            self._sent_at_s.popitem(last=False)
        frame = encode_frame(content)
        self.bytes_sent += len(frame)
        await self._sock.sendall(frame)

    async def receive(self, timeout_s: float) -> PeerMessage:
        """Return the next message.

        Raises FrameError for a malformed or oversized frame, ConnectionClosed if the
        peer closed the connection, TimeoutError after ``timeout_s``, or OSError.
        """
        try:
            async with curio.timeout_after(timeout_s):
                content = await self._frames.read()
        except curio.TaskTimeout as exc:
            raise TimeoutError("no message from the peer within the timeout") from exc
        message = decode_message(content)
        self._last_received = message.sequence
        self.bytes_received += LENGTH_BYTES + len(content)
        return message

    def written_after_s(self, message: PeerMessage) -> float | None:
        """Return a time after which ``message`` was written, by this entry's clock.

        It is the time when this entry sent the message that ``message`` echoes; None
        if that time is no longer recorded.
        """
        return self._sent_at_s.get(message.echo)
