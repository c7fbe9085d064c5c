"""Non-blocking output of log lines; lines that can't be written are dropped."""

import os
import select
from typing import TextIO

from .events import Event

PENDING_MAX_BYTES = 64 * 1024
DRAIN_TIMEOUT_S = 0.2
MS_PER_S = 1000
# Above this size, the next write flushes without an explicit flush.
FLUSH_BYTES = 16 * 1024


class NonBlockingStream:
    """Buffered text stream over a non-blocking descriptor.

    If the reader stops, lines are dropped and the process isn't blocked. Once lines can
    be written again, one line reports how many were dropped.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self.dropped_lines = 0

    @classmethod
    def from_stream(cls, stream: TextIO) -> "NonBlockingStream":
        """Take over the descriptor of a stream; raises OSError if it has none."""
        stream.flush()
        return cls(stream.fileno())

    def write(self, text: str) -> int:
        """Buffer a line, or drop and count it if too many bytes are pending."""
        if len(self._pending) > FLUSH_BYTES:
            self._write_pending()
        if len(self._pending) > PENDING_MAX_BYTES:
            self.dropped_lines += text.count("\n")
            return len(text)
        if self.dropped_lines:
            self._pending += _format_dropped_line(self.dropped_lines)
            self.dropped_lines = 0
        self._pending += text.encode()
        return len(text)

    def flush(self) -> None:
        """Write as many pending bytes as possible without blocking."""
        self._write_pending()

    def drain(self, timeout_s: float = DRAIN_TIMEOUT_S) -> None:
        """Write the pending bytes before the process ends.

        Gives up on a reader that takes nothing for ``timeout_s``.
        """
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        self._write_pending()
        while self._pending and poll.poll(timeout_s * MS_PER_S):
            self._write_pending()

    def _write_pending(self) -> None:
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                self._pending = self._pending[written:]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the log, so the error can't be reported anywhere.
            self.dropped_lines += self._pending.count(b"\n")
            self._pending = b""


def _format_dropped_line(lines: int) -> bytes:
    number = Event.LOG_LINES_DROPPED.value.number
    return f'{{"event": {number}, "dropped": {lines}}}\n'.encode()
