"""Model check of leases: explores all orders of events for two members that want one duty up to a depth.

The register is modelled as one linearizable record: a change takes effect atomically at any time after its
call was sent, without limit if its answer was lost. An unverified read may return a change that was attempted
and never chosen. An event is one of: time advances by a unit, a member sends a call, the register executes a
call, an answer arrives, or a call times out. A paused member is one without events while time advances. The
clocks run at equal rates; a wait longer than the lease stands for their drift: a lease of 3 units and a wait
of 4 allow for a seventh each."""

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
    """A call in flight. `outcome` is set once the register has executed it; `waited` is false after its
    timeout."""

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
        """Returns all that later events depend on, with times relative to now."""
        return (self.record, tuple(map(self._duty, self.duties)), frozenset(self.calls))

    def _duty(self, duty: Duty) -> tuple[Any, ...]:
        """Returns the state of a duty. Times are clamped: beyond the limit they make no difference."""

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


class ModelCheck:
    """The search. `plant` injects a fault into each duty before it."""

    def __init__(
        self, depth: int, timings: LeaseTimings = TERMS, plant: Callable[[Duty], None] | None = None
    ) -> None:
        self.depth, self.timings = depth, timings
        self.plant = plant
        self.visited: dict[tuple[Any, ...], int] = {}
        self.violations: list[tuple[str, ...]] = []
        self.owners: set[str] = set()  # members that owned the duty in some order
        self.later_epoch_states = 0  # states with an owner of a later epoch

    def run(self, owned: bool = False) -> ModelCheck:
        """Searches from a duty without owner; or, with `owned`, from one that a has just acquired and b has
        read."""
        duties = tuple(Duty("d", name, self.timings) for name in NAMES)
        if self.plant is not None:
            for duty in duties:
                self.plant(duty)
        record = EMPTY_RECORD
        if owned:
            first = duties[0]
            for _ in range(2):  # a read, then the acquisition
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
        if self.violations or self.visited.get(key, -1) >= left:
            return
        self.visited[key] = left
        owners = [
            (duty.owner_id, epoch)
            for duty in map(copied, state.duties)
            if (epoch := duty.owns(float(state.now))) is not None
        ]
        self.owners.update(name for name, _ in owners)
        self.later_epoch_states += any(epoch > 1 for _, epoch in owners)
        if len(owners) > 1:
            self.violations.append(way)
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
    """Returns the record that a change writes, identified by its writer as in the register."""
    assert isinstance(sent.asked, WriteRecord)
    lease: Lease = sent.asked.lease
    writer = f"{state.duties[sent.member].owner_id}:{lease.attempt}"
    return Record(sent.asked.expected.version + 1, sent.asked.value(), writer)


def copied(duty: Duty) -> Duty:
    """Returns a copy of the duty. All that it refers to is frozen except its list of changes for the log."""
    twin = copy(duty)
    twin.log_lines = []
    return twin


# -- injected faults


def counts_from_the_answer(duty: Duty) -> None:
    """Measures the lease from the arrival of the answer instead of the sending of the call."""
    duty.__class__ = CountsFromAnswer


class CountsFromAnswer(Duty):
    def outcome_received(self, outcome: Outcome, now: float) -> None:
        if isinstance(self.pending_request, WriteRecord):
            self.sent_at = now
        super().outcome_received(outcome, now)


def believes_a_glance(duty: Duty) -> None:
    """Trusts an unverified read: an owner whose last write is in doubt does only unverified reads."""
    duty.__class__ = BelievesGlance


class BelievesGlance(Duty):
    def _take_in(self, record: Record, lease: Lease, sure: bool, now: float) -> None:
        super()._take_in(record, lease, True, now)


def one_turn(duty: Duty) -> None:
    """Gives all writes of one epoch the same attempt number, so that an older one passes for a newer one."""
    duty.__class__ = OneTurn


class OneTurn(Duty):
    def _new_lease(self, owner: str, epoch: int, successor: str, progress: int) -> Lease:
        return Lease(owner, epoch, 1, successor, progress)
