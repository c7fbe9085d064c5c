"""Requests that began to run, by window and customer.

The load is 4,100 requests per second of 830 customers at 400 entries, and up to 77
entries in front of a holder whose control traffic is bounded. Each entry counts its own
requests; the holder of the duty and the next in rank add up what all entries send. An
entry sends absolute counts of the customers that have changed, so that a repeated
message changes nothing, and everything that it retains to a new receiver.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .true_time import TrueTime

# Counts are retained for this time and number of windows; a change of holders takes
# up to about 20 s.
RETAINED_S = 40.0
RETAINED_WINDOWS_MIN = 4

WindowCounts = Mapping[int, Mapping[str, int]]


@dataclass(frozen=True)
class UsageUpdate:
    """Absolute counts of one entry since it started, for some windows and customers.

    ``number`` grows with each update. All windows before ``closed_before`` are
    complete.
    """

    entry_id: str
    incarnation: int
    number: int
    closed_before: int
    counts: WindowCounts = field(default_factory=dict)


class UsageCounts:
    """Counts of this entry; ``retained`` is the number of windows that are kept."""

    def __init__(self, window_s: float, true_time: TrueTime):
        self._window_s = window_s
        self.retained = max(RETAINED_WINDOWS_MIN, int(RETAINED_S / window_s))
        self._true_time = true_time
        self._counts: dict[int, Counter[str]] = defaultdict(Counter)
        self._closed_before = 0
        self._changes = 0
        # Number of the last change of each window and customer.
        self._changed: dict[tuple[int, str], int] = {}

    def add(self, customer: str, at_s: float) -> int:
        """Count a request that began to run at ``at_s``; returns its window.

        ``at_s`` is a reading of ``now_s``. Estimates of the true time vary, so that it
        may be in a window that this entry has already closed; it counts in the next.
        """
        window = max(self.window_of(at_s), self._closed_before)
        self._change(window, customer, 1)
        return window

    def take_back(self, customer: str, window: int) -> None:
        """Take back a request that was counted in a window."""
        self._change(window, customer, -1)

    def _change(self, window: int, customer: str, amount: int) -> None:
        if not customer:
            return
        self._changes += 1
        self._counts[window][customer] += amount
        self._changed[window, customer] = self._changes
        if len(self._counts) > self.retained:
            self._forget_before(max(self._counts) - self.retained + 1)

    def window_at(self, time_s: float) -> int:
        """Return the window of a true time."""
        return int(time_s // self._window_s)

    def current_window(self) -> int:
        """Return the window of the present true time."""
        return self.window_at(self._true_time.now())

    def window_of(self, at_s: float) -> int:
        """Return the window in which a reading of ``now_s`` is."""
        return self.window_at(self._true_time.at(at_s))

    def window_age_s(self, window: int) -> float:
        """Return the time since the end of a window; negative before it."""
        return self._true_time.now() - (window + 1) * self._window_s

    def close_windows(self, delay_s: float) -> int:
        """Close the windows that ended at least ``delay_s`` ago; return the next one.

        Nothing is added to a closed window.
        """
        window = self.window_at(self._true_time.now() - delay_s)
        self._closed_before = max(self._closed_before, window)
        return self._closed_before

    @property
    def changes(self) -> int:
        """Number of changes so far."""
        return self._changes

    def changed_since(self, change: int) -> dict[int, dict[str, int]]:
        """Return the counts that changed after change number ``change``."""
        counts: dict[int, dict[str, int]] = defaultdict(dict)
        for (window, customer), number in self._changed.items():
            if number > change:
                counts[window][customer] = self._counts[window][customer]
        return dict(counts)

    def _forget_before(self, window: int) -> None:
        for known in [item for item in self._counts if item < window]:
            del self._counts[known]
        for key in [item for item in self._changed if item[0] < window]:
            del self._changed[key]


@dataclass
class _EntryCounts:
    number: int = 0
    closed_before: int = 0
    counts: dict[int, dict[str, int]] = field(default_factory=dict)


class UsageTotals:
    """Counts of all entries, as far as they are known here."""

    def __init__(self):
        self._entries: dict[tuple[str, int], _EntryCounts] = {}

    def apply(self, update: UsageUpdate) -> None:
        """Apply an update unless a later one of the same entry is known."""
        key = (update.entry_id, update.incarnation)
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = _EntryCounts()
        if update.number <= entry.number:
            return
        entry.number = update.number
        entry.closed_before = max(entry.closed_before, update.closed_before)
        for window, counts in update.counts.items():
            entry.counts.setdefault(window, {}).update(counts)

    def of_others(self, entry_id: str, incarnation: int) -> list[UsageUpdate]:
        """Return what is known of all processes but this one."""
        return [
            UsageUpdate(*key, entry.number, entry.closed_before, entry.counts)
            for key, entry in self._entries.items()
            if key != (entry_id, incarnation)
        ]

    def of_window(self, window: int) -> dict[str, int]:
        """Return the sum of all entries' counts of a window."""
        totals: Counter[str] = Counter()
        for entry in self._entries.values():
            totals.update(entry.counts.get(window, {}))
        return {name: count for name, count in sorted(totals.items()) if count > 0}

    def is_complete(self, window: int, entry_ids: Iterable[str]) -> bool:
        """Whether each of these entries has sent all its counts of a window."""
        closed: dict[str, int] = {}
        for (entry_id, _incarnation), entry in self._entries.items():
            closed[entry_id] = max(closed.get(entry_id, 0), entry.closed_before)
        return all(closed.get(name, 0) > window for name in entry_ids)

    def first_window(self) -> int | None:
        """Return the first window with counts; None if there is none."""
        windows = (item for entry in self._entries.values() for item in entry.counts)
        return min(windows, default=None)

    def forget_before(self, window: int) -> None:
        """Forget the counts of earlier windows, and entries without later ones."""
        for key, entry in list(self._entries.items()):
            for known in [item for item in entry.counts if item < window]:
                del entry.counts[known]
            if not entry.counts and entry.closed_before < window:
                del self._entries[key]
