"""Log set-up of a long-running process."""

from collections.abc import Awaitable, Callable
from typing import TextIO

import curio

from ..log_budget import LogBudget
from ..log_handler import LogHandler, open_log, redirect_library_logging
from ..log_output import NonBlockingStream
from ..process.settings_models import LogSettings


def run_with_log(
    main: Callable[[], Awaitable], settings: LogSettings, stream: TextIO
) -> None:
    """Run a process's main task until it ends, with its log written to ``stream``."""
    handler = _open_handler(settings, stream)

    async def run() -> None:
        flush_task = await curio.spawn(handler.flush_periodically)
        try:
            await main()
        finally:
            await flush_task.cancel()

    try:
        with handler.applicationbound():
            curio.run(run)
    finally:
        _drain(handler.stream)


def _open_handler(settings: LogSettings, stream: TextIO) -> LogHandler:
    """Return a log handler that never blocks on the reader of ``stream``.

    A terminal is written to directly: making it non-blocking would also affect the
    other programs that share it.
    """
    redirect_library_logging()
    output = stream if stream.isatty() else NonBlockingStream.from_stream(stream)
    budget = LogBudget(settings.lines_per_s, settings.bytes_per_s)
    return open_log(settings.form, settings.level, output, budget)


def _drain(stream: TextIO | NonBlockingStream) -> None:
    if isinstance(stream, NonBlockingStream):
        stream.drain()
    else:
        stream.flush()
