"""Monotonic clock that includes the time while the machine is suspended."""

import time


def now_s() -> float:
    """Return seconds since boot, including suspended time; use only for differences."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
