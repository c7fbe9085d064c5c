"""Server side of HTTP/1.1 over a curio socket, parsed by h11.

Bodies are passed on as byte blocks: a block received in one read is relayed in one
write.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from io import BytesIO
from typing import Any

import curio
import h11
from curio import socket

from .errors import ConnectionClosed, ErrorKind, MemoryExhausted, RequestError
from .memory_budget import PROCESS_BUDGET, MemoryBudget, Reservation
from .read_turn import ReadTurn
from .sockets import stop_reading
from .wire import (
    READ_BYTES,
    STATUSES_WITHOUT_BODY,
    Headers,
    HttpRequest,
    decoded_header_list,
    decoded_headers,
    without_credential,
)

MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
HEAD_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
LINGER_TIMEOUT_S = 1.0
PIPELINED_MAX_BYTES = 64 * 1024
EXCERPT_CHARS = 120


@dataclass
class HttpServerConnection:
    """Server side of one accepted connection."""

    sock: Any
    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    _h11: h11.Connection = field(init=False)
    _declared_body_bytes: int = 0
    _expects_response_body: bool = True
    _chunked: bool = False
    _is_writing: bool = False
    _reading_stopped: bool = False
    _turn: ReadTurn = field(default_factory=ReadTurn)
    _budget: MemoryBudget = PROCESS_BUDGET

    def __post_init__(self):
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.max_head_bytes
        )

    async def read_head(self, timeout_s: float = HEAD_TIMEOUT_S) -> HttpRequest | None:
        """Read the next request head; None if the client closed or stayed idle.

        Raises RequestError for a malformed or oversized head.
        """
        self._expects_response_body = True
        try:
            async with curio.timeout_after(timeout_s):
                event = await self._next_event()
        except curio.TaskTimeout:
            return None
        except h11.RemoteProtocolError as exc:
            raise _malformed(exc, self.max_head_bytes) from exc
        except OSError:
            return None
        if not isinstance(event, h11.Request):
            return None
        self._expects_response_body = event.method != b"HEAD"
        req = _request_from_event(event)
        self._declared_body_bytes = int(req.headers.get("content-length", "0"))
        return req

    async def read_body(self, timeout_s: float = BODY_TIMEOUT_S) -> bytes:
        """Read the body; raises RequestError if it is malformed, slow or too large."""
        if self._declared_body_bytes > self.max_body_bytes:
            raise self._body_too_large(str(self._declared_body_bytes))
        reservation = Reservation(self._stop_reading)
        # Its end frees the memory, also where an exception still refers to the buffer.
        with BytesIO() as body:
            try:
                async with curio.timeout_after(timeout_s):
                    await self._receive_body(body, reservation)
            except curio.TaskTimeout as exc:
                raise RequestError(
                    ErrorKind.REQUEST_TIMEOUT,
                    "the request body did not arrive in time",
                    field="body",
                    value=f"{body.tell()} bytes after {timeout_s:g} s",
                    expected="the whole body",
                ) from exc
            except (h11.RemoteProtocolError, ConnectionClosed, MemoryExhausted) as exc:
                if reservation.is_revoked:
                    raise _no_memory() from exc
                if isinstance(exc, h11.RemoteProtocolError):
                    raise _malformed(exc, self.max_head_bytes) from exc
                raise
            finally:
                self._budget.release(reservation)
            return body.getvalue()

    async def _receive_body(self, body: BytesIO, reservation: Reservation) -> None:
        async for block in self._body_blocks():
            size = body.tell() + len(block)
            if size > self.max_body_bytes:
                raise self._body_too_large(f"at least {size}")
            await self._budget.resize(reservation, size)
            body.write(block)

    def _stop_reading(self) -> None:
        """Make a pending read return; an answer can still be sent."""
        self._reading_stopped = True
        stop_reading(self.sock)

    def _body_too_large(self, size: str) -> RequestError:
        return RequestError(
            ErrorKind.BODY_TOO_LARGE,
            "the request body is too large",
            field="body",
            value=f"{size} bytes",
            expected=f"at most {self.max_body_bytes} bytes",
        )

    async def _body_blocks(self) -> AsyncIterator[bytes]:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ConnectionClosed("the client closed before the end of the body")

    async def _next_event(self) -> Any:
        while True:
            if self._h11.they_are_waiting_for_100_continue:
                await self._send(h11.InformationalResponse(status_code=100, headers=[]))
            await self._turn.end_if_long()
            event = self._h11.next_event()
            self._turn.count_event()
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        await self._turn.end_if_long()
        data = await self.sock.recv(READ_BYTES)
        self._turn.count_read(len(data))
        return data

    async def _send(self, event: Any) -> None:
        data = self._h11.send(event)
        if data:
            await self._write(data)

    async def _write(self, data: bytes) -> None:
        self._is_writing = True
        await self.sock.sendall(data)
        self._is_writing = False

    async def send_response(
        self, status: int, headers: Headers, body: bytes = b""
    ) -> None:
        """Send a complete response in one write.

        The body of a response to HEAD is omitted. Its Content-Length is that of
        ``headers``, or else the length of the omitted body.
        """
        has_length = any(name.lower() == "content-length" for name, _value in headers)
        bodiless = status in STATUSES_WITHOUT_BODY or not (
            body or self._expects_response_body
        )
        if not has_length and not bodiless:
            headers = [*headers, ("Content-Length", str(len(body)))]
        parts = [self._h11.send(h11.Response(status_code=status, headers=headers))]
        if body and self._expects_response_body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        await self._write(b"".join(parts))

    async def send_head(self, status: int, headers: Headers) -> None:
        """Start a response whose body is sent in blocks with chunked encoding."""
        self._chunked = False
        await self._send(h11.Response(status_code=status, headers=headers))

    async def send_block(self, block: bytes) -> None:
        """Send one block of a started body; waits while the client reads slowly.

        If h11 frames the first block as a chunk, the following blocks bypass h11 and
        are framed here, since h11's state doesn't change between blocks.
        """
        if not block:
            return
        chunk = b"%x\r\n%b\r\n" % (len(block), block)
        if self._chunked:
            await self._write(chunk)
            return
        data = self._h11.send(h11.Data(data=block))
        self._chunked = data == chunk
        await self._write(data)

    async def end_body(self) -> None:
        """Mark a started body as complete."""
        self._chunked = False
        await self._send(h11.EndOfMessage())

    @property
    def is_head_sent(self) -> bool:
        """Whether a response was started for the current request."""
        return self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def is_write_cut(self) -> bool:
        """Whether a write was cut short, so that nothing may follow it."""
        return self._is_writing

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; False if the connection must be closed."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    async def wait_for_close(self) -> None:
        """Return once the client has closed its side; pipelined bytes are buffered.

        Never returns once a client has pipelined more than PIPELINED_MAX_BYTES.
        """
        pipelined_bytes = 0
        while pipelined_bytes <= PIPELINED_MAX_BYTES:
            data = await self._receive()
            if not data:
                return
            pipelined_bytes += len(data)
            self._h11.receive_data(data)
        await curio.Event().wait()

    async def linger(self) -> None:
        """Shut down the sending side, then discard input for up to LINGER_TIMEOUT_S.

        Closing a socket with unread bytes resets the connection, and the client could
        lose the answer.
        """
        async with curio.ignore_after(LINGER_TIMEOUT_S):
            await self.sock.shutdown(socket.SHUT_WR)
            while await self._receive():
                pass
            if self._reading_stopped:
                await curio.sleep(LINGER_TIMEOUT_S)


def _request_from_event(event: h11.Request) -> HttpRequest:
    headers = decoded_headers(event)
    if "transfer-encoding" in headers and "content-length" in headers:
        raise RequestError(
            ErrorKind.MALFORMED_REQUEST,
            "the body's length is given twice",
            field="Content-Length",
            value=headers["content-length"],
            expected="either Content-Length or Transfer-Encoding, not both",
        )
    return HttpRequest(
        event.method.decode("ascii"),
        event.target.decode("latin-1"),
        headers,
        header_list=decoded_header_list(event),
    )


def _no_memory() -> RequestError:
    return RequestError(
        ErrorKind.MEMORY_EXHAUSTED, "too many large requests arrive at the same time"
    )


def _malformed(exc: h11.RemoteProtocolError, max_head_bytes: int) -> RequestError:
    if exc.error_status_hint == 431:
        return RequestError(
            ErrorKind.HEAD_TOO_LARGE,
            "the request head is too large",
            field="head",
            value=f"more than {max_head_bytes} bytes",
            expected=f"at most {max_head_bytes} bytes",
        )
    excerpt = without_credential(str(exc))[:EXCERPT_CHARS]
    return RequestError(
        ErrorKind.MALFORMED_REQUEST,
        f"the request is malformed: {excerpt}",
        field="request",
        value=excerpt,
        expected="a message of HTTP/1.1 (RFC 9112)",
    )
