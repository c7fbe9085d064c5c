"""True time from clocks of which some are off by seconds for some seconds.

The load is one clock reading per second here and a few of other entries. The clock that
counts time since boot doesn't jump; only its offset to true time is estimated. An
entry takes the median of its own readings over some minutes, and the median of these
values over the entries, so that neither a step of its own clock nor one of a minority
of the others shifts it.
"""

import statistics
import time
from collections import deque
from collections.abc import Callable

from .clock import now_s

OWN_SAMPLES_MAX = 121
SAMPLE_EVERY_S = 1.0
PEERS_MAX = 64
# A process that took no sample for this long was paused. Estimates of peers are then
# ignored for IGNORE_AFTER_PAUSE_S, since they may have waited in the socket meanwhile.
PAUSE_S = 1.0
IGNORE_AFTER_PAUSE_S = 0.5


class TrueTime:
    """Estimates the time since the start of 1970 at readings of ``now_s``."""

    def __init__(
        self,
        wall_clock: Callable[[], float] = time.time,
        clock: Callable[[], float] = now_s,
    ):
        self._wall_clock = wall_clock
        self._clock = clock
        self._own: deque[float] = deque(maxlen=OWN_SAMPLES_MAX)
        self._own_offset_s = 0.0
        self._peers: dict[str, float] = {}
        self._offset_s = 0.0
        self._sampled_at_s = float("-inf")
        self._used_at_s = clock()
        self._ignore_until_s = float("-inf")
        self._sample()

    def at(self, at_s: float) -> float:
        """Return the true time at a reading of ``now_s``."""
        return at_s + self._offset_s

    def now(self) -> float:
        """Return the true time now."""
        self._sample()
        return self.at(self._clock())

    def own_estimate(self) -> float:
        """Return this entry's own estimate of the time, for the other entries."""
        self._sample()
        return self._clock() + self._own_offset_s

    def observe_peer(self, entry_id: str, estimate: float) -> None:
        """Observe the estimate of another entry, which it sent just now."""
        self._detect_pause()
        if self._clock() < self._ignore_until_s:
            return
        self._peers.pop(entry_id, None)
        self._peers[entry_id] = estimate - self._clock()
        if len(self._peers) > PEERS_MAX:
            del self._peers[next(iter(self._peers))]
        self._update()

    def _detect_pause(self) -> None:
        at_s = self._clock()
        if at_s - self._used_at_s > PAUSE_S:
            self._ignore_until_s = at_s + IGNORE_AFTER_PAUSE_S
        self._used_at_s = at_s

    def _sample(self) -> None:
        self._detect_pause()
        at_s = self._clock()
        if at_s - self._sampled_at_s < SAMPLE_EVERY_S:
            return
        self._sampled_at_s = at_s
        self._own.append(self._wall_clock() - at_s)
        self._own_offset_s = statistics.median(self._own)
        self._update()

    def _update(self) -> None:
        offsets = (self._own_offset_s, *self._peers.values())
        self._offset_s = statistics.median(offsets)
