"""How fast new connections are accepted: decisions only, no I/O and no clock. Times in ms.

Guards against reconnect storms: hundreds of callers that come at one instant, to a backend that just came
back cold or to one whose loop is behind. Accepting all of them at once keeps the loop from the exchanges, the
agent's link and the health checks that stand already; those that wait are in the system's backlog meanwhile,
and lose nothing."""

from __future__ import annotations

from dataclasses import dataclass

from myrtlecrank.operators.sections import figure

SLOWER, FASTER = 0.7, 1.1  # on each beat that is late, or is not
ROUNDING = 1e-6  # of a turn: who waited as told must not be told to wait a nothing more
SLOWEST = 0.1  # of the usual pace, however late the loop is


@dataclass(frozen=True, slots=True)
class Accepting:
    """Section [accepting]."""

    on: bool = figure(True, what="false: connections are accepted as they come")
    per_second: float = figure(2000.0, 10.0, 1_000_000.0, "connections accepted in a second, in the mean")
    cold_per_second: float = figure(500.0, 10.0, 1_000_000.0, "the same while the machine is cold")
    burst: int = figure(64, 1, 100_000, "connections accepted at once after a quiet time")
    late_ms: float = figure(50.0, 1.0, 10_000.0, "how late a beat may be before the pace falls")


def contradictions(bounds: Accepting) -> list[str]:
    """What is legal alone and senseless together, a line each."""
    if bounds.cold_per_second > bounds.per_second:
        return [
            f"cold_per_second: is {bounds.cold_per_second:g}, above per_second {bounds.per_second:g}: "
            "a cold machine would be asked for more than a warm one"
        ]
    return []


class Pace:
    """A bucket of turns, filled at a pace that follows the warmth of the machine and how late the loop is."""

    def __init__(self, bounds: Accepting, now: float) -> None:
        self.bounds = bounds
        self.turns = float(bounds.burst)
        self.part = 1.0  # of the usual pace that the loop can take
        self.now = now
        self.held_back = 0  # connections that had to wait, since the last look

    def per_second(self, warmth: float) -> float:
        """`warmth`: 0 to 1."""
        cold, warm = self.bounds.cold_per_second, self.bounds.per_second
        return (cold + (warm - cold) * min(1.0, max(0.0, warmth))) * self.part

    def wait(self, warmth: float, now: float) -> float:
        """How long the next connection has to wait; where it need not, its turn is taken."""
        pace = self.per_second(warmth) / 1000.0
        self.turns = min(float(self.bounds.burst), self.turns + max(0.0, now - self.now) * pace)
        self.now = now  # a clock that steps back costs the turns of that time
        if self.turns > 1.0 - ROUNDING:
            self.turns = max(0.0, self.turns - 1.0)
            return 0.0
        self.held_back += 1
        return (1.0 - self.turns) / pace

    def beat(self, late: float) -> None:
        """`late`: how far a beat came after it was due."""
        factor = SLOWER if late > self.bounds.late_ms else FASTER
        self.part = min(1.0, max(SLOWEST, self.part * factor))
