"""Keeps the long-running tasks of a process going."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import curio

from ..events import Event, EventLog

RESTART_DELAY_S = 0.5


async def run_all_until(
    task_mains: Iterable[Callable[[], Awaitable]],
    until: Callable[[], Awaitable],
    log: EventLog,
) -> Any:
    """Run all of ``task_mains``, each supervised, until ``until`` returns.

    Raises what ``until`` raises.
    """
    async with curio.TaskGroup(wait=any) as group:
        for task_main in task_mains:
            await group.spawn(run_supervised, task_main, log)
        await group.spawn(until)
    # The only one that ends by itself; its error is raised here.
    return group.result


async def run_supervised(task_main: Callable[[], Awaitable], log: EventLog) -> None:
    """Run ``task_main`` for ever; a failure is logged and the task is started again."""
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
