#!/usr/bin/env bash
# Builds what the cases start beside the program. All stand-ins are Python files of this folder that need
# nothing but the standard library, so there is nothing to install: they are only compiled once, as a check.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
for file in review/common/*.py review/[0-9]*/*.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
