"""Model check of the register: explores all orders of events for three voters and two proposers up to a
depth.

An event is one of: a voter handles a request, and its vote arrives or is lost; a proposer's round times out.
A request may be handled at any later time, which covers delayed ones; a duplicate changes nothing (equal
ballots). Both proposers change the same empty record, so at most one may succeed."""

from __future__ import annotations

from collections.abc import Iterator
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

VOTERS = ("a", "b", "c")
VOTER_SET = founding_voter_set(VOTERS)
VOTER_SET_FINGERPRINT = VOTER_SET.fingerprint()
KEY = "k"
PROPOSERS = 2
Votes = tuple[Vote, ...]
Request = Prepare | Accept


@dataclass(frozen=True, slots=True)
class ProposerState:
    """The votes of a proposer's ended rounds, the votes of its current round, and its requests in flight."""

    ended_rounds: tuple[Votes, ...] = ()
    votes: Votes = ()
    in_flight: tuple[tuple[int, str], ...] = ()  # round and voter of requests not handled yet


Slots = tuple[Slot | None, ...]
State = tuple[Slots, tuple[ProposerState, ...]]
ENCODER = msgspec.msgpack.Encoder()


def _voter_name(vote: Vote) -> str:
    return vote.voter


class ModelCheck:
    """The search. `broken` injects a fault: voters answer without keeping their promises."""

    def __init__(self, depth: int, tries: int = 2, broken: bool = False) -> None:
        self.depth = depth
        self.tries = tries
        self.broken = broken
        # Results of requests_and_outcome by proposer and encoded rounds.
        self.known_requests: dict[tuple[int, bytes], tuple[list[Request], Outcome | None]] = {}
        self.visited: dict[bytes, int] = {}  # state: number of events explored from it
        self.state_count = 0
        self.results: set[tuple[Result | None, ...]] = set()
        self.violations: list[State] = []

    def run(self) -> ModelCheck:
        """Searches from an empty register, with both proposers about to send their first requests."""
        proposers = tuple(self._start_round(number, ProposerState(), 0) for number in range(PROPOSERS))
        self._explore((None,) * len(VOTERS), proposers, self.depth)
        return self

    def requests_and_outcome(
        self, number: int, ended_rounds: tuple[Votes, ...]
    ) -> tuple[list[Request], Outcome | None]:
        """Returns all requests that a proposer has made after these rounds, and its outcome if it has
        ended."""
        key = (number, ENCODER.encode(ended_rounds))
        if key not in self.known_requests:
            self.known_requests[key] = self._replay(number, ended_rounds)
        return self.known_requests[key]

    def _replay(self, number: int, ended_rounds: tuple[Votes, ...]) -> tuple[list[Request], Outcome | None]:
        proposer = Proposer(f"p{number}", VOTER_SET, lambda: 0.5, max_attempts=self.tries)
        call = proposer.compare_and_set(KEY, EMPTY_RECORD, b"%d" % number)
        requests: list[Request] = []
        remaining_rounds = list(ended_rounds)
        try:
            step: Round | Pause = next(call)
            while True:
                if isinstance(step, Pause):
                    step = call.send([])
                    continue
                if not isinstance(step.request, Prepare | Accept):
                    raise AssertionError(f"a change sends only prepare and accept, found {step.request!r}")
                requests.append(step.request)
                if not remaining_rounds:
                    return requests, None
                step = call.send(list(remaining_rounds.pop(0)))
        except StopIteration as end:
            return requests, end.value

    def _start_round(self, number: int, proposer: ProposerState, rounds_before: int) -> ProposerState:
        """Puts the requests of the rounds after the given number in flight."""
        requests, _ = self.requests_and_outcome(number, proposer.ended_rounds)
        new = tuple((i, name) for i in range(rounds_before, len(requests)) for name in VOTERS)
        return ProposerState(proposer.ended_rounds, (), proposer.in_flight + new)

    def _end_round(self, number: int, proposer: ProposerState, rounds_before: int) -> ProposerState:
        votes = tuple(sorted(proposer.votes, key=_voter_name))
        ended = ProposerState((*proposer.ended_rounds, votes), (), proposer.in_flight)
        return self._start_round(number, ended, rounds_before)

    def _explore(self, slots: Slots, proposers: tuple[ProposerState, ...], events_left: int) -> None:
        """Explores all orders of the events left, from this state."""
        key = self._state_key(slots, proposers)
        if self.visited.get(key, -1) >= events_left:
            return
        if key not in self.visited:
            self.state_count += 1
        self.visited[key] = events_left
        outcomes = [
            self.requests_and_outcome(number, proposer.ended_rounds)[1]
            for number, proposer in enumerate(proposers)
        ]
        results = tuple(outcome.result if outcome else None for outcome in outcomes)
        self.results.add(results)
        if results == (Result.DONE,) * PROPOSERS:
            self.violations.append((slots, proposers))
            return
        if events_left == 0 or self.violations:
            return
        for number in range(PROPOSERS):
            for next_slots, next_proposer in self._next_states(slots, number, proposers[number]):
                next_proposers = (*proposers[:number], next_proposer, *proposers[number + 1 :])
                self._explore(next_slots, next_proposers, events_left - 1)

    @staticmethod
    def _state_key(slots: Slots, proposers: tuple[ProposerState, ...]) -> bytes:
        """Encodes the state without the orders of votes and requests, which make no difference."""
        unordered = [
            (proposer.ended_rounds, sorted(proposer.votes, key=_voter_name), sorted(proposer.in_flight))
            for proposer in proposers
        ]
        return ENCODER.encode((slots, unordered))

    def _next_states(
        self, slots: Slots, number: int, proposer: ProposerState
    ) -> Iterator[tuple[Slots, ProposerState]]:
        """Returns the states after each event that is possible for one proposer."""
        requests, outcome = self.requests_and_outcome(number, proposer.ended_rounds)
        for sent in proposer.in_flight:
            round_number, name = sent
            voter = VOTERS.index(name)
            vote, slot = self._answer(slots[voter], name, requests[round_number])
            next_slots = (*slots[:voter], slot, *slots[voter + 1 :])
            in_flight = tuple(other for other in proposer.in_flight if other != sent)
            # The vote is lost or late.
            yield next_slots, ProposerState(proposer.ended_rounds, proposer.votes, in_flight)
            if outcome is None and round_number == len(requests) - 1:
                voted = ProposerState(proposer.ended_rounds, (*proposer.votes, vote), in_flight)
                current_round = Round(requests[round_number], VOTER_SET)
                if current_round.is_decided(voted.votes) or len(voted.votes) == len(VOTERS):
                    voted = self._end_round(number, voted, len(requests))
                yield next_slots, voted
        if outcome is None:  # the round times out
            yield slots, self._end_round(number, proposer, len(requests))

    def _answer(self, slot: Slot | None, name: str, request: Request) -> tuple[Vote, Slot | None]:
        """Returns a voter's vote on a request, and its slot after it."""
        memory = Memory("", name, 0, {} if slot is None else {KEY: slot}, {}, VOTER_SET)
        if self.broken and slot is not None:
            memory.slots[KEY] = Slot(type(slot.promised)(), slot.accepted, slot.record)
        voter = Voter(name, VOTERS, memory, lambda _: True)
        (vote,) = voter.answer_batch([(VOTER_SET_FINGERPRINT, request)])
        if vote is None:
            raise AssertionError(f"voter {name} must answer, found no vote")
        return vote, memory.slots.get(KEY)
