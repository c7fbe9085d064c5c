"""Server side of HTTP/1.1 over a curio socket, parsed by h11.

Bodies are passed on as byte blocks: a block received in one read is relayed in one
write.
"""

from dataclasses import dataclass, field
from io import BytesIO
from typing import Any

import curio
import h11
from curio import socket

from .client_socket import ClientSocket
from .errors import ConnectionClosed, ErrorKind, MemoryExhausted, RequestError
from .memory_budget import PROCESS_BUDGET, MemoryBudget, Reservation
from .process.limit_reports import ClientLimit
from .request_head import malformed, no_memory, request_from_event
from .wire import READ_BYTES, STATUSES_WITHOUT_BODY, Headers, HttpRequest

MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
HEAD_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
LINGER_TIMEOUT_S = 1.0
# What one read may take beyond the end of a head or of a chunked body.
SMALL_READ_BYTES = 16 * 1024


@dataclass
class HttpServerConnection:
    """Server side of one accepted connection.

    A context manager that gives the memory of the last body back at its end.
    """

    client: ClientSocket
    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    _h11: h11.Connection = field(init=False)
    _declared_body_bytes: int = 0
    _expects_response_body: bool = True
    _chunked: bool = False
    _is_writing: bool = False
    _read_bytes: int = SMALL_READ_BYTES
    _reservation: Reservation = field(init=False)
    _budget: MemoryBudget = PROCESS_BUDGET

    def __post_init__(self):
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.max_head_bytes
        )
        self._reservation = Reservation(self.client.stop_reading)

    def __enter__(self) -> "HttpServerConnection":
        return self

    def __exit__(self, *exc_info) -> None:
        self._budget.release(self._reservation)

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
            raise malformed(exc, self.max_head_bytes) from exc
        except OSError:
            return None
        if not isinstance(event, h11.Request):
            return None
        self._expects_response_body = event.method != b"HEAD"
        req = request_from_event(event)
        self._declared_body_bytes = int(req.headers.get("content-length", "0"))
        return req

    async def read_body(self, timeout_s: float = BODY_TIMEOUT_S) -> bytes:
        """Read the body; raises RequestError if it is malformed, slow or too large."""
        if self._declared_body_bytes > self.max_body_bytes:
            raise self._body_too_large(str(self._declared_body_bytes))
        # Its end frees the memory, also where an exception still refers to the buffer.
        with BytesIO() as body:
            try:
                async with curio.timeout_after(timeout_s):
                    await self._receive_body(body)
            except curio.TaskTimeout as exc:
                raise RequestError(
                    ErrorKind.REQUEST_TIMEOUT,
                    "the request body did not arrive in time",
                    field="body",
                    value=f"{body.tell()} bytes after {timeout_s:g} s",
                    expected="the whole body",
                ) from exc
            except (h11.RemoteProtocolError, ConnectionClosed, MemoryExhausted) as exc:
                if self._reservation.is_revoked:
                    self.client.on_limit(ClientLimit.MEMORY)
                    raise no_memory() from exc
                if isinstance(exc, h11.RemoteProtocolError):
                    raise malformed(exc, self.max_head_bytes) from exc
                raise
            finally:
                self._read_bytes = SMALL_READ_BYTES
                if not self._reservation.is_complete:
                    self._budget.release(self._reservation)
            return body.getvalue()

    async def _receive_body(self, body: BytesIO) -> None:
        self._choose_read_size(0)
        while (block := await self._next_block()) is not None:
            size = body.tell() + len(block)
            if size > self.max_body_bytes:
                raise self._body_too_large(f"at least {size}")
            await self._budget.resize(self._reservation, size)
            body.write(block)
            self._choose_read_size(size)
        # The body is held until the request ends, since it may be sent again.
        self._reservation.is_complete = True

    def _choose_read_size(self, received: int) -> None:
        missing = self._declared_body_bytes - received
        self._read_bytes = min(READ_BYTES, max(SMALL_READ_BYTES, missing))

    def _body_too_large(self, size: str) -> RequestError:
        return RequestError(
            ErrorKind.BODY_TOO_LARGE,
            "the request body is too large",
            field="body",
            value=f"{size} bytes",
            expected=f"at most {self.max_body_bytes} bytes",
        )

    async def _next_block(self) -> bytes | None:
        event = await self._next_event()
        if isinstance(event, h11.EndOfMessage):
            return None
        if not isinstance(event, h11.Data):
            raise ConnectionClosed("the client closed before the end of the body")
        return bytes(event.data)

    async def _next_event(self) -> Any:
        while True:
            if self._h11.they_are_waiting_for_100_continue:
                await self._send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.client.end_turn_if_long()
            event = self._h11.next_event()
            self.client.count_event()
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self.client.receive(self._read_bytes))

    async def _send(self, event: Any) -> None:
        data = self._h11.send(event)
        if data:
            await self._write(data)

    async def _write(self, data: bytes) -> None:
        self._is_writing = True
        await self.client.write(data)
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
        self._budget.release(self._reservation)
        return True

    async def wait_for_close(self) -> None:
        """Return once the client has closed its side; reads ahead meanwhile."""
        await self.client.read_ahead()

    async def linger(self) -> None:
        """Shut down the sending side, then discard input for up to LINGER_TIMEOUT_S.

        Closing a socket with unread bytes resets the connection, and the client could
        lose the answer.
        """
        async with curio.ignore_after(LINGER_TIMEOUT_S):
            await self.client.sock.shutdown(socket.SHUT_WR)
            await self.client.discard_input()
            if self.client.is_reading_stopped:
                await curio.sleep(LINGER_TIMEOUT_S)
