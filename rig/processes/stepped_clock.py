"""Runs the program with a wall clock that the rig steps:
`python -m rig.processes.stepped_clock FILE serve ...`.

FILE holds by how many seconds the wall clock is off, read at each look at it. With `--wall-leases`
before it the leases of the fleet are counted on that clock too: a planted bug."""

from __future__ import annotations

import sys
import time
from pathlib import Path

REAL, REAL_NS = time.time, time.time_ns


def off(file: Path) -> float:
    try:
        return float(file.read_text() or 0.0)
    except OSError:
        return 0.0


def main() -> None:
    planted = sys.argv[1] == "--wall-leases"
    file = Path(sys.argv[2 if planted else 1])
    time.time = lambda: REAL() + off(file)
    time.time_ns = lambda: REAL_NS() + round(off(file) * 1e9)
    from myrtlecrank import cli
    from myrtlecrank.fleet import actor

    if planted:
        actor.monotonic_ms = lambda: time.time() * 1000.0
    cli.main(sys.argv[3 if planted else 2 :], prog_name="myrtlecrank")


if __name__ == "__main__":
    main()
