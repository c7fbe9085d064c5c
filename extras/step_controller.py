"""Controller that entries announce their steps to, so that faults hit a chosen step."""

import contextlib
import os
import signal
import socketserver
import threading
import time
from collections.abc import Callable

from wisteriaarch.steps import STEPS_VARIABLE, Step

FaultAction = Callable[[int], None]


class StepController:
    """Listens for announcements; an armed step runs its action once, then goes on.

    A context manager. ``variables`` goes to the processes that are to announce.
    """

    def __init__(self):
        self._armed: dict[Step, FaultAction] = {}
        self._lock = threading.Lock()
        self.reached: list[tuple[int, Step]] = []
        self._server = socketserver.ThreadingTCPServer(
            ("127.0.0.1", 0), self._handler_class()
        )
        self._server.daemon_threads = True
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)

    def __enter__(self) -> "StepController":
        self._thread.start()
        return self

    def __exit__(self, *exc_info) -> None:
        self._server.shutdown()
        self._server.server_close()

    @property
    def variables(self) -> dict[str, str]:
        """Environment variables for processes under control."""
        host, port = self._server.server_address
        return {STEPS_VARIABLE: f"{host}:{port}"}

    def arm(self, step: Step, action: FaultAction) -> None:
        """Run ``action(pid)`` when a process next reaches ``step``."""
        with self._lock:
            self._armed[step] = action

    def disarm(self) -> None:
        """Forget every armed action."""
        with self._lock:
            self._armed.clear()

    def was_reached(self, step: Step) -> bool:
        """Whether any process has reached ``step``."""
        return any(reached is step for _pid, reached in self.reached)

    def _announce(self, pid: int, step: Step) -> None:
        with self._lock:
            self.reached.append((pid, step))
            action = self._armed.pop(step, None)
        if action is not None:
            action(pid)

    def _handler_class(self):
        controller = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                line = self.rfile.readline().decode().strip()
                if not line:
                    return
                pid, _, name = line.partition(" ")
                controller._announce(int(pid), Step(name))
                with contextlib.suppress(OSError):
                    self.wfile.write(b"go\n")

        return Handler


def kill(pid: int) -> None:
    """Kill the process at its step."""
    os.kill(pid, signal.SIGKILL)


def pause(duration_s: float) -> FaultAction:
    """Return an action that stops the process at its step and resumes it later."""

    def stop_and_resume(pid: int) -> None:
        os.kill(pid, signal.SIGSTOP)
        threading.Thread(target=_resume_later, args=(pid, duration_s)).start()

    return stop_and_resume


def _resume_later(pid: int, duration_s: float) -> None:
    time.sleep(duration_s)
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, signal.SIGCONT)
