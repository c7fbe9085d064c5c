"""Framing of server-sent events: only whole events are passed on."""

from .outcomes import AttemptFailed, FailureReason

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
REST_MAX_BYTES = 1 << 20


class EventFramer:
    """Splits a stream into whole events; ``last_id`` is that of the last one."""

    def __init__(self):
        self._rest = b""
        self.last_id: str | None = None

    def feed(self, block: bytes) -> bytes:
        """Return the whole events that have arrived; keeps the start of the next.

        Raises AttemptFailed where that has no end.
        """
        data = self._rest + block
        end = data.rfind(EVENT_END)
        if end < 0:
            if len(data) > REST_MAX_BYTES:
                raise AttemptFailed(
                    FailureReason.MALFORMED,
                    f"an event is longer than {REST_MAX_BYTES} bytes",
                )
            self._rest = data
            return b""
        end += len(EVENT_END)
        whole, self._rest = data[:end], data[end:]
        self._note_id(whole)
        return whole

    @property
    def has_rest(self) -> bool:
        """Whether an event has begun that isn't whole."""
        return bool(self._rest)

    def _note_id(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
