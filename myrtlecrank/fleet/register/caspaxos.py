"""Decisions of the register: voters and the rounds of a proposer, one instance of single-decree ballots a
key.

Published as CASPaxos (Rystsov, 2018), on Paxos (Lamport, 1998): no log, no leader, each change is a prepare
and an accept round to a majority. What is added here is the return of a voter without its memory (see
Voter.rejoin and `counted`). Free of I/O, clocks and chance: rounds are yielded, pauses come from a function
that is handed in."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass

from myrtlecrank.fleet.register.messages import (
    NOTHING,
    Accept,
    Ask,
    Ballot,
    Enlist,
    Glance,
    Keys,
    Known,
    Memory,
    Outcome,
    Prepare,
    Record,
    Rejoin,
    Result,
    Seated,
    Slot,
    Vote,
    sized,
)
from myrtlecrank.fleet.register.voter_set import Roster, guessed

MOST_KEYS = 1024  # of one register: what a voter writes at a change grows with them
BOOTS_A_ROSTER = 1 << 20  # more than a voter can lose its memory under one roster


class Voter:
    """One voter: its memory, and whether it may vote.

    A voter whose memory is lost, torn or of a doubtful age abstains: it asks *all* other voters what they
    know and goes on from the highest of it, under a new boot number. All, because any one of them may be the
    only other member of a majority that it voted in. What it had promised or accepted may still be on its way
    to a proposer as a vote of its old boot; since all others have written the new boot down before they
    answered, any majority of votes made after that shows the old one to be void (`counted`).

    It answers under the newest roster that it has heard of alone, and never goes back to an older one:
    what was asked under another is refused with its own. `guess`: the voters of the operators' file,
    asked where it remembers no roster. `ident`: new with each start, so that a seat is.

    `keep` writes the memory and returns when it is durable; where it fails, the voter says nothing."""

    def __init__(
        self,
        name: str,
        guess: Iterable[str],
        memory: Memory | None,
        keep: Callable[[Memory], bool],
        fleet: str = "",
        whole: bool = True,
        ident: str = "",
    ) -> None:
        self.name, self.keep, self.ident = name, keep, ident
        self.memory = memory or Memory(fleet, name, 0, {}, {}, guessed(guess))
        self.lost = memory is None  # nothing of it may be told to another that rejoins
        self.whole = whole or not self.others  # the only voter has nobody to ask
        self.voting = memory is not None and self.seated and self.whole
        if not self.voting:
            self.memory.boot += 1
        self.heard: dict[str, Known] = {}
        self.failed = False  # the last write was
        self.enlisted = 0

    @property
    def others(self) -> frozenset[str]:
        return frozenset(self.memory.roster.names) - {self.name}

    @property
    def seated(self) -> bool:
        """By its roster it votes, and with the memory that it has."""
        memory = self.memory
        return memory.roster.has(self.name, memory.seat) or (self.lost and self.name in memory.roster.names)

    def answers(self, asked: Iterable[tuple[str, Ask]]) -> list[Vote | None]:
        """The votes on several questions, each with the mark of the roster that it was asked under, under one
        flush, once they are durable; None for each while the voter abstains or its disk fails."""
        asked = list(asked)
        votes = [self._answer(mark, one) for mark, one in asked]
        changed = any(
            vote is not None and vote.granted and not isinstance(one, Glance | Keys)
            for (_, one), vote in zip(asked, votes, strict=True)
        )
        if not changed or self._kept():
            return votes
        # Nothing is told. What is on the disk may be either, and a later vote starts from the higher.
        return [None] * len(asked)

    def _answer(self, mark: str, asked: Ask) -> Vote | None:
        memory = self.memory
        slots = memory.slots
        if mark != memory.roster.mark():
            return self._vote(False, Ballot(), Slot(), memory.roster)
        if isinstance(asked, Enlist):
            return self._enlist(asked)
        if not self.voting:
            return None
        if isinstance(asked, Keys):
            return self._vote(True, Ballot(), Slot(), None, sorted(slots))
        if asked.key not in slots and len(slots) >= MOST_KEYS:
            return None
        slot = slots.get(asked.key, Slot())
        if isinstance(asked, Glance):
            return self._vote(True, slot.promised, slot)
        # Equal ballots: the second round of one attempt, or a message that came twice.
        if asked.ballot < slot.promised:
            return self._vote(False, slot.promised, slot)
        if isinstance(asked, Prepare):
            new = Slot(asked.ballot, slot.accepted, slot.record)
        else:
            new = Slot(asked.ballot, asked.ballot, asked.record)
        slots[asked.key] = new
        return self._vote(True, asked.ballot, new)

    def _enlist(self, asked: Enlist) -> Vote | None:
        """Begins with an empty memory, unless this one is needed: it votes, or could once it has rejoined."""
        memory = self.memory
        if asked.token != memory.token:
            if memory.roster.number < 0 or (memory.roster.has(self.name, memory.seat) and not self.lost):
                return None
            self.enlisted += 1
            # Above all boots that the others may know of an earlier seat of this one.
            boot = max(memory.boot, (memory.roster.number + 1) * BOOTS_A_ROSTER)
            seat = f"{self.ident}:{self.enlisted}"
            self.memory = Memory(memory.fleet, self.name, boot, {}, {}, memory.roster, seat, asked.token)
            self.lost, self.voting, self.heard = False, False, {}
        return self._vote(True, Ballot(), Slot())

    def adopt(self, roster: Roster) -> bool:
        """Goes by a newer roster that was chosen, once that is durable; True where it is newer and kept."""
        memory, old = self.memory, self.memory.roster
        if roster.number <= old.number:
            return False
        memory.roster, self.heard = roster, {}
        if self.lost:
            # Nothing is written: a file without what was forgotten must never pass for a memory.
            return True
        if not self._kept():
            memory.roster = old
            return False
        # One that was enlisted for this roster has nothing to learn; not so one that may be an older
        # copy of it.
        enlisted = (self.whole or self.enlisted > 0) and not old.has(self.name, memory.seat)
        self.voting = self.seated and (self.voting or enlisted)
        return True

    def rejoin(self) -> Rejoin | None:
        """What to ask the others, again and again until voting; None where nothing is wanted."""
        return None if self.voting or not self.seated else Rejoin(self.name, self.memory.boot)

    def asked(self, rejoin: Rejoin) -> Known | Seated | None:
        """Tells another what is known here, after writing its boot down; None where this one has lost its
        own. One that votes no longer hears who does."""
        if self.lost or not self.seated:
            return Seated(self.memory.roster) if self.memory.roster.number >= 0 else None
        if rejoin.voter not in self.others:
            return Seated(self.memory.roster)
        before = self.memory.boots.get(rejoin.voter, 0)
        if rejoin.boot > before:
            self.memory.boots[rejoin.voter] = rejoin.boot
            if not self._kept():
                return None
        memory = self.memory
        return Known(self.name, memory.boot, rejoin.boot, before, memory.slots, memory.boots, memory.roster)

    def told(self, known: Known) -> bool:
        """Takes in an answer; True once it votes again."""
        mine = self.memory
        if known.roster.number > mine.roster.number:
            self.adopt(known.roster)  # those who vote now are to be asked, all of them
        if self.voting or not self.seated or known.voter not in self.others or known.asked != mine.boot:
            return self.voting
        if known.before >= mine.boot and known.voter not in self.heard:
            # An older start may have voted under that number: begin again above it.
            mine.boot, self.heard = known.before + 1, {}
            return False
        self.heard[known.voter] = known
        if frozenset(self.heard) != self.others:
            return False
        for one in self.heard.values():
            for key, slot in one.slots.items():
                own = mine.slots.get(key, Slot())
                highest = slot if slot.accepted > own.accepted else own
                mine.slots[key] = Slot(max(slot.promised, own.promised), highest.accepted, highest.record)
            for name, boot in (one.boots | {one.voter: one.boot}).items():
                if name != self.name:
                    mine.boots[name] = max(boot, mine.boots.get(name, 0))
        if self.lost:
            mine.seat = mine.roster.seat(self.name) or ""
        self.lost = False
        self.voting = self._kept()
        return self.voting

    def _kept(self) -> bool:
        self.failed = not self.keep(self.memory)
        return not self.failed

    def _vote(
        self,
        granted: bool,
        ballot: Ballot,
        slot: Slot,
        roster: Roster | None = None,
        keys: Iterable[str] = (),
    ) -> Vote:
        memory = self.memory
        return Vote(
            self.name,
            memory.boot,
            granted,
            ballot,
            slot.accepted,
            slot.record,
            dict(memory.boots),
            memory.seat,
            roster,
            list(keys),
        )


def counted(votes: Iterable[Vote]) -> list[Vote]:
    """The granted votes of one round that stand: not those of a voter which, as another vote of the same
    round knows, has come up without its memory since."""
    votes = list(votes)
    latest: dict[str, int] = {}
    for vote in votes:
        for name, boot in (vote.boots | {vote.voter: vote.boot}).items():
            latest[name] = max(boot, latest.get(name, 0))
    return [vote for vote in votes if vote.granted and vote.boot >= latest[vote.voter]]


@dataclass(slots=True)
class Round:
    """One question to all voters of a roster, or to the one named `only`. Whoever carries it resumes
    the call with the votes that came, at the latest after its own time-out."""

    ask: Ask
    roster: Roster
    only: str = ""

    @property
    def names(self) -> tuple[str, ...]:
        return (self.only,) if self.only else self.roster.names

    def stands(self, votes: Iterable[Vote]) -> bool:
        granted = counted(votes)
        return bool(granted) if self.only else self.roster.stands((one.voter, one.seat) for one in granted)

    def settled(self, votes: Iterable[Vote]) -> bool:
        """Nothing more needs to be waited for: a majority stands, or somebody saw a higher ballot or a newer
        roster."""
        votes = list(votes)
        return self.stands(votes) or any(not vote.granted for vote in votes)


@dataclass(slots=True)
class Pause:
    """Wait so long, in ms, before going on: two proposers in one instant would else outbid each other for
    ever."""

    ms: float


Call = Generator[Round | Pause, list[Vote], Outcome]


class Proposer:
    """Reads and changes records through the voters. `ident` is new with each start; `chance` gives 0 to 1.

    `roster` is the newest that it knows to be chosen. Both rounds of an attempt go under one; voters
    that know a newer one say so, and the attempt begins again under that."""

    def __init__(
        self, ident: str, roster: Roster, chance: Callable[[], float], tries: int = 8, pause_ms: float = 20.0
    ) -> None:
        self.ident, self.roster, self.chance = ident, roster, chance
        self.tries, self.pause_ms = tries, pause_ms
        self.number = 0
        self.calls = 0
        self.unlike: Roster | None = None  # one of our number that is not ours: voters were founded apart

    def seated(self, roster: Roster) -> bool:
        """Takes over a roster that was chosen, if newer."""
        newer = roster.number > self.roster.number
        if newer:
            self.roster = roster
        return newer

    def read(self, key: str) -> Call:
        """A read writes what it found once more: a value that a minority holds is either made to stand by it
        or never seen, so no later read goes back behind this one. A majority that reports one ballot is no
        ground to leave that out: a voter that rejoined reports what it copied, which need never have been
        chosen."""
        sized(key)
        return self._call(key, None, b"")

    def glance(self, key: str) -> Call:
        """One round that changes nothing and flushes nothing: the highest that a majority holds."""
        sized(key)
        votes = yield from self.simple(Glance(key))
        if votes is None:
            return Outcome(Result.AWAY)
        return Outcome(Result.DONE, max(votes, key=lambda vote: vote.accepted).record)

    def simple(self, ask: Glance | Keys) -> Generator[Round | Pause, list[Vote], list[Vote] | None]:
        """One round to a majority; again where voters name a newer roster. None where no majority
        answered."""
        while True:
            round_ = Round(ask, self.roster)
            votes = yield round_
            if round_.stands(votes):
                return counted(votes)
            if not self._told(votes):
                return None

    def change(self, key: str, over: Record, value: bytes) -> Call:
        sized(key, value)
        return self._call(key, over, value)

    def _call(self, key: str, over: Record | None, value: bytes) -> Call:
        self.calls += 1
        writer = f"{self.ident}:{self.calls}"
        proposed = False  # a change of ours may stand somewhere
        attempt = -1
        newer = False
        while attempt + 1 < self.tries:
            if newer:
                newer = False  # begins again under what was learned; no attempt, as rosters only grow
            else:
                attempt += 1
                if attempt:
                    yield Pause(self.pause_ms * (0.5 + self.chance()) * min(attempt, 4))
            self.number += 1
            ballot, roster = Ballot(self.number, self.ident), self.roster
            round_ = Round(Prepare(key, ballot), roster)
            votes = yield round_
            newer = self._told(votes)
            if not round_.stands(votes):
                continue
            found = max(counted(votes), key=lambda vote: vote.accepted).record
            mine = found.writer == writer  # an earlier attempt of this call came through after all
            wrong = over is not None and not mine and found.writer != over.writer
            if wrong and proposed:
                # Ours may have stood and been changed again since: whoever asked must look for itself.
                return Outcome(Result.UNKNOWN, found)
            if over is None or mine or wrong:
                record = found
            else:
                record = Record(found.version + 1, value, writer)
                proposed = True
            round_ = Round(Accept(key, ballot, record), roster)
            votes = yield round_
            newer = self._told(votes)
            if round_.stands(votes):
                return Outcome(Result.CONFLICT if wrong else Result.DONE, record)
        return Outcome(Result.UNKNOWN if proposed else Result.AWAY, NOTHING)

    def _told(self, votes: Iterable[Vote]) -> bool:
        """Learns from refusals; True where a newer roster is among them."""
        refused = [vote for vote in votes if not vote.granted]
        self.number = max([self.number, *(vote.ballot.number for vote in refused)])
        rosters = [vote.roster for vote in refused if vote.roster is not None]
        for roster in rosters:
            if roster.number == self.roster.number >= 0 and roster.mark() != self.roster.mark():
                self.unlike = roster
        return any([self.seated(roster) for roster in rosters])
