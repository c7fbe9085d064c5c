"""Environment of the program: its streams, variables and name."""

import os
import sys
from dataclasses import dataclass, field
from typing import TextIO


@dataclass
class Environment:
    """Streams, environment variables and name with which the program runs."""

    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: dict[str, str] = field(default_factory=lambda: dict(os.environ))
    program_name: str = "wisteriaarch"
