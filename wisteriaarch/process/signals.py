"""Signals that request the process to stop or to reload its settings."""

import signal
import socket
from types import FrameType
from typing import Self

from curio.io import Socket

from .clock import now_s

RELOAD_SIGNAL = signal.SIGHUP


class StopSignals:
    """Waits for the first stop signal; a context manager that owns the handlers.

    A handler may run between any two instructions, even inside a coroutine, where
    curio's events can't be set. The interpreter therefore writes a byte to a socket for
    each signal. After exit, further stop signals are ignored.

    ``stop_requested_at_s`` is the time of the first stop signal; a busy event loop
    learns of it later.
    """

    handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    stop_signals: tuple[signal.Signals, ...] = handled_signals

    def __init__(self):
        self._reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self.stop_requested_at_s: float | None = None

    def __enter__(self) -> Self:
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in self.handled_signals:
            if self._is_handled(number):
                signal.signal(number, self._record)
        return self

    def __exit__(self, *exc_info) -> None:
        for number in self.handled_signals:
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)
        self._writer.close()
        self._reader.close()

    async def wait(self) -> None:
        """Return once a stop signal has arrived."""
        await Socket(self._reader).recv(1)

    async def next_signal(self) -> int:
        """Return the number of the next signal."""
        return (await Socket(self._reader).recv(1))[0]

    def _is_handled(self, number: signal.Signals) -> bool:
        """Whether a signal is handled; a process run with nohup ignores SIGHUP."""
        is_ignored = signal.getsignal(number) is signal.SIG_IGN
        return not (number is signal.SIGHUP and is_ignored)

    def _record(self, number: int, _frame: FrameType | None) -> None:
        if number in self.stop_signals and self.stop_requested_at_s is None:
            self.stop_requested_at_s = now_s()


class ProcessSignals(StopSignals):
    """Stop signals and the reload signal."""

    stop_signals = (signal.SIGTERM, signal.SIGINT)

    def _is_handled(self, _number: signal.Signals) -> bool:
        return True
