"""Log lines that never block the process: what can't be written is counted."""

import os
from typing import TextIO

from .events import Event

PENDING_MAX_BYTES = 64 * 1024
# From here on lines are written without being asked to.
FLUSH_BYTES = 16 * 1024


class DroppingStream:
    """Text stream over a descriptor that is written without waiting, when flushed.

    A reader that stops costs lines, not time. Once lines can be written again, one line
    says how many were left out.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self.dropped = 0

    @classmethod
    def from_stream(cls, stream: TextIO) -> "DroppingStream":
        """Take over the descriptor of a stream; raises OSError where it has none."""
        stream.flush()
        return cls(stream.fileno())

    def write(self, text: str) -> int:
        """Keep a line to be written, or count it where the reader is too far behind."""
        if len(self._pending) > FLUSH_BYTES:
            self._write_pending()
        if len(self._pending) > PENDING_MAX_BYTES:
            self.dropped += text.count("\n")
            return len(text)
        if self.dropped:
            self._pending += _lost_line(self.dropped)
            self.dropped = 0
        self._pending += text.encode()
        return len(text)

    def flush(self) -> None:
        """Write what is pending, as far as that goes without waiting."""
        self._write_pending()

    def _write_pending(self) -> None:
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                self._pending = self._pending[written:]
        except BlockingIOError:
            return
        except OSError:
            # Nobody can read the log any more; there is nowhere left to say so.
            self.dropped += self._pending.count(b"\n")
            self._pending = b""


def _lost_line(lines: int) -> bytes:
    number = Event.LOG_LINES_LOST.value.number
    return f'{{"event": {number}, "dropped": {lines}}}\n'.encode()
