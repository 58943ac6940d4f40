"""Ownership of duties by leases: one process's knowledge of a duty, and what it may do about it.

Leases as published by Gray and Cheriton (1989), with fencing epochs as lock services give them (Burrows,
2006). Safety rests on two facts: the register changes a record only over the one that was read, and a
duration measured on one clock is off by the drift bound at the most. Clocks are never compared and records
hold no times. Free of I/O and clocks; times are ms of the process's own monotonic clock, which must advance
while the process or the machine sleeps."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from msgspec import Struct, field

from myrtlecrank.fleet.register.messages import EMPTY_RECORD, Outcome, Record, Result

MAX_DRIFT = 0.5  # as a share of the rate
RENEWALS_PER_LEASE = 3.0
STAGGERS_PER_POLL = 4.0
SUCCESSOR_WAIT_POLLS = 3.0
RETRIES_PER_POLL = 4.0  # reads after a request of unknown outcome
MIN_IMBALANCE = 2  # duties


class Lease(Struct, frozen=True):
    """The value of a duty's record.

    `owner` is empty if the last owner released the duty, perhaps in favour of `successor`. `epoch` grows by
    one with each acquisition and never otherwise; `attempt` is new with each attempt to write the record.
    `progress` is the last completed step, from which a new owner continues: it is in the same record as the
    lease, so that a former owner cannot change it. `duration_ms` and `drift` are the owner's: others must
    wait by these, as their own files may differ. A version that did not write them left them at 0."""

    owner: str = ""
    epoch: int = 0
    attempt: int = field(default=0, name="turn")
    successor: str = field(default="", name="heir")
    progress: int = 0
    duration_ms: float = field(default=0.0, name="lease_ms")
    drift: float = 0.0

    def __post_init__(self) -> None:
        """Raises ValueError for figures that no owner has; in a record this is a msgspec.ValidationError."""
        if not 0.0 <= self.duration_ms < math.inf:
            raise ValueError(f"lease_ms is a finite time, not {self.duration_ms}")
        if not 0.0 <= self.drift < MAX_DRIFT:
            raise ValueError(f"drift is a share from 0 to under {MAX_DRIFT}, not {self.drift}")


NO_LEASE = Lease()


def member_of(owner: str) -> str:
    """The member's name in an owner's name.

    An owner is one start of a member, `name/start`; successors and the holders of duties are members, by name
    alone."""
    return owner.split("/", 1)[0]


def decode_lease(record: Record) -> Lease:
    """The lease in a record. Raises msgspec.MsgspecError if the record holds something else."""
    return msgspec.msgpack.decode(record.value, type=Lease) if record.version else NO_LEASE


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """The durations of a lease, in ms, derived once from the operators' options.

    `lease_ms`: from the sending of a successful write to the end of ownership. `drift`: the largest error of
    any member's clock rate, as a share. `takeover_wait_ms`: for how long the record of a lease with these
    timings must have stayed unchanged before another member acquires the duty. `renewal_interval_ms`:
    between renewals by the owner. `poll_interval_ms`: between reads by the members that do not own the duty.
    `stagger_ms`: how much later a member acquires a duty for each duty that it owns already.
    `successor_wait_ms`: for how long the others leave a released duty to its successor."""

    lease_ms: float
    drift: float
    takeover_wait_ms: float
    renewal_interval_ms: float
    poll_interval_ms: float
    stagger_ms: float
    successor_wait_ms: float

    @classmethod
    def derive(cls, lease_ms: float, drift: float, poll_interval_ms: float) -> LeaseTimings:
        """The terms for a lease, a drift and an interval between reads.

        Raises ValueError if `drift` is out of range."""
        if not 0.0 <= drift < MAX_DRIFT:
            raise ValueError(f"drift is a share from 0 to under {MAX_DRIFT}, not {drift}")
        return cls(
            lease_ms,
            drift,
            takeover_wait_ms(lease_ms, drift),
            lease_ms / RENEWALS_PER_LEASE,
            poll_interval_ms,
            poll_interval_ms / STAGGERS_PER_POLL,
            SUCCESSOR_WAIT_POLLS * poll_interval_ms,
        )


def takeover_wait_ms(lease_ms: float, drift: float) -> float:
    """How long a record must have stayed unchanged until its owner's lease is certainly over.

    The owner's clock may run slow while another's runs fast, so this is longer than the lease by both
    errors."""
    return lease_ms * (1.0 + drift) / (1.0 - drift)


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """A request to read the duty's record.

    `is_verified`: by a linearizable read, as a member that owns the duty, or may own it, needs it. The other
    members use an unverified read, since a change over the record that they saw tells whether it is
    current."""

    is_verified: bool


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """A request to write the lease to the duty's record if `expected` is the current record."""

    expected: Record
    lease: Lease

    def value(self) -> bytes:
        """The value of the new record."""
        return msgspec.msgpack.encode(self.lease)


class Duty:
    """One duty as one process knows it.

    One request to the register is under way at a time: next_request() returns the next one, request_sent()
    and outcome_received() are called before and after it. owns() is called right before each effect."""

    def __init__(self, name: str, owner_id: str, timings: LeaseTimings) -> None:
        self.name = name
        self.owner_id = owner_id
        self.timings = timings
        self.record = EMPTY_RECORD
        self.lease = NO_LEASE
        self.record_is_known = False  # the record was read after the last request of unknown outcome
        self.record_seen_at = 0.0  # when the record was first seen in its present state
        self.epoch: int | None = None  # while this process owns the duty by its own knowledge
        self.lease_end = 0.0  # the end of that ownership
        self.attempts = 0
        # Attempt number and time of the last write. An attempt number names one write: if two had the same,
        # an older one that was chosen late would be taken for the newer, and the lease counted from too
        # late.
        self.sent_attempt = 0
        self.sent_at = 0.0
        self.pending_request: ReadRecord | WriteRecord | None = None  # the request under way
        self.due = 0.0  # next_request() returns nothing before
        self.is_eligible = False  # as given to next_request() last
        self.owned_count = 0  # as given to next_request() last
        self.completed_step = 0  # by the owner, recorded or not
        # While the owner releases the duty: the member that it is meant for, empty for any member.
        self.successor: str | None = None
        self.log_lines: list[str] = []  # lines for the log; the reader empties the list

    # -- what the process may do

    def owns(self, now: float) -> int | None:
        """The epoch for an effect that begins now; None if this process does not own the duty or releases it.

        The clock is read first, so a process that wakes from a pause of any length finds that its lease has
        expired."""
        if self.epoch is not None and now >= self.lease_end:
            self._lose("its lease ran out")
        return self.epoch if self.successor is None else None

    def advance(self, progress: int) -> None:
        """Notes that the owner has completed all steps up to this one; it is recorded by a write that is due
        at once."""
        self.completed_step = max(progress, self.completed_step)
        self.due = 0.0

    def recorded_step(self) -> int:
        """The last step that the register has recorded."""
        return self.lease.progress

    def release(self, successor: str = "") -> None:
        """Releases the duty, for a drain or to balance the duties. Nothing is done under the lease from now
        on."""
        if self.epoch is not None and self.successor is None:
            self.successor = successor
            self.due = 0.0

    # -- requests to the register

    def next_request(
        self, now: float, is_eligible: bool, owned_count: int
    ) -> ReadRecord | WriteRecord | None:
        """The request to make now, if any.

        `is_eligible`: this process may acquire a duty (it is not draining, cold or under duress).
        `owned_count`: how many duties it owns."""
        if self.pending_request is not None or now < self.due:
            return None
        self.is_eligible = is_eligible
        self.owned_count = owned_count
        self.owns(now)
        if not self.record_is_known:
            return ReadRecord(self.epoch is not None)
        old = self.lease
        if self.epoch is not None:
            if self.successor is not None:
                return WriteRecord(
                    self.record, self._new_lease("", old.epoch, self.successor, self.completed_step)
                )
            is_renewal_due = now >= self.sent_at + self.timings.renewal_interval_ms
            if is_renewal_due or self.completed_step > old.progress:
                return WriteRecord(
                    self.record, self._new_lease(self.owner_id, old.epoch, "", self.completed_step)
                )
            return None
        if is_eligible and now >= self.available_at(owned_count):
            return WriteRecord(self.record, self._new_lease(self.owner_id, old.epoch + 1, "", old.progress))
        return ReadRecord(self.epoch is not None)

    def _new_lease(self, owner: str, epoch: int, successor: str, progress: int) -> Lease:
        self.attempts += 1
        timings = self.timings
        return Lease(owner, epoch, self.attempts, successor, progress, timings.lease_ms, timings.drift)

    def available_at(self, owned_count: int) -> float:
        """From when on this process may acquire the duty if its record stays unchanged."""
        delay = self.timings.stagger_ms * owned_count
        if self.lease.owner == self.owner_id:
            return self.record_seen_at  # only this very start could own it, and it does not
        if self.lease.owner:
            return self.record_seen_at + self.takeover_wait() + delay
        if self.lease.successor not in ("", member_of(self.owner_id)):
            return self.record_seen_at + self.timings.successor_wait_ms + delay
        return self.record_seen_at + (0.0 if self.lease.successor else delay)

    def takeover_wait(self) -> float:
        """For how long (ms) the present record must have stayed unchanged before this process acquires the
        duty.

        The lease is the owner's, and the larger of both drifts holds. A record without them was written by a
        version that knew one file for all members."""
        if not self.lease.duration_ms:
            return self.timings.takeover_wait_ms
        return takeover_wait_ms(self.lease.duration_ms, max(self.lease.drift, self.timings.drift))

    def request_sent(self, request: ReadRecord | WriteRecord, now: float) -> None:
        """Notes that the request is sent. `now` is read before its first byte leaves: the lease counts from
        then."""
        self.pending_request = request
        if isinstance(request, WriteRecord):
            self.sent_attempt = request.lease.attempt
            self.sent_at = now

    def outcome_received(self, outcome: Outcome, now: float) -> None:
        """Takes in the outcome of the request. `now` is read after its last byte arrived."""
        request = self.pending_request
        self.pending_request = None
        if request is None:
            return
        if outcome.result in (Result.UNKNOWN, Result.UNAVAILABLE):
            # The write may be chosen or not. A duty that is owned stays so until the end of its lease; the
            # record is read again before anything else.
            self.record_is_known = False
            self.due = now + self.timings.poll_interval_ms / RETRIES_PER_POLL
            return
        if isinstance(request, WriteRecord) and outcome.result is Result.DONE:
            self._take_in(outcome.record, request.lease, True, now)
        else:
            try:
                is_verified = isinstance(request, WriteRecord) or request.is_verified
                self._take_in(outcome.record, decode_lease(outcome.record), is_verified, now)
            except msgspec.MsgspecError:
                # Something else is stored under this name: it must not be overwritten.
                self.log_lines.append("its record cannot be read")
                self.record_is_known = False
                self.due = now + self.timings.takeover_wait_ms
                return
        if self.epoch is not None and self.lease.attempt != self.sent_attempt:
            # Our last write was not chosen, and cannot be after this answer: it is repeated at once.
            self.sent_attempt = 0
            self.sent_at = -math.inf
        self.due = self._next_due(now)

    def _next_due(self, now: float) -> float:
        if self.epoch is not None:
            return min(self.sent_at + self.timings.renewal_interval_ms, self.lease_end)
        # No later than the duty is available: a duty that is handed over waits for a round trip, not for the
        # next poll.
        available_at = self.available_at(self.owned_count) if self.is_eligible else math.inf
        return min(now + self.timings.poll_interval_ms, max(now, available_at))

    def _take_in(self, record: Record, lease: Lease, is_verified: bool, now: float) -> None:
        """Takes in a record that was read or written."""
        if not self.record_is_known or record.writer != self.record.writer:
            if record.writer != self.record.writer:
                self.record_seen_at = now
            self.record = record
            self.lease = lease
            self.record_is_known = True
        if lease.owner == self.owner_id and self.sent_attempt == lease.attempt:
            # Our last write was chosen: the lease counts from its sending, not from this answer. An
            # unverified read is not enough, as the record that it returns need not be chosen.
            lease_end = self.sent_at + self.timings.lease_ms
            if is_verified and self.epoch is None and now < lease_end:
                # Completed steps stay completed: the write that records them may have failed just before.
                self.epoch = lease.epoch
                self.completed_step = max(self.completed_step, lease.progress)
                self.successor = None
                self.log_lines.append(f"owned from now on, epoch {lease.epoch}")
            if is_verified and self.epoch == lease.epoch:
                self.lease_end = lease_end
        elif (
            is_verified
            and self.epoch is not None
            and (lease.owner != self.owner_id or lease.epoch != self.epoch)
        ):
            self._lose("given up" if self.successor is not None else f"taken by {lease.owner or 'nobody'}")

    def _lose(self, reason: str) -> None:
        self.log_lines.append(f"no longer owned, epoch {self.epoch}: {reason}")
        self.epoch = None
        self.successor = None


def rebalance(
    owners: Mapping[str, str], own_name: str, eligible: Iterable[str], zones: Mapping[str, str]
) -> tuple[str, str] | None:
    """A duty of this member to hand over and its new owner, if that balances the duties; else None.

    `owners` maps duties to owners; `eligible` are the members that may acquire one. A difference of less
    than two is balanced enough: handing over for less would never end. Among equal members, the one in the
    zone with the fewest duties is first, then the one whose name is first."""
    count = dict.fromkeys(sorted(eligible), 0)
    count_by_zone: dict[str, int] = {}
    for owner in owners.values():
        if owner:
            zone = zones.get(owner, "")
            count_by_zone[zone] = count_by_zone.get(zone, 0) + 1
        if owner in count:
            count[owner] += 1
    own_duties = sorted(duty for duty, owner in owners.items() if owner == own_name)
    others = [name for name in count if name != own_name]
    if not own_duties or not others:
        return None
    successor = min(others, key=lambda name: (count[name], count_by_zone.get(zones.get(name, ""), 0), name))
    return (own_duties[-1], successor) if len(own_duties) >= count[successor] + MIN_IMBALANCE else None


class Fence:
    """Refuses effects under an epoch older than the newest that it has seen.

    It guards each receiver of effects of the fleet. A receiver that may restart stores `newest_epochs` with
    its own state."""

    def __init__(self, newest_epochs: Mapping[str, int] | None = None) -> None:
        self.newest_epochs = dict(newest_epochs or {})

    def admits(self, duty: str, epoch: int) -> bool:
        """Whether an effect of the duty under this epoch may be carried out."""
        if epoch < self.newest_epochs.get(duty, 0):
            return False
        self.newest_epochs[duty] = epoch
        return True
