"""What is carried between proposers and voters: a proposer's rounds out, votes in, time-outs; a voter's
letters in and its replies. Free of I/O and clocks."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from myrtlecrank.fleet.messages import Asked, Message, Voted
from myrtlecrank.fleet.register.caspaxos import Pause, Round, Voter
from myrtlecrank.fleet.register.messages import Known, Rejoin, Seated, Vote
from myrtlecrank.fleet.register.voter_set import GUESS

T = TypeVar("T")
Letter = Asked | Rejoin | Known | Seated  # what a voter is sent
Steps = Generator[Round | Pause, list[Vote], T]


def replies(voter: Voter, letters: Iterable[tuple[str, Letter]]) -> list[tuple[str, Message]]:
    """What a voter says to letters that came together, by sender: all votes under one flush. Nobody may speak
    for another voter."""
    said: list[tuple[str, Message]] = []
    questions: list[tuple[str, Asked]] = []
    for sender, letter in letters:
        if isinstance(letter, Asked):
            questions.append((sender, letter))
        elif isinstance(letter, Seated):
            # First the questions that came before it: they were asked under the older roster.
            said += _votes(voter, questions)
            questions = []
            voter.adopt(letter.roster)
        elif sender != letter.voter:
            continue
        elif isinstance(letter, Known):
            voter.told(letter)
        elif (known := voter.asked(letter)) is not None:
            said.append((sender, known))
    return said + _votes(voter, questions)


def _votes(voter: Voter, questions: list[tuple[str, Asked]]) -> list[tuple[str, Message]]:
    votes = voter.answers((asked.mark, asked.ask) for _, asked in questions)
    return [
        (sender, Voted(asked.call, asked.round, vote))
        for (sender, asked), vote in zip(questions, votes, strict=True)
        if vote is not None
    ]


@dataclass(slots=True)
class Pending:
    call: Steps[Any]
    done: Callable[[Any, float], None]
    step: Round | Pause
    round: int = 0
    due: float = 0.0
    votes: dict[str, Vote] = field(default_factory=dict)
    taught: set[str] = field(default_factory=set)  # voters that were told the roster in this round


class Calls:
    """`reply_ms` bounds each round; a call is bounded by its proposer's tries."""

    def __init__(self, reply_ms: float, send: Callable[[str, Asked | Seated], None]) -> None:
        self.reply_ms, self.send = reply_ms, send
        self.pending: dict[int, Pending] = {}
        self.newest = GUESS  # of the rosters that were asked under
        self.number = 0

    def start(self, call: Steps[T], done: Callable[[T, float], None], now: float) -> None:
        self.number += 1
        one = Pending(call, done, Pause(0.0))
        self.pending[self.number] = one
        self._go(self.number, one, None, now)

    def heard(self, sender: str, voted: Voted, now: float) -> None:
        vote = voted.vote
        if sender != vote.voter:
            return  # a vote counts for the voter that sent it alone
        one, step = self.pending.get(voted.call), None
        if one is not None and voted.round == one.round and isinstance(one.step, Round):
            step = one.step if sender in one.step.names else None
        if vote.roster is not None and vote.roster.number < self.newest.number:
            self._teach(sender, voted, one if step is not None else None)
        elif one is not None and step is not None:
            one.votes.setdefault(sender, vote)
            if step.settled(one.votes.values()) or len(one.votes) == len(step.names):
                self._go(voted.call, one, list(one.votes.values()), now)

    def _teach(self, sender: str, voted: Voted, one: Pending | None) -> None:
        """It has not heard of the roster that it was asked under: told, and asked again once in a round. Told
        even where the majority did without it, else one slower than the others would never hear."""
        if one is None or sender not in one.taught:
            self.send(sender, Seated(self.newest))
        if one is not None and isinstance(one.step, Round) and sender not in one.taught:
            one.taught.add(sender)
            self.send(sender, Asked(voted.call, one.round, one.step.roster.mark(), one.step.ask))

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
        one.round, one.votes, one.taught = one.round + 1, {}, set()
        if isinstance(one.step, Pause):
            one.due = now + one.step.ms
            return
        one.due = now + self.reply_ms
        mark = one.step.roster.mark()
        if one.step.roster.number > self.newest.number:
            self.newest = one.step.roster
        for voter in one.step.names:
            self.send(voter, Asked(number, one.round, mark, one.step.ask))
