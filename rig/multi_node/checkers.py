"""What stands outside the fleet and judges it: the resource that takes its effects, and a checker of
histories."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from myrtlecrank.fleet.step_scheduler import Effect


@dataclass(frozen=True, slots=True)
class Taken:
    at: float
    duty: str
    epoch: int
    step: int
    owner: str


@dataclass
class Resource:
    """Takes effects in the order in which they come. With its fence it refuses an epoch older than the newest
    that it met and answers a step that it has without doing it again; without, it does all it hears."""

    fence: bool = True
    newest: dict[str, int] = field(default_factory=dict)
    last: dict[str, int] = field(default_factory=dict)
    taken: list[Taken] = field(default_factory=list)
    late_offered: int = 0
    late_taken: int = 0
    again_offered: int = 0
    steps_twice: int = 0

    def offered(self, at: float, owner: str, effect: Effect) -> bool:
        """What the owner hears: its step is done, now or before."""
        duty = effect.duty
        late = effect.epoch < self.newest.get(duty, 0)
        again = effect.step <= self.last.get(duty, 0)
        self.late_offered += late
        self.again_offered += again and not late
        if self.fence and late:
            return False
        self.newest[duty] = max(effect.epoch, self.newest.get(duty, 0))
        if self.fence and again:
            return True
        self.late_taken += late
        self.steps_twice += again
        self.last[duty] = max(effect.step, self.last.get(duty, 0))
        self.taken.append(Taken(at, duty, effect.epoch, effect.step, owner))
        return True

    def steps_lost(self) -> int:
        """Steps left out: a later one was taken without them."""
        lost = 0
        for duty, last in self.last.items():
            lost += last - len({one.step for one in self.taken if one.duty == duty})
        return lost

    def figures(self) -> dict[str, float]:
        """What it counted, by the names that results have."""
        return {
            "owners_at_once": self.owners_at_once(),
            "late_effects_offered": self.late_offered,
            "late_effects_taken": self.late_taken,
            "steps": sum(self.last.values()),
            "steps_again_offered": self.again_offered,
            "steps_lost": self.steps_lost(),
            "steps_twice": self.steps_twice,
        }

    def owners_at_once(self) -> int:
        """The most owners of one duty that effects were taken from at one time."""
        return at_once([(one.at, one.duty, f"{one.owner} {one.epoch}") for one in self.taken])

    def gaps(self, begin: float, end: float, names: list[str]) -> list[tuple[float, float]]:
        """For each duty, the times between effects one after another, from begin to end."""
        found: list[tuple[float, float]] = []
        for name in names:
            times = [begin, *(one.at for one in self.taken if one.duty == name and one.at >= begin), end]
            found += itertools.pairwise(times)
        return found


@dataclass
class Away:
    """The times in which no member reached a majority of voters, as far as whoever makes the faults can
    tell, and how much of a span lies outside them. `after`: ms that a taking needs once a majority is
    back."""

    after: float
    spans: list[list[float]] = field(default_factory=list)

    def look(self, now: float, reached: bool) -> None:
        """Some times in 100 ms."""
        if reached:
            return
        if not self.spans or self.spans[-1][1] < now - 100.0:
            self.spans.append([now, now])
        self.spans[-1][1] = now

    def total(self) -> float:
        return sum(last - first for first, last in self.spans)

    def outside(self, begin: float, end: float) -> float:
        left, reached = end - begin, begin
        for first, last in self.spans:
            first, last = max(first, reached), min(last + self.after, end)
            if last > first:
                left -= last - first
                reached = last
        return max(0.0, left)


def at_once(seen: list[tuple[float, str, str]]) -> int:
    """The most that acted on one duty at one time: each counts from when it was first seen to act to the
    last. `seen`: when, which duty, who."""
    spans: dict[str, dict[str, list[float]]] = {}
    for at, duty, who in seen:
        spans.setdefault(duty, {}).setdefault(who, [at, at])[1] = at
    most = 0
    for mine in spans.values():
        for start, _ in mine.values():
            most = max(most, sum(first <= start <= last for first, last in mine.values()))
    return most


@dataclass(slots=True)
class Op:
    """One call to the register as its caller saw it. `end` is infinite where its outcome is not known. `saw`
    is the writer of the record that the caller was told of; `wrote` that of its own."""

    begin: float
    end: float
    kind: str  # read, change or conflict; a change that may have happened is 'maybe'
    saw: str = ""
    over: str = ""
    wrote: str = ""


def linearizable(history: list[Op]) -> bool:
    """Is there an order of all calls that a single register could have gone through, each taking effect
    between its begin and its end? Exhaustive, after Wing and Gong (1993), remembering what was tried."""
    ops = sorted(history, key=lambda op: op.begin)
    whole = (1 << len(ops)) - 1
    tried: set[tuple[int, str]] = set()
    stack = [(0, "")]
    while stack:
        done, state = stack.pop()
        if done == whole:
            return True
        if (done, state) in tried:
            continue
        tried.add((done, state))
        left = [i for i in range(len(ops)) if not done >> i & 1]
        first = min(ops[i].end for i in left)
        for i in left:
            op = ops[i]
            if op.begin > first:
                break
            after = done | 1 << i
            if op.kind in ("read", "conflict"):
                if state == op.saw and (op.kind == "read" or state != op.over):
                    stack.append((after, state))
            elif op.kind == "change" and state == op.over:
                stack.append((after, op.wrote))
            elif op.kind == "maybe":
                stack.append((after, state))
                if state == op.over:
                    stack.append((after, op.wrote))
    return False
