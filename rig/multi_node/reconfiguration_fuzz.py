"""Fuzz test of voter reconfiguration under arbitrary message orders, without time. Each message is delivered,
lost or delayed at random, and each caller reaches only some of the voters for a while.

Denser than the plays on the virtual clock: a violation that needs old and new voters to be asked at the same
time is found here within a few hundred seeds."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec

from myrtlecrank.fleet.messages import Message, VoterReply
from myrtlecrank.fleet.register import reconfiguration
from myrtlecrank.fleet.register.calls import Calls, answer_messages
from myrtlecrank.fleet.register.caspaxos import Proposer, Voter
from myrtlecrank.fleet.register.disk import decode, encode
from myrtlecrank.fleet.register.messages import EMPTY_RECORD, VOTER_SET_KEY, Memory, Outcome, Record, Result
from myrtlecrank.fleet.register.reconfiguration import ReconfigurationResult
from myrtlecrank.fleet.register.voter_set import VoterSet, configured_voter_set
from rig.multi_node.checkers import Operation
from rig.multi_node.member import DECODER, ENCODER, newest_voter_set
from rig.multi_node.register_history import (
    COMPLETE_CHANGE_SHARE,
    FOUNDERS,
    MAX_ATTEMPTS,
    OperationRecorder,
    count_known_outcomes,
    founding_image,
    is_linearizable,
)

CANDIDATES = ("v0", "v1", "v2", "v3", "v4")  # members that may become voters
CALLERS = ("a", "b", "c", "d")
RECONFIGURING_CALLER = "d"
OPERATIONS = 26
EVENTS = 6000
EVENT_INTERVAL_MS = 1.0
REPLY_TIMEOUT_MS = 1.0
AFTER_ALL_TIMEOUTS_MS = 1e12  # past every due time

CALL_START_PROBABILITY = 0.03  # for each event; leaves time for reconfigurations between other calls
TIMEOUT_IN_FLIGHT_PROBABILITY = 0.05  # that calls time out while their messages are in flight
REJOIN_REQUEST_PROBABILITY = 0.05  # for each event and voter that has to rejoin
MIN_VOTERS_REACHED = 2
MIN_VOTERS_REACHED_BY_RECONFIGURING_CALLER = 3

# Kinds of events: each has the share of events between the limit before it and its own. Without a message in
# flight, deliveries and losses become timeouts. Events above the last limit have no effect of their own, nor
# has the loss of state in plays without it.
DELIVERY_BELOW = 0.80
LOSS_BELOW = 0.86
TIMEOUT_BELOW = 0.95
REACH_CHANGE_BELOW = 0.98
VOTER_RESTART_BELOW = 0.99
CALLER_RESTART_BELOW = 0.993
STATE_LOSS_BELOW = 0.996


@dataclass(frozen=True, slots=True)
class Sent:
    """A message in flight."""

    source: str
    target: str
    raw: bytes


class Caller:
    """A caller that reads and changes the record, or (`reconfigures`) one that replaces voters."""

    def __init__(self, play: ReconfigurationFuzz, name: str, reconfigures: bool) -> None:
        self.play = play
        self.name = name
        self.reconfigures = reconfigures
        self.incarnation = 0
        self.reachable_voters = set(CANDIDATES)
        self.recorder: OperationRecorder | None = None
        self.start()

    def start(self) -> None:
        """Starts a new incarnation of the process."""
        self.incarnation += 1
        name, random = self.name, self.play.random
        self.calls = Calls(REPLY_TIMEOUT_MS, lambda to, message: self.play.send(name, to, message))
        self.proposer = Proposer(
            f"{name}/{self.incarnation}",
            configured_voter_set(FOUNDERS),
            random.random,
            max_attempts=MAX_ATTEMPTS,
        )
        last = self.recorder.last if self.recorder is not None else EMPTY_RECORD
        self.recorder = OperationRecorder(self.proposer, self.play.history, random.random, last)
        self.reconfiguration_count = 0

    def start_next_call(self) -> None:
        """Starts an operation or a reconfiguration, if none is pending and the play has operations left."""
        play = self.play
        if self.calls.pending or play.operations_left <= 0 or self.recorder is None:
            return
        if self.reconfigures:
            self._start_reconfiguration()
            return
        if play.random.random() > CALL_START_PROBABILITY:
            return
        play.operations_left -= 1
        recorder = self.recorder
        call, operation = recorder.begin_operation(play.now)
        self.calls.start(
            call, lambda outcome, _: recorder.record_outcome(operation, outcome, play.now), play.now
        )

    def _start_reconfiguration(self) -> None:
        play = self.play
        self.reconfiguration_count += 1
        token = f"{self.proposer.proposer_id}:{self.reconfiguration_count}"
        drop = [play.random.choice(sorted(self.proposer.voter_set.names))]
        add = [play.random.choice(CANDIDATES)]
        if play.random.random() < COMPLETE_CHANGE_SHARE:
            drop, add = [], []
        call = reconfiguration.reconfigure(self.proposer, drop, add, token)
        self.calls.start(call, self.finish_reconfiguration, play.now)

    def finish_reconfiguration(self, result: ReconfigurationResult, _: float) -> None:
        """Counts a completed reconfiguration."""
        self.play.reconfigurations += not result.error


class ReconfigurationFuzz:
    """One play of random events. `loses_state`: voters lose their state too."""

    def __init__(self, seed: int, loses_state: bool = False) -> None:
        self.random = Random(seed)
        self.loses_state = loses_state
        self.now = 0.0
        self.operations_left = OPERATIONS
        self.reconfigurations = 0
        self.voter_starts = 0
        self.history: list[Operation] = []
        self.in_flight: list[Sent] = []
        self.images: dict[str, bytes] = {name: founding_image(name) for name in FOUNDERS}
        self.voters: dict[str, Voter] = {}
        for name in CANDIDATES:
            self.start_voter(name)
        self.callers = {name: Caller(self, name, name == RECONFIGURING_CALLER) for name in CALLERS}

    def start_voter(self, name: str) -> None:
        """Starts a new incarnation of a voter with its stored state."""
        self.voter_starts += 1
        raw = self.images.get(name)

        def save(memory: Memory) -> bool:
            self.images[name] = encode(memory)
            return True

        memory = decode(raw) if raw is not None else None
        self.voters[name] = Voter(name, FOUNDERS, memory, save, instance_id=f"{name}/{self.voter_starts}")

    def send(self, source: str, target: str, message: Message) -> None:
        """Puts a message in flight, unless it is between a caller and a voter that the caller cannot
        reach."""
        caller = self.callers.get(source) or self.callers.get(target)
        voter_name = target if source in self.callers else source
        if caller is None or voter_name in caller.reachable_voters:
            self.in_flight.append(Sent(source, target, ENCODER.encode(message)))

    def deliver(self, sent: Sent) -> None:
        """Delivers a message to its caller or voter, and sends a voter's answer."""
        message: Any = DECODER.decode(sent.raw)
        caller = self.callers.get(sent.target)
        if caller is not None:
            if isinstance(message, VoterReply):
                caller.calls.receive_vote(sent.source, message, self.now)
            return
        # send() encodes at once: a reported memory must not change after it was sent.
        for to, reply in answer_messages(self.voters[sent.target], [(sent.source, message)]):
            self.send(sent.target, to, reply)

    def lose_voter_state(self) -> None:
        """Loses the state of one voter, and only while all voters vote."""
        names = newest_voter_set(self.voters.values()).names
        if all(self.voters[name].is_voting for name in names):
            name = self.random.choice(names)
            self.images.pop(name, None)
            self.start_voter(name)

    def run_event(self) -> None:
        """Runs one random event; then voters may ask to rejoin, and callers start their next calls."""
        random = self.random
        share = random.random()
        if share < DELIVERY_BELOW and self.in_flight:
            self.deliver(self._take_random_message())
        elif share < LOSS_BELOW and self.in_flight:
            self._take_random_message()
        elif share < TIMEOUT_BELOW:
            self._time_out_calls(self._random_caller())
        elif share < REACH_CHANGE_BELOW:
            caller = self._random_caller()
            least = MIN_VOTERS_REACHED_BY_RECONFIGURING_CALLER if caller.reconfigures else MIN_VOTERS_REACHED
            caller.reachable_voters = set(random.sample(CANDIDATES, random.randint(least, len(CANDIDATES))))
        elif share < VOTER_RESTART_BELOW:
            self.start_voter(random.choice(CANDIDATES))
        elif share < CALLER_RESTART_BELOW:
            # Its requests stay in flight, and nobody receives their outcome.
            self._random_caller().start()
        elif share < STATE_LOSS_BELOW and self.loses_state:
            self.lose_voter_state()
        self._request_rejoins()
        for caller in self.callers.values():
            caller.start_next_call()

    def _take_random_message(self) -> Sent:
        return self.in_flight.pop(self.random.randrange(len(self.in_flight)))

    def _random_caller(self) -> Caller:
        return self.random.choice(list(self.callers.values()))

    def _time_out_calls(self, caller: Caller) -> None:
        """Times out the calls of a caller, seldom while their messages are in flight."""
        if self.random.random() < TIMEOUT_IN_FLIGHT_PROBABILITY or not any(
            caller.name in (sent.source, sent.target) for sent in self.in_flight
        ):
            caller.calls.tick(AFTER_ALL_TIMEOUTS_MS)

    def _request_rejoins(self) -> None:
        for name, voter in self.voters.items():
            request = voter.rejoin_request()
            if request is not None and self.random.random() < REJOIN_REQUEST_PROBABILITY:
                for other in sorted(voter.others):
                    self.send(name, other, request)

    def run(self) -> FuzzResult:
        """Runs events until all operations have ended, and checks the history."""
        for _ in range(EVENTS):
            if self.operations_left <= 0 and not any(
                caller.calls.pending for caller in self.callers.values()
            ):
                break
            self.now += EVENT_INTERVAL_MS
            self.run_event()
        return FuzzResult(
            is_linearizable(self.history), count_known_outcomes(self.history), self.reconfigurations
        )


@dataclass(frozen=True, slots=True)
class FuzzResult:
    """Whether the history of one play is linearizable, and how much took place in it."""

    ok: bool
    known_outcomes: int  # operations whose outcome was received
    reconfigurations: int  # completed ones


def play(seed: int, loses_state: bool = False, bug: str | None = None) -> FuzzResult:
    """Runs one play, with the injected fault of that name if one is given."""
    remove_fault = INJECTED_FAULTS[bug]() if bug is not None else lambda: None
    try:
        return ReconfigurationFuzz(seed, loses_state).run()
    finally:
        remove_fault()


# -- injected faults; each returns a function that removes it

Undo = Callable[[], None]


def _replace_attribute(owner: Any, name: str, replacement: Any) -> Undo:
    original = getattr(owner, name)
    setattr(owner, name, replacement)
    return lambda: setattr(owner, name, original)


def no_joint() -> Undo:
    """Uses the new voters at once, without a majority of the old ones."""
    original = VoterSet.begin_change

    def begin_change(voter_set: VoterSet, drop: Iterable[str], add: dict[str, str]) -> VoterSet:
        return VoterSet(voter_set.number + 1, original(voter_set, drop, add).sets[-1:])

    return _replace_attribute(VoterSet, "begin_change", begin_change)


def no_rewrite() -> Undo:
    """Uses the new voters alone before they hold the chosen records."""

    def complete_at_once(proposer: Proposer, record: Record, joint: VoterSet) -> Any:
        outcome: Outcome = yield from proposer.compare_and_set(
            VOTER_SET_KEY, record, msgspec.msgpack.encode(joint.complete_change())
        )
        return outcome.result is Result.DONE and proposer.adopt_voter_set(joint.complete_change())

    return _replace_attribute(reconfiguration, "complete_reconfiguration", complete_at_once)


def any_roster() -> Undo:
    """A voter answers requests under any voter set, and continues after it was removed."""
    original = Voter._answer

    def answer(voter: Voter, fingerprint: str, request: Any) -> Any:
        if (
            fingerprint.startswith("-")
            or not hasattr(request, "key")
            or voter.memory_is_lost
            or voter.memory.voter_set.number < 0
        ):
            return original(voter, fingerprint, request)
        was_voting = voter.is_voting
        voter.is_voting = True
        vote = original(voter, voter.memory.voter_set.fingerprint(), request)
        voter.is_voting = was_voting
        return vote

    return _replace_attribute(Voter, "_answer", answer)


INJECTED_FAULTS: dict[str, Callable[[], Undo]] = {
    "no-joint": no_joint,
    "no-rewrite": no_rewrite,
    "any-roster": any_roster,
}
