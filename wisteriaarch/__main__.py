"""Entry point of ``python -m wisteriaarch``."""

import contextlib
import os
import signal
import sys
from typing import NoReturn

GATEWAY_COMMAND = "gateway"


def main() -> NoReturn:
    """Run the program with the arguments of this process and exit."""
    is_gateway = GATEWAY_COMMAND in sys.argv[1:2]
    if is_gateway:
        # Loading the program takes long enough for a signal to arrive meanwhile.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .core import main as run
    from .environment import Environment

    status = run(sys.argv[1:], Environment())
    if is_gateway:
        _exit_at_once(status)
    sys.exit(status)


def _exit_at_once(status: int) -> NoReturn:
    """Exit without the interpreter's teardown, which counts towards a stop's grace."""
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError):
            stream.flush()
    os._exit(status)


if __name__ == "__main__":
    main()
