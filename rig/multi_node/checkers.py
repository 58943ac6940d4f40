"""Checkers outside the fleet: the resource that receives its effects, a record of the times without a
majority, and a linearizability checker of histories."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from myrtlecrank.fleet.step_scheduler import Effect

MAX_SAMPLING_GAP_MS = 100.0  # samples further apart than this belong to separate intervals


@dataclass(frozen=True, slots=True)
class AppliedEffect:
    """One effect that the resource applied, and when."""

    at: float
    duty: str
    epoch: int
    step: int
    owner: str


@dataclass
class Resource:
    """Receives effects in the order in which they arrive.

    With its fence it rejects an epoch older than the newest that it met, and acknowledges a step that it has
    without applying it again. Without the fence it applies every effect."""

    fence: bool = True
    newest_epoch: dict[str, int] = field(default_factory=dict)
    last_step: dict[str, int] = field(default_factory=dict)
    applied: list[AppliedEffect] = field(default_factory=list)
    late_offered: int = 0
    late_applied: int = 0
    again_offered: int = 0
    steps_twice: int = 0

    def offer(self, at: float, owner: str, effect: Effect) -> bool:
        """Returns the answer to the owner: whether its step is applied, now or before."""
        duty = effect.duty
        is_late = effect.epoch < self.newest_epoch.get(duty, 0)
        is_again = effect.step <= self.last_step.get(duty, 0)
        self.late_offered += is_late
        self.again_offered += is_again and not is_late
        if self.fence and is_late:
            return False
        self.newest_epoch[duty] = max(effect.epoch, self.newest_epoch.get(duty, 0))
        if self.fence and is_again:
            return True
        self.late_applied += is_late
        self.steps_twice += is_again
        self.last_step[duty] = max(effect.step, self.last_step.get(duty, 0))
        self.applied.append(AppliedEffect(at, duty, effect.epoch, effect.step, owner))
        return True

    def steps_lost(self) -> int:
        """Returns how many steps are missing before the last applied one of each duty."""
        lost = 0
        for duty, last in self.last_step.items():
            lost += last - len({effect.step for effect in self.applied if effect.duty == duty})
        return lost

    def figures(self) -> dict[str, float]:
        """Returns the counts under the names that results use."""
        return {
            "owners_at_once": self.owners_at_once(),
            "late_effects_offered": self.late_offered,
            "late_effects_taken": self.late_applied,
            "steps": sum(self.last_step.values()),
            "steps_again_offered": self.again_offered,
            "steps_lost": self.steps_lost(),
            "steps_twice": self.steps_twice,
        }

    def owners_at_once(self) -> int:
        """Returns the largest number of owners of one duty whose effects were applied at the same time."""
        return max_concurrent_actors(
            [(effect.at, effect.duty, f"{effect.owner} {effect.epoch}") for effect in self.applied]
        )

    def gaps(self, begin: float, end: float, duties: list[str]) -> list[tuple[float, float]]:
        """Returns the intervals between consecutive effects of each duty, from begin to end."""
        found: list[tuple[float, float]] = []
        for duty in duties:
            times = [effect.at for effect in self.applied if effect.duty == duty and effect.at >= begin]
            found += itertools.pairwise([begin, *times, end])
        return found


@dataclass
class MajorityOutages:
    """The intervals in which no member reached a majority of voters, as far as the code that injects the
    faults can tell. `recovery_ms`: how long a takeover needs once a majority is reachable again."""

    recovery_ms: float
    intervals: list[list[float]] = field(default_factory=list)

    def sample(self, now: float, majority_reached: bool) -> None:
        """Records one sample; called several times in MAX_SAMPLING_GAP_MS."""
        if majority_reached:
            return
        if not self.intervals or self.intervals[-1][1] < now - MAX_SAMPLING_GAP_MS:
            self.intervals.append([now, now])
        self.intervals[-1][1] = now

    def total_ms(self) -> float:
        """Returns the sum of all outages, without the recovery times."""
        return sum(last - first for first, last in self.intervals)

    def available_ms(self, begin: float, end: float) -> float:
        """Returns how much of the time from begin to end lies outside outages and their recovery times."""
        available, counted_until = end - begin, begin
        for first, last in self.intervals:
            first, last = max(first, counted_until), min(last + self.recovery_ms, end)
            if last > first:
                available -= last - first
                counted_until = last
        return max(0.0, available)


def max_concurrent_actors(actions: list[tuple[float, str, str]]) -> int:
    """Returns the largest number of actors on one duty at the same time. An actor counts from its first
    action to its last. `actions`: time, duty, actor."""
    intervals: dict[str, dict[str, list[float]]] = {}
    for at, duty, actor in actions:
        intervals.setdefault(duty, {}).setdefault(actor, [at, at])[1] = at
    most = 0
    for by_actor in intervals.values():
        for start, _ in by_actor.values():
            most = max(most, sum(first <= start <= last for first, last in by_actor.values()))
    return most


@dataclass(slots=True)
class Operation:
    """One call to the register as its caller observed it. `end` is infinite if the outcome is unknown. `read`
    is the writer of the record that the caller received, `base` the writer of the record that it changed, and
    `written` the writer of its own record."""

    begin: float
    end: float
    kind: str  # read, change or conflict; "maybe": a change whose outcome is unknown
    read: str = ""
    base: str = ""
    written: str = ""


def linearizable(history: list[Operation]) -> bool:
    """Returns whether a single register could have executed all operations in some order, each taking effect
    between its begin and its end. Exhaustive search after Wing and Gong (1993) with memoization."""
    operations = sorted(history, key=lambda operation: operation.begin)
    all_done = (1 << len(operations)) - 1
    visited: set[tuple[int, str]] = set()
    stack = [(0, "")]
    while stack:
        done, state = stack.pop()
        if done == all_done:
            return True
        if (done, state) in visited:
            continue
        visited.add((done, state))
        remaining = [i for i in range(len(operations)) if not done >> i & 1]
        first_end = min(operations[i].end for i in remaining)
        for i in remaining:
            operation = operations[i]
            if operation.begin > first_end:
                break
            after = done | 1 << i
            if operation.kind in ("read", "conflict"):
                if state == operation.read and (operation.kind == "read" or state != operation.base):
                    stack.append((after, state))
            elif operation.kind == "change" and state == operation.base:
                stack.append((after, operation.written))
            elif operation.kind == "maybe":
                stack.append((after, state))
                if state == operation.base:
                    stack.append((after, operation.written))
    return False
