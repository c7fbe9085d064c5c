"""Exit codes of the command line."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit code of a command; documented in docs/OPERATIONS.md."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    INVALID_INPUT = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6
    OUTCOME_UNKNOWN = 7
