"""A clock that jumps to the next due thing. The stand-ins know no other."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

Do = Callable[[], object]


class Clock:
    """Virtual time in ms. Things due at one instant are done in the order in which they were asked for."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now
        self._dues: list[tuple[float, int, Do]] = []
        self._order = count().__next__

    def at(self, when: float, do: Do) -> None:
        heappush(self._dues, (max(when, self.now), self._order(), do))

    def after(self, span: float, do: Do) -> None:
        self.at(self.now + span, do)

    def play(self, until: float) -> None:
        while self._dues and self._dues[0][0] <= until:
            self.now, _, do = heappop(self._dues)
            do()
        self.now = until
