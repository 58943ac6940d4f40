"""Voters replaced under the hardest order of messages: no times at all. Each message is delivered, lost or
left lying for as long as chance has it, and each caller reaches some of the voters only, for a while.

Denser than the plays on the virtual clock: what goes wrong only where old and new voters are asked at one
time is met here in a few hundred seeds."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec

from myrtlecrank.fleet.messages import Message, VoterReply
from myrtlecrank.fleet.register import reconfiguration as reseating
from myrtlecrank.fleet.register.calls import Calls, answer_messages
from myrtlecrank.fleet.register.caspaxos import Proposer, Voter
from myrtlecrank.fleet.register.disk import decode, encode
from myrtlecrank.fleet.register.messages import EMPTY_RECORD, VOTER_SET_KEY, Memory, Outcome, Record, Result
from myrtlecrank.fleet.register.reconfiguration import ReconfigurationResult
from myrtlecrank.fleet.register.voter_set import VoterSet, configured_voter_set, founding_voter_set
from rig.multi_node.checkers import Op
from rig.multi_node.member import PACKED, UNPACK, newest
from rig.multi_node.register_history import Asker, judged

FOUNDERS, ALL = ("v0", "v1", "v2"), ("v0", "v1", "v2", "v3", "v4")
OPS = 26
EVENTS = 6000
LATER = 1e12  # ms: past every due time


@dataclass(frozen=True, slots=True)
class Sent:
    source: str
    target: str
    raw: bytes


class Caller:
    """One of those that read and change, or (`changes`) the one that replaces voters."""

    def __init__(self, play: Shuffle, name: str, changes: bool) -> None:
        self.play, self.name, self.changes, self.lives = play, name, changes, 0
        self.reach = set(ALL)
        self.asker: Asker | None = None
        self.start()

    def start(self) -> None:
        """Anew, as another start of its process."""
        self.lives += 1
        name, random = self.name, self.play.random
        self.calls = Calls(1.0, lambda to, message: self.play.send(name, to, message))
        self.proposer = Proposer(
            f"{name}/{self.lives}", configured_voter_set(FOUNDERS), random.random, max_attempts=4
        )
        last = self.asker.last if self.asker is not None else EMPTY_RECORD
        self.asker = Asker(self.proposer, self.play.history, random.random, last)
        self.changed = 0

    def go_on(self) -> None:
        play = self.play
        if self.calls.pending or play.left <= 0 or self.asker is None:
            return
        if not self.changes and play.random.random() > 0.03:
            return  # so that voters are replaced between what the others do
        if self.changes:
            self.changed += 1
            token = f"{self.proposer.proposer_id}:{self.changed}"
            now = sorted(self.proposer.voter_set.names)
            drop, add = [play.random.choice(now)], [play.random.choice(ALL)]
            if play.random.random() < 0.2:
                drop, add = [], []
            self.calls.start(reseating.reconfigure(self.proposer, drop, add, token), self.reseated, play.now)
            return
        play.left -= 1
        asker = self.asker
        call, op = asker.next(play.now)
        self.calls.start(call, lambda outcome, _: asker.done(op, outcome, play.now), play.now)

    def reseated(self, how: ReconfigurationResult, _: float) -> None:
        self.play.reseated += not how.error


class Shuffle:
    def __init__(self, seed: int, loses: bool = False) -> None:
        self.random, self.loses = Random(seed), loses
        self.now, self.left, self.reseated, self.starts = 0.0, OPS, 0, 0
        self.history: list[Op] = []
        self.bag: list[Sent] = []
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
            self.bag.append(Sent(source, target, PACKED.encode(message)))

    def deliver(self, one: Sent) -> None:
        message: Any = UNPACK.decode(one.raw)
        caller = self.callers.get(one.target)
        if caller is not None:
            if isinstance(message, VoterReply):
                caller.calls.receive_vote(one.source, message, self.now)
            return
        # What is told must not change with the memory that it was read from: send() packs it at once.
        for to, reply in answer_messages(self.voters[one.target], [(one.source, message)]):
            self.send(one.target, to, reply)

    def lose(self) -> None:
        """One memory at a time: only while all that vote do."""
        names = newest(self.voters.values()).names
        if all(self.voters[name].is_voting for name in names):
            name = self.random.choice(names)
            self.images.pop(name, None)
            self.start(name)

    def event(self) -> None:
        random, kind = self.random, self.random.random()
        if kind < 0.80 and self.bag:
            self.deliver(self.bag.pop(random.randrange(len(self.bag))))
        elif kind < 0.86 and self.bag:
            self.bag.pop(random.randrange(len(self.bag)))
        elif kind < 0.95:
            # Its time is over, seldom while something of it is still on its way.
            one = random.choice(list(self.callers.values()))
            if random.random() < 0.05 or not any(one.name in (m.source, m.target) for m in self.bag):
                one.calls.tick(LATER)
        elif kind < 0.98:
            one = random.choice(list(self.callers.values()))
            one.reach = set(random.sample(ALL, random.randint(3 if one.changes else 2, 5)))
        elif kind < 0.99:
            name = random.choice(ALL)
            self.start(name)
        elif kind < 0.993:
            # What it asked stays on its way, and nobody hears how it ends.
            random.choice(list(self.callers.values())).start()
        elif kind < 0.996 and self.loses:
            self.lose()
        for name, voter in self.voters.items():
            asked = voter.rejoin_request()
            if asked is not None and random.random() < 0.05:
                for other in sorted(voter.others):
                    self.send(name, other, asked)
        for caller in self.callers.values():
            caller.go_on()

    def run(self) -> Shuffled:
        for _ in range(EVENTS):
            if self.left <= 0 and not any(one.calls.pending for one in self.callers.values()):
                break
            self.now += 1.0
            self.event()
        known = sum(op.end != float("inf") for op in self.history)
        return Shuffled(judged(self.history), known, self.reseated)


@dataclass(frozen=True, slots=True)
class Shuffled:
    ok: bool
    known: int  # calls whose outcome was heard
    reseated: int  # changes of voters that came to their end


def play(seed: int, loses: bool = False, bug: str | None = None) -> Shuffled:
    undo = BUGS[bug]() if bug is not None else lambda: None
    try:
        return Shuffle(seed, loses).run()
    finally:
        undo()


# -- planted bugs; each returns what takes it away

Undo = Callable[[], None]


def _put(owner: Any, name: str, new: Any) -> Undo:
    old = getattr(owner, name)
    setattr(owner, name, new)
    return lambda: setattr(owner, name, old)


def no_joint() -> Undo:
    """The new voters stand at once, without a majority of the old ones."""
    real = VoterSet.begin_change

    def changed(voter_set: VoterSet, drop: Iterable[str], add: dict[str, str]) -> VoterSet:
        return VoterSet(voter_set.number + 1, real(voter_set, drop, add).sets[-1:])

    return _put(VoterSet, "begin_change", changed)


def no_rewrite() -> Undo:
    """The new voters stand alone before they hold what was chosen."""

    def settled(proposer: Proposer, record: Record, joint: VoterSet) -> Any:
        changed: Outcome = yield from proposer.compare_and_set(
            VOTER_SET_KEY, record, msgspec.msgpack.encode(joint.complete_change())
        )
        return changed.result is Result.DONE and proposer.adopt_voter_set(joint.complete_change())

    return _put(reseating, "complete_reconfiguration", settled)


def any_roster() -> Undo:
    """A voter answers whatever roster it was asked under, and goes on when it is dropped."""
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

    return _put(Voter, "_answer", answer)


BUGS: dict[str, Callable[[], Undo]] = {
    "no-joint": no_joint,
    "no-rewrite": no_rewrite,
    "any-roster": any_roster,
}
