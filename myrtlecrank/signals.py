"""The signals that a serving process handles.

Imports no other module of the package and none that is slow to load, so that the signals can be blocked
before anything else is done.
"""

from __future__ import annotations

import signal

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block_signals() -> None:
    """Blocks the signals until serve() has installed its handlers. One that arrives while the program is
    being loaded stays pending instead of killing the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
