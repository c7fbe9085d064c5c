"""Command ``check``: validates a manifest or settings file."""

import argparse

from ..environment import Environment
from ..process.settings import EntrySettings
from ..process.settings_models import load_model
from ..status import ExitStatus
from ..version.manifest import Manifest
from .output import print_result


def check(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Validate the file named in ``options``; raises ConfigError."""
    model = EntrySettings if options.settings else Manifest
    load_model(model, options.file)
    content = {"file": options.file, "valid": True}
    print_result(options, env, content, f"{options.file}: valid")
    return ExitStatus.SUCCESS
