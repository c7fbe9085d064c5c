#!/bin/sh
# Runs the case; TROUBLE=0 leaves the cut from the store out.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/12/drive.py
