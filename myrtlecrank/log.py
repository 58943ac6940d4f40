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


class LimitedLine:
    """A line that others can provoke as often as they like: few are written, the rest is counted.

    It has the same limit as RateLimitFilter, which a line only reaches once all of its record was made."""

    def __init__(self, level: str, template: str) -> None:
        self.level = level
        self.template = template
        self.window = _Window(-WINDOW_S, 0)

    def log(self, *arguments: object) -> None:
        """Writes the line with these arguments, unless too many like it were written in this window."""
        left_out = self._open_window(time.monotonic())
        self.window.line_count += 1
        if self.window.line_count > MAX_LINES:
            return
        more = f" (and {left_out} more like it since the last line)" if left_out else ""
        logger.opt(depth=1).log(self.level, self.template + more, *arguments)

    def _open_window(self, now: float) -> int:
        """Begins a new window if it is time. Returns how many lines the last one left out."""
        if now - self.window.started_at <= WINDOW_S:
            return 0
        left_out = max(0, self.window.line_count - MAX_LINES)
        self.window = _Window(now, 0)
        return left_out


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
