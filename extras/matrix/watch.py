"""Checks that the generation and revision of an entry never decrease."""

import threading
import time
from http.client import HTTPException

from extras.cluster import Process, request

WATCH_EVERY_S = 0.1
STATUS_TIMEOUT_S = 1.0


class GenerationWatch:
    """Polls the status of entries; the list of entries may change meanwhile."""

    def __init__(self, entries: list[Process]):
        self._entries = entries
        self._violations: list[str] = []
        self._watching = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start polling."""
        self._watching.set()
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._watching.clear()
        if self._thread.is_alive():
            self._thread.join()

    def take_violations(self) -> list[str]:
        """Return the violations found since the last call, and clear them."""
        taken, self._violations[:] = list(self._violations), []
        return taken

    def _run(self) -> None:
        seen: dict[str, tuple[int, int]] = {}
        while self._watching.is_set():
            for entry in list(self._entries):
                status = read_status(entry)
                if status is None:
                    continue
                now = (status["generation"], status["revision"])
                last = seen.get(entry.name, (0, 0))
                if now[0] < last[0] or now[1] < last[1]:
                    self._violations.append(f"{entry.name} went from {last} to {now}")
                seen[entry.name] = now
            time.sleep(WATCH_EVERY_S)


def read_status(entry: Process) -> dict | None:
    """Return an entry's status, or None when it does not answer."""
    try:
        return request(
            entry.address, "GET", "/v1/status", timeout_s=STATUS_TIMEOUT_S
        ).json()
    except (OSError, HTTPException):
        return None
