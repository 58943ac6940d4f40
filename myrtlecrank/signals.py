"""The signals that a serving process follows. Imports nothing of ours and nothing heavy, so that they can be
held before anything else is done."""

from __future__ import annotations

import signal

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def hold_signals() -> None:
    """Guards against a signal that comes before serve() can follow it, while the program's parts are still
    being loaded: it waits instead of ending us."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
