"""Command ``serve``: runs an entry with the program's own HTTP API."""

import argparse

from ..entry import Entry
from ..environment import Environment
from ..process.settings import EntrySettings
from ..status import ExitStatus
from .daemon_log import run_with_log
from .output import make_announcer


def serve(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Run an entry until a stop signal arrives; raises ConfigError."""
    settings = EntrySettings.from_file(options.config)

    async def run() -> None:
        async with Entry(settings) as entry:
            await entry.run(make_announcer(env))

    run_with_log(run, settings.log, env.stderr)
    return ExitStatus.SUCCESS
