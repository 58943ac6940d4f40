"""What is carried between proposers and voters: a proposer's rounds out, votes in, time-outs; a voter's
letters in and its replies. Free of I/O and clocks."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from myrtlecrank.fleet.register.decide import Call, Pause, Round, Voter
from myrtlecrank.fleet.register.words import Known, Outcome, Rejoin, Vote
from myrtlecrank.fleet.words import Asked, Message, Voted

Letter = Asked | Rejoin | Known  # what a voter is sent
Done = Callable[[Outcome, float], None]


def replies(voter: Voter, letters: Iterable[tuple[str, Letter]]) -> list[tuple[str, Message]]:
    """What a voter says to letters that came together, by sender: all votes under one flush. Nobody may speak
    for another voter."""
    said: list[tuple[str, Message]] = []
    questions: list[tuple[str, Asked]] = []
    for sender, letter in letters:
        if isinstance(letter, Asked):
            questions.append((sender, letter))
        elif sender != letter.voter:
            continue
        elif isinstance(letter, Known):
            voter.told(letter)
        elif (known := voter.asked(letter)) is not None:
            said.append((sender, known))
    votes = voter.answers(asked.ask for _, asked in questions)
    said += [(sender, Voted(asked.call, asked.round, vote))
             for (sender, asked), vote in zip(questions, votes, strict=True) if vote is not None]
    return said


@dataclass(slots=True)
class Pending:
    call: Call
    done: Done
    step: Round | Pause
    round: int = 0
    due: float = 0.0
    votes: dict[str, Vote] = field(default_factory=dict)


class Calls:
    """`reply_ms` bounds each round; a call is bounded by its proposer's tries."""

    def __init__(self, voters: Iterable[str], reply_ms: float, send: Callable[[str, Asked], None]) -> None:
        self.voters, self.reply_ms, self.send = tuple(voters), reply_ms, send
        self.pending: dict[int, Pending] = {}
        self.number = 0

    def start(self, call: Call, done: Done, now: float) -> None:
        self.number += 1
        one = Pending(call, done, Pause(0.0))
        self.pending[self.number] = one
        self._go(self.number, one, None, now)

    def heard(self, sender: str, voted: Voted, now: float) -> None:
        one = self.pending.get(voted.call)
        if one is None or voted.round != one.round or not isinstance(one.step, Round):
            return
        if sender not in self.voters or sender != voted.vote.voter:
            return  # a vote counts for the voter that sent it alone
        one.votes.setdefault(sender, voted.vote)
        if one.step.settled(one.votes.values()) or len(one.votes) == len(self.voters):
            self._go(voted.call, one, list(one.votes.values()), now)

    def tick(self, now: float) -> None:
        for number, one in list(self.pending.items()):
            if one.due <= now:
                self._go(number, one, list(one.votes.values()), now)

    def due(self) -> float:
        return min((one.due for one in self.pending.values()), default=float("inf"))

    def _go(self, number: int, one: Pending, votes: list[Vote] | None, now: float) -> None:
        try:
            one.step = next(one.call) if votes is None else one.call.send(votes)
        except StopIteration as end:
            del self.pending[number]
            one.done(end.value, now)
            return
        one.round, one.votes = one.round + 1, {}
        if isinstance(one.step, Pause):
            one.due = now + one.step.ms
            return
        one.due = now + self.reply_ms
        for voter in self.voters:
            self.send(voter, Asked(number, one.round, one.step.ask))
