"""Scheduling messages over one socket; messages queued together share one write."""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, Self

import curio
from curio import socket

from ..errors import WisteriaError
from ..sockets import open_socket
from ..wire import Address
from .frames import FrameReader, encode_frame
from .scheduling_decoder import decode_message
from .scheduling_encoder import encode_message
from .scheduling_messages import Message

QUEUED_MESSAGES_MAX = 4096
# TCP closes a connection if sent data stays unacknowledged for this long, so that an
# unreachable peer doesn't hold it.
TCP_USER_TIMEOUT_MS = 3000


class MessageLink:
    """Sends and receives messages; ``write_queued`` must run for any to be sent.

    ``received`` are bytes that were read from the socket before.
    """

    def __init__(self, sock: Any, received: bytes = b""):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self._sock = sock
        self._frames = FrameReader(sock, received)
        self._queued: deque[bytes] = deque(maxlen=QUEUED_MESSAGES_MAX)
        self._wake = curio.Event()

    @classmethod
    async def connect(cls, address: Address, timeout_s: float) -> Self:
        """Open a connection; raises OSError if this fails or times out."""
        return cls(await open_socket(address, timeout_s))

    async def send(self, message: Message) -> None:
        """Queue a message without waiting for the peer.

        A full queue discards its oldest message.
        """
        self._queued.append(encode_frame(encode_message(message)))
        await self._wake.set()

    async def run(
        self,
        handle: Callable[[Message], Awaitable[None]],
        *others: Callable[[], Awaitable[None]],
    ) -> None:
        """Write queued messages and handle received ones until the connection ends.

        ``others`` are run concurrently and cancelled at the end. Raises FrameError,
        ConnectionClosed or OSError. When this method ends, no task uses the socket any
        more and it can be closed: closing a socket that a task is waiting on would
        crash curio's kernel.
        """
        errors: list[Exception] = []

        async def until_it_ends(main: Callable[[], Awaitable[None]]) -> None:
            try:
                await main()
            except (OSError, WisteriaError) as exc:
                errors.append(exc)

        async def handle_all() -> None:
            while True:
                await handle(await self.receive())

        async with curio.TaskGroup(wait=any) as group:
            for main in (handle_all, self.write_queued, *others):
                await group.spawn(until_it_ends, main)
        raise errors[0]

    async def write_queued(self) -> None:
        """Write queued messages forever; raises OSError."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            data = b"".join(self._queued)
            self._queued.clear()
            await self._sock.sendall(data)

    async def receive(self) -> Message:
        """Return the next message; raises FrameError, ConnectionClosed or OSError."""
        return decode_message(await self._frames.read())

    async def close(self) -> None:
        """Close the socket."""
        await self._sock.close()
