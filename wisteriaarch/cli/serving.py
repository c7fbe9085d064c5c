"""Command ``serve``: runs an entry of the own interface."""

import argparse

import curio

from ..entry import Entry
from ..environment import Environment
from ..process.settings import EntrySettings
from ..status import ExitStatus
from .daemon_log import open_daemon_log
from .output import announcer


def serve(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Run an entry until a stop signal arrives; raises ConfigError."""
    settings = EntrySettings.from_file(options.config)

    async def run() -> None:
        async with Entry(settings) as entry:
            await entry.run(announcer(env))

    with open_daemon_log(settings.log, env.stderr).applicationbound():
        curio.run(run)
    return ExitStatus.SUCCESS
