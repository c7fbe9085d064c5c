"""Command ``gateway``: runs an entry on the users' platform."""

import argparse

from ..environment import Environment
from ..errors import ConfigError
from ..gateway import Gateway
from ..platform.adapter import Platform
from ..process.gateway_settings import GatewaySettings
from ..status import ExitStatus
from .arguments import SETTINGS_VARIABLE
from .daemon_log import run_with_log


def gateway(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Run an entry until a stop signal arrives; raises ConfigError."""
    path = options.config or env.variables.get(SETTINGS_VARIABLE)
    if path is None:
        raise ConfigError(
            f"no settings file: neither --config nor {SETTINGS_VARIABLE} is set"
        )
    settings = GatewaySettings.from_file(path)

    async def run() -> None:
        platform = Platform(settings.store.address())
        async with Gateway(settings, platform) as entry:
            await entry.run(path)

    run_with_log(run, settings.log, env.stdout)
    return ExitStatus.SUCCESS
