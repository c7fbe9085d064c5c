"""Numbered log events and the log set-up.

Numbers: 1xx entry, 2xx manifest and store, 3xx requests, 4xx leases and orders, 5xx
claims and quarantine, 6xx peers, 7xx admission and roles.
docs/EVENTS.md lists every event; a test holds both together. Credentials and prompts
are never part of an event's fields.
"""

import json
import sys
import time
from dataclasses import dataclass
from enum import Enum
from typing import Any, TextIO

import curio
import logbook
import logbook.compat

from .log_budget import Importance, LogBudget

# Lines wait for as long where more of them come, and where none does.
FLUSH_EVERY_S = 0.1
IDLE_FLUSH_EVERY_S = 1.0


@dataclass(frozen=True)
class EventKind:
    """Number, level and message of an event, and how long its lines are kept."""

    number: int
    level: int
    message: str
    importance: Importance = Importance.STATE


class Event(Enum):
    """Every event that the program logs."""

    ENTRY_STARTED = EventKind(100, logbook.INFO, "entry started")
    ENTRY_READY = EventKind(101, logbook.INFO, "entry is ready for callers")
    ENTRY_LEAVING = EventKind(102, logbook.INFO, "entry is leaving; no new callers")
    ENTRY_STOPPED = EventKind(103, logbook.INFO, "entry stopped")
    ENTRY_STOP_TIMED_OUT = EventKind(104, logbook.WARNING, "stop timeout reached")
    NEW_CALLERS_NOT_KEPT_OFF = EventKind(
        107, logbook.WARNING, "callers who connect during the close may be reset"
    )
    LOG_LINES_LEFT_OUT = EventKind(
        118, logbook.WARNING, "log lines left out for the budget, by event"
    )
    LOG_LINES_LOST = EventKind(
        119, logbook.WARNING, "log lines lost; the reader of the log was too slow"
    )
    LIBRARY_MESSAGE = EventKind(120, logbook.WARNING, "message of a library")
    TASK_FAILED = EventKind(110, logbook.ERROR, "task failed; starting it again")
    MANIFEST_IN_FORCE = EventKind(200, logbook.INFO, "manifest is in force")
    MANIFEST_FETCH_FAILED = EventKind(201, logbook.WARNING, "manifest can't be fetched")
    MANIFEST_STALE = EventKind(202, logbook.WARNING, "manifest can't be confirmed")
    MANIFEST_CONFIRMED = EventKind(203, logbook.INFO, "manifest is confirmed again")
    MANIFEST_UNCONFIRMABLE = EventKind(
        204, logbook.WARNING, "no entry reaches the table; serving goes on"
    )
    SETTINGS_UNFIT = EventKind(
        205, logbook.WARNING, "settings don't fit the manifest in force"
    )
    STORE_UNAVAILABLE = EventKind(210, logbook.WARNING, "platform store unavailable")
    STORE_AVAILABLE = EventKind(211, logbook.INFO, "platform store available again")
    CONFIGURATION_IN_FORCE = EventKind(206, logbook.INFO, "configuration is in force")
    CONFIGURATION_INVALID = EventKind(
        207, logbook.WARNING, "configuration can't be read; the last one stays"
    )
    WATCH_RESTARTED = EventKind(212, logbook.INFO, "history lost; reading all rows")
    UPSTREAM_LISTED = EventKind(220, logbook.INFO, "upstream registered")
    UPSTREAM_GONE = EventKind(221, logbook.INFO, "upstream's registration is gone")
    ROW_UNREADABLE = EventKind(222, logbook.WARNING, "registration can't be read")
    UPSTREAM_SUSPENDED = EventKind(223, logbook.WARNING, "upstream taken out of use")
    SETTINGS_RELOADED = EventKind(105, logbook.INFO, "settings reloaded")
    SETTINGS_REFUSED = EventKind(
        106, logbook.WARNING, "changed settings are invalid; the former ones stay"
    )
    CALL_PLACED = EventKind(
        310, logbook.INFO, "attempt placed on an upstream", Importance.PROGRESS
    )
    CALL_FAILED_ATTEMPT = EventKind(
        311, logbook.INFO, "attempt failed", Importance.FAILURE
    )
    CALL_ANSWERED = EventKind(312, logbook.INFO, "call answered", Importance.PROGRESS)
    CALL_WAITED_FOR_PART = EventKind(
        314,
        logbook.INFO,
        "call waited for a prompt part that was being read",
        Importance.PROGRESS,
    )
    CALL_DEFERRED = EventKind(
        315,
        logbook.INFO,
        "call waited until engines could read its prompt",
        Importance.PROGRESS,
    )
    MEMORY_NOT_RELEASED = EventKind(
        313, logbook.INFO, "unused memory can't be freed", Importance.PROGRESS
    )
    REQUEST_ROUTED = EventKind(300, logbook.INFO, "request routed", Importance.PROGRESS)
    REQUEST_RETRIED = EventKind(
        301, logbook.INFO, "attempt failed; trying another", Importance.FAILURE
    )
    REQUEST_ANSWERED = EventKind(
        302, logbook.INFO, "request answered", Importance.PROGRESS
    )
    REQUEST_REFUSED = EventKind(
        303, logbook.INFO, "request answered with an error", Importance.FAILURE
    )
    REQUEST_CANCELLED = EventKind(
        304, logbook.INFO, "caller closed the connection", Importance.FAILURE
    )
    LEASE_TAKEN = EventKind(400, logbook.INFO, "lease taken")
    LEASE_LOST = EventKind(401, logbook.WARNING, "lease lost to another entry")
    LEASE_RELEASED = EventKind(402, logbook.INFO, "lease released")
    LEASE_WRITE_FAILED = EventKind(403, logbook.WARNING, "lease can't be written")
    LEASE_READ_FAILED = EventKind(404, logbook.WARNING, "lease can't be read")
    PLACEMENT_DECIDED = EventKind(410, logbook.INFO, "placement decided")
    PLACEMENT_SHORT = EventKind(411, logbook.WARNING, "replicas can't be placed")
    MODEL_CLOSED = EventKind(412, logbook.INFO, "models closed on an upstream")
    MODEL_REOPENED = EventKind(413, logbook.INFO, "models reopened on an upstream")
    ORDER_RECORDED = EventKind(420, logbook.INFO, "order recorded")
    ORDER_ACCEPTED = EventKind(421, logbook.INFO, "upstream accepted an order")
    ORDER_CONFIRMED = EventKind(422, logbook.INFO, "order confirmed by its upstream")
    ORDER_ABANDONED = EventKind(423, logbook.WARNING, "order abandoned")
    ORDER_UNCONFIRMED = EventKind(424, logbook.WARNING, "order's outcome is unknown")
    ORDER_VOID = EventKind(425, logbook.INFO, "recorded order settled as not run")
    ENGINE_RESTARTED = EventKind(426, logbook.WARNING, "upstream has restarted")
    ENGINE_UNREACHABLE = EventKind(427, logbook.WARNING, "upstream is unreachable")
    CONTROL_INTERRUPTED = EventKind(428, logbook.WARNING, "control interrupted")
    UPSTREAM_TAKEN_OVER = EventKind(
        440, logbook.INFO, "upstream taken over from another group"
    )
    EPOCH_RAISED = EventKind(441, logbook.INFO, "epoch raised above another group's")
    UPSTREAM_MOVED = EventKind(442, logbook.INFO, "upstream belongs to another group")
    ROLE_CHANGE_DECIDED = EventKind(430, logbook.INFO, "role change decided")
    ROLE_CHANGE_DEFERRED = EventKind(
        432, logbook.INFO, "role change would leave a model without upstream"
    )
    ROLE_CHANGE_ENDED = EventKind(431, logbook.INFO, "role change ended")
    CLAIM_WRITTEN = EventKind(500, logbook.INFO, "claim written", Importance.PROGRESS)
    CLAIM_SETTLED = EventKind(
        501, logbook.INFO, "outcome of a claim written", Importance.PROGRESS
    )
    CLAIM_UNKNOWN = EventKind(
        502, logbook.WARNING, "claim may have been written; the call is not run"
    )
    CLAIM_SETTLE_FAILED = EventKind(
        503, logbook.WARNING, "outcome of a claim can't be written yet"
    )
    CLAIMS_UNAVAILABLE = EventKind(
        504, logbook.WARNING, "claims refused; table unavailable"
    )
    CLAIMS_AVAILABLE = EventKind(505, logbook.INFO, "claims accepted again")
    CLAIMS_SWEPT = EventKind(506, logbook.INFO, "old claims removed")
    CRASH_NOTED = EventKind(510, logbook.WARNING, "request was in flight at a crash")
    REQUEST_ISOLATED = EventKind(511, logbook.INFO, "suspect request runs isolated")
    REQUEST_QUARANTINED = EventKind(512, logbook.WARNING, "request quarantined")
    SUSPECT_CLEARED = EventKind(513, logbook.INFO, "suspect request ran to its end")
    REQUEST_RELEASED = EventKind(
        514, logbook.INFO, "request released; another one explains its crashes"
    )
    PEER_CONNECTED = EventKind(600, logbook.INFO, "heartbeats with a peer began")
    PEER_LOST = EventKind(601, logbook.INFO, "heartbeats with a peer ended")
    PEER_NOT_TOLD = EventKind(
        604, logbook.WARNING, "a peer can't be told news before the next heartbeat"
    )
    PEER_FRAME_REFUSED = EventKind(602, logbook.WARNING, "frame of a peer refused")
    MANIFEST_COPY_REFUSED = EventKind(603, logbook.WARNING, "peer's manifest refused")
    INTERNAL_ERROR = EventKind(399, logbook.ERROR, "internal error")
    ADMISSION_REFUSED = EventKind(
        700, logbook.INFO, "request can't be admitted", Importance.FAILURE
    )


class EventLog:
    """Writes events with the entry's name; one line each."""

    def __init__(self, entry_id: str):
        self._logger = logbook.Logger(entry_id)

    def write(self, event: Event, **fields: Any) -> None:
        """Log ``event`` with ``fields``."""
        kind = event.value
        self._logger.log(
            kind.level, kind.message, extra={"kind": kind, "fields": fields}
        )


class LogHandler(logbook.StreamHandler):
    """Writes lines to a stream, as many as a budget allows.

    With a budget, lines of progress are written some at a time: each write and each
    time that the process wakes up for one costs more than the lines themselves.
    """

    def __init__(self, stream: TextIO, level: int, budget: LogBudget | None):
        super().__init__(stream, level=level)
        self._budget = budget
        self._flushed_at_s = 0.0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or have the budget count it."""
        if self._budget is None:
            self._write_line(self.format(record))
            return
        kind = _kind_of(record)
        if not self._budget.admits(kind.importance, kind.number):
            return
        self._report_left_out(record.channel)
        line = self.format(record)
        self._budget.spend(len(line))
        self.stream.write(line + "\n")
        if kind.importance is not Importance.PROGRESS or self._is_flush_due():
            self._flush()

    async def keep_flushing(self) -> None:
        """Write what is pending while no other lines come, for ever."""
        while True:
            await curio.sleep(IDLE_FLUSH_EVERY_S)
            self._flush()

    def _is_flush_due(self) -> bool:
        return time.monotonic() - self._flushed_at_s >= FLUSH_EVERY_S

    def _flush(self) -> None:
        self._flushed_at_s = time.monotonic()
        self.stream.flush()

    def _report_left_out(self, channel: str) -> None:
        left_out = self._budget.take_left_out()
        if left_out is None:
            return
        kind = Event.LOG_LINES_LEFT_OUT.value
        extra = {"kind": kind, "fields": {"lines": left_out}}
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


def take_library_messages() -> None:
    """Have libraries' own log messages written as events of this program."""
    logbook.compat.redirect_logging(set_root_logger_level=False)


def _kind_of(record: logbook.LogRecord) -> EventKind:
    return record.extra["kind"] or Event.LIBRARY_MESSAGE.value


def _fields_of(record: logbook.LogRecord) -> dict[str, Any]:
    if record.extra["kind"]:
        return record.extra["fields"]
    return {"library": record.channel, "detail": record.message}


def _format_human(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    kind = _kind_of(record)
    words = [f"{name}={_shown(value)}" for name, value in _fields_of(record).items()]
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


def _shown(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, (dict, list, tuple)):
        return json.dumps(value, default=str, separators=(",", ":"))
    return str(value)
