"""The clocks of the program. Times in ms."""

from __future__ import annotations

import time

CLOCK_OFFSET_MS = time.time() * 1000.0 - time.monotonic() * 1000.0


def unix_ms() -> float:
    """The system clock in Unix ms. Only for comparison with timestamps of callers."""
    return time.time() * 1000.0


def now_ms() -> float:
    """Unix time in ms that never steps: the system clock at import, plus monotonic time since then. Due times
    must not shift when the system clock is set."""
    return CLOCK_OFFSET_MS + time.monotonic() * 1000.0
