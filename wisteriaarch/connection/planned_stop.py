"""Planned stop of an entry that is killed after a grace."""

from collections.abc import Awaitable, Callable

import curio

from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.stop_schedule import StopSchedule
from ..process.supervision import run_step
from .caller_server import CallerServer


class PlannedStop:
    """Withdraws an entry, closes its connections and ends the requests left over.

    ``announce`` tells the other entries that this one leaves.
    """

    def __init__(
        self,
        callers: CallerServer,
        announce: Callable[[], Awaitable[None]],
        log: EventLog,
    ):
        self._callers = callers
        self._announce = announce
        self._log = log

    async def run(self, schedule: StopSchedule) -> None:
        """Stop by a schedule; callers that cached the address are served at first."""
        self._log.write(
            Event.ENTRY_DRAINING,
            delay_s=now_s() - schedule.signalled_at_s,
            open_connections=self._callers.open_connections,
        )
        try:
            async with curio.timeout_after(schedule.cut_at_s - now_s()):
                await self._withdraw(schedule)
                await self._close(schedule)
        except curio.TaskTimeout:
            self._log.write(
                Event.ENTRY_STOP_TIMED_OUT,
                open_connections=self._callers.open_connections,
            )
        finally:
            await self._callers.end_requests(schedule.cut_time_s)

    async def _withdraw(self, schedule: StopSchedule) -> None:
        async with curio.ignore_after(schedule.serve_until_s - now_s()):
            await run_step(self._announce, self._log)
        await curio.sleep(max(0.0, schedule.serve_until_s - now_s()))

    async def _close(self, schedule: StopSchedule) -> None:
        async with curio.ignore_after(schedule.listen_until_s - now_s()):
            await self._callers.close_connections()
        await self._callers.stop()
