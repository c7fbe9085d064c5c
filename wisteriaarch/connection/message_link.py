"""Messages over one socket; those sent at the same time go out in one write."""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, Self

import curio
from curio import socket

from ..errors import WisteriaError
from ..sockets import open_socket
from ..wire import Address
from .frames import FrameReader, to_frame
from .scheduling_decoder import decode_message
from .scheduling_encoder import encode_message
from .scheduling_messages import Message

QUEUED_MAX = 4096
# A peer that is cut off must not hold a connection for longer.
UNACKNOWLEDGED_MAX_MS = 3000


class MessageLink:
    """Sends and receives messages; ``write_queued`` must run for what is sent."""

    def __init__(self, sock: Any):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS
        )
        self._sock = sock
        self._frames = FrameReader(sock)
        self._queued: deque[bytes] = deque(maxlen=QUEUED_MAX)
        self._wake = curio.Event()

    @classmethod
    async def connect(cls, address: Address, timeout_s: float) -> Self:
        """Open a connection; raises OSError when it can't be opened in time."""
        return cls(await open_socket(address, timeout_s))

    async def send(self, message: Message) -> None:
        """Queue a message; never waits for the peer."""
        self._queued.append(to_frame(encode_message(message)))
        await self._wake.set()

    async def run(
        self,
        handle: Callable[[Message], Awaitable[None]],
        *others: Callable[[], Awaitable[None]],
    ) -> None:
        """Write what is queued and handle what comes, until the connection ends.

        ``others`` run as long. Raises FrameError, ConnectionClosed or OSError. No task
        uses the socket any more when this returns, so that it can be closed: closing
        one that a task waits for would end curio's kernel.
        """
        ended: list[Exception] = []

        async def until_it_ends(main: Callable[[], Awaitable[None]]) -> None:
            try:
                await main()
            except (OSError, WisteriaError) as exc:
                ended.append(exc)

        async def handle_all() -> None:
            while True:
                await handle(await self.receive())

        async with curio.TaskGroup(wait=any) as group:
            for main in (handle_all, self.write_queued, *others):
                await group.spawn(until_it_ends, main)
        raise ended[0]

    async def write_queued(self) -> None:
        """Write what is queued, for ever; raises OSError."""
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
