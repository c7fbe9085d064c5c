"""Log of a process that serves callers."""

from collections.abc import Awaitable, Callable
from typing import TextIO

import curio

from ..log_budget import LogBudget
from ..log_handler import LogHandler, open_log, take_library_messages
from ..log_output import DroppingStream
from ..process.settings_models import LogSettings


def run_with_log(
    main: Callable[[], Awaitable], settings: LogSettings, stream: TextIO
) -> None:
    """Run a process's main task to its end, with its log written to ``stream``."""
    handler = _open(settings, stream)

    async def run() -> None:
        flushing = await curio.spawn(handler.keep_flushing)
        try:
            await main()
        finally:
            await flushing.cancel()

    with handler.applicationbound():
        curio.run(run)
    handler.stream.flush()


def _open(settings: LogSettings, stream: TextIO) -> LogHandler:
    """Return a handler that never waits for the reader of ``stream``.

    A terminal is written to as it is: its state is shared with other programs.
    """
    take_library_messages()
    output = stream if stream.isatty() else DroppingStream.from_stream(stream)
    budget = LogBudget(settings.lines_per_s, settings.bytes_per_s)
    return open_log(settings.form, settings.level, output, budget)
