"""Decisions of the register: voters and the rounds of a proposer, one instance of single-decree ballots a
key.

Published as CASPaxos (Rystsov, 2018), on Paxos (Lamport, 1998): no log, no leader, each change is a prepare
and an accept round to a majority. What is added here is the return of a voter without its memory (see
Voter.rejoin and `counted`). Free of I/O, clocks and chance: rounds are yielded, pauses come from a function
that is handed in."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass

from myrtlecrank.fleet.register.words import (
    NOTHING,
    Accept,
    Ballot,
    Glance,
    Known,
    Memory,
    Outcome,
    Prepare,
    Record,
    Rejoin,
    Result,
    Slot,
    Vote,
    sized,
)

MOST_KEYS = 1024  # of one register: what a voter writes at a change grows with them


class Voter:
    """One voter: its memory, and whether it may vote.

    A voter whose memory is lost, torn or of a doubtful age abstains: it asks *all* other voters what they
    know and goes on from the highest of it, under a new boot number. All, because any one of them may be the
    only other member of a majority that it voted in. What it had promised or accepted may still be on its way
    to a proposer as a vote of its old boot; since all others have written the new boot down before they
    answered, any majority of votes made after that shows the old one to be void (`counted`).

    `keep` writes the memory and returns when it is durable; where it fails, the voter says nothing."""

    def __init__(
        self, name: str, others: Iterable[str], memory: Memory | None, keep: Callable[[Memory], bool],
        fleet: str = "", whole: bool = True,
    ) -> None:
        self.name, self.others, self.keep = name, frozenset(others), keep
        self.memory = memory or Memory(fleet, name, 0, {}, {})
        voters = sorted([name, *self.others])
        # Guards against two majorities: while members run with unlike lists of voters, one that remembers
        # another list than it is told says nothing at all.
        self.stranger = memory is not None and memory.voters != voters
        self.memory.voters = self.memory.voters or voters
        self.lost = memory is None  # nothing of it may be told to another that rejoins
        self.voting = memory is not None and whole and not self.stranger
        if not self.voting:
            self.memory.boot += 1
        self.heard: dict[str, Known] = {}
        self.failed = False  # the last write was

    def answers(self, asked: Iterable[Prepare | Accept | Glance]) -> list[Vote | None]:
        """The votes on several questions under one flush, once they are durable; None for each while the
        voter abstains or its disk fails."""
        asked = list(asked)
        votes = [self._answer(one) for one in asked]
        changed = any(vote is not None and vote.granted and not isinstance(one, Glance)
                      for one, vote in zip(asked, votes, strict=True))
        if not changed or self._kept():
            return votes
        # Nothing is told. What is on the disk may be either, and a later vote starts from the higher.
        return [None] * len(asked)

    def _answer(self, asked: Prepare | Accept | Glance) -> Vote | None:
        slots = self.memory.slots
        if not self.voting or (asked.key not in slots and len(slots) >= MOST_KEYS):
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

    def rejoin(self) -> Rejoin | None:
        """What to ask the others, again and again until voting; None where nothing is wanted."""
        return None if self.voting or self.stranger else Rejoin(self.name, self.memory.boot)

    def asked(self, rejoin: Rejoin) -> Known | None:
        """Tells another what is known here, after writing its boot down; None where this one has lost its
        own."""
        if self.lost or self.stranger or rejoin.voter not in self.others:
            return None
        before = self.memory.boots.get(rejoin.voter, 0)
        if rejoin.boot > before:
            self.memory.boots[rejoin.voter] = rejoin.boot
            if not self._kept():
                return None
        memory = self.memory
        return Known(self.name, memory.boot, rejoin.boot, before, memory.slots, memory.boots)

    def told(self, known: Known) -> bool:
        """Takes in an answer; True once it votes again."""
        mine = self.memory
        if self.voting or self.stranger or known.voter not in self.others or known.asked != mine.boot:
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
        self.lost = False
        self.voting = self._kept()
        return self.voting

    def _kept(self) -> bool:
        self.failed = not self.keep(self.memory)
        return not self.failed

    def _vote(self, granted: bool, ballot: Ballot, slot: Slot) -> Vote:
        memory = self.memory
        return Vote(self.name, memory.boot, granted, ballot, slot.accepted, slot.record, dict(memory.boots))


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
    """One question to all voters. Whoever carries it resumes the call with the votes that came, at the latest
    after its own time-out."""

    ask: Prepare | Accept | Glance
    majority: int

    def settled(self, votes: Iterable[Vote]) -> bool:
        """Nothing more needs to be waited for: a majority stands, or somebody saw a higher ballot."""
        votes = list(votes)
        return len(counted(votes)) >= self.majority or any(not vote.granted for vote in votes)


@dataclass(slots=True)
class Pause:
    """Wait so long, in ms, before going on: two proposers in one instant would else outbid each other for
    ever."""

    ms: float


Call = Generator[Round | Pause, list[Vote], Outcome]


class Proposer:
    """Reads and changes records through the voters. `ident` is new with each start; `chance` gives 0 to 1."""

    def __init__(
        self, ident: str, voters: int, chance: Callable[[], float], tries: int = 8, pause_ms: float = 20.0
    ) -> None:
        if voters < 1 or voters % 2 == 0:
            raise ValueError(f"voters are an odd number, not {voters}")
        self.ident, self.majority, self.chance = ident, voters // 2 + 1, chance
        self.tries, self.pause_ms = tries, pause_ms
        self.number = 0
        self.calls = 0

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
        votes = counted((yield Round(Glance(key), self.majority)))
        if len(votes) < self.majority:
            return Outcome(Result.AWAY)
        return Outcome(Result.DONE, max(votes, key=lambda vote: vote.accepted).record)

    def change(self, key: str, over: Record, value: bytes) -> Call:
        sized(key, value)
        return self._call(key, over, value)

    def _call(self, key: str, over: Record | None, value: bytes) -> Call:
        self.calls += 1
        writer = f"{self.ident}:{self.calls}"
        proposed = False  # a change of ours may stand somewhere
        for attempt in range(self.tries):
            if attempt:
                yield Pause(self.pause_ms * (0.5 + self.chance()) * min(attempt, 4))
            self.number += 1
            ballot = Ballot(self.number, self.ident)
            votes = yield Round(Prepare(key, ballot), self.majority)
            granted = counted(votes)
            self._outbid(votes)
            if len(granted) < self.majority:
                continue
            found = max(granted, key=lambda vote: vote.accepted).record
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
            votes = yield Round(Accept(key, ballot, record), self.majority)
            self._outbid(votes)
            if len(counted(votes)) >= self.majority:
                return Outcome(Result.CONFLICT if wrong else Result.DONE, record)
        return Outcome(Result.UNKNOWN if proposed else Result.AWAY, NOTHING)

    def _outbid(self, votes: Iterable[Vote]) -> None:
        self.number = max([self.number, *(vote.ballot.number for vote in votes if not vote.granted)])
