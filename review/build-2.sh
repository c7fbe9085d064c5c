#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy file:
# the stand-ins of this review and those of the project, all in Python. No network.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: build the deploy file first"; exit 2; }
python3 -m compileall -q wisteriaarch review/lib-2 review/6 review/7 review/8 review/9 review/10
for kind in store server duties; do
    PYTHONPATH="target/deps:." python3 -m wisteriaarch emulate "$kind" --help >/dev/null
done
