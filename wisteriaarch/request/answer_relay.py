"""Relays an upstream's answer to the caller, complete or event by event."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..process.clock import now_s
from ..version.route_table import CallKind
from ..wire import Headers
from .attempt_failures import AttemptFailed, FailureReason
from .event_stream import EventFramer
from .exchange import Exchange
from .routed_call import RoutedCall
from .upstream_protocol import UpstreamHead

SUCCESS_STATUS = 200
EVENT_STREAM_TYPE = "text/event-stream"
FRAMING_HEADERS = frozenset(("content-length", "transfer-encoding"))


class CallSink(Protocol):
    """Receiver of an answer, usually the connection to the caller."""

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""

    async def start_stream(self, headers: Headers) -> None:
        """Send the head of a streamed answer."""

    async def send_block(self, block: bytes) -> None:
        """Send complete events of a streamed answer."""

    async def end_stream(self) -> None:
        """Mark a streamed answer as complete."""


@dataclass
class EventTimes:
    """Arrival times of the blocks of events in one attempt's stream.

    Events that arrive together count once.
    """

    arrivals: int = 0
    first_at_s: float = 0.0
    last_at_s: float = 0.0

    def record(self, at_s: float) -> None:
        """Record the arrival of events."""
        if not self.arrivals:
            self.first_at_s = at_s
        self.arrivals += 1
        self.last_at_s = at_s

    @property
    def mean_interval_s(self) -> float | None:
        """Mean time between arrivals; None before the second one."""
        if self.arrivals < 2:
            return None
        return (self.last_at_s - self.first_at_s) / (self.arrivals - 1)


class AnswerRelay:
    """Answer of one call over all its attempts.

    The head of a stream is sent with its first events, so that an attempt that fails
    before these can be retried; the caller receives one answer with the first head.
    """

    def __init__(self, call: RoutedCall, sink: CallSink):
        self._call = call
        self._sink = sink
        self._last_event_id: str | None = None
        self.started = False
        self.status = 0
        self.first_event_at_s: float | None = None
        self.longest_pause_s = 0.0
        self.body_bytes = 0
        # Called once for each attempt, when its first events arrive.
        self.on_first_events: Callable[[], None] = _ignore
        self._last_event_at_s = 0.0
        self._attempt_events = EventTimes()

    @property
    def resume_after(self) -> str | None:
        """Id of the last event sent to the caller; None if none was sent."""
        return self._last_event_id

    @property
    def event_interval_s(self) -> float | None:
        """Mean time between the events of the last attempt; None before the second."""
        return self._attempt_events.mean_interval_s

    @property
    def can_resume(self) -> bool:
        """Whether a started stream can be resumed from another upstream."""
        return self._call.route.resumable and self._last_event_id is not None

    async def relay(self, head: UpstreamHead, exchange: Exchange) -> None:
        """Relay an answer; raises AttemptFailed if it is truncated."""
        is_stream = self._call.route.kind is CallKind.STREAM
        if is_stream and head.status == SUCCESS_STATUS:
            await self._relay_events(head, exchange)
            return
        if self.started:
            raise AttemptFailed(
                FailureReason.FAILED,
                f"a resumed stream got {head.status}",
            )
        body = await exchange.read_body()
        self.body_bytes += len(body)
        self.status = head.status
        self.first_event_at_s = now_s()
        await self._sink.send_complete(
            head.status, _without_framing(head.headers), body
        )

    async def _relay_events(self, head: UpstreamHead, exchange: Exchange) -> None:
        if self.started and not _may_be_event_stream(head):
            raise AttemptFailed(
                FailureReason.MALFORMED, "a resumed stream got another kind of answer"
            )
        with EventFramer() as framer:
            await self._relay_framed(head, exchange, framer)
        await self._sink.end_stream()

    async def _relay_framed(
        self, head: UpstreamHead, exchange: Exchange, framer: EventFramer
    ) -> None:
        has_events = False
        self._attempt_events = EventTimes()
        while (block := await exchange.read_block()) is not None:
            events = framer.feed(block)
            await exchange.hold(framer.partial_bytes)
            if events:
                if not has_events:
                    self.on_first_events()
                has_events = True
                await self._send(head, events)
                self._last_event_id = framer.last_id or self._last_event_id
        if framer.has_partial_event or not has_events:
            raise AttemptFailed(FailureReason.CLOSED, "the stream ended in an event")

    async def _send(self, head: UpstreamHead, events: bytes) -> None:
        if not self.started:
            self.started = True
            self.status = head.status
            await self._sink.start_stream(_without_framing(head.headers))
        now = now_s()
        if self.first_event_at_s is None:
            self.first_event_at_s = now
        else:
            self.longest_pause_s = max(
                self.longest_pause_s, now - self._last_event_at_s
            )
        self._last_event_at_s = now
        self.body_bytes += len(events)
        self._attempt_events.record(now)
        await self._sink.send_block(events)


def _ignore() -> None:
    return None


def _may_be_event_stream(head: UpstreamHead) -> bool:
    types = [value for name, value in head.headers if name.lower() == "content-type"]
    return not types or types[0].partition(";")[0].strip().lower() == EVENT_STREAM_TYPE


def _without_framing(headers: Headers) -> Headers:
    return [item for item in headers if item[0].lower() not in FRAMING_HEADERS]
