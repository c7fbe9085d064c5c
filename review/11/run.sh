#!/bin/sh
# Runs the case; TROUBLE=0 leaves the servers of another version out.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/11/drive.py
