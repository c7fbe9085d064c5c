"""Restarts the long-running tasks of a process when they fail."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import curio

from ..event_log import EventLog
from ..events import Event

RESTART_DELAY_S = 0.5


async def run_all_until(
    task_mains: Iterable[Callable[[], Awaitable]],
    until: Callable[[], Awaitable],
    log: EventLog,
) -> Any:
    """Run all ``task_mains``, each supervised, until ``until`` returns.

    Returns the result of ``until`` or raises its exception.
    """
    async with curio.TaskGroup(wait=None) as group:
        for task_main in task_mains:
            await group.spawn(run_supervised, task_main, log)
        return await until()


async def run_step(step: Callable[[], Awaitable], log: EventLog) -> None:
    """Run a step of a stop; its failure is logged, and the stop goes on."""
    try:
        await step()
    except Exception as exc:
        log.write(
            Event.STOP_STEP_FAILED,
            step=getattr(step, "__qualname__", repr(step)),
            error=repr(exc),
        )


async def run_supervised(task_main: Callable[[], Awaitable], log: EventLog) -> None:
    """Run ``task_main``; log each failure and restart it. Never returns."""
    while True:
        task = await curio.spawn(task_main)
        try:
            await task.join()
        except curio.TaskError as exc:
            log.write(
                Event.TASK_FAILED,
                task=getattr(task_main, "__qualname__", repr(task_main)),
                error=repr(exc.__cause__),
            )
        except curio.CancelledError:
            await task.cancel()
            raise
        await curio.sleep(RESTART_DELAY_S)
