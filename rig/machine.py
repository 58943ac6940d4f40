"""Stand-in for one machine: cores shared by readings and runs, a cold start, a collapse past a crowd.

Reading comes before an exchange reaches the backend and costs work whatever is then decided: each core reads
one at a time beside running work, the rest wait unread. All jobs on the cores get an equal share."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from typing import Any, Protocol

Do = Callable[[], object]


class Time(Protocol):
    @property
    def now(self) -> float: ...
    def at(self, when: float, do: Do) -> None: ...
    def after(self, span: float, do: Do) -> None: ...


@dataclass(frozen=True)
class Build:
    """What a machine is. Work in ms on one core at full speed."""

    cores: int = 6
    speed: float = 1.0
    reading: float = 75.0
    thrash: float = 0.7  # of its speed that is left past the crowd
    thrash_at: float = 1.35  # jobs for each core up to which nothing is lost
    cold_from: float = 0.3
    cold_ms: float = 10_000.0
    memory_kb: float = 60_000.0
    run_weight: float = 16.0
    fall_multiple: float = 8.0
    fall_ms: float = 2000.0


@dataclass(eq=False)
class Job:
    work: float
    done: Do | None
    run: bool
    end: float = 0.0
    began: float = 0.0
    kb: float = 0.0


class Machine:
    TICK = 50.0

    def __init__(self, time: Time, build: Build, cold: bool, up_since: float | None = None) -> None:
        self.time, self.build = time, build
        self.born = time.now if up_since is None else up_since
        self.cold = cold
        self.jobs: set[Job] = set()
        self.ends: list[tuple[float, int, Job]] = []
        self.order = count().__next__
        self.unread: deque[tuple[Do]] = deque()
        self.readings = self.runs = 0
        self.given = 0.0  # work each job on the cores was given so far
        self.seen = time.now
        self.due = 0  # the wake-up that counts
        self.crowd = 0.0  # mean runs on the cores over the span of a fall
        self.held_kb = 0.0
        self.dead = False
        self.fell = False
        self.slow = 1.0  # a slow spell divides the speed
        self.busy_ms = {"readings": 0.0, "runs": 0.0}
        time.after(self.TICK, self._tick)

    def warmth(self) -> float:
        if not self.cold:
            return 1.0
        b = self.build
        return min(1.0, b.cold_from + (1.0 - b.cold_from) * (self.time.now - self.born) / b.cold_ms)

    def _rate(self) -> float:
        """Work for each job in a ms."""
        n, b = len(self.jobs), self.build
        if not n:
            return 0.0
        crowded = n / (b.thrash_at * b.cores)
        eff = 1.0 if crowded <= 1.0 else b.thrash + (1.0 - b.thrash) / crowded
        return min(1.0, b.cores / n) * eff * b.speed * self.warmth() / self.slow

    def _pass(self) -> None:
        """Gives out the work of the time since the last look."""
        span = self.time.now - self.seen
        if span > 0:
            rate = self._rate()
            self.given += span * rate
            self.busy_ms["readings"] += span * rate * self.readings
            self.busy_ms["runs"] += span * rate * self.runs
            share = min(1.0, span / self.build.fall_ms)
            self.crowd += share * (self.runs - self.crowd)
            self.seen = self.time.now

    def _wind(self) -> None:
        while self.ends and self.ends[0][2] not in self.jobs:
            heappop(self.ends)
        if not self.ends:
            return
        self.due = number = self.due + 1
        self.time.after(max(0.0, (self.ends[0][0] - self.given) / self._rate()), lambda: self._wake(number))

    def _wake(self, number: int) -> None:
        if number == self.due and not self.dead:
            self._pass()
            over: list[Job] = []
            while self.ends and (self.ends[0][2] not in self.jobs or self.ends[0][0] <= self.given + 1e-6):
                job = heappop(self.ends)[2]
                if job in self.jobs:
                    self._take_off(job)
                    over.append(job)
            for job in over:
                if job.done is not None:
                    job.done()
            self._read_on()
            self._wind()

    def _tick(self) -> None:
        if self.dead:
            return
        self._pass()
        s, b = self.warmth(), self.build
        if self.crowd > (1.0 + (b.fall_multiple - 1.0) * s) * b.cores or self.held_kb > b.memory_kb:
            self.fell = True
        self._wind()
        self.time.after(self.TICK, self._tick)

    def _take_off(self, job: Job) -> None:
        self.jobs.discard(job)
        if job.run:
            self.runs -= 1
            self.held_kb -= job.kb
        else:
            self.readings -= 1

    def _put_on(self, job: Job) -> None:
        job.end, job.began = self.given + job.work, self.time.now
        self.jobs.add(job)
        heappush(self.ends, (job.end, self.order(), job))

    def read(self, done: Do) -> None:
        """One exchange came in; `done` hands it to the backend once it is read."""
        if self.dead:
            return
        self._pass()
        self.unread.append((done,))
        self._read_on()
        self._wind()

    def _read_on(self) -> None:
        while self.unread and self.readings < self.build.cores:
            (done,) = self.unread.popleft()
            self.readings += 1
            self._put_on(Job(self.build.reading, done, run=False))

    def run(self, work: float, kb: float, done: Do) -> Job:
        self._pass()
        job = Job(work, done, run=True, kb=kb * self.build.run_weight)
        self.runs += 1
        self.held_kb += job.kb
        self._put_on(job)
        self._wind()
        return job

    def halt(self, job: Job) -> bool:
        if job not in self.jobs:
            return False
        self._pass()
        self._take_off(job)
        self._wind()
        return True

    def gauges(self) -> dict[str, Any]:
        n, b = len(self.jobs), self.build
        heap = self.held_kb / b.memory_kb
        return {"cpu": min(1.0, n / b.cores), "on_cores": float(n), "memory": heap, "connections": 0.0}

    def die(self) -> None:
        self.dead = True
        self.jobs.clear()
        self.unread.clear()
