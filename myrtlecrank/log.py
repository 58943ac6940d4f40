"""The log: lines on standard error, and only a few of each kind in a while."""

from __future__ import annotations

import sys
import time
from typing import Any

from loguru import logger

AT_MOST, SPAN_S = 5, 10.0  # lines from one place of the code


class Sparing:
    """Guards against a peer that fills the disk or the core with lines: a few tell as much as all."""

    def __init__(self) -> None:
        self.places: dict[tuple[str, int], list[float]] = {}  # since when, and how many lines

    def __call__(self, record: Any) -> bool:
        return self.passes(record, time.monotonic())

    def passes(self, record: Any, now: float) -> bool:
        place = self.places.setdefault((record["name"], record["line"]), [now, 0])
        if now - place[0] > SPAN_S:
            left_out = int(place[1]) - AT_MOST
            if left_out > 0:
                record["message"] += f" (and {left_out} more like it since the last line)"
            place[:] = [now, 0]
        place[1] += 1
        return place[1] <= AT_MOST


def to_stderr() -> None:
    logger.remove()
    logger.add(
        sys.stderr,
        format="{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message}",
        level="INFO",
        filter=Sparing(),
        backtrace=False,
        diagnose=False,
    )
