"""Connection to one caller: reads requests, runs them and writes the answers."""

import contextlib
import json
from dataclasses import dataclass

import curio
from curio import socket

from ..errors import ANSWERS, ErrorKind, Ran, RequestError, cut_error
from ..events import Event
from ..http_server import BODY_TIMEOUT_S, HttpServerConnection
from ..process.clock import now_s
from ..process.limit_reports import ClientLimit, LimitReports
from ..process.metrics import Count, Duration
from ..wire import Headers, HttpRequest
from .connection_limit import bounded_socket
from .problem import PROBLEM_HEADERS, problem_content

CLOSE_HEADER = ("Connection", "close")
JSON_HEADERS = [("Content-Type", "application/json")]
CLOSING_TIMEOUT_S = 0.5
BODY_TIMEOUT_MIN_S = 0.05
READ_WAIT = "READ_WAIT"
EVENT_END = b"\n\n"


@dataclass(frozen=True)
class AnswerForm:
    """Format of error answers.

    ``retry_after_decimals`` is the number of decimal places in the Retry-After header.
    With ``error_events``, a stream that has started gets an event with the error.
    """

    retry_after_decimals: int = 0
    error_events: bool = True


class CallerConnection:
    """Serves one connection and is the sink for its answers.

    ``request_id`` is the id of the current request; empty if the caller names none and
    the handler hasn't set one.
    """

    def __init__(self, sock, app, reports: LimitReports):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        limits = app.settings.limits
        self._app = app
        self._reports = reports
        self._metrics = app.metrics
        self.request_id = ""
        self._started_at_s = 0.0
        self._last_block_at_s: float | None = None
        self._tokens = 0
        self._between_tokens = app.metrics.recorder(Duration.BETWEEN_TOKENS)
        self._task: curio.Task | None = None
        self._handler_task: curio.Task | None = None
        self._path = ""
        self._idle = False
        self._reading_body = False
        self._is_cut = False
        self._idle_timeout_s = limits.idle_timeout_s
        self._conn = HttpServerConnection(
            bounded_socket(sock, limits, self._report_limit),
            max_head_bytes=limits.head_bytes,
            max_body_bytes=limits.body_bytes,
        )

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        self._task = await curio.current_task()
        with contextlib.suppress(OSError), self._conn:
            while await self._serve_one():
                pass

    async def close_when_idle(self) -> None:
        """End the connection unless its next request arrives within CLOSING_TIMEOUT_S.

        Does nothing while a request is being answered.
        """
        if self._idle and self._task is not None and self._task.state == READ_WAIT:
            await self._task.cancel(blocking=False)

    async def end_request(self) -> None:
        """End the open request with an error; an answer that has begun is cut.

        Does nothing if no request is open.
        """
        task = self._task if self._reading_body else self._handler_task
        if task is None or task.terminated:
            return
        self._record_cut()
        await task.cancel(blocking=False)

    async def _serve_one(self) -> bool:
        self.request_id = self._path = ""
        try:
            req = await self._read_head()
            if req is None:
                return False
            self.request_id = self._app.request_id(req)
            self._path = req.path
            req.body = await self._read_body()
        except RequestError as exc:
            await self._refuse(exc)
            await self._conn.linger()
            return False
        self._started_at_s = now_s()
        self._last_block_at_s = None
        try:
            await self._answer_unless_closed(req)
        finally:
            self._metrics.count(Count.TOKENS_RELAYED, amount=self._tokens)
            self._tokens = 0
        return self._conn.start_next_cycle()

    async def _read_head(self) -> HttpRequest | None:
        self._idle = not self._app.closing
        timeout_s = self._idle_timeout_s if self._idle else CLOSING_TIMEOUT_S
        try:
            return await self._conn.read_head(timeout_s)
        except curio.TaskCancelled:
            if not self._app.closing:
                raise
            self._task.cancelled = False
        finally:
            self._idle = False
        # A request already in transit when the entry stops still gets an answer.
        return await self._conn.read_head(CLOSING_TIMEOUT_S)

    async def _read_body(self) -> bytes:
        left_s = max(BODY_TIMEOUT_MIN_S, self._app.time_left_s())
        self._reading_body = True
        try:
            return await self._conn.read_body(min(BODY_TIMEOUT_S, left_s))
        except curio.TaskCancelled as exc:
            if not self._is_cut:
                self._record_cut()
                raise
            self._task.cancelled = False
            raise cut_error(Ran.NO) from exc
        except RequestError as exc:
            if left_s < BODY_TIMEOUT_S and exc.kind is ErrorKind.REQUEST_TIMEOUT:
                raise cut_error(Ran.NO) from exc
            raise
        finally:
            self._reading_body = False

    async def _answer_unless_closed(self, req: HttpRequest) -> None:
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._conn.wait_for_close)
                handler_task = await group.spawn(self._handle, req)
                self._handler_task = handler_task
        except curio.TaskCancelled:
            self._record_cut()
            raise
        finally:
            self._handler_task = None
        if group.completed is not handler_task:
            self._record_disconnect("closed")
            raise ConnectionError("the caller closed the connection")
        error = handler_task.exception or handler_task.result
        if error is not None:
            await self._answer_failure(error)

    async def _handle(self, req: HttpRequest) -> OSError | RequestError | None:
        # Returns these errors instead of raising them: curio prints a stack trace for
        # a task that raises, and a refused request is a normal outcome.
        try:
            await self._app.handle(req, self)
        except (OSError, RequestError) as exc:
            return exc
        return None

    async def _answer_failure(self, exc: BaseException) -> None:
        if isinstance(exc, OSError):
            self._record_disconnect(repr(exc))
            raise exc
        if not isinstance(exc, RequestError):
            exc = self._record_failure(exc)
        await self._refuse(exc)

    def _record_failure(self, exc: BaseException) -> RequestError:
        if isinstance(exc, curio.TaskCancelled):
            self._record_cut()
            return cut_error(Ran.UNKNOWN)
        self._write_log(Event.INTERNAL_ERROR, error=repr(exc))
        return RequestError(ErrorKind.INTERNAL, "the entry failed", ran=Ran.UNKNOWN)

    def _record_cut(self) -> None:
        if self._is_cut:
            return
        self._is_cut = True
        self._write_log(Event.REQUEST_CUT, phase=self._phase())

    def _report_limit(self, limit: ClientLimit) -> None:
        self._reports.report(
            limit, server="callers", request=self.request_id, path=self._path
        )

    def _phase(self) -> str:
        if self._reading_body:
            return "reading"
        return "answering" if self._conn.is_head_sent else "waiting"

    def _write_log(self, event: Event, **fields: str) -> None:
        self._app.log.write(event, request=self.request_id, path=self._path, **fields)

    def _record_disconnect(self, detail: str) -> None:
        self._write_log(Event.REQUEST_CANCELLED, detail=detail)
        self._metrics.count(Count.REQUESTS_CANCELLED)

    async def _refuse(self, exc: RequestError) -> None:
        self._write_log(
            Event.REQUEST_REFUSED,
            kind=exc.kind.value,
            ran=exc.ran.value,
            detail=exc.detail,
        )
        self._metrics.count(Count.REQUESTS_REFUSED, exc.kind.value)
        await self.send_problem(exc)

    async def send_json(self, content, headers: Headers | None = None) -> None:
        """Send a JSON answer."""
        body = json.dumps(content).encode()
        await self.send_complete(200, [*JSON_HEADERS, *(headers or [])], body)

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        await self._conn.send_response(status, self._all_headers(headers), body)
        self._metrics.count(Count.REQUESTS_ANSWERED, str(status))
        self._metrics.observe(Duration.WHOLE_ANSWER, now_s() - self._started_at_s)

    def _all_headers(self, headers: Headers) -> Headers:
        if self._app.closing:
            return [*headers, CLOSE_HEADER]
        return headers

    async def start_stream(self, headers: Headers) -> None:
        """Send the status line and headers of a streamed answer."""
        await self._conn.send_head(200, self._all_headers(headers))

    async def send_block(self, block: bytes) -> None:
        """Send one or more complete events of a streamed answer."""
        await self._conn.send_block(block)
        self._observe_tokens(block.count(EVENT_END))

    def _observe_tokens(self, tokens: int) -> None:
        now = now_s()
        self._tokens += tokens
        if self._last_block_at_s is None:
            self._metrics.observe(Duration.FIRST_TOKEN, now - self._started_at_s)
        elif tokens:
            interval_s = (now - self._last_block_at_s) / tokens
            self._between_tokens.record(interval_s, tokens)
        self._last_block_at_s = now

    async def end_stream(self) -> None:
        """Mark a streamed answer as complete."""
        await self._conn.end_body()
        self._metrics.count(Count.REQUESTS_ANSWERED, "200")
        self._metrics.observe(Duration.WHOLE_ANSWER, now_s() - self._started_at_s)

    async def send_problem(self, exc: RequestError) -> None:
        """Answer with an error.

        On a stream that has started, sends an error event if the answer form has them,
        and raises ConnectionError so that the connection is closed.
        """
        content = problem_content(exc)
        form = self._app.answer_form
        can_follow = form.error_events and not self._conn.is_write_cut
        if self._conn.is_head_sent and not can_follow:
            raise ConnectionError("a started answer was cut")
        if self._conn.is_head_sent:
            event = b"event: error\ndata: " + json.dumps(content).encode() + b"\n\n"
            await self._conn.send_block(event)
            raise ConnectionError("a started answer ended in an error")
        headers = [*PROBLEM_HEADERS, ("X-Ran", exc.ran.value)]
        if "retry_after_s" in content:
            retry_after_s = max(0.0, content["retry_after_s"])
            text = f"{retry_after_s:.{form.retry_after_decimals}f}"
            headers.append(("Retry-After", text))
        status = ANSWERS[exc.kind].status
        await self.send_complete(status, headers, json.dumps(content).encode())
