"""The scheduler of fleet work: which step of which duty its owner begins now. Free of I/O and clocks;
times are ms of the own monotonic clock.

A step is offered to its receiver under the duty's epoch, one at a time, and the next only after the
register has the last one: a new owner goes on behind it. Two budgets bound the work: each duty's share
of time in which its steps may be under way, and how many steps one member has under way together. Of
those that wait for the second the one that has waited longest begins first, so no duty starves."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from myrtlecrank.fleet.ownership.lease import Duty


@dataclass(frozen=True, slots=True)
class Work:
    """What is done under a duty: a step every so long, within `deadline`, later by `back_off` for each
    failure in a row (doubled, at most 16 times). All in ms. `share`: the most of the time, from above 0
    to 1, in which its steps may be under way; a long step is followed by a wait that brings it down to
    that."""

    name: str
    every: float
    deadline: float
    back_off: float
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class Effect:
    """One step to carry out now. Whoever takes it refuses an epoch older than the newest it met, and a step
    that it has already. `until`: at this time on the own clock it is given up."""

    duty: str
    epoch: int
    step: int
    until: float


@dataclass(slots=True)
class Doing:
    """The state of a duty's work at its owner."""

    epoch: int = 0
    due: float = 0.0
    step: int = 0  # under way, or done and not yet recorded
    until: float | None = None  # while under way
    failures: int = 0
    begun: float = 0.0  # when the step under way was


class Steps:
    def __init__(self, works: Iterable[Work], duties: Mapping[str, Duty], together: int) -> None:
        self.works = {work.name: work for work in works}
        self.duties, self.together = duties, together
        self.doing = {name: Doing() for name in self.works}

    def due(self) -> float:
        """When a step ends or may begin next, as far as time alone decides."""
        full = self._under_way() >= self.together
        dues = [math.inf]
        for name, one in self.doing.items():
            duty = self.duties[name]
            if duty.epoch is None:
                continue
            if one.until is not None:
                dues.append(one.until)
            elif duty.recorded() >= one.step and not full:
                dues.append(one.due)
        return min(dues)

    def tick(self, now: float) -> list[Effect]:
        """The steps that begin now."""
        waiting: list[tuple[float, str]] = []
        for name, work in self.works.items():
            duty, doing = self.duties[name], self.doing[name]
            epoch = duty.owns(now)
            if epoch is None:
                if doing.until is not None:
                    # Not done, as far as is known: were it left as it is, a lease that is found to
                    # stand after all would wait for ever for its record.
                    doing.until, doing.step = None, doing.step - 1
                continue
            if doing.epoch != epoch:
                self.doing[name] = doing = Doing(epoch, now, duty.recorded())
            if doing.until is not None:
                if now >= doing.until:
                    self._failed(work, doing, now)
            elif now >= doing.due and duty.recorded() >= doing.step:
                waiting.append((doing.due, name))
        begun = []
        for _, name in sorted(waiting)[: max(0, self.together - self._under_way())]:
            doing, duty = self.doing[name], self.duties[name]
            doing.step, doing.begun = doing.step + 1, now
            doing.until = min(now + self.works[name].deadline, duty.until)
            begun.append(Effect(name, doing.epoch, doing.step, doing.until))
        return begun

    def did(self, effect: Effect, taken: bool, now: float) -> None:
        """How an effect ended, as its receiver said; where nothing was heard, not taken."""
        doing = self.doing[effect.duty]
        if (doing.epoch, doing.step) != (effect.epoch, effect.step) or doing.until is None:
            return
        work = self.works[effect.duty]
        if not taken:
            self._failed(work, doing, now)
            return
        doing.until, doing.failures = None, 0
        doing.due = now + max(work.every, self._rest(work, doing, now))
        self.duties[effect.duty].advance(effect.step)

    def _failed(self, work: Work, doing: Doing, now: float) -> None:
        """The same step again, later each time: it may have been taken, and its receiver knows a step
        again."""
        doing.until, doing.step = None, doing.step - 1
        wait = work.back_off * 2.0 ** min(doing.failures, 4)
        doing.due = now + max(wait, self._rest(work, doing, now))
        doing.failures += 1

    @staticmethod
    def _rest(work: Work, doing: Doing, now: float) -> float:
        """How long nothing of the duty may be under way after a step that ends now."""
        return (now - doing.begun) * (1.0 / work.share - 1.0)

    def _under_way(self) -> int:
        return sum(
            one.until is not None and self.duties[name].epoch is not None for name, one in self.doing.items()
        )
