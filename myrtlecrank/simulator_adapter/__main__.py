"""Runs the decision module on the simulator's wire: standard input to standard output."""

import sys
import traceback

from myrtlecrank import subsystems
from myrtlecrank.operators.file import OperatorsError
from myrtlecrank.simulator_adapter.host import Panic, serve
from myrtlecrank.simulator_adapter.protocol import WireError


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer, subsystems.load().repeats)
    except OperatorsError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    except WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    except Panic as panic:
        traceback.print_exception(panic.__cause__, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
