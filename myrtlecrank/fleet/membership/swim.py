"""Membership: probes, suspicion, refutation, loss, leave and return.

Published as SWIM (Das, Gupta and Motivala, 2002) with the local-health factor, the suspicion that shortens
with each who confirms it and the word to the suspect of Lifeguard (Dadgar, Phillips and Currey, 2018). Free
of I/O, clocks and chance of its own: called with the time now, it returns what is to be sent. Times in ms of
the local monotonic clock."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from myrtlecrank.fleet.membership.messages import Ack, Ping, PingFor, Rumour, State, Swap, Word

MOST_RUMOURS = 12  # in one message, so that its size is bounded
WORST_HEALTH = 8  # factor by which an ill process stretches its probes, less one
CONFIRM = 3  # others that suspect too, at which suspicion is at its shortest


@dataclass(frozen=True, slots=True)
class Pace:
    """Derived once from the operators' figures, in ms."""

    probe: float  # from one probe to the next
    reply: float  # until a direct probe counts as unanswered, and others are asked
    helpers: int  # how many are asked
    suspect: float  # the least time in suspicion; six times that where nobody confirms
    forget: float  # how long one that is lost or has left is still remembered and tried
    swap: float  # between exchanges of all that is known, by which the parts of a partition find each other


@dataclass(slots=True)
class Member:
    """One other, as it is known here."""

    told: Rumour
    since: float  # of its state
    doubters: set[str]
    passes: int  # how often its newest rumour was passed on


@dataclass(slots=True)
class Probe:
    target: str
    seq: int
    due: float  # of the next step
    asked: int = 0  # helpers
    for_whom: tuple[str, int] | None = None  # another asked for it: who, under which number


Send = tuple[str, Word]


class Members:
    """The view of one process. `chance` gives 0 to 1."""

    def __init__(
        self,
        me: Rumour,
        seeds: dict[str, tuple[str, int]],
        pace: Pace,
        chance: Callable[[], float],
        now: float,
        most: int = 1000,
    ) -> None:
        self.me, self.pace, self.chance, self.most = me, pace, chance, most
        self.seeds = {name: address for name, address in seeds.items() if name != me.name}
        self.members: dict[str, Member] = {}
        self.my_passes = 0
        self.health = 0  # 0 well; each missed sign that may be our own fault adds one
        self.seq = 0
        self.probes: dict[int, Probe] = {}
        self.order: list[str] = []  # who is probed next, last first
        self.probe_due = self.swap_due = now
        self.changes: list[tuple[str, State]] = []  # what became of whom; whoever reads them empties it

    # -- the view

    def state(self, name: str) -> State | None:
        if name == self.me.name:
            return self.me.state
        member = self.members.get(name)
        return None if member is None else member.told.state

    def there(self) -> list[str]:
        """Those that count as there, this one among them, in the order of their names."""
        names = [n for n, one in self.members.items() if one.told.state <= State.SUSPECT]
        return sorted(names if self.me.state is State.LEFT else [*names, self.me.name])

    def fit(self) -> list[str]:
        """Those that may take a duty: there, unsuspected, and well by their own word."""
        names = [n for n, one in self.members.items() if one.told.state is State.ALIVE and one.told.fit]
        return sorted([*names, self.me.name] if self.me.fit and self.me.state is State.ALIVE else names)

    def zones(self) -> dict[str, str]:
        return {self.me.name: self.me.zone} | {name: one.told.zone for name, one in self.members.items()}

    # -- what this process says of itself

    def feel(self, fit: bool) -> None:
        """Whether it may take duties, by its own gauges; told on where it changes."""
        if fit != self.me.fit and self.me.state is State.ALIVE:
            self._anew(fit=fit)

    def leave(self) -> list[Send]:
        """Says that it leaves, at once, to as many as one would ask for help; they pass it on."""
        self._anew(state=State.LEFT, fit=False)
        some = self._some([n for n in self.there() if n != self.me.name], self.pace.helpers + 1)
        return [(name, Ping(self._next(), self._rumours(name))) for name in some]

    def _anew(self, **changes: object) -> None:
        values = {one: getattr(self.me, one) for one in self.me.__struct_fields__}
        values |= {"incarnation": self.me.incarnation + 1} | changes
        self.me, self.my_passes = Rumour(**values), 0

    # -- time

    def due(self) -> float:
        """When tick() has something to do again."""
        suspects = [self._ends(one) for one in self.members.values() if one.told.state is State.SUSPECT]
        return min([self.probe_due, self.swap_due, *(one.due for one in self.probes.values()), *suspects])

    def tick(self, now: float) -> list[Send]:
        sends: list[Send] = []
        late = now - self.probe_due
        if late > 2.0 * self.pace.probe:
            # We were stopped or kept from the loop: what did not come in that time says nothing of the
            # others.
            self._ill(2)
            for probe in self.probes.values():
                probe.due = max(probe.due, now + self.pace.reply)
            for one in self.members.values():
                if one.told.state is State.SUSPECT:
                    one.since += late
        for probe in [one for one in self.probes.values() if one.due <= now]:
            sends += self._overdue(probe, now)
        for name, one in list(self.members.items()):
            if one.told.state is State.SUSPECT and self._ends(one) <= now:
                self._take(self._as(one.told, State.LOST, self.me.name), now)
            elif one.told.state >= State.LOST and now - one.since > self.pace.forget:
                del self.members[name]
        if now >= self.probe_due:
            self.probe_due = now + self.pace.probe * (1 + self.health) * (0.9 + 0.2 * self.chance())
            sends += self._probe(now)
        if now >= self.swap_due:
            self.swap_due = now + self.pace.swap * (0.8 + 0.4 * self.chance())
            # Anyone, those that count as lost and the seeds too: after a partition nobody else would begin.
            wanted = {*self.members, *self.seeds}
            for name in self._some(sorted(wanted), 1):
                sends.append((name, self._swap(True)))
        return sends

    def _probe(self, now: float) -> list[Send]:
        """In turn through a shuffled list of all that are there, so that each is probed within two rounds."""
        while self.order:
            name = self.order.pop()
            member = self.members.get(name)
            if member is not None and member.told.state <= State.SUSPECT:
                return [self._ping(name, now, None)]
        self.order = [n for n in self.there() if n != self.me.name]
        for i in range(len(self.order) - 1, 0, -1):
            j = int(self.chance() * (i + 1))
            self.order[i], self.order[j] = self.order[j], self.order[i]
        if not self.order:
            return [(name, self._swap(True)) for name in self._some(sorted(self.seeds), 1)]
        return self._probe(now)

    def _ping(self, name: str, now: float, for_whom: tuple[str, int] | None) -> Send:
        seq = self._next()
        self.probes[seq] = Probe(name, seq, now + self.pace.reply * (1 + self.health), 0, for_whom)
        return name, Ping(seq, self._rumours(name))

    def _overdue(self, probe: Probe, now: float) -> list[Send]:
        if probe.for_whom is not None:
            del self.probes[probe.seq]
            return []
        if not probe.asked:
            others = [n for n in self.there() if n not in (self.me.name, probe.target)]
            helpers = self._some(others, self.pace.helpers)
            if helpers:
                probe.asked, probe.due = len(helpers), now + 2.0 * self.pace.reply * (1 + self.health)
                return [(n, PingFor(probe.seq, probe.target, self._rumours(n))) for n in helpers]
        del self.probes[probe.seq]
        self._ill(1)  # it may as well be us: a process that hears nobody suspects slower and slower
        member = self.members.get(probe.target)
        if member is not None and member.told.state is State.ALIVE:
            self._take(self._as(member.told, State.SUSPECT, self.me.name), now)
        return []

    def _ends(self, one: Member) -> float:
        """When a suspicion becomes loss: sooner the more suspect it, later the iller we are."""
        least, most = self.pace.suspect, 6.0 * self.pace.suspect
        confirmed = math.log(len(one.doubters)) / math.log(CONFIRM + 1) if one.doubters else 0.0
        return one.since + max(least, most - (most - least) * confirmed) * (1 + self.health)

    def _ill(self, by: int) -> None:
        self.health = min(WORST_HEALTH, max(0, self.health + by))

    # -- what comes in

    def heard(self, sender: str, word: Word, now: float) -> list[Send]:
        for rumour in word.rumours[: self.most]:
            self._take(rumour, now)
        if isinstance(word, Swap):
            return [(sender, self._swap(False))] if word.back else []
        if isinstance(word, Ping):
            return [(sender, Ack(word.seq, self._rumours(sender)))]
        if isinstance(word, PingFor):
            return [self._ping(word.target, now, (sender, word.seq))] if word.target in self.members else []
        probe = self.probes.pop(word.seq, None)
        if probe is None:
            return []
        if probe.for_whom is not None:
            back, seq = probe.for_whom
            return [(back, Ack(seq, self._rumours(back)))]
        if not probe.asked:
            self._ill(-1)
        return []

    def _take(self, told: Rumour, now: float) -> None:
        if told.name == self.me.name:
            if self.me.state is State.ALIVE and (
                told.incarnation > self.me.incarnation
                or (told.state is not State.ALIVE and told.incarnation == self.me.incarnation)
            ):
                # Somebody holds us for lost, or knows an older start of ours: what we say now stands above
                # it.
                self._anew(incarnation=max(told.incarnation, self.me.incarnation) + 1)
                self._ill(1)
            return
        old = self.members.get(told.name)
        if old is None:
            if told.state >= State.LOST or len(self.members) >= self.most:
                return  # nobody asked for news of the dead
            doubters = {told.by} if told.state is State.SUSPECT else set()
            self.members[told.name] = Member(told, now, doubters, 0)
            self.changes.append((told.name, told.state))
            return
        newer = (told.incarnation, told.state) > (old.told.incarnation, old.told.state)
        if not newer:
            same = told.incarnation == old.told.incarnation and told.state is old.told.state
            if same and told.state is State.SUSPECT and told.by not in old.doubters:
                old.doubters.add(told.by)
                old.passes = 0 if len(old.doubters) <= CONFIRM else old.passes
            return
        if told.state is not old.told.state:
            self.changes.append((told.name, told.state))
            old.since = now
        old.told, old.passes = told, 0
        old.doubters = {told.by} if told.state is State.SUSPECT else set()

    @staticmethod
    def _as(told: Rumour, state: State, by: str) -> Rumour:
        return Rumour(told.name, told.address, told.zone, told.incarnation, state, told.fit, by)

    # -- what goes out

    def _rumours(self, to: str) -> list[Rumour]:
        """The newest first, each passed on a few times the logarithm of the members; a suspect hears of it in
        any case, so that it can refute."""
        most = 3 * math.ceil(math.log2(len(self.members) + 2))
        chosen: list[Rumour] = []
        if self.my_passes < most:
            self.my_passes += 1
            chosen.append(self.me)
        about = self.members.get(to)
        if about is not None and about.told.state is not State.ALIVE:
            chosen.append(about.told)
        known = self.members.items()
        fresh = sorted((one.passes, name) for name, one in known if one.passes < most and name != to)
        for _, name in fresh[: MOST_RUMOURS - len(chosen)]:
            self.members[name].passes += 1
            chosen.append(self.members[name].told)
        return chosen

    def _swap(self, back: bool) -> Swap:
        return Swap(back, [self.me, *(one.told for one in self.members.values())])

    def _some(self, names: list[str], count: int) -> list[str]:
        """So many of them, by chance, each once."""
        left = list(names)
        chosen: list[str] = []
        while left and len(chosen) < count:
            chosen.append(left.pop(int(self.chance() * len(left))))
        return chosen

    def _next(self) -> int:
        self.seq += 1
        return self.seq
