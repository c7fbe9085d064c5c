"""Commands of the command line by name; each one's module is loaded when it is run.

An entry's memory then holds only what that kind of entry needs.
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
    """Run the command that ``options`` name; raises WisteriaError."""
    return _command(options.command)(options, env)


def _command(name: str) -> Command:
    module = import_module(f".{_MODULES[name]}", __package__)
    return getattr(module, _FUNCTIONS.get(name, name))
