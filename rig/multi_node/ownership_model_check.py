"""Walks all orders of events for two members that want one duty, to a depth.

The register is taken as what it is shown to be elsewhere: one record, changed as one step at any time after a
call's sending, for ever where its answer was lost. A glance may show a change that was tried and never stood.
An event: time goes on by a unit, a member asks, the register takes a call, an answer arrives or is
given up. A member that is stopped is one to which nothing happens while time goes on. The clocks run
alike; that a wait is longer than a lease stands for their drift: a lease of 3 units and a wait of 4
allow for a seventh each."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from copy import copy
from dataclasses import dataclass, replace
from typing import Any

from myrtlecrank.fleet.ownership.lease import Duty, Lease, LeaseTimings, ReadRecord, WriteRecord
from myrtlecrank.fleet.register.messages import EMPTY_RECORD, Outcome, Record, Result

TERMS = LeaseTimings(
    lease_ms=3.0,
    takeover_wait_ms=4.0,
    renewal_interval_ms=1.0,
    poll_interval_ms=1.0,
    stagger_ms=0.0,
    successor_wait_ms=2.0,
)
NAMES = ("a/1", "b/1")


@dataclass(frozen=True, slots=True)
class Sent:
    """A call on its way. `outcome`: once the register took it; `waited`: its member has not given it up."""

    member: int
    asked: ReadRecord | WriteRecord
    outcome: Outcome | None = None
    waited: bool = True


@dataclass(frozen=True)
class State:
    now: int
    record: Record
    duties: tuple[Duty, ...]
    calls: tuple[Sent, ...] = ()

    def key(self) -> tuple[Any, ...]:
        """All that what follows depends on; times as they are from now."""
        return (self.record, tuple(map(self._duty, self.duties)), frozenset(self.calls))

    def _duty(self, duty: Duty) -> tuple[Any, ...]:
        """Past a bound a time makes no difference any more."""

        def ago(at: float) -> float:
            return max(-20.0, min(20.0, at - self.now))

        return (
            duty.record,
            duty.record_is_known,
            ago(duty.record_seen_at),
            duty.epoch,
            ago(duty.lease_end),
            duty.attempts,
            duty.sent_attempt,
            ago(duty.sent_at),
            duty.pending_request,
            ago(duty.due),
            duty.successor,
            duty.completed_step,
        )


class Walk:
    """`plant` changes each duty before the walk: a bug."""

    def __init__(
        self, depth: int, timings: LeaseTimings = TERMS, plant: Callable[[Duty], None] | None = None
    ) -> None:
        self.depth, self.terms = depth, timings
        self.plant = plant
        self.seen: dict[tuple[Any, ...], int] = {}
        self.wrong: list[tuple[str, ...]] = []
        self.taken_by: set[str] = set()  # who owned it in some order
        self.handed_on = 0  # states in which a second epoch is owned

    def run(self, owned: bool = False) -> Walk:
        """From where nobody has owned the duty; or from where a does, since just now, and b has seen it."""
        duties = tuple(Duty("d", name, self.terms) for name in NAMES)
        if self.plant is not None:
            for duty in duties:
                self.plant(duty)
        record = EMPTY_RECORD
        if owned:
            first = duties[0]
            for _ in range(2):  # a look, then the taking
                asked = first.next_request(0.0, True, 0)
                assert asked is not None
                first.request_sent(asked, 0.0)
                if isinstance(asked, WriteRecord):
                    record = Record(1, asked.value(), f"{first.owner_id}:{asked.lease.attempt}")
                first.outcome_received(Outcome(Result.DONE, record), 0.0)
            duties[1].request_sent(ReadRecord(False), 0.0)
            duties[1].outcome_received(Outcome(Result.DONE, record), 0.0)
        self._from(State(0, record, duties), self.depth, ())
        return self

    def _from(self, state: State, left: int, way: tuple[str, ...]) -> None:
        key = state.key()
        if self.wrong or self.seen.get(key, -1) >= left:
            return
        self.seen[key] = left
        owners = [
            (duty.owner_id, epoch)
            for duty in map(copied, state.duties)
            if (epoch := duty.owns(float(state.now))) is not None
        ]
        self.taken_by.update(name for name, _ in owners)
        self.handed_on += any(epoch > 1 for _, epoch in owners)
        if len(owners) > 1:
            self.wrong.append(way)
            return
        if left:
            for what, after in self._events(state):
                self._from(after, left - 1, (*way, what))

    def _events(self, state: State) -> Iterator[tuple[str, State]]:
        now = float(state.now)
        for i, duty in enumerate(state.duties):
            mine = copied(duty)
            asked = mine.next_request(now, True, 0)
            if asked is not None:
                mine.request_sent(asked, now)
                yield (
                    f"{duty.owner_id} asks",
                    self._with(state, i, mine, calls=(*state.calls, Sent(i, asked))),
                )
        for sent in state.calls:
            rest = tuple(one for one in state.calls if one is not sent)
            name = state.duties[sent.member].owner_id
            if sent.outcome is None:
                for outcome, record in self._taken(state, sent):
                    took = (*rest, replace(sent, outcome=outcome)) if sent.waited else rest
                    yield f"{name}'s call is taken", replace(state, record=record, calls=took)
            if not sent.waited:
                continue
            if sent.outcome is not None:
                mine = copied(state.duties[sent.member])
                mine.outcome_received(sent.outcome, now)
                yield f"{name} hears", self._with(state, sent.member, mine, calls=rest)
            mine = copied(state.duties[sent.member])
            mine.outcome_received(
                Outcome(Result.UNKNOWN if isinstance(sent.asked, WriteRecord) else Result.UNAVAILABLE), now
            )
            lost = isinstance(sent.asked, WriteRecord) and sent.outcome is None
            ghost = (*rest, replace(sent, waited=False)) if lost else rest
            yield f"{name} gives up", self._with(state, sent.member, mine, calls=ghost)
        yield "time", replace(state, now=state.now + 1)

    @staticmethod
    def _with(state: State, i: int, duty: Duty, calls: tuple[Sent, ...]) -> State:
        return replace(state, duties=(*state.duties[:i], duty, *state.duties[i + 1 :]), calls=calls)

    @staticmethod
    def _taken(state: State, sent: Sent) -> Iterator[tuple[Outcome, Record]]:
        asked, stands = sent.asked, state.record
        if isinstance(asked, WriteRecord):
            if asked.expected.writer != stands.writer:
                yield Outcome(Result.CONFLICT, stands), stands
                return
            new = written(state, sent)
            yield Outcome(Result.DONE, new), new
            return
        yield Outcome(Result.DONE, stands), stands
        if not asked.is_verified:
            for other in state.calls:
                if isinstance(other.asked, WriteRecord) and other.outcome is None:
                    yield Outcome(Result.DONE, written(state, other)), stands


def written(state: State, sent: Sent) -> Record:
    """The record that a change makes, known by its writer as in the register."""
    assert isinstance(sent.asked, WriteRecord)
    lease: Lease = sent.asked.lease
    writer = f"{state.duties[sent.member].owner_id}:{lease.attempt}"
    return Record(sent.asked.expected.version + 1, sent.asked.value(), writer)


def copied(duty: Duty) -> Duty:
    """All that it refers to is frozen, but for the lines for the log."""
    twin = copy(duty)
    twin.log_lines = []
    return twin


# -- planted bugs


def counts_from_the_answer(duty: Duty) -> None:
    """The lease counts from when it was known that it stands."""
    duty.__class__ = CountsFromAnswer


class CountsFromAnswer(Duty):
    def outcome_received(self, outcome: Outcome, now: float) -> None:
        if isinstance(self.pending_request, WriteRecord):
            self.sent_at = now
        super().outcome_received(outcome, now)


def believes_a_glance(duty: Duty) -> None:
    """What a glance shows is taken for what stands: an owner in doubt only glances."""
    duty.__class__ = BelievesGlance


class BelievesGlance(Duty):
    def _take_in(self, record: Record, lease: Lease, sure: bool, now: float) -> None:
        super()._take_in(record, lease, True, now)


def one_turn(duty: Duty) -> None:
    """All writes under one epoch have one turn: an older one that stands at last passes for the newer."""
    duty.__class__ = OneTurn


class OneTurn(Duty):
    def _new_lease(self, owner: str, epoch: int, successor: str, progress: int) -> Lease:
        return Lease(owner, epoch, 1, successor, progress)
