"""Reports the usage of each window to the cloud's address, as holder of the duty.

The load is one report per window of 5 s, which must be accepted within 10 s of the
window's end. A report is sent once all entries have sent their counts, or a third of
that time after the window's end. Its counts are recorded in the store before, so that a
repeat has equal counts, also by a successor.
"""

from collections.abc import Callable, Iterable
from typing import Any

import curio

from ..errors import LeaseLost, PlatformError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.duty import Duty
from ..process.duty_messages import DutyProtocol, DutyResult, UsageReport
from ..process.duty_settings import DutySettings
from ..process.metrics import Count, Metrics
from ..process.note_recovery import NOTHING_UNKNOWN
from ..process.store import Put
from ..process.usage_counts import UsageCounts, UsageTotals
from .duty_client import DutyClient

STEP_S = 0.2
RETRY_S = 0.5
# Share of the time for a report in which the counts of all entries are awaited; the
# rest suffices for three calls without an answer.
COLLECT_SHARE = 0.35
USAGE_TABLE = "usage"
# Rows of the reports; the oldest is overwritten. More than the retained windows.
REPORT_ROWS = 64


class UsageReporter:
    """Reports windows in their order; runs at every entry."""

    def __init__(
        self,
        cfg: DutySettings,
        duty: Duty,
        client: DutyClient,
        protocol: DutyProtocol,
        counts: UsageCounts,
        totals: UsageTotals,
        entries: Callable[[], Iterable[str]],
        metrics: Metrics,
        log: EventLog,
    ):
        self._late_s = cfg.usage_late_s
        self._duty = duty
        self._client = client
        self._protocol = protocol
        self._counts = counts
        self._totals = totals
        self._entries = entries
        self._metrics = metrics
        self._log = log
        self._first_window = counts.current_window()
        # Last window that was accepted or given up.
        self._done: int | None = None
        self._sent: dict[int, dict[str, int]] = {}
        self._retry_at_s = float("-inf")
        duty.recovery.complete = self._complete_note

    async def run(self) -> None:
        """Report windows while the duty is held; never returns."""
        while True:
            await curio.sleep(STEP_S)
            await self.step()

    async def step(self) -> None:
        """Send at most one report."""
        self._forget_old_windows()
        if now_s() < self._retry_at_s:
            return
        try:
            self._duty.authority()
            window = self._next_window()
            if self._is_due(window):
                await self._report(window)
        except (LeaseLost, PlatformError) as exc:
            self._retry_at_s = now_s() + RETRY_S
            if self._duty.is_held and not isinstance(exc, LeaseLost):
                self._log.write(Event.USAGE_REPORT_FAILED, error=str(exc))

    def _noted(self, name: str) -> int | None:
        return _value_of(self._duty.note, name)

    def _last_done(self) -> int | None:
        return _greatest(self._done, self._noted("accepted"))

    def _complete_note(
        self, note: Any, unknown_until_s: float
    ) -> dict[str, int | None]:
        """Return the note of a record of which later ones may be lost.

        A window that had ended by then may have been reported with other counts.
        """
        unknown = None
        if unknown_until_s > NOTHING_UNKNOWN:
            unknown = self._counts.window_of(unknown_until_s) - 1
        done = _greatest(self._done, _value_of(note, "accepted"), unknown)
        return {"accepted": done, "sent": _greatest(_value_of(note, "sent"), done)}

    def _next_window(self) -> int:
        done = self._last_done()
        if done is not None:
            window = done + 1
        else:
            first = self._totals.first_window()
            known = self._first_window if first is None else first
            window = min(self._first_window, known)
        return max(window, self._oldest_window())

    def _oldest_window(self) -> int:
        """Return the oldest window whose counts are still retained everywhere."""
        return self._counts.current_window() - self._counts.retained + 2

    def _is_due(self, window: int) -> bool:
        age_s = self._counts.window_age_s(window)
        if age_s < 0:
            return False
        is_recorded = window in self._sent or window <= (self._noted("sent") or 0)
        return (
            is_recorded
            or age_s >= COLLECT_SHARE * self._late_s
            or self._totals.is_complete(window, self._entries())
        )

    async def _report(self, window: int) -> None:
        counts, puts = await self._record_of(window)
        if counts is None:
            self._give_up(window)
            return
        # If the write's outcome is unknown, a repeat must have the same counts.
        self._sent[window] = counts
        authority = self._duty.authority()
        report = UsageReport(window, counts)
        done = self._last_done()
        if done is not None and window > done + 1:
            skipped = window - done - 1
            self._log.write(
                Event.USAGE_REPORT_FAILED,
                window=window,
                result="skipped",
                count=skipped,
            )
        result = await self._client.call(
            self._duty,
            self._protocol.usage_request(report, authority),
            {"accepted": done, "sent": window},
            {"accepted": window, "sent": window},
            puts,
        )
        self._observe(window, result)

    def _give_up(self, window: int) -> None:
        """Leave out a window that was reported with counts which nobody knows."""
        self._done = window
        self._log.write(
            Event.USAGE_REPORT_FAILED, window=window, result="record lost", count=1
        )

    async def _record_of(
        self, window: int
    ) -> tuple[dict[str, int] | None, tuple[Put, ...]]:
        """Return the counts of a window's report, and the write that records them.

        The counts are None if it may have been sent with others that aren't known. A
        recorded report takes precedence: another holder may have sent it, while this
        entry failed to record its own.
        """
        key = f"report-{window % REPORT_ROWS}"
        is_noted = window <= (self._noted("sent") or 0)
        source, counts = "record", None
        if is_noted:
            counts = await self._read_recorded(key, window)
        if counts is None:
            source, counts = "memory", self._sent.get(window)
        if counts is None and is_noted:
            return None, ()
        if counts is None:
            source, counts = "totals", self._totals.of_window(window)
        self._log.write(
            Event.USAGE_COUNTS_CHOSEN,
            window=window,
            source=source,
            requests=sum(counts.values()),
        )
        value: dict[str, Any] = {"window": window, "counts": counts}
        return counts, (Put(USAGE_TABLE, key, value, None),)

    async def _read_recorded(self, key: str, window: int) -> dict[str, int] | None:
        row = await self._duty.rows.read_row(USAGE_TABLE, key)
        if not row.exists or row.value["window"] != window:
            return None
        return row.value["counts"]

    def _observe(self, window: int, result: DutyResult) -> None:
        self._metrics.count(Count.USAGE_REPORTS, result.value)
        late_s = self._counts.window_age_s(window) - self._late_s
        if result is not DutyResult.ACCEPTED:
            self._retry_at_s = now_s() + RETRY_S
            self._log.write(
                Event.USAGE_REPORT_FAILED, window=window, result=result.value
            )
            return
        self._done = window
        if late_s > 0:
            self._metrics.count(Count.USAGE_REPORTS_LATE)
            self._log.write(Event.USAGE_REPORT_LATE, window=window, late_s=late_s)

    def _forget_old_windows(self) -> None:
        oldest = self._oldest_window()
        self._totals.forget_before(oldest)
        for window in [item for item in self._sent if item < oldest]:
            del self._sent[window]


def _value_of(note: Any, name: str) -> int | None:
    return note.get(name) if isinstance(note, dict) else None


def _greatest(*windows: int | None) -> int | None:
    return max((item for item in windows if item is not None), default=None)
