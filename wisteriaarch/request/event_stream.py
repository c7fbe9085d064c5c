"""Framing of server-sent events, so that only complete events are relayed."""

from typing import Self

from ..errors import WireError
from .attempt_failures import AttemptFailed, FailureReason

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
STATUS_LINE = b"HTTP/1."
EVENT_MAX_BYTES = 1 << 20


class EventBuffer:
    """Buffers the start of an event until the event is complete.

    A context manager that frees the buffer, also where an exception refers to it.
    """

    def __init__(self):
        self._partial_event = bytearray()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info) -> None:
        self._partial_event.clear()

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event."""
        return len(self._partial_event)

    def feed(self, block: bytes) -> bytes:
        """Return the events that are complete and buffer the start of the next one.

        Raises WireError if a single event exceeds ``EVENT_MAX_BYTES``.
        """
        data = self._partial_event
        search_start = max(0, len(data) - len(EVENT_END) + 1)
        data += block
        end = data.rfind(EVENT_END, search_start)
        if end < 0:
            if len(data) > EVENT_MAX_BYTES:
                raise WireError(f"an event is longer than {EVENT_MAX_BYTES} bytes")
            return b""
        end += len(EVENT_END)
        events = bytes(data[:end])
        del data[:end]
        return events


class EventFramer:
    """Splits a stream into complete events; ``last_id`` is the id last seen.

    A context manager like ``EventBuffer``.
    """

    def __init__(self):
        self._buffer = EventBuffer()
        self.last_id: str | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info) -> None:
        self._buffer.__exit__(*exc_info)

    def feed(self, block: bytes) -> bytes:
        """Return the events that are complete and buffer the start of the next one.

        Raises AttemptFailed if a single event exceeds ``EVENT_MAX_BYTES``, or if the
        head of another answer was written into the stream.
        """
        try:
            events = self._buffer.feed(block)
        except WireError as exc:
            raise AttemptFailed(FailureReason.MALFORMED, str(exc)) from exc
        if not events:
            return b""
        if events.startswith(STATUS_LINE) or b"\n" + STATUS_LINE in events:
            raise AttemptFailed(
                FailureReason.MALFORMED, "a stream contains the head of an answer"
            )
        self._update_last_id(events)
        return events

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self.partial_bytes)

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event that is buffered."""
        return self._buffer.partial_bytes

    def _update_last_id(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
