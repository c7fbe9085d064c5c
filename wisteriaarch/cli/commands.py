"""Dispatch of the command line's commands; a command's module is imported on use.

The lazy import keeps the modules of other commands out of an entry's memory.
"""

import argparse
from importlib import import_module

from ..environment import Environment
from ..status import ExitStatus
from .output import Command

_MODULES = {
    "serve": "serving",
    "gateway": "gateway",
    "check": "checking",
    "apply": "publication",
    "status": "publication",
    "drain": "marks",
    "undrain": "marks",
    "replace": "marks",
    "withdraw": "marks",
    "emulate": "emulation",
    "explain": "explaining",
}
_FUNCTIONS = {"status": "show_status"}


def run_command(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Run the command selected in ``options``; raises WisteriaError."""
    return _load_command(options.command)(options, env)


def _load_command(name: str) -> Command:
    module = import_module(f".{_MODULES[name]}", __package__)
    return getattr(module, _FUNCTIONS.get(name, name))
