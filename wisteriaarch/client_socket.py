"""Socket of a client that may send without end and read no answers.

Reads ahead of the current request are bounded, and so is the time for which a write
waits for the client to read.
"""

import select
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import curio

from .errors import AnswerUnread
from .process.limit_reports import ClientLimit
from .read_turn import ReadTurn
from .sockets import reset_on_close, stop_reading
from .wire import READ_BYTES

PIPELINED_BYTES = 32 * 1024
WRITE_TIMEOUT_S = 5.0
# The interval at which a connection that isn't read any more is checked for its end.
HANGUP_POLL_S = 0.2
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def ignore_limit(_limit: ClientLimit) -> None:
    """Take no notice of a limit that took effect."""


@dataclass
class ClientSocket:
    """Socket of one client.

    At most ``pipelined_bytes`` are read ahead; the client can't send more until they
    are taken. A write fails if the client takes none of it for ``write_timeout_s``.
    ``on_limit`` is called when one of the two takes effect.
    """

    sock: Any
    pipelined_bytes: int = PIPELINED_BYTES
    write_timeout_s: float = WRITE_TIMEOUT_S
    on_limit: Callable[[ClientLimit], None] = ignore_limit
    is_reading_stopped: bool = False
    _ahead: bytearray = field(default_factory=bytearray)
    _is_full: bool = False
    _turn: ReadTurn = field(default_factory=ReadTurn)

    def count_event(self) -> None:
        """Count a parsed event as work of this reader."""
        self._turn.count_event()

    async def end_turn_if_long(self) -> None:
        """Let other tasks run if this reader did much."""
        await self._turn.end_if_long()

    async def receive(self, size: int = READ_BYTES) -> bytes:
        """Return what was read ahead, or else read at most ``size`` bytes."""
        if not self._ahead:
            return await self._read(size)
        data = bytes(self._ahead)
        self._ahead.clear()
        self._is_full = False
        return data

    async def read_ahead(self) -> None:
        """Return once the client has closed its side; reads ahead meanwhile."""
        while room := self.pipelined_bytes - len(self._ahead):
            data = await self._read(min(room, READ_BYTES))
            if not data:
                return
            self._ahead += data
        if not self._is_full:
            self._is_full = True
            self.on_limit(ClientLimit.PIPELINED)
        await self._wait_for_hangup()

    async def discard_input(self) -> None:
        """Read and discard until the client closes its side."""
        while await self._read(READ_BYTES):
            pass

    async def _read(self, size: int) -> bytes:
        await self._turn.end_if_long()
        data = await self.sock.recv(size)
        self._turn.count_read(len(data))
        return data

    async def _wait_for_hangup(self) -> None:
        """Return once the client has closed its side, which unread input hides."""
        poll = select.poll()
        poll.register(self.sock.fileno(), HANGUP_EVENTS)
        while not poll.poll(0):
            await curio.sleep(HANGUP_POLL_S)

    async def write(self, data: bytes) -> None:
        """Send all of ``data``; raises AnswerUnread if the client doesn't take it."""
        with memoryview(data) as view:
            sent = 0
            while sent < len(view):
                sent += self._send_now(view[sent:]) or await self._send(view[sent:])

    def _send_now(self, view: memoryview) -> int:
        # Without a timer, which costs more than the write where the client reads.
        try:
            return self.sock._socket.send(view)
        except BlockingIOError:
            return 0

    async def _send(self, view: memoryview) -> int:
        try:
            async with curio.timeout_after(self.write_timeout_s):
                return await self.sock.send(view)
        except curio.TaskTimeout as exc:
            # The kernel would else keep what wasn't read.
            reset_on_close(self.sock)
            self.on_limit(ClientLimit.UNREAD)
            raise AnswerUnread("the client doesn't read its answer") from exc

    def stop_reading(self) -> None:
        """Make a pending read return; an answer can still be sent."""
        self.is_reading_stopped = True
        stop_reading(self.sock)
