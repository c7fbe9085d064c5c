"""Helpers shared by the commands: the platform's address and result output."""

import argparse
import json
from collections.abc import Callable
from typing import Any

from ..environment import Environment
from ..errors import ConfigError
from ..wire import Address

Command = Callable[[argparse.Namespace, Environment], Any]


def platform_address(options: argparse.Namespace) -> Address:
    """Return the address of the platform in ``options``; raises ConfigError."""
    try:
        return Address.parse(options.platform)
    except ValueError as exc:
        raise ConfigError(
            f"field '--platform': got {options.platform!r}; expected HOST:PORT"
        ) from exc


def print_result(
    options: argparse.Namespace, env: Environment, content: Any, text: str
) -> None:
    """Print ``content`` as JSON if ``--json`` was given, else ``text``."""
    env.stdout.write((json.dumps(content) if options.json else text) + "\n")


def make_announcer(env: Environment) -> Callable[[object], None]:
    """Return a function that prints a process's listening address."""

    def announce(address: object) -> None:
        env.stdout.write(f"listening on {address}\n")
        env.stdout.flush()

    return announce
