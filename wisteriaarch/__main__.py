"""Entry point of ``python -m wisteriaarch``."""

import signal
import sys

GATEWAY_COMMAND = "gateway"


def main() -> None:
    """Run the program with the arguments of this process and exit."""
    if GATEWAY_COMMAND in sys.argv[1:2]:
        # Loading the program takes long enough for a signal to arrive meanwhile.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .core import main as run
    from .environment import Environment

    sys.exit(run(sys.argv[1:], Environment()))


if __name__ == "__main__":
    main()
