"""Client side of HTTP/1.1 over a curio socket, parsed by h11."""

import select
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from io import BytesIO
from typing import Any

import h11

from .errors import ConnectionClosed, MemoryExhausted, WireError
from .memory_budget import PROCESS_BUDGET, MemoryBudget, Reservation
from .read_turn import ReadTurn
from .response_rules import (
    check_head,
    check_head_lines,
    ends_with_connection,
    response_from_event,
)
from .sockets import CONNECT_TIMEOUT_S, open_socket, stop_reading
from .wire import READ_BYTES, Address, Headers, HttpResponse

# Bounds of a response that is read completely into memory.
BODY_MAX_BYTES = 16 * 1024 * 1024
INFORMATIONAL_MAX = 16
# Events of one read that are returned as one block.
BLOCK_EVENTS_MAX = 64
REQUEST_IDS_MAX = 64
# States of the server in which the head of an answer is read.
HEAD_STATES = (h11.IDLE, h11.SEND_RESPONSE)


@dataclass
class HttpClientConnection:
    """Client side of one connection; an async context manager that closes it.

    With ``is_relayed`` it leads through another entry. ``is_reused`` is true from its
    second request on. ``request_ids`` are ids of the last requests sent on it, as far
    as its owner records them.
    """

    address: Address
    sock: Any = None
    has_sent_bytes: bool = False
    is_reused: bool = False
    is_relayed: bool = False
    request_ids: deque[str] = field(
        default_factory=partial(deque, maxlen=REQUEST_IDS_MAX)
    )
    _is_send_complete: bool = True
    _method: str = ""
    _head_checked_bytes: int = 0
    _h11: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    _next_parsed_event: Any = None
    _turn: ReadTurn = field(default_factory=ReadTurn)
    _budget: MemoryBudget = PROCESS_BUDGET
    _reservation: Reservation = field(init=False)

    def __post_init__(self):
        self._reservation = Reservation(lambda: stop_reading(self.sock))

    @classmethod
    async def connect(
        cls, address: Address, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> "HttpClientConnection":
        """Open a connection; raises OSError on failure or time-out."""
        return cls(address, await open_socket(address, timeout_s))

    async def __aenter__(self) -> "HttpClientConnection":
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the socket; bytes not yet delivered may be lost."""
        self._budget.release(self._reservation)
        await self.sock.close()

    async def hold(self, size: int) -> None:
        """Account for ``size`` bytes of the answer that are kept in memory.

        Raises MemoryExhausted if the answer must be given up.
        """
        await self._budget.resize(self._reservation, size)

    async def send_request(
        self, method: str, target: str, headers: Headers, body: bytes = b""
    ) -> None:
        """Send a complete request, in one write unless it is long."""
        head = self._request_head(method, target, headers, len(body))
        await self._send_remainder(self._h11.send(head), *self._body_parts(body))

    async def send_request_head(
        self, method: str, target: str, headers: Headers, body_bytes: int
    ) -> None:
        """Send only the head with ``Expect: 100-continue``; the body follows later."""
        headers = [*headers, ("Expect", "100-continue")]
        head = self._request_head(method, target, headers, body_bytes)
        await self.sock.sendall(self._h11.send(head))

    async def wait_for_continue(self) -> bool:
        """Return True on a 100 response; False if the final response came instead."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                return event.status_code == 100
            if isinstance(event, h11.Response):
                self._early_response = event
                return False
            raise ConnectionClosed("the server closed before it asked for the body")

    async def send_request_body(self, body: bytes) -> None:
        """Send the body of a request opened by ``send_request_head``."""
        await self._send_remainder(*self._body_parts(body))

    def _body_parts(self, body: bytes) -> list[bytes]:
        data = h11.Data(data=body)
        parts = self._h11.send_with_data_passthrough(data) if body else []
        return [*parts, self._h11.send(h11.EndOfMessage())]

    async def _send_remainder(self, *parts: bytes) -> None:
        """Send the last bytes of a request; a long body isn't copied.

        If the write is interrupted, the server still expects the rest, and the
        connection can't be reused.
        """
        self.has_sent_bytes = True
        self._is_send_complete = False
        if sum(map(len, parts)) <= READ_BYTES:
            parts = (b"".join(parts),)
        for part in parts:
            await self.sock.sendall(part)
        self._is_send_complete = True

    def _request_head(
        self, method: str, target: str, headers: Headers, body_bytes: int
    ) -> h11.Request:
        self._method = method
        all_headers = list(headers)
        if not any(name.lower() == "host" for name, _value in headers):
            all_headers.insert(0, ("Host", str(self.address)))
        if body_bytes or method in ("POST", "PUT"):
            all_headers.append(("Content-Length", str(body_bytes)))
        return h11.Request(method=method, target=target, headers=all_headers)

    async def read_head(self) -> HttpResponse:
        """Read the final response head.

        Raises WireError if the server closes early, or if the end of the body would
        not be recognized.
        """
        for _ in range(INFORMATIONAL_MAX):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                head = response_from_event(event)
                if ends_with_connection(self._method, head):
                    self._check_close_is_regular()
                return head
            if isinstance(event, h11.InformationalResponse):
                continue
            raise ConnectionClosed("the server closed before its response")
        raise WireError(f"more than {INFORMATIONAL_MAX} informational responses")

    async def read_block(self) -> bytes | None:
        """Return the received part of the body, or None at its end.

        Waits until data is available; reads at most once from the socket.
        """
        event = await self._next_event()
        if type(event) is h11.EndOfMessage:
            return None
        if type(event) is not h11.Data:
            raise ConnectionClosed("the server closed before the end of the body")
        block = bytes(event.data)
        for _ in range(BLOCK_EVENTS_MAX):
            self._turn.count_event()
            self._next_parsed_event = self._parse_buffered_event()
            if type(self._next_parsed_event) is not h11.Data:
                break
            block += self._next_parsed_event.data
            self._next_parsed_event = None
        return block

    def _parse_buffered_event(self) -> Any:
        """Return the next event; None for a protocol error, which is raised later."""
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError:
            return None

    async def read_body(self, max_bytes: int = BODY_MAX_BYTES) -> bytes:
        """Read the rest of the body; raises WireError above ``max_bytes``."""
        # Its end frees the memory, also where an exception still refers to the buffer.
        with BytesIO() as body:
            while (block := await self.read_block()) is not None:
                size = body.tell() + len(block)
                if size > max_bytes:
                    raise WireError(f"the body is longer than {max_bytes} bytes")
                await self.hold(size)
                body.write(block)
            self._reservation.is_complete = True
            return body.getvalue()

    async def skip_body(self, max_bytes: int) -> None:
        """Discard the rest of the body; raises WireError above ``max_bytes``."""
        size = 0
        while (block := await self.read_block()) is not None:
            size += len(block)
            if size > max_bytes:
                raise WireError(f"the body is longer than {max_bytes} bytes")

    async def _next_event(self) -> Any:
        await self._turn.end_if_long()
        event, self._next_parsed_event = self._next_parsed_event, None
        try:
            event = event or self._parse_event()
            while event is h11.NEED_DATA:
                await self._receive()
                event = self._parse_event()
            return event
        except h11.RemoteProtocolError as exc:
            raise WireError(f"the server broke HTTP: {exc}") from exc
        except OSError as exc:
            raise ConnectionClosed(f"the connection failed: {exc}") from exc

    def _parse_event(self) -> Any:
        """Return the next event; raises WireError for an invalid head."""
        if self._h11.their_state not in HEAD_STATES:
            return self._h11.next_event()
        received = self._h11.trailing_data[0]
        self._head_checked_bytes = check_head_lines(received, self._head_checked_bytes)
        event = self._h11.next_event()
        if isinstance(event, h11.Response | h11.InformationalResponse):
            check_head(event)
        return event

    async def _receive(self) -> None:
        await self._turn.end_if_long()
        data = await self.sock.recv(READ_BYTES)
        if not data:
            self._check_close_is_regular()
        self._turn.count_read(len(data))
        self._h11.receive_data(data)

    def _check_close_is_regular(self) -> None:
        """Raise WireError if the connection's end says nothing about a message's end.

        The kernel reports a reset once, and reads then return no bytes, as they do
        after a regular close: a failed write has taken the reset's place.
        """
        if self._reservation.is_revoked:
            raise MemoryExhausted("reading was ended for lack of memory")
        if not self._is_send_complete:
            raise ConnectionClosed("the connection failed while the request was sent")
        if self.is_relayed:
            raise ConnectionClosed("the end of a relayed connection marks no end")

    def skip_foreign_response(self, method: str) -> None:
        """Discard the response just read, which belongs to an earlier request.

        The following bytes on the connection are then parsed as the response to the
        current request.
        """
        arrived, _closed = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT)
        self._h11.send(self._request_head(method, "/", [], 0))
        self._h11.send(h11.EndOfMessage())
        self._next_parsed_event = None
        self._head_checked_bytes = 0
        if arrived:
            self._h11.receive_data(arrived)

    def has_unexpected_input(self) -> bool:
        """Whether the server closed the idle connection or sent unrequested bytes."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def start_next_cycle(self) -> bool:
        """Prepare for another request; False if the connection must be closed.

        It must be closed if the request was not sent completely: a server that answered
        before it received a long body still expects the rest of it.
        """
        if not self._is_send_complete:
            return False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        if self._h11.trailing_data[0]:
            return False
        self._h11.start_next_cycle()
        self._budget.release(self._reservation)
        self._next_parsed_event = None
        self.has_sent_bytes = False
        self.is_reused = True
        return True
