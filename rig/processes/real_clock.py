"""The rig's clock in real time: due things are done on one greenlet, and how late they were is kept."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heappop, heappush

from gevent.event import Event
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from rig.clock import Clock


class RealClock(Clock):
    """Stands at 0 until begin(); from then on it shows the ms since."""

    def __init__(self) -> None:
        super().__init__()
        self.begun: float | None = None
        self.late = HdrHistogram(1, 10_000_000, 3)  # us
        self._earlier = Event()

    @property
    def now(self) -> float:
        return 0.0 if self.begun is None else time.time() * 1000.0 - self.begun

    @now.setter
    def now(self, _: float) -> None:
        """Real time is not set."""

    def begin(self) -> None:
        self.begun = time.time() * 1000.0

    def at(self, when: float, do: Callable[[], object]) -> None:
        first = not self._dues or when < self._dues[0][0]
        heappush(self._dues, (when, self._order(), do))
        if first:
            self._earlier.set()

    def play(self, until: float) -> None:
        while (now := self.now) < until:
            if self._dues and self._dues[0][0] <= now:
                due, _, do = heappop(self._dues)
                self.late.record_value(max(1, round((now - due) * 1000.0)))
                do()
                continue
            self._earlier.clear()
            left = min(until, self._dues[0][0] if self._dues else until) - now
            self._earlier.wait(max(0.0005, left / 1000.0))

    def lateness_ms(self) -> float:
        """The 99th percentile of how late due things were done."""
        return float(self.late.get_value_at_percentile(99.0)) / 1000.0
