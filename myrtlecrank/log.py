"""The log: lines on standard error, limited in number for each call site."""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass
from typing import Any

from loguru import logger

MAX_LINES = 5  # from one call site in one window
WINDOW_S = 10.0


@dataclass(slots=True)
class _Window:
    started_at: float  # s
    line_count: int


class RateLimitFilter:
    """A loguru filter that passes the first few lines of each call site in each window of time.

    A misbehaving peer could otherwise fill the disk, or keep a core busy, with lines that say the same.
    """

    def __init__(self) -> None:
        self.windows: dict[tuple[str, int], _Window] = {}  # by the call site's module and line number

    def __call__(self, record: Any) -> bool:
        return self.passes(record, time.monotonic())

    def passes(self, record: Any, now: float) -> bool:
        """Whether the line is to be written; `now` in seconds. The first line of a new window says how many
        were left out since the last one."""
        window = self.windows.setdefault((record["name"], record["line"]), _Window(now, 0))
        if now - window.started_at > WINDOW_S:
            left_out = window.line_count - MAX_LINES
            if left_out > 0:
                record["message"] += f" (and {left_out} more like it since the last line)"
            window.started_at = now
            window.line_count = 0
        window.line_count += 1
        return window.line_count <= MAX_LINES


def to_stderr() -> None:
    """Sends all log lines to standard error, in place of any earlier destination."""
    logger.remove()
    logger.add(
        sys.stderr,
        format="{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message}",
        level="INFO",
        filter=RateLimitFilter(),
        backtrace=False,
        diagnose=False,
    )
