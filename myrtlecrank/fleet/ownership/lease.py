"""Who owns a duty: one process's view of it, and what it may do about it.

Leases as published by Gray and Cheriton (1989), with fencing epochs as lock services give them (Burrows,
2006). Safety rests on two things alone: the register takes a record only over the one that was seen, and
a duration measured on one clock is off by the drift bound at the most. No two clocks are compared and no time
stands in a record. Free of I/O and clocks; times are ms of the process's own monotonic clock, which must run
on while the process or the machine sleeps."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from msgspec import Struct

from myrtlecrank.fleet.register.messages import EMPTY_RECORD, Outcome, Record, Result


class Lease(Struct, frozen=True):
    """The value of a duty's record. `owner` is empty where it was given up on purpose, perhaps for an `heir`.

    `epoch` grows with each taking, never else; `turn` is new with each attempt to write it. `progress` is the
    last step that is done, by which a new owner goes on: it stands in the same record as the lease, so an old
    owner cannot move it."""

    owner: str = ""
    epoch: int = 0
    turn: int = 0
    heir: str = ""
    progress: int = 0


NONE = Lease()


def member_of(owner: str) -> str:
    """Owners are starts, as `name/start`; heirs and places are members, by name alone."""
    return owner.split("/", 1)[0]


def opened(record: Record) -> Lease:
    """Raises msgspec.MsgspecError where the record holds something else."""
    return msgspec.msgpack.decode(record.value, type=Lease) if record.version else NONE


@dataclass(frozen=True, slots=True)
class Terms:
    """Derived once from the operators' figures, all in ms."""

    lease: float  # from the sending of a write that came through to the end of ownership
    wait: float  # how long a record must have stood unchanged before another takes the duty
    renew: float  # between renewals
    look: float  # between looks of those that own it not
    stagger: float  # how much later one claims for each duty that it owns already
    heir: float  # how long the others leave a given-up duty to its heir

    @classmethod
    def of(cls, lease: float, drift: float, look: float) -> Terms:
        """`drift`: the most by which any member's clock is off in rate, as a share. The owner's may run slow
        and the other's fast at once, so the wait is longer by both."""
        if not 0.0 <= drift < 0.5:
            raise ValueError(f"drift is a share from 0 to under 0.5, not {drift}")
        return cls(lease, lease * (1.0 + drift) / (1.0 - drift), lease / 3.0, look, look / 4.0, 3.0 * look)


@dataclass(frozen=True, slots=True)
class Look:
    """Read the duty's record. `sure`: as one that owns it or may; the others only glance, since a change over
    what they saw tells whether it stands."""

    sure: bool


@dataclass(frozen=True, slots=True)
class Put:
    """Set the duty's record over this one."""

    over: Record
    lease: Lease

    def value(self) -> bytes:
        return msgspec.msgpack.encode(self.lease)


class Duty:
    """One duty as one process sees it. One call to the register is under way at a time: want() says which,
    sent() and heard() bracket it. owns() is asked at each effect, right before it."""

    def __init__(self, name: str, me: str, terms: Terms) -> None:
        self.name, self.me, self.terms = name, me, terms
        self.record, self.lease = EMPTY_RECORD, NONE
        self.known = False  # the record has been read since the last doubt
        self.since = 0.0  # when the record was first seen to stand as it does
        self.epoch: int | None = None  # while owned, by our own last knowledge
        self.until = 0.0
        self.attempts = 0
        # Turn and time of the last write of ours. A turn names one attempt: were it the same for two, an
        # older one that stands at last would be taken for the newer, and the lease counted from too late.
        self.sent = (0, 0.0)
        self.asked: Look | Put | None = None
        self.due = 0.0  # nothing is wanted before
        self.fit, self.owned = False, 0  # as last told
        self.done = 0  # progress that the owner has reached, recorded or not
        self.heir: str | None = None  # the owner gives it up: for this one, or for anybody
        self.changes: list[str] = []  # what happened, for the log; whoever reads them empties it

    # -- what may be done

    def owns(self, now: float) -> int | None:
        """The epoch to put on an effect that begins now, else None. After a pause of any length this looks at
        the clock first, and so is None where the lease ran out meanwhile."""
        if self.epoch is not None and now >= self.until:
            self._lost("its lease ran out")
        return self.epoch if self.heir is None else None

    def advance(self, progress: int) -> None:
        """The owner has done all steps up to this one; it is recorded with the next write, at once."""
        self.done, self.due = max(progress, self.done), 0.0

    def recorded(self) -> int:
        """The last step that the register knows of."""
        return self.lease.progress

    def give_up(self, heir: str = "") -> None:
        """On purpose: for a drain, or to spread the duties. Nothing is done under the lease from now on."""
        if self.epoch is not None and self.heir is None:
            self.heir, self.due = heir, 0.0

    # -- what is asked of the register

    def want(self, now: float, fit: bool, owned: int) -> Look | Put | None:
        """The call to make now, if any. `fit`: this process may take a duty (not leaving, cold or under
        duress); `owned`: how many duties it has."""
        if self.asked is not None or now < self.due:
            return None
        self.fit, self.owned = fit, owned
        self.owns(now)
        if not self.known:
            return Look(self.epoch is not None)
        old = self.lease
        if self.epoch is not None:
            if self.heir is not None:
                return Put(self.record, self._lease("", old.epoch, self.heir, self.done))
            if now >= self.sent[1] + self.terms.renew or self.done > old.progress:
                return Put(self.record, self._lease(self.me, old.epoch, "", self.done))
            return None
        if fit and now >= self.free_at(owned):
            return Put(self.record, self._lease(self.me, old.epoch + 1, "", old.progress))
        return Look(self.epoch is not None)

    def _lease(self, owner: str, epoch: int, heir: str, progress: int) -> Lease:
        self.attempts += 1
        return Lease(owner, epoch, self.attempts, heir, progress)

    def free_at(self, owned: int) -> float:
        """From when on this process may take the duty, if nothing changes until then."""
        delay = self.terms.stagger * owned
        if self.lease.owner == self.me:
            return self.since  # only this very start could hold it, and it does not
        if self.lease.owner:
            return self.since + self.terms.wait + delay
        if self.lease.heir not in ("", member_of(self.me)):
            return self.since + self.terms.heir + delay
        return self.since + (0.0 if self.lease.heir else delay)

    def sending(self, asked: Look | Put, now: float) -> None:
        """`now` is read before the first byte leaves: the lease counts from here."""
        self.asked = asked
        if isinstance(asked, Put):
            self.sent = (asked.lease.turn, now)

    def heard(self, outcome: Outcome, now: float) -> None:
        """The call is over; `now` is read after its last byte came."""
        asked, self.asked = self.asked, None
        if asked is None:
            return
        if outcome.result in (Result.UNKNOWN, Result.AWAY):
            # It may stand or not. What is owned stays so until its time; the record is read again before
            # anything.
            self.known, self.due = False, now + self.terms.look / 4.0
            return
        if isinstance(asked, Put) and outcome.result is Result.DONE:
            self._seen(outcome.record, asked.lease, True, now)
        else:
            try:
                sure = isinstance(asked, Put) or asked.sure
                self._seen(outcome.record, opened(outcome.record), sure, now)
            except msgspec.MsgspecError:
                # Not ours to write over: something else stands under this name.
                self.changes.append("its record cannot be read")
                self.known, self.due = False, now + self.terms.wait
                return
        if self.epoch is not None and self.lease.turn != self.sent[0]:
            # A write of ours did not come through, and never will behind this answer: once more.
            self.sent = (0, -math.inf)
        self.due = self._next(now)

    def _next(self, now: float) -> float:
        if self.epoch is not None:
            return min(self.sent[1] + self.terms.renew, self.until)
        # No later than it may be taken: a duty handed over waits for a round trip, not for the next look.
        free = self.free_at(self.owned) if self.fit else math.inf
        return min(now + self.terms.look, max(now, free))

    def _seen(self, record: Record, lease: Lease, sure: bool, now: float) -> None:
        if not self.known or record.writer != self.record.writer:
            if record.writer != self.record.writer:
                self.since = now
            self.record, self.lease, self.known = record, lease, True
        if lease.owner == self.me and self.sent[0] == lease.turn:
            # It came through: the lease counts from when it was sent, not from when that was known. A glance
            # would not do, as what it saw need not stand.
            if sure and self.epoch is None and now < self.sent[1] + self.terms.lease:
                # What was done and not recorded stays done: the record of it may have failed a moment before.
                self.epoch, self.done, self.heir = lease.epoch, max(self.done, lease.progress), None
                self.changes.append(f"owned from now on, epoch {lease.epoch}")
            if sure and self.epoch == lease.epoch:
                self.until = self.sent[1] + self.terms.lease
        elif sure and self.epoch is not None and (lease.owner != self.me or lease.epoch != self.epoch):
            self._lost("given up" if self.heir is not None else f"taken by {lease.owner or 'nobody'}")

    def _lost(self, why: str) -> None:
        self.changes.append(f"no longer owned, epoch {self.epoch}: {why}")
        self.epoch, self.heir = None, None


def rebalance(
    owners: Mapping[str, str], me: str, fit: Iterable[str], zones: Mapping[str, str]
) -> tuple[str, str] | None:
    """A duty of mine to hand over and to whom, where that evens the duties out; None where nothing does.
    `owners`: duty to owner; `fit`: members that may take one. Two apart is even enough: moving for less would
    move for ever. Among equals the zone with the fewest duties goes first, then the name."""
    count = dict.fromkeys(sorted(fit), 0)
    by_zone: dict[str, int] = {}
    for owner in owners.values():
        if owner:
            by_zone[zones.get(owner, "")] = by_zone.get(zones.get(owner, ""), 0) + 1
        if owner in count:
            count[owner] += 1
    mine = sorted(duty for duty, owner in owners.items() if owner == me)
    others = [name for name in count if name != me]
    if not mine or not others:
        return None
    heir = min(others, key=lambda name: (count[name], by_zone.get(zones.get(name, ""), 0), name))
    return (mine[-1], heir) if len(mine) >= count[heir] + 2 else None


class Fence:
    """What stands before anything that takes effects on behalf of the fleet: refuses an epoch older than the
    newest it has met. A receiver that may restart keeps `newest` with its own state."""

    def __init__(self, newest: Mapping[str, int] | None = None) -> None:
        self.newest = dict(newest or {})

    def admits(self, duty: str, epoch: int) -> bool:
        if epoch < self.newest.get(duty, 0):
            return False
        self.newest[duty] = epoch
        return True
