"""Runs the program with a wall clock that the rig steps:
`python -m rig.processes.stepped_clock FILE serve ...`.

FILE holds the offset of the wall clock in seconds and is read at each use of the clock. With `--wall-leases`
before FILE, the fleet's leases also use that clock, which is an injected fault."""

from __future__ import annotations

import sys
import time
from pathlib import Path

REAL_TIME = time.time
REAL_TIME_NS = time.time_ns


def offset_s(file: Path) -> float:
    """Returns the offset in the file, or 0 if there is none."""
    try:
        return float(file.read_text() or 0.0)
    except OSError:
        return 0.0


def main() -> None:
    """Replaces the wall clock and runs the command line of the program."""
    uses_wall_leases = sys.argv[1] == "--wall-leases"
    file = Path(sys.argv[2 if uses_wall_leases else 1])
    time.time = lambda: REAL_TIME() + offset_s(file)
    time.time_ns = lambda: REAL_TIME_NS() + round(offset_s(file) * 1e9)
    from myrtlecrank import cli
    from myrtlecrank.fleet import actor

    if uses_wall_leases:
        actor.monotonic_ms = lambda: time.time() * 1000.0
    cli.main(sys.argv[3 if uses_wall_leases else 2 :], prog_name="myrtlecrank")


if __name__ == "__main__":
    main()
