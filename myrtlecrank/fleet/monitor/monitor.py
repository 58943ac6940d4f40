"""Decisions of the watcher and of those that hear it. Free of I/O and clocks; times are ms of the own
monotonic clock.

No time of another's clock is used: a figure's age at its receiver is the age that it was sent with, as
counted by the watcher from when it asked, and the time since it was received here. The way of the message is
not in it; it is bounded by the receiver's refusal of what is older than the last view."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from myrtlecrank.fleet.monitor.messages import Gauges, Seen, Told, Watched
from myrtlecrank.fleet.ownership.lease import Fence

DUTY = "fleet/watch"  # no duty of the operators has a slash in its name
MOST = 1000  # members in one view


@dataclass(frozen=True, slots=True)
class Known:
    """One member's gauges as they stand here, with their age now."""

    member: str
    gauges: Gauges
    age: float


@dataclass(slots=True)
class _Got:
    gauges: Gauges
    since: float  # own clock: what this was as old as 0


@dataclass(slots=True)
class Watch:
    """One process's part, as the watcher while it owns the duty, and as one that hears views always. `every`:
    between two views; `old`: age from which a view is no longer one."""

    every: float
    old: float
    due: float = 0.0
    epoch: int | None = None  # while it is the watcher
    number: int = 0
    asked: dict[int, float] = field(default_factory=dict)  # when each of the last views was sent
    gathered: dict[str, _Got] = field(default_factory=dict)
    fence: Fence = field(default_factory=Fence)
    last: tuple[int, int] = (0, 0)  # epoch and number of the newest view that was heard
    view: dict[str, _Got] = field(default_factory=dict)
    heard_at: float | None = None

    def tick(
        self, now: float, epoch: int | None, there: Iterable[str], me: str, mine: Gauges
    ) -> list[tuple[str, Watched]]:
        """What the watcher sends now: to each other member what it knows, which asks for theirs too."""
        if epoch != self.epoch:
            # A new watcher begins with nothing: what an earlier one had gathered may be of any age.
            self.epoch, self.number, self.due = epoch, 0, now
            self.asked.clear()
            self.gathered.clear()
        if epoch is None or now < self.due:
            return []
        self.due = now + self.every
        self.number += 1
        self.asked[self.number] = now
        self.asked.pop(self.number - 8, None)
        self.gathered[me] = _Got(mine, now)
        members = sorted(there)[:MOST]
        for gone in set(self.gathered) - set(members) - {me}:
            del self.gathered[gone]
        seen = [
            Seen(name, got.gauges, now - got.since)
            for name, got in sorted(self.gathered.items())
            if now - got.since < self.old
        ]
        message = Watched(epoch, self.number, seen)
        self.hear(message, mine, now)
        return [(name, message) for name in members if name != me]

    def told(self, sender: str, told: Told, now: float) -> None:
        """A member's answer. Its age counts from when it was asked for, which is before it was read."""
        asked = self.asked.get(told.view)
        if told.epoch != self.epoch or asked is None or asked > now:
            return
        old = self.gathered.get(sender)
        if old is None or old.since < asked:
            self.gathered[sender] = _Got(told.gauges, asked)

    def hear(self, watched: Watched, mine: Gauges, now: float) -> Told | None:
        """Takes a view over; what to answer, None to a watcher whose time is over or to a view that came
        late."""
        if not self.fence.admits(DUTY, watched.epoch) or (watched.epoch, watched.view) <= self.last:
            return None
        self.last, self.heard_at = (watched.epoch, watched.view), now
        self.view = {
            one.member: _Got(one.gauges, now - max(0.0, one.age))
            for one in watched.seen[:MOST]
            if not math.isnan(one.age)
        }
        return Told(watched.epoch, watched.view, mine)

    def now_known(self, now: float) -> list[Known] | None:
        """The fleet as it is known here; None, unknown, where the last view is too old. Of each member only
        what is not."""
        if self.heard_at is None or now - self.heard_at >= self.old:
            return None
        return [
            Known(name, got.gauges, now - got.since)
            for name, got in sorted(self.view.items())
            if now - got.since < self.old
        ]
