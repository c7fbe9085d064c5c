#!/bin/sh
# Builds the stand-ins of the cases 11 to 13: Python of the standard library, compiled to
# bytecode. The project's own programs are built by the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/lib-3 review/1[123]
