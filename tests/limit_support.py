"""Steady load, and the requests that a limited upstream may get."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

WINDOW_S = 4.0
# An upstream may get this multiple of its limit in a window, and some requests more.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
CALLERS_MAX = 100


def allowed_requests(per_s: float) -> float:
    """Return how many requests a limited upstream may get in a window."""
    return ALLOWED_FACTOR * per_s * WINDOW_S + ALLOWED_EXTRA


def most_in_window(arrivals: list[float], since_s: float) -> int:
    """Return the greatest number of arrivals in any window that begins later."""
    late = sorted(at_s for at_s in arrivals if at_s >= since_s)
    return max(
        (sum(start <= at_s < start + WINDOW_S for at_s in late) for start in late),
        default=0,
    )


def boot_time_s() -> float:
    """Return the time on the clock of the arrivals."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SteadyLoad:
    """Context manager that calls ``send`` with a number, ``per_s`` times a second.

    ``statuses`` are the statuses that it returned.
    """

    def __init__(self, send: Callable[[int], int], per_s: float):
        self.statuses: list[int] = []
        self._send = send
        self._interval_s = 1 / per_s
        self._ended = threading.Event()
        self._pool = ThreadPoolExecutor(CALLERS_MAX)
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> "SteadyLoad":
        self._thread.start()
        return self

    def __exit__(self, *exc_info) -> None:
        self._ended.set()
        self._thread.join()
        self._pool.shutdown()

    def _run(self) -> None:
        number = 0
        next_at_s = time.monotonic()
        while not self._ended.wait(max(0.0, next_at_s - time.monotonic())):
            self._pool.submit(self._record, number)
            number += 1
            next_at_s += self._interval_s

    def _record(self, number: int) -> None:
        try:
            self.statuses.append(self._send(number))
        except OSError:
            self.statuses.append(0)
