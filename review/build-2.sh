#!/bin/sh
# Builds what the cases 6 to 10 start beside the program: their stand-ins and the project's own in rig/. After the deploy file's build.
# Python only, no further dependency: the files are compiled, and imported once.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review rig
PYTHONPATH=review/stage2 .venv/bin/python -c "import stage"
