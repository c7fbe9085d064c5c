"""Framing of server-sent events, so that only complete events are relayed."""

from .attempt_failures import AttemptFailed, FailureReason

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
STATUS_LINE = b"HTTP/1."
EVENT_MAX_BYTES = 1 << 20


class EventFramer:
    """Splits a stream into complete events; ``last_id`` is the id last seen."""

    def __init__(self):
        self._partial_event = b""
        self.last_id: str | None = None

    def feed(self, block: bytes) -> bytes:
        """Return the events that are complete and buffer the start of the next one.

        Raises AttemptFailed if a single event exceeds ``EVENT_MAX_BYTES``, or if the
        head of another answer was written into the stream.
        """
        data = self._partial_event + block
        end = data.rfind(EVENT_END)
        if end < 0:
            if len(data) > EVENT_MAX_BYTES:
                raise AttemptFailed(
                    FailureReason.MALFORMED,
                    f"an event is longer than {EVENT_MAX_BYTES} bytes",
                )
            self._partial_event = data
            return b""
        end += len(EVENT_END)
        events, self._partial_event = data[:end], data[end:]
        if events.startswith(STATUS_LINE) or b"\n" + STATUS_LINE in events:
            raise AttemptFailed(
                FailureReason.MALFORMED, "a stream contains the head of an answer"
            )
        self._update_last_id(events)
        return events

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial_event)

    def _update_last_id(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
