"""Runs the calls of proposers and answers the messages to a voter.

For proposers: requests out, votes in, timeouts. For a voter: a batch of messages in, its answers out. Free of
I/O and clocks; times are in ms."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass, field
from typing import Any, TypeVar

import xxhash

from myrtlecrank.fleet.messages import Message, VoterReply, VoterRequest
from myrtlecrank.fleet.register.caspaxos import Pause, Round, Voter
from myrtlecrank.fleet.register.messages import Rejoin, RejoinAnswer, Vote, VoterSetNotice
from myrtlecrank.fleet.register.voter_set import UNKNOWN_VOTER_SET

CALL_NUMBER_BITS = 31  # for the calls of one start; the bits above them tell the starts apart

T = TypeVar("T")
VoterMessage = VoterRequest | Rejoin | RejoinAnswer | VoterSetNotice  # the messages to a voter
ProposerCall = Generator[Round | Pause, list[Vote], T]


def answer_messages(voter: Voter, messages: Iterable[tuple[str, VoterMessage]]) -> list[tuple[str, Message]]:
    """The voter's answers, each with its receiver, to messages that arrived together, each with its sender.

    Votes are made durable by one write, as far as possible. A message in the name of another voter is
    ignored."""
    answers: list[tuple[str, Message]] = []
    requests: list[tuple[str, VoterRequest]] = []
    for sender, message in messages:
        if isinstance(message, VoterRequest):
            requests.append((sender, message))
        elif isinstance(message, VoterSetNotice):
            # Requests that arrived before were made under the older voter set: they are answered first.
            answers += _votes(voter, requests)
            requests = []
            voter.adopt_voter_set(message.voter_set)
        elif sender != message.voter:
            continue
        elif isinstance(message, RejoinAnswer):
            voter.accept_rejoin_answer(message)
        elif (answer := voter.answer_rejoin(message)) is not None:
            answers.append((sender, answer))
    return answers + _votes(voter, requests)


def _votes(voter: Voter, requests: list[tuple[str, VoterRequest]]) -> list[tuple[str, Message]]:
    votes = voter.answer_batch((message.roster_mark, message.ask) for _, message in requests)
    return [
        (sender, VoterReply(message.call, message.round, vote))
        for (sender, message), vote in zip(requests, votes, strict=True)
        if vote is not None
    ]


@dataclass(slots=True)
class PendingCall:
    """A call that is waiting for the votes of its present round, or for the end of a pause."""

    call: ProposerCall[Any]
    on_done: Callable[[Any, float], None]
    step: Round | Pause
    round_number: int = 0
    due: float = 0.0
    votes: dict[str, Vote] = field(default_factory=dict)
    updated_voters: set[str] = field(default_factory=set)  # were sent the newest voter set in this round


class Calls:
    """The calls under way of one start of a process.

    `reply_timeout_ms` bounds each round; the attempts of its proposer bound a call. `send` sends a message to
    a voter. `start_id` names this start among all of the process: a voter that is slow answers an earlier
    start only after this one has connected, and that answer must fit none of this start's calls."""

    def __init__(
        self,
        reply_timeout_ms: float,
        send: Callable[[str, VoterRequest | VoterSetNotice], None],
        start_id: str = "",
    ) -> None:
        self.reply_timeout_ms = reply_timeout_ms
        self.send = send
        self.pending: dict[int, PendingCall] = {}
        self.newest_voter_set = UNKNOWN_VOTER_SET  # of those under which requests were made
        self.last_call_number = xxhash.xxh32_intdigest(start_id.encode()) << CALL_NUMBER_BITS

    def start(self, call: ProposerCall[T], on_done: Callable[[T, float], None], now: float) -> None:
        """Starts a call; `on_done` gets its result and the time at which it ended."""
        self.last_call_number += 1
        pending = PendingCall(call, on_done, Pause(0.0))
        self.pending[self.last_call_number] = pending
        self._advance(self.last_call_number, pending, None, now)

    def receive_vote(self, sender: str, reply: VoterReply, now: float) -> None:
        """Takes in a vote."""
        vote = reply.vote
        if sender != vote.voter:
            return  # a vote counts only for the voter that sent it
        pending = self.pending.get(reply.call)
        round_: Round | None = None
        if (
            pending is not None
            and reply.round == pending.round_number
            and isinstance(pending.step, Round)
            and sender in pending.step.voter_names
        ):
            round_ = pending.step
        if vote.voter_set is not None and vote.voter_set.number < self.newest_voter_set.number:
            self._update_voter(sender, reply, pending if round_ is not None else None)
        elif pending is not None and round_ is not None:
            pending.votes.setdefault(sender, vote)
            is_complete = len(pending.votes) == len(round_.voter_names)
            if round_.is_decided(pending.votes.values()) or is_complete:
                self._advance(reply.call, pending, list(pending.votes.values()), now)

    def _update_voter(self, sender: str, reply: VoterReply, pending: PendingCall | None) -> None:
        """Sends the newest voter set to a voter that has not received it, and repeats the request once a
        round.

        The voter set is sent even if the round is over: a voter that is slower than the others would
        otherwise never receive it."""
        if pending is None or sender not in pending.updated_voters:
            self.send(sender, VoterSetNotice(self.newest_voter_set))
        if pending is not None and isinstance(pending.step, Round) and sender not in pending.updated_voters:
            pending.updated_voters.add(sender)
            fingerprint = pending.step.voter_set.fingerprint()
            request = pending.step.request
            self.send(sender, VoterRequest(reply.call, pending.round_number, fingerprint, request))

    def tick(self, now: float) -> None:
        """Resumes the calls whose round has timed out or whose pause is over."""
        for number, pending in list(self.pending.items()):
            if pending.due <= now:
                self._advance(number, pending, list(pending.votes.values()), now)

    def next_due(self) -> float:
        """When tick() is to be called next; infinity if there is nothing to wait for."""
        return min((pending.due for pending in self.pending.values()), default=float("inf"))

    def _advance(self, number: int, pending: PendingCall, votes: list[Vote] | None, now: float) -> None:
        """Resumes the call and begins its next round or pause, or ends it. `votes` is None at its start."""
        try:
            pending.step = next(pending.call) if votes is None else pending.call.send(votes)
        except StopIteration as end:
            del self.pending[number]
            pending.on_done(end.value, now)
            return
        pending.round_number += 1
        pending.votes = {}
        pending.updated_voters = set()
        if isinstance(pending.step, Pause):
            pending.due = now + pending.step.duration_ms
            return
        pending.due = now + self.reply_timeout_ms
        voter_set = pending.step.voter_set
        fingerprint = voter_set.fingerprint()
        if voter_set.number > self.newest_voter_set.number:
            self.newest_voter_set = voter_set
        for voter in pending.step.voter_names:
            self.send(voter, VoterRequest(number, pending.round_number, fingerprint, pending.step.request))
