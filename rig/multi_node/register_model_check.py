"""Model check of the register: explores all orders of events for three voters and two proposers up to a
depth.

An event is one of: a voter handles a request, and its vote arrives or is lost; a proposer's round times out.
A request may be handled at any later time, which covers delayed ones; a duplicate changes nothing (equal
ballots). Both proposers change the same empty record, so at most one may succeed."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from myrtlecrank.fleet.register.caspaxos import Pause, Proposer, Round, Voter
from myrtlecrank.fleet.register.messages import (
    EMPTY_RECORD,
    Accept,
    Memory,
    Outcome,
    Prepare,
    Result,
    Slot,
    Vote,
)
from myrtlecrank.fleet.register.voter_set import founding_voter_set

NAMES = ("a", "b", "c")
ROSTER = founding_voter_set(NAMES)
MARK = ROSTER.fingerprint()
Votes = tuple[Vote, ...]


@dataclass(frozen=True, slots=True)
class Side:
    """One proposer: the votes of its earlier rounds, the votes of this round, and its open requests."""

    resumed: tuple[Votes, ...] = ()
    votes: Votes = ()
    sent: tuple[tuple[int, str], ...] = ()  # round and voter of requests not handled yet


Slots = tuple[Slot | None, ...]
State = tuple[Slots, tuple[Side, ...]]
PACK = msgspec.msgpack.Encoder()


def _name(vote: Vote) -> str:
    return vote.voter


class ModelCheck:
    """The search. `broken` injects a fault: voters answer without keeping their promises."""

    def __init__(self, depth: int, tries: int = 2, broken: bool = False) -> None:
        self.depth, self.tries, self.broken = depth, tries, broken
        self.steps: dict[tuple[int, bytes], tuple[list[Prepare | Accept], Outcome | None]] = {}
        self.visited: dict[bytes, int] = {}  # state: number of events explored from it
        self.state_count = 0
        self.results: set[tuple[Result | None, ...]] = set()
        self.violations: list[State] = []

    def asks(self, side: int, resumed: tuple[Votes, ...]) -> tuple[list[Prepare | Accept], Outcome | None]:
        """Returns all requests that a proposer has made after these rounds, and its outcome if it has
        ended."""
        key = (side, PACK.encode(resumed))
        if key not in self.steps:
            proposer = Proposer(f"p{side}", ROSTER, lambda: 0.5, max_attempts=self.tries)
            call = proposer.compare_and_set("k", EMPTY_RECORD, b"%d" % side)
            asked: list[Prepare | Accept] = []
            outcome = None
            try:
                step: Round | Pause = next(call)
                waiting = list(resumed)
                while True:
                    if isinstance(step, Pause):
                        step = call.send([])
                        continue
                    if not isinstance(step.request, Prepare | Accept):
                        raise AssertionError(
                            f"a change sends only prepare and accept, found {step.request!r}"
                        )
                    asked.append(step.request)
                    if not waiting:
                        break
                    step = call.send(list(waiting.pop(0)))
            except StopIteration as end:
                outcome = end.value
            self.steps[key] = asked, outcome
        return self.steps[key]

    def run(self) -> ModelCheck:
        sides = tuple(self._began(i, Side(), 0) for i in range(2))
        self._from((None, None, None), sides, self.depth)
        return self

    def _began(self, number: int, side: Side, before: int) -> Side:
        asked, _ = self.asks(number, side.resumed)
        new = tuple((i, name) for i in range(before, len(asked)) for name in NAMES)
        return Side(side.resumed, (), side.sent + new)

    def _from(self, slots: Slots, sides: tuple[Side, ...], left: int) -> None:
        key = PACK.encode((slots, [(s.resumed, sorted(s.votes, key=_name), sorted(s.sent)) for s in sides]))
        if self.visited.get(key, -1) >= left:
            return
        if key not in self.visited:
            self.state_count += 1
        self.visited[key] = left
        results = tuple(
            outcome.result if outcome else None
            for outcome in (self.asks(i, s.resumed)[1] for i, s in enumerate(sides))
        )
        self.results.add(results)
        if results == (Result.DONE, Result.DONE):
            self.violations.append((slots, sides))
            return
        if left == 0 or self.violations:
            return
        for number, side in enumerate(sides):
            asked, outcome = self.asks(number, side.resumed)
            for i, name in side.sent:
                place = NAMES.index(name)
                vote, slot = self._take(slots[place], name, asked[i])
                after = (*slots[:place], slot, *slots[place + 1 :])
                rest = Side(side.resumed, side.votes, tuple(one for one in side.sent if one != (i, name)))
                self._go(after, sides, number, rest, left)  # the vote is lost or late
                if outcome is None and i == len(asked) - 1:
                    heard = Side(rest.resumed, (*rest.votes, vote), rest.sent)
                    step = Round(asked[i], ROSTER)
                    if step.is_decided(heard.votes) or len(heard.votes) == 3:
                        heard = self._resumed(number, heard, len(asked))
                    self._go(after, sides, number, heard, left)
            if outcome is None:
                self._go(slots, sides, number, self._resumed(number, side, len(asked)), left)

    def _resumed(self, number: int, side: Side, before: int) -> Side:
        votes = tuple(sorted(side.votes, key=_name))
        return self._began(number, Side((*side.resumed, votes), (), side.sent), before)

    def _go(self, slots: Slots, sides: tuple[Side, ...], number: int, side: Side, left: int) -> None:
        self._from(slots, (*sides[:number], side, *sides[number + 1 :]), left - 1)

    def _take(self, slot: Slot | None, name: str, ask: Prepare | Accept) -> tuple[Vote, Slot | None]:
        memory = Memory("", name, 0, {} if slot is None else {"k": slot}, {}, ROSTER)
        if self.broken and slot is not None:
            memory.slots["k"] = Slot(type(slot.promised)(), slot.accepted, slot.record)
        voter = Voter(name, NAMES, memory, lambda _: True)
        (vote,) = voter.answer_batch([(MARK, ask)])
        if vote is None:
            raise AssertionError(f"voter {name} must answer, found no vote")
        return vote, memory.slots.get("k")
