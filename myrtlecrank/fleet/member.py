"""One member of the fleet as a whole: membership, calls to the register, duties and their steps.

The module does no I/O and reads no clock. Its caller passes in messages and the current time, sends what is
in `outgoing`, carries out what is in `effects`, and calls tick() at the time that due() returns."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from myrtlecrank.fleet.membership.messages import Ack, MemberUpdate, Ping, PingRequest, StateExchange
from myrtlecrank.fleet.membership.swim import Membership, MembershipTiming
from myrtlecrank.fleet.messages import DutyOffered, Message, Row, VoterReply
from myrtlecrank.fleet.monitor.messages import FleetView, Gauges, GaugesReply
from myrtlecrank.fleet.monitor.monitor import MONITOR_DUTY, Monitor
from myrtlecrank.fleet.ownership.lease import (
    Duty,
    LeaseTimings,
    ReadRecord,
    WriteRecord,
    member_of,
    rebalance,
)
from myrtlecrank.fleet.register.calls import Calls
from myrtlecrank.fleet.register.caspaxos import Proposer
from myrtlecrank.fleet.register.messages import Outcome, Result, VoterSetNotice
from myrtlecrank.fleet.register.reconfiguration import ReconfigurationResult, reconfigure
from myrtlecrank.fleet.register.voter_set import VoterSet, configured_voter_set
from myrtlecrank.fleet.step_scheduler import DutySchedule, Effect, StepScheduler

VIEW_MAX_AGE_INTERVALS = 4.0  # a view or reading older than this many view intervals is unknown
RECHECKS_PER_READ_INTERVAL = 4.0  # a duty with no call to make is checked this often
# An incomplete change of voters is completed after 2 to 6 lease waits. The spread keeps members from
# starting at the same moment.
COMPLETE_CHANGE_MIN_WAITS = 2.0
COMPLETE_CHANGE_WAIT_RANGE = 4.0


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """What a member is configured with at its start."""

    voters: tuple[str, ...]
    schedules: tuple[DutySchedule, ...]
    lease_timings: LeaseTimings
    membership_timing: MembershipTiming
    register_reply_ms: float  # how long a round of the register waits for votes
    rebalance_ms: float  # between two moves that even out the duties
    view_interval_ms: float = 0.0  # between two views of the fleet; 0: no monitor
    max_concurrent_steps: int = 64


def describe_voters(voter_set: VoterSet) -> str:
    """A log line on who votes under this voter set."""
    if not voter_set.is_joint:
        return f"the voters are {', '.join(voter_set.names)} (roster {voter_set.number})"
    old, new = (", ".join(sorted(names)) for names in voter_set.sets)
    return f"the voters change from {old} to {new} (roster {voter_set.number})"


def voter_state(voter_set: VoterSet, name: str) -> str:
    """Whether a voter stays, is being added or is being removed, in the words of `fleet voters`."""
    if all(name in names for names in voter_set.sets):
        return "votes"
    return "comes" if name in voter_set.sets[-1] else "goes"


class FleetMember:
    """The decisions of this process as a member of the fleet.

    `start_id` must be unique to this start of the process: a ballot or lease of an earlier start must never
    pass for one of this start. `random` returns a number from 0 to 1."""

    def __init__(
        self,
        local: MemberUpdate,
        start_id: str,
        seeds: dict[str, tuple[str, int]],
        config: FleetConfig,
        random: Callable[[], float],
        now: float,
    ) -> None:
        self.name = local.name
        self.config = config
        self.owner_id = f"{local.name}/{start_id}"
        self.outgoing: list[tuple[str, Message]] = []
        self.effects: list[Effect] = []
        self.membership = Membership(local, seeds, config.membership_timing, random, now)
        self.proposer = Proposer(self.owner_id, configured_voter_set(config.voters), random)
        self.register_calls = Calls(
            config.register_reply_ms, lambda to, request: self.outgoing.append((to, request)), self.owner_id
        )
        self.random = random
        self.announced_voter_set = self.proposer.voter_set  # the newest that the other members were sent
        self.has_reported_founding_conflict = False
        self.is_replacing_voters = False  # a change of voters is driven from this member
        self.voter_change_count = 0
        self.log_lines: list[str] = []  # for the log; the reader clears it
        self.complete_change_due = math.inf  # when this member completes an incomplete change of voters
        self.duties = {
            schedule.name: Duty(schedule.name, self.owner_id, config.lease_timings)
            for schedule in config.schedules
        }
        self.scheduler = StepScheduler(config.schedules, self.duties, config.max_concurrent_steps)
        self.gauges = Gauges()  # this backend's own, as last reported
        self.monitor = Monitor(config.view_interval_ms, VIEW_MAX_AGE_INTERVALS * config.view_interval_ms)
        if config.view_interval_ms:
            self.duties[MONITOR_DUTY] = Duty(MONITOR_DUTY, self.owner_id, config.lease_timings)
        self.is_leaving = False
        self.register_reached: bool | None = None  # whether the last call to the register had a majority
        self.rebalance_due = now + config.rebalance_ms
        # The first read of each duty is spread over one interval, so that members do not all read at once.
        for duty in self.duties.values():
            duty.due = now + config.lease_timings.poll_interval_ms * random()

    # -- incoming messages

    def handle(self, sender: str, message: Message, now: float) -> None:
        """Handles a message of another member. Messages to the voter are not passed here."""
        if isinstance(message, VoterReply):
            self.register_calls.receive_vote(sender, message, now)
        elif isinstance(message, Ping | PingRequest | Ack | StateExchange):
            self.outgoing += self.membership.handle(sender, message, now)
        elif isinstance(message, FleetView):
            reply = (
                self.monitor.handle_view(message, self.gauges, now) if self.config.view_interval_ms else None
            )
            if reply is not None:
                self.outgoing.append((sender, reply))
        elif isinstance(message, GaugesReply):
            self.monitor.handle_reply(sender, message, now)
        elif isinstance(message, VoterSetNotice):
            self.proposer.adopt_voter_set(message.voter_set)
        elif isinstance(message, DutyOffered) and message.duty in self.duties:
            self.duties[message.duty].due = now

    def set_eligible(self, eligible: bool) -> None:
        """Sets whether this process may own duties by its own gauges: neither cold nor under duress."""
        self.membership.set_eligible(eligible and not self.is_leaving)

    def leave(self, now: float) -> None:
        """Starts the drain: hands over all duties and informs the members that this one leaves."""
        if self.is_leaving:
            return
        self.is_leaving = True
        self.outgoing += self.membership.leave()
        self._hand_over_all()
        self.tick(now)

    def apply_config(self, config: FleetConfig) -> None:
        """Takes over the schedules of the duties, the limit on concurrent steps and the rebalancing
        interval; the set of duties, the voters and the lease terms stay."""
        self.config = replace(
            self.config,
            schedules=config.schedules,
            max_concurrent_steps=config.max_concurrent_steps,
            rebalance_ms=config.rebalance_ms,
        )
        self.scheduler.schedules = {schedule.name: schedule for schedule in config.schedules}
        self.scheduler.max_concurrent = config.max_concurrent_steps

    def owned(self, now: float) -> list[str]:
        """The names of the duties that this process owns now."""
        return [name for name, duty in self.duties.items() if duty.owns(now) is not None]

    # -- time

    def due(self) -> float:
        """The time at which tick() has something to do again."""
        calls = [max(duty.due, 0.0) for duty in self.duties.values() if duty.pending_request is None]
        lease_ends = [duty.lease_end for duty in self.duties.values() if duty.epoch is not None]
        views = [self.monitor.due] if self.monitor.epoch is not None else []
        timers = [
            self.membership.due(),
            self.register_calls.next_due(),
            self.rebalance_due,
            self.complete_change_due,
        ]
        return min([self.scheduler.due(), *timers, *calls, *lease_ends, *views])

    def tick(self, now: float) -> None:
        """Handles all timeouts up to `now`."""
        # Expired leases come first: a process that wakes from a pause must do nothing before this check.
        owned_count = len(self.owned(now))
        self.register_calls.tick(now)
        self.outgoing += self.membership.tick(now)
        self._check_voter_set(now)
        is_eligible = self.membership.local.eligible and not self.is_leaving
        for duty in self.duties.values():
            call = duty.next_request(now, is_eligible, owned_count)
            if call is not None:
                self._call_register(duty, call, now)
            elif duty.pending_request is None and duty.due <= now:
                duty.due = now + self.config.lease_timings.poll_interval_ms / RECHECKS_PER_READ_INTERVAL
        self.effects += self.scheduler.tick(now)
        if self.config.view_interval_ms:
            epoch = self.duties[MONITOR_DUTY].owns(now)
            self.outgoing += self.monitor.tick(now, epoch, self.membership.active(), self.name, self.gauges)
        if now >= self.rebalance_due:
            self.rebalance_due = now + self.config.rebalance_ms
            self._rebalance()

    def _call_register(self, duty: Duty, request: ReadRecord | WriteRecord, now: float) -> None:
        duty.request_sent(request, now)

        def done(outcome: Outcome, ended_at: float) -> None:
            epoch_before = duty.epoch
            successor = duty.successor
            self.register_reached = outcome.result is not Result.UNAVAILABLE
            duty.outcome_received(outcome, ended_at)
            if epoch_before is not None and duty.epoch is None and successor:
                self.outgoing.append((successor, DutyOffered(duty.name)))

        if isinstance(request, WriteRecord):
            call = self.proposer.compare_and_set(duty.name, request.expected, request.value())
        elif not request.is_verified:
            call = self.proposer.read_unverified(duty.name)
        else:
            call = self.proposer.read(duty.name)
        self.register_calls.start(call, done, now)

    def step_down(self, name: str) -> bool:
        """On an operator's request, gives a duty to the best other member. False if no other member is
        eligible; the duty then stays here."""
        successor = self._choose_successor()
        if successor:
            self.duties[name].release(successor)
        return bool(successor)

    # -- the voters

    def _check_voter_set(self, now: float) -> None:
        """Announces a newer voter set to the other members, once. That is only a hint, as the voters send it
        to any member that makes a request under another one. Any member that knows of an incomplete change
        completes it, at a random delay."""
        voter_set = self.proposer.voter_set
        if voter_set.number > self.announced_voter_set.number:
            was_known = self.announced_voter_set.number >= 0
            self.announced_voter_set = voter_set
            if was_known or voter_set.is_joint:
                names = sorted({*self.membership.active(), *voter_set.names})
                self.outgoing += [(name, VoterSetNotice(voter_set)) for name in names]
            self.log_lines.append(describe_voters(voter_set))
            self.complete_change_due = self._next_complete_change(now) if voter_set.is_joint else math.inf
        if self.proposer.conflicting_voter_set is not None and not self.has_reported_founding_conflict:
            self.has_reported_founding_conflict = True
            others = ", ".join(self.proposer.conflicting_voter_set.names)
            self.log_lines.append(
                f"some voters were founded as {others}, others as {', '.join(voter_set.names)}: "
                "they never vote together; begin the fleet anew from one file"
            )
        if now >= self.complete_change_due:
            self.complete_change_due = self._next_complete_change(now)
            self.replace_voters((), (), lambda _: None, now)

    def _next_complete_change(self, now: float) -> float:
        waits = COMPLETE_CHANGE_MIN_WAITS + COMPLETE_CHANGE_WAIT_RANGE * self.random()
        return now + self.config.lease_timings.takeover_wait_ms * waits

    def replace_voters(
        self,
        drop: Iterable[str],
        add: Iterable[str],
        done: Callable[[ReconfigurationResult], None],
        now: float,
    ) -> bool:
        """Starts a change of voters; `done` is called with its result. False if this member is already
        driving one."""
        if self.is_replacing_voters:
            return False
        self.is_replacing_voters = True
        self.voter_change_count += 1

        def ended(result: ReconfigurationResult, _: float) -> None:
            self.is_replacing_voters = False
            done(result)

        token = f"{self.owner_id}:{self.voter_change_count}"
        self.register_calls.start(reconfigure(self.proposer, drop, add, token), ended, now)
        return True

    # -- rows for operators

    def voter_rows(self) -> Iterator[Row]:
        """The voters as this member knows them."""
        voter_set = self.proposer.voter_set
        for name in voter_set.names:
            yield {
                "voter": name,
                "roster": voter_set.number,
                "seat": voter_set.identity_of(name) or "founder",
                "state": voter_state(voter_set, name),
            }

    def member_rows(self, now: float) -> Iterator[Row]:
        """All members as this member knows them."""
        membership = self.membership
        for name in sorted([self.name, *membership.peers]):
            if name == self.name:
                update = membership.local
                state_age_s = 0.0
            else:
                update = membership.peers[name].update
                state_age_s = (now - membership.peers[name].state_since) / 1000.0
            yield {
                "member": name,
                "state": update.state.name.lower(),
                "fit": update.eligible,
                "zone": update.zone,
                "incarnation": update.incarnation,
                "for_s": round(state_age_s, 1),
            }

    def view_rows(self, now: float) -> Iterator[Row]:
        """The monitor's view of all members; no rows if it is unknown."""
        for known in self.monitor.current_view(now) or []:
            gauges = known.gauges
            yield {
                "member": known.member,
                "age_ms": round(known.age_ms),
                "well": gauges.is_healthy,
                "warmth": round(gauges.warmth, 2),
                "late_ms": round(gauges.sampling_delay_ms, 1),
                "value": gauges.published_value,
                "storm": gauges.has_retry_storm,
            }

    def owner_rows(self, now: float) -> Iterator[Row]:
        """All duties and their leases as this member last read them."""
        for name, duty in self.duties.items():
            lease = duty.lease
            yield {
                "duty": name,
                "owner": member_of(lease.owner) or None,
                "epoch": lease.epoch,
                "step": lease.progress,
                "seen_ms_ago": round(now - duty.record_seen_at),
                "here": duty.owns(now) is not None,
                "heir": lease.successor or None,
                "failed": self.scheduler.failed_offers.get(name, 0),
            }

    # -- the steps of a duty

    def finish_effect(self, effect: Effect, taken: bool, now: float) -> None:
        """Handles the receiver's answer to an effect; `taken` is False where there was none."""
        self.scheduler.finish(effect, taken, now)

    # -- distribution of the duties

    def _choose_successor(self) -> str:
        """An eligible other member, the one with the fewest duties if that evens them out; empty if there is
        none."""
        eligible = self.membership.eligible()
        move = rebalance(self._owners(), self.name, eligible, self.membership.zones())
        if move:
            return move[1]
        others = [name for name in eligible if name != self.name]
        return others[0] if others else ""

    def _hand_over_all(self) -> None:
        """Gives each owned duty to the eligible member with the fewest, or to any member if none is
        eligible."""
        owners = self._owners()
        for name, duty in self.duties.items():
            if duty.epoch is not None and duty.successor is None:
                counts = {one: 0 for one in self.membership.eligible() if one != self.name}
                for owner in owners.values():
                    if owner in counts:
                        counts[owner] += 1
                owners[name] = min(counts, key=lambda one: (counts[one], one), default="")
                duty.release(owners[name])

    def _rebalance(self) -> None:
        if self.is_leaving:
            self._hand_over_all()
        elif not self.membership.local.eligible:
            owned = [duty for duty in self.duties.values() if duty.epoch is not None]
            if owned and (successor := self._choose_successor()):
                owned[0].release(successor)  # one at a time
        else:
            eligible = self.membership.eligible()
            move = rebalance(self._owners(), self.name, eligible, self.membership.zones())
            if move is not None:
                duty_name, successor = move
                self.duties[duty_name].release(successor)

    def _owners(self) -> dict[str, str]:
        return {name: member_of(duty.lease.owner) for name, duty in self.duties.items()}
