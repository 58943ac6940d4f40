"""Entry point of `python -m myrtlecrank`."""

import sys

from myrtlecrank.signals import block_signals

if __name__ == "__main__":
    if "serve" in sys.argv[1:2]:
        block_signals()
    from myrtlecrank.cli import main

    main(prog_name="myrtlecrank")
