"""Stand-ins for callers: they walk a list of backends, repeat without a mark, and heed what they hear or
not."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from rig.machine import Time


class Said(Enum):
    COMPLETED = 0
    DENIED = 1
    TERMINATED = 2
    BROKEN = 3  # the connection ended
    CLOSED = 4  # no connection: nothing was sent


@dataclass(eq=False, slots=True)
class Wish:
    """What a user asked for: its first try and all further ones."""

    number: int
    first: float
    group: int
    tenant: int
    rank: float
    kb: float
    body: bytes
    work: float
    deaf: bool
    slo: float
    due: float
    benefit: float
    tries: int = 0
    served_at: float | None = None
    over: bool = False
    walked: int = 0  # backends asked in this round of the list
    at: int = 0


@dataclass(eq=False, slots=True)
class Try:
    ident: str
    wish: Wish
    caller: Caller
    backend: int
    sent: float
    wait: float
    number: int  # 1 for the first try of its wish
    reached: float = 0.0
    read_at: float | None = None  # when the backend had it whole
    answered: Said | None = None
    answered_at: float = 0.0
    lapsed: bool = False  # the caller no longer waits
    launches: list[float] = field(default_factory=list)
    broken: bool = False


@dataclass(frozen=True)
class Habits:
    """How a caller behaves. Times in ms."""

    deaf: bool = False  # heeds neither credit nor `l` nor `w`
    tries_at_most: int = 1_000_000
    after_failure: bool = True  # repeats what was terminated or lost with its connection
    patience: float | None = None  # for a single try; None: all that is left
    first: float | None = None  # for the first try alone, of which callers soon ask elsewhere
    least_left: float = 30.0  # no further try with less time
    heeded: float = 1000.0  # how long a value is remembered
    longest_away: float = 1000.0
    pause: float = 1.0  # between a denial and the next try
    told_whole: bool = False  # tells each try's whole deadline instead of the time left


class Net(Protocol):
    """What carries tries to backends; answers come back by Caller.heard()."""

    def send(self, one: Try) -> None: ...
    def listed(self, caller: Caller) -> list[int]: ...


class Caller:
    """One edge node. Its list is walked round and round; each wish has one try at a time."""

    def __init__(
        self,
        number: int,
        time: Time,
        net: Net,
        habits: Habits,
        seed: int,
        note: Callable[[Try], None],
        over: Callable[[Wish], None],
    ) -> None:
        self.number, self.time, self.net, self.habits = number, time, net, habits
        self.chance = random.Random(f"caller {number} {seed}")
        self.next = self.chance.randrange(1000)
        self.credit: dict[int, tuple[float, float]] = {}  # what each backend said, and when
        self.away: dict[int, float] = {}
        self.outstanding: dict[int, int] = {}
        self.note, self.over = note, over
        self.idents = 0

    def ask(self, wish: Wish) -> None:
        wish.at = self.next
        self.next += 1
        self._try(wish)

    def _open(self, backend: int) -> bool:
        """Whether a caller that heeds would send here."""
        now = self.time.now
        if self.away.get(backend, 0.0) > now:
            return False
        value, at = self.credit.get(backend, (0.0, -1e18))
        if now - at > self.habits.heeded:
            return True
        room = int(value) + (self.chance.random() < value - int(value))
        return self.outstanding.get(backend, 0) < room

    def _pick(self, wish: Wish) -> int | None:
        listed = self.net.listed(self)
        while listed and (self.habits.deaf or wish.walked < len(listed)):
            backend = listed[wish.at % len(listed)]
            wish.at += 1
            wish.walked += 1
            if self.habits.deaf or self._open(backend):
                return backend
        return None

    def _try(self, wish: Wish) -> None:
        now = self.time.now
        left = wish.due - now
        if wish.over:
            return
        backend = None
        if left >= self.habits.least_left and wish.tries < self.habits.tries_at_most:
            backend = self._pick(wish)
            if backend is None and self.habits.deaf:
                self.time.after(100.0, lambda: self._try(wish))  # the list is empty
                return
        if backend is None:
            self._done(wish)
            return
        wish.tries += 1
        self.idents += 1
        patience = self.habits.first if wish.tries == 1 and self.habits.first else self.habits.patience
        wait = left if patience is None else min(left, patience)
        one = Try(f"{self.number:06x}{self.idents:010x}", wish, self, backend, now, wait, wish.tries)
        self.outstanding[backend] = self.outstanding.get(backend, 0) + 1
        self.note(one)
        self.time.after(wait, lambda: self._lapse(one))
        self.net.send(one)

    def _lapse(self, one: Try) -> None:
        if one.answered is None:
            one.lapsed = True
            self.outstanding[one.backend] -= 1
            self._again(one.wish, failed=True)

    def heard(
        self, one: Try, said: Said, value: float | None = None, wait: float = 0.0, last: bool = False
    ) -> None:
        now = self.time.now
        if value is not None:
            self.credit[one.backend] = (value, now)
        if one.answered is not None:
            return  # the checker has it
        one.answered, one.answered_at = said, now
        if one.lapsed:
            return
        self.outstanding[one.backend] -= 1
        wish = one.wish
        if wait > 0:
            self.away[one.backend] = now + min(wait, self.habits.longest_away)
        if said is Said.COMPLETED:
            if wish.served_at is None:
                wish.served_at = now
            self._done(wish)
        elif said is Said.DENIED and last and not self.habits.deaf:
            self._done(wish)
        else:
            self._again(wish, failed=said is not Said.DENIED)

    def _again(self, wish: Wish, failed: bool) -> None:
        if failed and not self.habits.after_failure:
            self._done(wish)
        elif not wish.over:
            self.time.after(self.habits.pause, lambda: self._try(wish))

    def _done(self, wish: Wish) -> None:
        if not wish.over:
            wish.over = True
            self.over(wish)


def said_of(verdict: Any) -> Said:
    return Said[verdict.name]
