"""Timers: callbacks in the order of their due times. Times in ms; free of I/O and clocks."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count

TimerCallback = Callable[[], object]
MAX_CANCELLED = 64  # and no more than half of all: cancelled timers must not pile up until they are due


class Timer:
    """One callback that waits for its due time."""

    __slots__ = ("callback",)

    def __init__(self, callback: TimerCallback) -> None:
        self.callback: TimerCallback | None = callback  # None once it has run or was cancelled


class TimerQueue:
    """The timers that were not run yet; of equal due times the first that was added runs first."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Timer]] = []
        self.cancelled = 0  # timers in the heap that will do nothing
        self.next_number = count(1).__next__

    def __len__(self) -> int:
        return len(self.heap) - self.cancelled

    def add(self, due: float, callback: TimerCallback) -> Timer:
        """Adds a timer; one that is due already runs with the next run_due()."""
        timer = Timer(callback)
        heappush(self.heap, (due, self.next_number(), timer))
        return timer

    def cancel(self, timer: Timer) -> bool:
        """Keeps a timer from running. Returns False if it has run, or was cancelled before."""
        if timer.callback is None:
            return False
        timer.callback = None
        self.cancelled += 1
        if self.cancelled > MAX_CANCELLED and 2 * self.cancelled > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].callback is not None]
            self.cancelled = 0
            heapify(self.heap)
        return True

    def clear(self) -> None:
        """Removes all timers; none of them runs."""
        self.heap.clear()
        self.cancelled = 0

    def next_due(self) -> float | None:
        """When the next timer is due; None: there is none."""
        while self.heap and self.heap[0][2].callback is None:
            heappop(self.heap)
            self.cancelled -= 1
        return self.heap[0][0] if self.heap else None

    def run_due(self, now: float) -> None:
        """Runs all timers that are due, those that they add included."""
        while (due := self.next_due()) is not None and due <= now:
            timer = heappop(self.heap)[2]
            callback, timer.callback = timer.callback, None
            assert callback is not None
            callback()
