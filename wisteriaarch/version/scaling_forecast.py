"""Forecast of the servers that a service's calls keep busy, over a server's boot time.

Demand comes in waves of about 15 s (plus or minus 55%) and in bursts of 2.8 s and 14 s
(up to twice the usual). A burst that is over before an ordered server serves isn't
followed. The highest forecast is kept for longer than a wave, so that the number of
servers follows the peaks of waves and doesn't swing with them.
"""

from collections import deque
from dataclasses import dataclass
from statistics import median

# Demand counts once it lasts this long; longer than the shorter of the usual bursts
# (2.8 s).
SUSTAIN_MAX_S = 3.0
SUSTAIN_MIN_S = 0.5
# Longer than a wave of 15 s.
HOLD_S = 20.0
# Half a wave: its peak or its rise has been observed. While servers are removed one at
# a time, the room for bursts covers the rest of a rise.
SETTLING_S = 8.0
# Time over which growth is measured; shorter than the rise of a wave.
TREND_S = 2.0
# Growth beyond what was seen within ``MEMORY_S`` is extrapolated up to this factor.
# It bounds that of a wave's rise, which looks like lasting growth.
GROWTH_MAX = 1.2
# Some waves of 15 s.
MEMORY_S = 60.0


@dataclass(frozen=True)
class ServiceDemand:
    """Servers that the calls of one service keep busy now.

    ``prefill`` and ``decode`` are in servers of an engine service; a service without
    engines has only ``decode``: the occupied share of its slots, in servers.
    ``urgent_share`` is the share of calls of the most urgent priority.
    ``refused_share`` is the share of offered calls that were refused or declined.
    """

    prefill: float
    decode: float
    urgent_share: float = 1.0
    refused_share: float = 0.0


class DemandForecast:
    """Highest demand of one kind to prepare for; times are seconds on one clock."""

    def __init__(self, boot_s: float):
        self._boot_s = boot_s
        self._sustain_s = min(SUSTAIN_MAX_S, max(SUSTAIN_MIN_S, boot_s))
        self._started_at_s: float | None = None
        self._values: deque[tuple[float, float]] = deque()
        self._sustained: deque[tuple[float, float]] = deque()
        self._levels: deque[tuple[float, float]] = deque()
        self._known: deque[tuple[float, float]] = deque()

    def observe(self, value: float, now: float) -> None:
        """Record the present demand."""
        if self._started_at_s is None:
            self._started_at_s = now
        # A rise that fills less than half of the window doesn't move its median.
        _append(self._values, value, now, 2 * self._sustain_s)
        sustained = median(item for _, item in self._values)
        _append(self._sustained, sustained, now, TREND_S)
        _append_peak(self._known, sustained, now, MEMORY_S)
        _append_peak(self._levels, self._extrapolate(sustained, now), now, HOLD_S)

    def _extrapolate(self, sustained: float, now: float) -> float:
        since_s, before = self._sustained[0]
        if now - since_s < TREND_S / 2 or sustained <= before:
            return sustained
        slope = (sustained - before) / (now - since_s)
        bound = max(GROWTH_MAX * sustained, self._known[0][1])
        return min(bound, sustained + slope * self._boot_s)

    @property
    def peak(self) -> float:
        """Highest forecast of the last ``HOLD_S``."""
        return self._levels[0][1] if self._levels else 0.0

    def is_settled(self, now: float) -> bool:
        """Whether half a wave has been observed."""
        return self._started_at_s is not None and now - self._started_at_s >= SETTLING_S


def _append(
    items: deque[tuple[float, float]], value: float, now: float, kept_s: float
) -> None:
    """Append a value; drop those older than ``kept_s``."""
    items.append((now, value))
    while now - items[0][0] > kept_s:
        items.popleft()


def _append_peak(
    items: deque[tuple[float, float]], value: float, now: float, kept_s: float
) -> None:
    """Append a value to a window whose first item is its maximum."""
    while items and items[-1][1] <= value:
        items.pop()
    _append(items, value, now, kept_s)


@dataclass(frozen=True)
class ServerNeed:
    """Servers needed for all calls, and for the most urgent ones after a loss.

    ``enough`` servers serve all calls. ``total`` servers also leave room for a burst of
    twice the demand; only spot servers are ordered for that room. At least ``regular``
    servers aren't spot servers. Unless ``is_settled``, too little demand was observed
    to remove servers.
    """

    total: int
    enough: int
    urgent: int
    regular: int
    is_settled: bool = True
