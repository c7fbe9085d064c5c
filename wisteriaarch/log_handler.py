"""Formatting of log records as lines, and buffered writing to a stream."""

import json
import sys
import time
from typing import Any, TextIO

import curio
import logbook
import logbook.compat

from .event_kind import EventKind
from .events import Event
from .log_budget import Importance, LogBudget

# A buffered progress line is flushed with the first later line after FLUSH_EVERY_S,
# or by the periodic flush if no line follows.
FLUSH_EVERY_S = 0.1
IDLE_FLUSH_EVERY_S = 1.0


class LogHandler(logbook.StreamHandler):
    """Writes lines to a stream within a budget.

    With a budget, progress lines are flushed in batches, because a write or a wake-up
    of the process per line costs more than producing the line.
    """

    def __init__(self, stream: TextIO, level: int, budget: LogBudget | None):
        super().__init__(stream, level=level)
        self._budget = budget
        self._flushed_at_s = 0.0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record unless the budget suppresses it."""
        if self._budget is None:
            self._write_line(self.format(record))
            return
        kind = _kind_of(record)
        if not self._budget.admits(kind.importance, kind.number):
            return
        self._report_suppressed(record.channel)
        line = self.format(record)
        self._budget.record_written(len(line))
        self.stream.write(line + "\n")
        if kind.importance is not Importance.PROGRESS or self._is_flush_due():
            self._flush()

    async def flush_periodically(self) -> None:
        """Flush buffered lines periodically; never returns."""
        while True:
            await curio.sleep(IDLE_FLUSH_EVERY_S)
            self._flush()

    def _is_flush_due(self) -> bool:
        return time.monotonic() - self._flushed_at_s >= FLUSH_EVERY_S

    def _flush(self) -> None:
        self._flushed_at_s = time.monotonic()
        self.stream.flush()

    def _report_suppressed(self, channel: str) -> None:
        suppressed = self._budget.take_suppressed()
        if suppressed is None:
            return
        kind = Event.LOG_LINES_SUPPRESSED.value
        extra = {"kind": kind, "fields": {"lines": suppressed}}
        report = logbook.LogRecord(channel, kind.level, kind.message, extra=extra)
        report.heavy_init()
        self._write_line(self.format(report))

    def _write_line(self, line: str) -> None:
        self.stream.write(line + "\n")
        self.stream.flush()


def open_log(
    form: str,
    level: str,
    stream: TextIO | None = None,
    budget: LogBudget | None = None,
) -> LogHandler:
    """Return a handler that writes human-readable or JSON lines to ``stream``."""
    handler = LogHandler(
        stream or sys.stderr, logbook.lookup_level(level.upper()), budget
    )
    handler.formatter = _format_json if form == "json" else _format_human
    return handler


def redirect_library_logging() -> None:
    """Redirect log messages of libraries to LIBRARY_MESSAGE events."""
    logbook.compat.redirect_logging(set_root_logger_level=False)


def _kind_of(record: logbook.LogRecord) -> EventKind:
    return record.extra["kind"] or Event.LIBRARY_MESSAGE.value


def _fields_of(record: logbook.LogRecord) -> dict[str, Any]:
    if record.extra["kind"]:
        return record.extra["fields"]
    return {"library": record.channel, "detail": record.message}


def _format_human(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    kind = _kind_of(record)
    words = [
        f"{name}={_format_value(value)}" for name, value in _fields_of(record).items()
    ]
    head = f"{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel}"
    return " ".join([f"{head} [{kind.number}] {kind.message}", *words])


def _format_json(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    kind = _kind_of(record)
    content = {
        "time": f"{record.time:%Y-%m-%dT%H:%M:%S.%f}Z",
        "level": record.level_name.lower(),
        "entry": record.channel,
        "event": kind.number,
        "message": kind.message,
        **_fields_of(record),
    }
    return json.dumps(content, default=str)


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, (dict, list, tuple)):
        return json.dumps(value, default=str, separators=(",", ":"))
    return str(value)
