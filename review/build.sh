#!/bin/sh
# Builds the stand-ins, which need the standard library only.
set -eu
python3 -m compileall -q "$(dirname "$0")/common"
