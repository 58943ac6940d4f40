"""Runs controllers for the simulator: events on standard input, operations on standard output.

Exit codes: 0 at the end of the input, 1 for a malformed line or an exception in a controller, 2 for an
operators' file that is not valid.
"""

import sys
import traceback

from myrtlecrank import subsystems
from myrtlecrank.operators.file import OperatorsFileError
from myrtlecrank.simulator_adapter.host import Panic, serve
from myrtlecrank.simulator_adapter.protocol import ProtocolError


def main() -> int:
    """Serves until the input ends; returns the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer, subsystems.load().repeats)
    except OperatorsFileError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    except ProtocolError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    except Panic as panic:
        traceback.print_exception(panic.__cause__, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
