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
from myrtlecrank.fleet.register.voter_set import VoterSet, configured_voter_set, founding_voter_set
from rig.multi_node.checkers import Operation
from rig.multi_node.member import DECODER, ENCODER, newest_voter_set
from rig.multi_node.register_history import OperationRecorder, is_linearizable

FOUNDERS, ALL = ("v0", "v1", "v2"), ("v0", "v1", "v2", "v3", "v4")
OPERATIONS = 26
EVENTS = 6000
AFTER_ALL_TIMEOUTS_MS = 1e12  # past every due time


@dataclass(frozen=True, slots=True)
class Sent:
    source: str
    target: str
    raw: bytes


class Caller:
    """A caller that reads and changes the record, or (`changes`) one that replaces voters."""

    def __init__(self, play: ReconfigurationFuzz, name: str, changes: bool) -> None:
        self.play, self.name, self.changes, self.incarnation = play, name, changes, 0
        self.reach = set(ALL)
        self.recorder: OperationRecorder | None = None
        self.start()

    def start(self) -> None:
        """Starts a new incarnation of the process."""
        self.incarnation += 1
        name, random = self.name, self.play.random
        self.calls = Calls(1.0, lambda to, message: self.play.send(name, to, message))
        self.proposer = Proposer(
            f"{name}/{self.incarnation}", configured_voter_set(FOUNDERS), random.random, max_attempts=4
        )
        last = self.recorder.last if self.recorder is not None else EMPTY_RECORD
        self.recorder = OperationRecorder(self.proposer, self.play.history, random.random, last)
        self.changed = 0

    def start_next_call(self) -> None:
        play = self.play
        if self.calls.pending or play.operations_left <= 0 or self.recorder is None:
            return
        if not self.changes and play.random.random() > 0.03:
            return  # leaves time for reconfigurations between the calls of the others
        if self.changes:
            self.changed += 1
            token = f"{self.proposer.proposer_id}:{self.changed}"
            now = sorted(self.proposer.voter_set.names)
            drop, add = [play.random.choice(now)], [play.random.choice(ALL)]
            if play.random.random() < 0.2:
                drop, add = [], []
            self.calls.start(
                reconfiguration.reconfigure(self.proposer, drop, add, token), self.reseated, play.now
            )
            return
        play.operations_left -= 1
        recorder = self.recorder
        call, operation = recorder.next(play.now)
        self.calls.start(call, lambda outcome, _: recorder.done(operation, outcome, play.now), play.now)

    def reseated(self, how: ReconfigurationResult, _: float) -> None:
        self.play.reseated += not how.error


class ReconfigurationFuzz:
    def __init__(self, seed: int, loses: bool = False) -> None:
        self.random, self.loses = Random(seed), loses
        self.now, self.operations_left, self.reseated, self.starts = 0.0, OPERATIONS, 0, 0
        self.history: list[Operation] = []
        self.in_flight: list[Sent] = []
        self.images: dict[str, bytes] = {
            name: encode(Memory("", name, 0, {}, {}, founding_voter_set(FOUNDERS))) for name in FOUNDERS
        }
        self.voters: dict[str, Voter] = {}
        for name in ALL:
            self.start(name)
        self.callers = {name: Caller(self, name, name == "d") for name in ("a", "b", "c", "d")}

    def start(self, name: str) -> None:
        self.starts += 1
        raw = self.images.get(name)

        def keep(memory: Memory) -> bool:
            self.images[name] = encode(memory)
            return True

        memory = decode(raw) if raw is not None else None
        self.voters[name] = Voter(name, FOUNDERS, memory, keep, instance_id=f"{name}/{self.starts}")

    def send(self, source: str, target: str, message: Message) -> None:
        caller = self.callers.get(source) or self.callers.get(target)
        other = target if source in self.callers else source
        if caller is None or other in caller.reach:
            self.in_flight.append(Sent(source, target, ENCODER.encode(message)))

    def deliver(self, one: Sent) -> None:
        message: Any = DECODER.decode(one.raw)
        caller = self.callers.get(one.target)
        if caller is not None:
            if isinstance(message, VoterReply):
                caller.calls.receive_vote(one.source, message, self.now)
            return
        # send() encodes at once: a reported memory must not change after it was sent.
        for to, reply in answer_messages(self.voters[one.target], [(one.source, message)]):
            self.send(one.target, to, reply)

    def lose(self) -> None:
        """Loses the state of one voter, and only while all voters vote."""
        names = newest_voter_set(self.voters.values()).names
        if all(self.voters[name].is_voting for name in names):
            name = self.random.choice(names)
            self.images.pop(name, None)
            self.start(name)

    def event(self) -> None:
        random, kind = self.random, self.random.random()
        if kind < 0.80 and self.in_flight:
            self.deliver(self.in_flight.pop(random.randrange(len(self.in_flight))))
        elif kind < 0.86 and self.in_flight:
            self.in_flight.pop(random.randrange(len(self.in_flight)))
        elif kind < 0.95:
            # Its calls time out, seldom while their messages are in flight.
            one = random.choice(list(self.callers.values()))
            if random.random() < 0.05 or not any(one.name in (m.source, m.target) for m in self.in_flight):
                one.calls.tick(AFTER_ALL_TIMEOUTS_MS)
        elif kind < 0.98:
            one = random.choice(list(self.callers.values()))
            one.reach = set(random.sample(ALL, random.randint(3 if one.changes else 2, 5)))
        elif kind < 0.99:
            name = random.choice(ALL)
            self.start(name)
        elif kind < 0.993:
            # Its requests stay in flight, and nobody receives their outcome.
            random.choice(list(self.callers.values())).start()
        elif kind < 0.996 and self.loses:
            self.lose()
        for name, voter in self.voters.items():
            asked = voter.rejoin_request()
            if asked is not None and random.random() < 0.05:
                for other in sorted(voter.others):
                    self.send(name, other, asked)
        for caller in self.callers.values():
            caller.start_next_call()

    def run(self) -> FuzzResult:
        for _ in range(EVENTS):
            if self.operations_left <= 0 and not any(one.calls.pending for one in self.callers.values()):
                break
            self.now += 1.0
            self.event()
        known = sum(operation.end != float("inf") for operation in self.history)
        return FuzzResult(is_linearizable(self.history), known, self.reseated)


@dataclass(frozen=True, slots=True)
class FuzzResult:
    ok: bool
    known: int  # calls whose outcome was received
    reseated: int  # completed reconfigurations


def play(seed: int, loses: bool = False, bug: str | None = None) -> FuzzResult:
    undo = INJECTED_FAULTS[bug]() if bug is not None else lambda: None
    try:
        return ReconfigurationFuzz(seed, loses).run()
    finally:
        undo()


# -- injected faults; each returns a function that removes it

Undo = Callable[[], None]


def _replace_attribute(owner: Any, name: str, new: Any) -> Undo:
    old = getattr(owner, name)
    setattr(owner, name, new)
    return lambda: setattr(owner, name, old)


def no_joint() -> Undo:
    """Uses the new voters at once, without a majority of the old ones."""
    real = VoterSet.begin_change

    def changed(voter_set: VoterSet, drop: Iterable[str], add: dict[str, str]) -> VoterSet:
        return VoterSet(voter_set.number + 1, real(voter_set, drop, add).sets[-1:])

    return _replace_attribute(VoterSet, "begin_change", changed)


def no_rewrite() -> Undo:
    """Uses the new voters alone before they hold the chosen records."""

    def settled(proposer: Proposer, record: Record, joint: VoterSet) -> Any:
        changed: Outcome = yield from proposer.compare_and_set(
            VOTER_SET_KEY, record, msgspec.msgpack.encode(joint.complete_change())
        )
        return changed.result is Result.DONE and proposer.adopt_voter_set(joint.complete_change())

    return _replace_attribute(reconfiguration, "complete_reconfiguration", settled)


def any_roster() -> Undo:
    """A voter answers requests under any voter set, and continues after it was removed."""
    real = Voter._answer

    def answer(voter: Voter, mark: str, asked: Any) -> Any:
        if (
            mark.startswith("-")
            or not hasattr(asked, "key")
            or voter.memory_is_lost
            or voter.memory.voter_set.number < 0
        ):
            return real(voter, mark, asked)
        was, voter.is_voting = voter.is_voting, True
        vote = real(voter, voter.memory.voter_set.fingerprint(), asked)
        voter.is_voting = was
        return vote

    return _replace_attribute(Voter, "_answer", answer)


INJECTED_FAULTS: dict[str, Callable[[], Undo]] = {
    "no-joint": no_joint,
    "no-rewrite": no_rewrite,
    "any-roster": any_roster,
}
