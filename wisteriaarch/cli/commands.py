"""Commands of the command line by name; ``serve`` and ``check`` are here."""

import argparse

import curio

from ..entry import Entry
from ..environment import Environment
from ..errors import ConfigError
from ..events import open_log
from ..gateway import Gateway
from ..log_output import DroppingStream
from ..platform.adapter import Platform
from ..process.gateway_settings import GatewaySettings
from ..process.settings import EntrySettings, load_model
from ..status import ExitStatus
from ..version.manifest import Manifest
from .definition import SETTINGS_VARIABLE
from .emulation import emulate
from .marks import drain, replace, undrain, withdraw
from .output import Command, announcer, print_result
from .publication import apply, show_status


def run_command(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Run the command that ``options`` name; raises WisteriaError."""
    return _COMMANDS[options.command](options, env)


def _serve(options: argparse.Namespace, env: Environment) -> ExitStatus:
    settings = EntrySettings.from_file(options.config)

    async def serve() -> None:
        async with Entry(settings) as entry:
            await entry.run(announcer(env))

    with open_log(settings.log.form, settings.log.level, env.stderr).applicationbound():
        curio.run(serve)
    return ExitStatus.SUCCESS


def _gateway(options: argparse.Namespace, env: Environment) -> ExitStatus:
    path = options.config or env.variables.get(SETTINGS_VARIABLE)
    if path is None:
        raise ConfigError(f"neither --config nor {SETTINGS_VARIABLE} names a file")
    settings = GatewaySettings.from_file(path)

    async def serve() -> None:
        platform = Platform(settings.store.address())
        async with Gateway(settings, platform) as gateway:
            await gateway.run(path)

    output = DroppingStream.from_stream(env.stdout)
    with open_log(settings.log.form, settings.log.level, output).applicationbound():
        curio.run(serve)
    return ExitStatus.SUCCESS


def _check(options: argparse.Namespace, env: Environment) -> ExitStatus:
    model = EntrySettings if options.settings else Manifest
    load_model(model, options.file)
    content = {"file": options.file, "valid": True}
    print_result(options, env, content, f"{options.file}: valid")
    return ExitStatus.SUCCESS


_COMMANDS: dict[str, Command] = {
    "serve": _serve,
    "gateway": _gateway,
    "check": _check,
    "apply": apply,
    "status": show_status,
    "drain": drain,
    "undrain": undrain,
    "replace": replace,
    "withdraw": withdraw,
    "emulate": emulate,
}
