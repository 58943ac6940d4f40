"""Model check of leases: explores all orders of events for two members that want one duty up to a depth.

The register is modelled as one linearizable record: a change takes effect atomically at any time after its
call was sent, without limit if its answer was lost. An unverified read may return a change that was attempted
and never chosen. An event is one of: time advances by a unit, a member sends a call, the register executes a
call, an answer arrives, or a call times out. A paused member is one without events while time advances. The
clocks run at equal rates; a wait longer than the lease stands for their drift: a lease of 3 units and a wait
of 4 allow for a seventh each. The members may have unlike timings, as while their files are changed one after
the other."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from copy import copy
from dataclasses import dataclass, replace
from typing import Any

from msgspec.structs import replace as replace_lease

from myrtlecrank.fleet.ownership.lease import Duty, Lease, LeaseTimings, ReadRecord, WriteRecord
from myrtlecrank.fleet.register.messages import EMPTY_RECORD, Outcome, Record, Result

TIMINGS = LeaseTimings(
    lease_ms=3.0,
    drift=1 / 7,
    takeover_wait_ms=4.0,
    renewal_interval_ms=1.0,
    poll_interval_ms=1.0,
    stagger_ms=0.0,
    successor_wait_ms=2.0,
)
SHORTER_TIMINGS = replace(TIMINGS, lease_ms=1.5, takeover_wait_ms=2.0)
NAMES = ("a/1", "b/1")
MAX_RELATIVE_UNITS = 20.0  # longer than every wait: times further from now make no difference


@dataclass(frozen=True, slots=True)
class Sent:
    """A call in flight. `outcome` is set once the register has executed it; `is_awaited` is false after its
    timeout."""

    member: int
    request: ReadRecord | WriteRecord
    outcome: Outcome | None = None
    is_awaited: bool = True


@dataclass(frozen=True)
class State:
    """One state of the search: the time, the chosen record, the members' duties and the calls in flight."""

    now: int
    record: Record
    duties: tuple[Duty, ...]
    calls: tuple[Sent, ...] = ()

    def key(self) -> tuple[Any, ...]:
        """Returns all that later events depend on, with times relative to now."""
        return (self.record, tuple(map(self._duty, self.duties)), frozenset(self.calls))

    def _duty(self, duty: Duty) -> tuple[Any, ...]:
        """Returns the state of a duty. Times are clamped: beyond the limit they make no difference."""

        def relative(at: float) -> float:
            return max(-MAX_RELATIVE_UNITS, min(MAX_RELATIVE_UNITS, at - self.now))

        return (
            duty.record,
            duty.record_is_known,
            relative(duty.record_seen_at),
            duty.epoch,
            relative(duty.lease_end),
            duty.attempts,
            duty.sent_attempt,
            relative(duty.sent_at),
            duty.pending_request,
            relative(duty.due),
            duty.successor,
            duty.completed_step,
        )


class ModelCheck:
    """The search. `timings` are those of the two members; `inject_fault` changes each duty before it."""

    def __init__(
        self,
        depth: int,
        timings: tuple[LeaseTimings, LeaseTimings] = (TIMINGS, TIMINGS),
        inject_fault: Callable[[Duty], None] | None = None,
    ) -> None:
        self.depth = depth
        self.timings = timings
        self.inject_fault = inject_fault
        self.visited: dict[tuple[Any, ...], int] = {}
        self.violations: list[tuple[str, ...]] = []
        self.owners: set[str] = set()  # members that owned the duty in some order
        self.later_epoch_states = 0  # states with an owner of a later epoch

    def run(self, owned: bool = False) -> ModelCheck:
        """Searches from a duty without owner; or, with `owned`, from one that the first member has just
        acquired and the second has read."""
        duties = tuple(Duty("d", name, own) for name, own in zip(NAMES, self.timings, strict=True))
        if self.inject_fault is not None:
            for duty in duties:
                self.inject_fault(duty)
        record = EMPTY_RECORD
        if owned:
            first, second = duties
            for _ in range(2):  # a read, then the acquisition
                request = first.next_request(0.0, True, 0)
                assert request is not None
                first.request_sent(request, 0.0)
                if isinstance(request, WriteRecord):
                    record = Record(1, request.value(), f"{first.owner_id}:{request.lease.attempt}")
                first.outcome_received(Outcome(Result.DONE, record), 0.0)
            second.request_sent(ReadRecord(False), 0.0)
            second.outcome_received(Outcome(Result.DONE, record), 0.0)
        self._explore(State(0, record, duties), self.depth, ())
        return self

    def _explore(self, state: State, events_left: int, events: tuple[str, ...]) -> None:
        """Explores all orders of the events left, from a state that the given events led to."""
        key = state.key()
        if self.violations or self.visited.get(key, -1) >= events_left:
            return
        self.visited[key] = events_left
        owners = [
            (duty.owner_id, epoch)
            for duty in map(copy_duty, state.duties)
            if (epoch := duty.owns(float(state.now))) is not None
        ]
        self.owners.update(name for name, _ in owners)
        self.later_epoch_states += any(epoch > 1 for _, epoch in owners)
        if len(owners) > 1:
            self.violations.append(events)
            return
        if events_left:
            for event, next_state in self._next_states(state):
                self._explore(next_state, events_left - 1, (*events, event))

    def _next_states(self, state: State) -> Iterator[tuple[str, State]]:
        """Returns each event that is possible in a state, with the state that it leads to."""
        for member in range(len(state.duties)):
            yield from self._send(state, member)
        for sent in state.calls:
            if sent.outcome is None:
                yield from self._execute(state, sent)
            if not sent.is_awaited:
                continue
            if sent.outcome is not None:
                yield self._receive_answer(state, sent, sent.outcome)
            yield self._time_out(state, sent)
        yield "time advances", replace(state, now=state.now + 1)

    def _send(self, state: State, member: int) -> Iterator[tuple[str, State]]:
        now = float(state.now)
        duty = copy_duty(state.duties[member])
        request = duty.next_request(now, True, 0)
        if request is not None:
            duty.request_sent(request, now)
            calls = (*state.calls, Sent(member, request))
            yield f"{duty.owner_id} sends a call", self._with_duty(state, member, duty, calls)

    def _execute(self, state: State, sent: Sent) -> Iterator[tuple[str, State]]:
        other_calls = calls_without(state, sent)
        event = f"the register executes a call of {state.duties[sent.member].owner_id}"
        for outcome, record in self._possible_outcomes(state, sent):
            calls = (*other_calls, replace(sent, outcome=outcome)) if sent.is_awaited else other_calls
            yield event, replace(state, record=record, calls=calls)

    def _receive_answer(self, state: State, sent: Sent, outcome: Outcome) -> tuple[str, State]:
        duty = copy_duty(state.duties[sent.member])
        duty.outcome_received(outcome, float(state.now))
        next_state = self._with_duty(state, sent.member, duty, calls_without(state, sent))
        return f"{duty.owner_id} receives an answer", next_state

    def _time_out(self, state: State, sent: Sent) -> tuple[str, State]:
        """A write that times out before its execution stays in flight."""
        duty = copy_duty(state.duties[sent.member])
        is_write = isinstance(sent.request, WriteRecord)
        duty.outcome_received(Outcome(Result.UNKNOWN if is_write else Result.UNAVAILABLE), float(state.now))
        calls = calls_without(state, sent)
        if is_write and sent.outcome is None:
            calls = (*calls, replace(sent, is_awaited=False))
        return f"a call of {duty.owner_id} times out", self._with_duty(state, sent.member, duty, calls)

    @staticmethod
    def _with_duty(state: State, member: int, duty: Duty, calls: tuple[Sent, ...]) -> State:
        duties = (*state.duties[:member], duty, *state.duties[member + 1 :])
        return replace(state, duties=duties, calls=calls)

    @staticmethod
    def _possible_outcomes(state: State, sent: Sent) -> Iterator[tuple[Outcome, Record]]:
        """Returns each outcome that a call may have now, with the record that is chosen after it."""
        request = sent.request
        chosen = state.record
        if isinstance(request, WriteRecord):
            if request.expected.writer != chosen.writer:
                yield Outcome(Result.CONFLICT, chosen), chosen
                return
            new = written_record(state, sent.member, request)
            yield Outcome(Result.DONE, new), new
            return
        yield Outcome(Result.DONE, chosen), chosen
        if not request.is_verified:
            for other in state.calls:
                if isinstance(other.request, WriteRecord) and other.outcome is None:
                    attempted = written_record(state, other.member, other.request)
                    yield Outcome(Result.DONE, attempted), chosen


def calls_without(state: State, sent: Sent) -> tuple[Sent, ...]:
    """Returns the calls in flight except one."""
    return tuple(call for call in state.calls if call is not sent)


def written_record(state: State, member: int, request: WriteRecord) -> Record:
    """Returns the record that a change writes, identified by its writer as in the register."""
    lease: Lease = request.lease
    writer = f"{state.duties[member].owner_id}:{lease.attempt}"
    return Record(request.expected.version + 1, request.value(), writer)


def copy_duty(duty: Duty) -> Duty:
    """Returns a copy of the duty. All that it refers to is frozen except its list of changes for the log."""
    duplicate = copy(duty)
    duplicate.log_lines = []
    return duplicate


# -- injected faults


def lease_counts_from_answer(duty: Duty) -> None:
    """Measures the lease from the arrival of the answer instead of the sending of the call."""
    duty.__class__ = LeaseCountsFromAnswer


class LeaseCountsFromAnswer(Duty):
    """A duty with the fault `lease_counts_from_answer`."""

    def outcome_received(self, outcome: Outcome, now: float) -> None:
        """Moves the start of the lease to the arrival of the answer."""
        if isinstance(self.pending_request, WriteRecord):
            self.sent_at = now
        super().outcome_received(outcome, now)


def trusts_unverified_reads(duty: Duty) -> None:
    """Trusts an unverified read: an owner whose last write is in doubt does only unverified reads."""
    duty.__class__ = TrustsUnverifiedReads


class TrustsUnverifiedReads(Duty):
    """A duty with the fault `trusts_unverified_reads`."""

    def _take_in(self, record: Record, lease: Lease, is_verified: bool, now: float) -> None:
        super()._take_in(record, lease, True, now)


def reuses_attempt_numbers(duty: Duty) -> None:
    """Gives all writes of one epoch the same attempt number, so that an older one passes for a newer one."""
    duty.__class__ = ReusesAttemptNumbers


class ReusesAttemptNumbers(Duty):
    """A duty with the fault `reuses_attempt_numbers`."""

    def _new_lease(self, owner: str, epoch: int, successor: str, progress: int) -> Lease:
        return replace_lease(super()._new_lease(owner, epoch, successor, progress), attempt=1)


def writes_a_shorter_lease(duty: Duty) -> None:
    """Writes a lease of 1.5 units into the record, for which others wait 2, and counts its own."""
    duty.__class__ = WritesAShorterLease


class WritesAShorterLease(Duty):
    """A duty with the fault `writes_a_shorter_lease`."""

    def _new_lease(self, owner: str, epoch: int, successor: str, progress: int) -> Lease:
        lease = super()._new_lease(owner, epoch, successor, progress)
        return replace_lease(lease, duration_ms=SHORTER_TIMINGS.lease_ms)


def waits_by_its_own_file(duty: Duty) -> None:
    """Waits for its own lease and not for that in the record."""
    duty.__class__ = WaitsByItsOwnFile


class WaitsByItsOwnFile(Duty):
    """A duty with the fault `waits_by_its_own_file`."""

    def takeover_wait(self) -> float:
        """The wait after a lease of this member."""
        return self.timings.takeover_wait_ms
