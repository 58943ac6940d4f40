"""Which times left are those of first tries.

Callers wait a fixed time for a first try and what is left of the whole deadline for a further one. So first
tries of an endpoint group pile up on one or a few exact values of the time left, and further ones lie
anywhere. Seen on played days: of 37,349 exchanges each of the 36,685 first tries told 557 or 558 ms, and each
of the 682 further ones its deadline less its age, 1,000 to 1,482 ms. Nothing is taken for granted of which is
longer."""

from __future__ import annotations

from array import array

WIDE = 2.0  # ms in a bin
REACH = 2  # bins on either side that belong to a peak: times are told in whole ms
FLANK = 10  # bins on either side that a peak must stand out from
HEIGHT = 4.0  # times the mean of its flanks
MASS = 0.12  # of all that came, for a peak
MIDDLE = MASS / (2 * REACH + 1)  # of all that came, at the least in the middle of a peak
MOST = 4096  # bins
EARLY, LATE = 0.97, 1.12  # of the time waited for a first try, when the next is sent
SLICE = 512  # arrivals after which what is older counts half


class Patience:
    """The times left of one endpoint group, as a histogram whose past fades with each slice of arrivals."""

    def __init__(self, deadline: float) -> None:
        self.wide = max(WIDE, 2.0 * deadline / MOST)
        self.bins = array("f", bytes(4 * MOST))
        self.total, self.since = 0.0, 0
        self.peaks: list[int] = []
        self.high: set[int] = set()  # bins that may be the middle of a peak

    def waited(self, age: float) -> bool:
        """Whether a try of that age comes just after a first try that was waited for in vain."""
        return any(EARLY * at <= age <= LATE * at for at in ((peak + 0.5) * self.wide for peak in self.peaks))

    def note(self, left: float) -> bool:
        """Takes one arrival's time left in; whether it lies on a peak."""
        at = min(MOST - 1, max(0, int(left / self.wide)))
        self.bins[at] += 1.0
        self.total += 1.0
        self.since += 1
        if self.bins[at] >= MIDDLE * self.total:
            self.high.add(at)
        if self.since >= SLICE or (self.total < SLICE and self.since % 32 == 0):
            self._learn()
        return any(abs(at - peak) <= REACH for peak in self.peaks)

    def _mass(self, at: int) -> float:
        return sum(self.bins[max(0, at - REACH) : at + REACH + 1])

    def _learn(self) -> None:
        found: list[int] = []
        self.high = {at for at in self.high if self.bins[at] >= MIDDLE * self.total}
        for at in sorted(self.high, key=self.bins.__getitem__, reverse=True):
            if any(abs(at - peak) <= 2 * REACH for peak in found):
                continue
            flanks = [
                self.bins[i]
                for side in (-1, 1)
                for i in range(at + side * (REACH + 1), at + side * (FLANK + 1), side)
                if 0 <= i < MOST
            ]
            level = sum(flanks) / len(flanks) * (2 * REACH + 1)
            mass = self._mass(at)
            if mass >= MASS * self.total and mass >= HEIGHT * level:
                found.append(at)
        self.peaks = found
        if self.since >= SLICE:
            self.since = 0
            self.total *= 0.5
            for at in range(MOST):
                if self.bins[at]:
                    self.bins[at] = self.bins[at] * 0.5 if self.bins[at] > 0.05 else 0.0
