"""Log of a process that serves callers."""

from typing import TextIO

import logbook

from ..events import open_log, take_library_messages
from ..log_budget import LogBudget
from ..log_output import DroppingStream
from ..process.settings_models import LogSettings


def open_daemon_log(settings: LogSettings, stream: TextIO) -> logbook.Handler:
    """Return a handler that never waits for the reader of ``stream``.

    A terminal is written to as it is: its state is shared with other programs.
    """
    take_library_messages()
    output = stream if stream.isatty() else DroppingStream.from_stream(stream)
    budget = LogBudget(settings.lines_per_s, settings.bytes_per_s)
    return open_log(settings.form, settings.level, output, budget)
