"""Virtual clock of the rig: it jumps to the time of the next scheduled callback."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

Callback = Callable[[], object]


class Clock:
    """Virtual time in milliseconds. Callbacks due at the same time run in the order of scheduling."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now
        self._scheduled: list[tuple[float, int, Callback]] = []
        self._next_sequence = count().__next__

    def call_at(self, when: float, callback: Callback) -> None:
        """Schedules a callback at `when`, or now if that has passed."""
        heappush(self._scheduled, (max(when, self.now), self._next_sequence(), callback))

    def call_later(self, delay_ms: float, callback: Callback) -> None:
        """Schedules a callback after a delay."""
        self.call_at(self.now + delay_ms, callback)

    def run_until(self, until: float) -> None:
        """Runs the callbacks due up to and including `until`, and stops the clock there."""
        while self._scheduled and self._scheduled[0][0] <= until:
            self.now, _, callback = heappop(self._scheduled)
            callback()
        self.now = until
