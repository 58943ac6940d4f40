"""Real-time clock of the rig: one greenlet runs due callbacks, and their lateness is recorded."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heappop, heappush

from gevent.event import Event
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from rig.clock import Clock

SHORTEST_WAIT_S = 0.0005


class RealClock(Clock):
    """Shows 0 until begin() and the milliseconds since begin() afterwards."""

    def __init__(self) -> None:
        super().__init__()
        self.began_at: float | None = None
        self.lateness_us = HdrHistogram(1, 10_000_000, 3)
        self._rescheduled = Event()

    @property
    def now(self) -> float:
        return 0.0 if self.began_at is None else time.time() * 1000.0 - self.began_at

    @now.setter
    def now(self, _: float) -> None:
        """Ignored: real time cannot be set."""

    def begin(self) -> None:
        """Starts the clock."""
        self.began_at = time.time() * 1000.0

    def call_at(self, when: float, callback: Callable[[], object]) -> None:
        first = not self._scheduled or when < self._scheduled[0][0]
        heappush(self._scheduled, (when, self._next_sequence(), callback))
        if first:
            self._rescheduled.set()

    def run_until(self, until: float) -> None:
        while (now := self.now) < until:
            if self._scheduled and self._scheduled[0][0] <= now:
                due, _, callback = heappop(self._scheduled)
                self.lateness_us.record_value(max(1, round((now - due) * 1000.0)))
                callback()
                continue
            self._rescheduled.clear()
            left = min(until, self._scheduled[0][0] if self._scheduled else until) - now
            self._rescheduled.wait(max(SHORTEST_WAIT_S, left / 1000.0))

    def lateness_ms(self) -> float:
        """Returns the 99th percentile of the callbacks' lateness."""
        return float(self.lateness_us.get_value_at_percentile(99.0)) / 1000.0
