"""Relays an upstream's answer to the caller, whole or event by event."""

from typing import Protocol

from ..process.clock import now_s
from ..version.route_table import CallKind
from ..wire import Headers
from .event_stream import EventFramer
from .exchange import Exchange
from .outcomes import AttemptFailed, FailureReason
from .routed_call import RoutedCall
from .upstream_protocol import UpstreamHead

SUCCESS_STATUS = 200
FRAMING_HEADERS = frozenset(("content-length", "transfer-encoding"))


class CallSink(Protocol):
    """Where an answer goes."""

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    async def start_stream(self, headers: Headers) -> None:
        """Send the head of a streamed answer."""

    async def send_block(self, block: bytes) -> None:
        """Send whole events of a streamed answer."""

    async def end_stream(self) -> None:
        """Mark a streamed answer as complete."""


class AnswerRelay:
    """Answer of one call over all its attempts.

    The head of a stream is sent with its first events, so that an attempt which fails
    before these can be repeated; the caller sees one answer with the first head.
    """

    def __init__(self, call: RoutedCall, sink: CallSink):
        self._call = call
        self._sink = sink
        self._last_id: str | None = None
        self.started = False
        self.status = 0
        self.first_at_s: float | None = None
        self.longest_pause_s = 0.0
        self._last_at_s = 0.0

    @property
    def resume_after(self) -> str | None:
        """Last event that the caller has; None where it has none from here."""
        return self._last_id

    @property
    def can_resume(self) -> bool:
        """Whether a started stream can go on from another upstream."""
        return self._call.route.resumable and self._last_id is not None

    async def relay(self, head: UpstreamHead, exchange: Exchange) -> None:
        """Pass on an answer; raises AttemptFailed where it is cut short."""
        is_stream = self._call.route.kind is CallKind.STREAM
        if is_stream and head.status == SUCCESS_STATUS:
            await self._relay_events(head, exchange)
            return
        if self.started:
            raise AttemptFailed(
                FailureReason.FAILED, f"a resumed stream got {head.status}"
            )
        body = await exchange.read_body()
        self.status = head.status
        self.first_at_s = now_s()
        await self._sink.send_whole(head.status, _unframed(head.headers), body)

    async def _relay_events(self, head: UpstreamHead, exchange: Exchange) -> None:
        framer = EventFramer()
        while (block := await exchange.read_block()) is not None:
            events = framer.feed(block)
            if events:
                await self._send(head, events)
                self._last_id = framer.last_id or self._last_id
        if framer.has_rest or not self.started:
            raise AttemptFailed(FailureReason.CLOSED, "the stream ended in an event")
        await self._sink.end_stream()

    async def _send(self, head: UpstreamHead, events: bytes) -> None:
        if not self.started:
            self.started = True
            self.status = head.status
            await self._sink.start_stream(_unframed(head.headers))
        now = now_s()
        if self.first_at_s is None:
            self.first_at_s = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self._last_at_s)
        self._last_at_s = now
        await self._sink.send_block(events)


def _unframed(headers: Headers) -> Headers:
    return [item for item in headers if item[0].lower() not in FRAMING_HEADERS]
