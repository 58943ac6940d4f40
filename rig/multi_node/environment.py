"""Virtual time, hosts with clocks of their own, a network and disks that fail, all drawn from one seed."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

Do = Callable[[], None]


class World:
    """Time in ms. What is due in one instant goes in an order drawn from the seed."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.queue: list[tuple[float, float, int, Do]] = []
        self.order = count(1).__next__
        self.cuts: dict[tuple[str, str], float] = {}  # from, to: until when nothing comes through
        self.slow: dict[tuple[str, str], tuple[float, float]] = {}  # until when, by how much later
        self.base, self.jitter, self.twice, self.lose = 1.0, 4.0, 0.01, 0.002
        self.sent: dict[str, int] = {}  # bytes by host
        self.messages = 0

    def at(self, when: float, do: Do) -> None:
        heappush(self.queue, (max(when, self.now), self.random.random(), self.order(), do))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, _, do = heappop(self.queue)
            do()
        self.now = until

    def carry(self, source: str, target: str, size: int, arrive: Do) -> None:
        """One message; it may be lost, late or come twice."""
        self.messages += 1
        self.sent[source] = self.sent.get(source, 0) + size
        link = (source, target)
        if source != target:
            if self.cuts.get(link, 0.0) > self.now or self.random.random() < self.lose:
                return
            until, more = self.slow.get(link, (0.0, 0.0))
            delay = self.base + self.jitter * self.random.random() + (more if until > self.now else 0.0)
        else:
            delay = 0.05
        self.at(self.now + delay, arrive)
        if source != target and self.random.random() < self.twice:
            self.at(self.now + delay + 50.0 * self.random.random(), arrive)

    def cut(self, source: str, target: str, until: float) -> None:
        self.cuts[source, target] = max(until, self.cuts.get((source, target), 0.0))


class Host:
    """One machine's process: a clock with a rate and a start of its own, up or down, running or stopped."""

    def __init__(self, world: World, name: str, drift: float) -> None:
        self.world, self.name = world, name
        self.rate = 1.0 + world.random.uniform(-drift, drift)
        self.base = world.random.uniform(0.0, 1e6)
        self.up = True
        self.stopped_until = 0.0
        self.wall = 0.0  # how far the wall clock was stepped; nothing of the program reads that one
        self.life = 0  # grows with each start: what was meant for an earlier one comes to nothing

    def clock(self) -> float:
        """The local monotonic clock, in ms."""
        return self.base + self.world.now * self.rate

    def true(self, local: float) -> float:
        return (local - self.base) / self.rate

    def later(self, when: float, do: Do) -> None:
        """At a true time, in this life; not while the process is stopped, but then at its waking."""
        life = self.life

        def go() -> None:
            if self.life != life or not self.up:
                return
            if self.stopped_until > self.world.now:
                self.world.at(self.stopped_until, go)
            else:
                do()

        self.world.at(when, go)
