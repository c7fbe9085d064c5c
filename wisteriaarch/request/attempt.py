"""One attempt of a call on one upstream, with the relay of its answer."""

from dataclasses import dataclass

import curio

from ..connection.upstream_pool import UpstreamPool
from ..errors import (
    Ran,
    UpstreamDisconnected,
    UpstreamRefused,
    UpstreamUnreachable,
    WireError,
)
from ..http_client import HttpClientConnection
from ..process.clock import now_s
from ..process.upstream_view import UpstreamView
from ..response_rules import ends_with_connection
from ..steps import Step, reach_step
from ..wire import INVALID_CONTENT_ERRORS, HttpResponse, load_json
from .answer import AnswerSink
from .call import Call, CompletionCall
from .event_stream import EventBuffer
from .forwarding import (
    SOFTWARE_HEADER,
    outgoing_request,
    returned_headers,
)
from .signal_reader import SignalReader

EVENT_END = b"\n\n"
STREAM_END = b"data: [DONE]\n\n"
DATA_PREFIX = b"data: "
END_OF_BODY_TIMEOUT_S = 0.2


@dataclass
class CallProgress:
    """State of a call across all its attempts.

    ``events`` counts the complete events of a streamed answer that have been sent
    to the caller. ``ran`` states whether any attempt may have run.
    """

    ran: Ran = Ran.NO
    events: int = 0
    started: bool = False
    complete: bool = False


class Attempt:
    """One attempt of a call; raises an UpstreamError if it fails."""

    def __init__(
        self,
        call: Call,
        view: UpstreamView,
        pool: UpstreamPool,
        signal_reader: SignalReader,
    ):
        self._call = call
        self._view = view
        self._pool = pool
        self._signal_reader = signal_reader

    async def run(self, sink: AnswerSink, progress: CallProgress) -> None:
        """Send the call and relay the answer.

        A connection is returned to the pool only after a complete exchange. After a
        failed or cancelled attempt it is closed, so that an answer which arrives later
        can't be taken for that of the next request on the connection.
        """
        with self._view.sending(self._call.sent_request):
            conn = await self._connect()
            complete = False
            try:
                complete = await self._exchange(conn, sink, progress)
            finally:
                if complete:
                    await self._pool.release(conn)
                else:
                    await conn.close()

    async def _connect(self) -> HttpClientConnection:
        address = self._view.instance.address
        try:
            return await self._pool.acquire(address, fresh=self._call.non_idempotent)
        except OSError as exc:
            raise UpstreamUnreachable(f"{self._view.name}: {exc}") from exc

    async def _exchange(self, conn, sink, progress: CallProgress) -> bool:
        ran_before = progress.ran
        if progress.ran is Ran.NO:
            progress.ran = Ran.UNKNOWN
        sent_at_s = now_s()
        paths = self._pool.connector.paths
        try:
            with paths.waiting_unless(conn.is_relayed):
                await conn.send_request(*outgoing_request(self._call, progress.events))
                await reach_step(Step.REQUEST_SENT)
                head = await conn.read_head()
        except (OSError, WireError) as exc:
            raise UpstreamDisconnected(f"{self._view.name}: {exc}") from exc
        if not conn.is_relayed:
            paths.record_answer(conn.address)
        self._signal_reader.observe(self._view, head, sent_at_s)
        if not isinstance(self._call, CompletionCall):
            return await self._relay_complete(conn, head, sink, progress)
        if head.status >= 400:
            await self._raise_failure(conn, head, progress, ran_before)
        if self._call.stream:
            return await self._relay_stream(conn, head, sink, progress)
        return await self._relay_complete(conn, head, sink, progress)

    async def _raise_failure(self, conn, head, progress, ran_before) -> None:
        refused = head.headers.get("x-ran") == "no"
        # On a used connection it may be the refusal of an earlier request, once more.
        if refused and not conn.is_reused:
            progress.ran = ran_before
        body = await self._read_body(conn)
        detail = f"{self._view.name} answered {head.status}: {body[:200]!r}"
        raise UpstreamRefused(detail) if refused else UpstreamDisconnected(detail)

    async def _relay_complete(self, conn, head: HttpResponse, sink, progress) -> bool:
        self._check_body_is_delimited(head)
        body = await self._read_body(conn)
        if isinstance(self._call, CompletionCall):
            self._check_id(body)
        progress.ran = Ran.YES
        await sink.send_complete(head.status, returned_headers(self._call, head), body)
        progress.complete = True
        return True

    def _check_body_is_delimited(self, head: HttpResponse) -> None:
        if ends_with_connection(self._call.method, head):
            raise UpstreamDisconnected(
                f"{self._view.name}: the answer's end is not marked"
            )

    async def _read_body(self, conn) -> bytes:
        try:
            return await conn.read_body()
        except WireError as exc:
            raise UpstreamDisconnected(f"{self._view.name}: {exc}") from exc

    async def _relay_stream(self, conn, head, sink, progress: CallProgress) -> bool:
        software = head.headers.get(SOFTWARE_HEADER.lower(), "")
        if progress.started and software != self._call.software:
            raise UpstreamDisconnected(
                f"{self._view.name}: software version {software!r} can't go on with a "
                f"stream of {self._call.software!r}"
            )
        with EventBuffer() as buffer:
            return await self._relay_complete_events(conn, head, sink, progress, buffer)

    async def _relay_complete_events(
        self, conn, head, sink, progress: CallProgress, buffer: EventBuffer
    ) -> bool:
        id_checked = False
        while (block := await self._read_block(conn)) is not None:
            events = await self._complete_events(conn, buffer, block)
            if not events:
                continue
            if not id_checked:
                self._check_first_event(events)
                id_checked = True
            before_end_mark, end_mark, _rest = events.partition(STREAM_END)
            await self._relay_events(before_end_mark + end_mark, head, sink, progress)
            if end_mark:
                await reach_step(Step.STREAM_ENDED)
                await sink.end_stream()
                progress.complete = True
                return await _body_ends(conn)
        raise UpstreamDisconnected(f"{self._view.name}: the stream has no end mark")

    async def _relay_events(self, block: bytes, head, sink, progress) -> None:
        progress.ran = Ran.YES
        if not progress.started:
            progress.started = True
            self._call.version_pinned = True
            self._call.software = head.headers.get(SOFTWARE_HEADER.lower(), "")
            await sink.start_stream(returned_headers(self._call, head))
            await reach_step(Step.STREAM_STARTED)
        await sink.send_block(block)
        event_count = block.count(EVENT_END)
        progress.events += event_count
        if self._call.sent_request is not None:
            self._call.sent_request.record_tokens(event_count)

    async def _complete_events(self, conn, buffer: EventBuffer, block: bytes) -> bytes:
        try:
            events = buffer.feed(block)
            await conn.hold(buffer.partial_bytes)
        except WireError as exc:
            raise UpstreamDisconnected(f"{self._view.name}: {exc}") from exc
        return events

    async def _read_block(self, conn) -> bytes | None:
        try:
            return await conn.read_block()
        except WireError as exc:
            raise UpstreamDisconnected(f"{self._view.name}: {exc}") from exc

    def _check_first_event(self, events: bytes) -> None:
        first = events.partition(EVENT_END)[0]
        if first != STREAM_END.strip():
            self._check_id(first.removeprefix(DATA_PREFIX))

    def _check_id(self, text: bytes) -> None:
        try:
            answer_id = load_json(text)["id"]
        except INVALID_CONTENT_ERRORS as exc:
            raise UpstreamDisconnected(
                f"{self._view.name}: not an answer: {exc!r}"
            ) from exc
        if answer_id != self._call.request_id:
            raise UpstreamDisconnected(f"{self._view.name}: answer of another request")


async def _body_ends(conn: HttpClientConnection) -> bool:
    """Whether only the end of the HTTP body follows, so ``conn`` can be reused."""
    try:
        async with curio.timeout_after(END_OF_BODY_TIMEOUT_S):
            return await conn.read_block() is None
    except (curio.TaskTimeout, WireError):
        return False
