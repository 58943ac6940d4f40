"""Simulated machine: cores shared by reads and runs, a cold start, and a collapse under too much concurrency.

Each exchange is read before it reaches the backend, and the read costs work whatever the backend decides. A
core reads one exchange at a time beside running work; further exchanges wait unread. All jobs on the cores
get an equal share."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from typing import Any, Protocol

Callback = Callable[[], object]

WORK_TOLERANCE_MS = 1e-6  # rounding errors of the cumulative work


class Scheduler(Protocol):
    """Time in milliseconds, with callbacks at a time or after a delay."""

    @property
    def now(self) -> float: ...
    def call_at(self, when: float, callback: Callback) -> None: ...
    def call_later(self, delay_ms: float, callback: Callback) -> None: ...


@dataclass(frozen=True)
class MachineSpec:
    """Properties of a machine. Work is in milliseconds on one core at full speed.

    Field names are written to result.json.
    """

    cores: int = 6
    speed: float = 1.0
    reading: float = 75.0
    thrash: float = 0.7  # share of the speed that is left far above thrash_at
    thrash_at: float = 1.35  # jobs per core up to which no speed is lost
    cold_from: float = 0.3
    cold_ms: float = 10_000.0
    memory_kb: float = 60_000.0
    run_weight: float = 16.0
    fall_multiple: float = 8.0
    fall_ms: float = 2000.0


@dataclass(eq=False)
class Job:
    """A read or a run that occupies the cores."""

    work: float
    on_done: Callback | None
    is_run: bool
    ends_at_work: float = 0.0
    began_at: float = 0.0
    memory_kb: float = 0.0


class Machine:
    """Processor sharing between all jobs, computed only when the set of jobs changes."""

    SAMPLING_INTERVAL_MS = 50.0

    def __init__(
        self, clock: Scheduler, build: MachineSpec, cold: bool, up_since: float | None = None
    ) -> None:
        self.clock, self.build = clock, build
        self.started_at = clock.now if up_since is None else up_since
        self.cold = cold
        self.jobs: set[Job] = set()
        self.completions: list[tuple[float, int, Job]] = []
        self.next_sequence = count().__next__
        self.unread_queue: deque[tuple[Callback]] = deque()
        self.active_reads = self.active_runs = 0
        self.work_per_job = 0.0  # cumulative work that a job present throughout would have received
        self.updated_at = clock.now
        self.wakeup_number = 0  # number of the latest wake-up; earlier ones are ignored
        self.mean_runs = 0.0  # moving average of the active runs over fall_ms
        self.used_memory_kb = 0.0
        self.is_dead = False
        self.has_collapsed = False
        self.slowdown = 1.0  # divides the speed
        self.busy_ms = {"readings": 0.0, "runs": 0.0}
        clock.call_later(self.SAMPLING_INTERVAL_MS, self._tick)

    def warmth(self) -> float:
        """Returns the share of full speed that the machine has reached since its start."""
        if not self.cold:
            return 1.0
        spec = self.build
        return min(
            1.0, spec.cold_from + (1.0 - spec.cold_from) * (self.clock.now - self.started_at) / spec.cold_ms
        )

    def _rate(self) -> float:
        """Returns the work that each job receives per millisecond."""
        n, spec = len(self.jobs), self.build
        if not n:
            return 0.0
        load_factor = n / (spec.thrash_at * spec.cores)
        efficiency = 1.0 if load_factor <= 1.0 else spec.thrash + (1.0 - spec.thrash) / load_factor
        return min(1.0, spec.cores / n) * efficiency * spec.speed * self.warmth() / self.slowdown

    def _advance(self) -> None:
        """Accounts for the work done since the last update."""
        elapsed_ms = self.clock.now - self.updated_at
        if elapsed_ms > 0:
            rate = self._rate()
            self.work_per_job += elapsed_ms * rate
            self.busy_ms["readings"] += elapsed_ms * rate * self.active_reads
            self.busy_ms["runs"] += elapsed_ms * rate * self.active_runs
            share = min(1.0, elapsed_ms / self.build.fall_ms)
            self.mean_runs += share * (self.active_runs - self.mean_runs)
            self.updated_at = self.clock.now

    def _schedule_wakeup(self) -> None:
        while self.completions and self.completions[0][2] not in self.jobs:
            heappop(self.completions)
        if not self.completions:
            return
        self.wakeup_number = number = self.wakeup_number + 1
        self.clock.call_later(
            max(0.0, (self.completions[0][0] - self.work_per_job) / self._rate()), lambda: self._wake(number)
        )

    def _wake(self, number: int) -> None:
        if number == self.wakeup_number and not self.is_dead:
            self._advance()
            finished: list[Job] = []
            while self.completions and (
                self.completions[0][2] not in self.jobs
                or self.completions[0][0] <= self.work_per_job + WORK_TOLERANCE_MS
            ):
                job = heappop(self.completions)[2]
                if job in self.jobs:
                    self._remove_job(job)
                    finished.append(job)
            for job in finished:
                if job.on_done is not None:
                    job.on_done()
            self._start_reads()
            self._schedule_wakeup()

    def _tick(self) -> None:
        if self.is_dead:
            return
        self._advance()
        warmth, spec = self.warmth(), self.build
        if (
            self.mean_runs > (1.0 + (spec.fall_multiple - 1.0) * warmth) * spec.cores
            or self.used_memory_kb > spec.memory_kb
        ):
            self.has_collapsed = True
        self._schedule_wakeup()
        self.clock.call_later(self.SAMPLING_INTERVAL_MS, self._tick)

    def _remove_job(self, job: Job) -> None:
        self.jobs.discard(job)
        if job.is_run:
            self.active_runs -= 1
            self.used_memory_kb -= job.memory_kb
        else:
            self.active_reads -= 1

    def _add_job(self, job: Job) -> None:
        job.ends_at_work, job.began_at = self.work_per_job + job.work, self.clock.now
        self.jobs.add(job)
        heappush(self.completions, (job.ends_at_work, self.next_sequence(), job))

    def read(self, on_done: Callback) -> None:
        """Queues an arrived exchange; `on_done` passes it to the backend once it is read."""
        if self.is_dead:
            return
        self._advance()
        self.unread_queue.append((on_done,))
        self._start_reads()
        self._schedule_wakeup()

    def _start_reads(self) -> None:
        while self.unread_queue and self.active_reads < self.build.cores:
            (on_done,) = self.unread_queue.popleft()
            self.active_reads += 1
            self._add_job(Job(self.build.reading, on_done, is_run=False))

    def run(self, work: float, kb: float, on_done: Callback) -> Job:
        """Starts a run and returns its job."""
        self._advance()
        job = Job(work, on_done, is_run=True, memory_kb=kb * self.build.run_weight)
        self.active_runs += 1
        self.used_memory_kb += job.memory_kb
        self._add_job(job)
        self._schedule_wakeup()
        return job

    def cancel(self, job: Job) -> bool:
        """Removes a job; returns False where it has ended already."""
        if job not in self.jobs:
            return False
        self._advance()
        self._remove_job(job)
        self._schedule_wakeup()
        return True

    def gauges(self) -> dict[str, Any]:
        """Returns the gauges that the agent reports, by field name of policy.interface.Gauges."""
        n, spec = len(self.jobs), self.build
        heap = self.used_memory_kb / spec.memory_kb
        return {"cpu": min(1.0, n / spec.cores), "on_cores": float(n), "memory": heap, "connections": 0.0}

    def shut_down(self) -> None:
        """Drops all jobs and unread exchanges without calling their callbacks."""
        self.is_dead = True
        self.jobs.clear()
        self.unread_queue.clear()
