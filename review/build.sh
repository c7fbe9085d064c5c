#!/bin/sh
# Builds the stand-ins that the scripts of review/ start, after the build of the deploy
# file: their byte code, and a check that all of them find their libraries.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q wisteriaarch review || exit 1
PYTHONPATH=target/deps python3 -c "import wisteriaarch.cli.emulation, wisteriaarch.gateway"
