"""The scheduler of fleet work: which step of which duty its owner starts now. It does no I/O and reads no
clock; times are ms of the local monotonic clock.

A step is offered to its receiver under the epoch of the duty's lease, one at a time, and the next one only
after the register has recorded the last: a new owner continues behind it. Two limits bound the work: for
each duty the share of time in which its steps may run, and for the member the number of steps that run
concurrently. Of the duties that wait for the second limit the one that has waited longest starts first, so
that none starves."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from myrtlecrank.fleet.ownership.lease import Duty

MAX_BACK_OFF_DOUBLINGS = 4


@dataclass(frozen=True, slots=True)
class DutySchedule:
    """When the steps of a duty run.

    A failed step is retried after `back_off_ms`, doubled for each further failure in a row up to 16 times.
    `max_share`, above 0 and at most 1, is the share of time in which steps may run: a long step is followed
    by a wait that keeps to it."""

    name: str
    interval_ms: float
    deadline_ms: float
    back_off_ms: float
    max_share: float = 1.0


@dataclass(frozen=True, slots=True)
class Effect:
    """One step to carry out now. Its receiver rejects an epoch below the newest that it has seen, and does
    not repeat a step that it has already taken. At `expires_at`, on the local clock, the step is
    abandoned."""

    duty: str
    epoch: int
    step: int
    expires_at: float


@dataclass(slots=True)
class DutyProgress:
    """The state of a duty's work at its owner."""

    epoch: int = 0
    due: float = 0.0
    step: int = 0  # running, or done and not recorded yet
    expires_at: float | None = None  # None while no step runs
    failures: int = 0  # in a row
    started_at: float = 0.0


class StepScheduler:
    """Starts the steps of all duties that this process owns."""

    def __init__(
        self, schedules: Iterable[DutySchedule], duties: Mapping[str, Duty], max_concurrent: int
    ) -> None:
        self.schedules = {schedule.name: schedule for schedule in schedules}
        self.duties = duties
        self.max_concurrent = max_concurrent
        self.progress = {name: DutyProgress() for name in self.schedules}
        # Duties whose running step counts no longer, so that its offer is to be ended; the reader empties it.
        self.abandoned_duties: list[str] = []
        self.failed_offers = dict.fromkeys(self.schedules, 0)  # since the start of the process

    def due(self) -> float:
        """When a step expires or may start next, as far as time alone decides."""
        is_full = self._running_steps() >= self.max_concurrent
        dues = [math.inf]
        for name, progress in self.progress.items():
            duty = self.duties[name]
            if duty.epoch is None:
                continue
            if progress.expires_at is not None:
                dues.append(progress.expires_at)
            elif duty.recorded_step() >= progress.step and not is_full:
                dues.append(progress.due)
        return min(dues)

    def tick(self, now: float) -> list[Effect]:
        """Expires overdue steps; returns the steps that start now."""
        ready: list[tuple[float, str]] = []
        for name, schedule in self.schedules.items():
            duty = self.duties[name]
            progress = self.progress[name]
            epoch = duty.owns(now)
            if epoch is None:
                if progress.expires_at is not None:
                    # The running step counts as not done. If it stayed as it is and the lease then turned out
                    # to be valid after all, the duty would wait forever for the record of this step.
                    progress.expires_at = None
                    progress.step -= 1
                    self.abandoned_duties.append(name)
                continue
            if progress.epoch != epoch:
                if progress.expires_at is not None:
                    self.abandoned_duties.append(name)
                self.progress[name] = progress = DutyProgress(epoch, now, duty.recorded_step())
            if progress.expires_at is not None:
                if now >= progress.expires_at:
                    self.abandoned_duties.append(name)
                    self._schedule_retry(schedule, progress, now)
            elif now >= progress.due and duty.recorded_step() >= progress.step:
                ready.append((progress.due, name))
        started = []
        for _, name in sorted(ready)[: max(0, self.max_concurrent - self._running_steps())]:
            progress = self.progress[name]
            progress.step += 1
            progress.started_at = now
            progress.expires_at = min(now + self.schedules[name].deadline_ms, self.duties[name].lease_end)
            started.append(Effect(name, progress.epoch, progress.step, progress.expires_at))
        return started

    def finish(self, effect: Effect, taken: bool, now: float) -> None:
        """Handles the receiver's answer to an effect; without an answer the effect counts as not taken."""
        progress = self.progress[effect.duty]
        is_current = (progress.epoch, progress.step) == (effect.epoch, effect.step)
        if not is_current or progress.expires_at is None:
            return
        schedule = self.schedules[effect.duty]
        if not taken:
            self._schedule_retry(schedule, progress, now)
            return
        progress.expires_at = None
        progress.failures = 0
        progress.due = now + max(schedule.interval_ms, self._idle_ms(schedule, progress, now))
        self.duties[effect.duty].advance(effect.step)

    def _schedule_retry(self, schedule: DutySchedule, progress: DutyProgress, now: float) -> None:
        """Retries the same step with exponential back-off. It may have been taken: its receiver recognizes
        it."""
        progress.expires_at = None
        progress.step -= 1
        back_off_ms = schedule.back_off_ms * 2.0 ** min(progress.failures, MAX_BACK_OFF_DOUBLINGS)
        progress.due = now + max(back_off_ms, self._idle_ms(schedule, progress, now))
        progress.failures += 1
        self.failed_offers[schedule.name] += 1

    @staticmethod
    def _idle_ms(schedule: DutySchedule, progress: DutyProgress, now: float) -> float:
        """How long no step of the duty may run after one that ends now, which keeps to `max_share`."""
        return (now - progress.started_at) * (1.0 / schedule.max_share - 1.0)

    def _running_steps(self) -> int:
        return sum(
            progress.expires_at is not None and self.duties[name].epoch is not None
            for name, progress in self.progress.items()
        )
