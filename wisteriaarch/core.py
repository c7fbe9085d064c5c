"""Command dispatch and mapping of errors to exit codes."""

from .cli.arguments import build_parser
from .cli.commands import run_command
from .environment import Environment
from .errors import (
    ConfigError,
    PlatformError,
    WisteriaError,
    WriteConflict,
    WriteOutcomeUnknown,
)
from .status import ExitStatus


def main(args: list[str], env: Environment) -> ExitStatus:
    """Parse ``args`` and run the selected command; returns its exit code."""
    parser = build_parser(env.program_name)
    try:
        options = parser.parse_args(args)
    except SystemExit as exc:
        return ExitStatus.SUCCESS if exc.code == 0 else ExitStatus.USAGE
    try:
        return run_command(options, env)
    except WisteriaError as exc:
        env.stderr.write(f"{env.program_name}: error: {exc}\n")
        return _status_of(exc)
    except KeyboardInterrupt:
        return ExitStatus.ERROR


def _status_of(exc: WisteriaError) -> ExitStatus:
    if isinstance(exc, ConfigError):
        return ExitStatus.INVALID_INPUT
    if isinstance(exc, WriteConflict):
        return ExitStatus.CONFLICT
    if isinstance(exc, WriteOutcomeUnknown):
        return ExitStatus.OUTCOME_UNKNOWN
    if isinstance(exc, PlatformError):
        return ExitStatus.UNAVAILABLE
    return ExitStatus.ERROR
