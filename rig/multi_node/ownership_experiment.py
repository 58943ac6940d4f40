"""The experiment fleet-owner on the virtual clock: members, voters and duties under faults drawn from the
seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from myrtlecrank.fleet.member import FleetConfig
from myrtlecrank.fleet.membership.swim import MembershipTiming
from myrtlecrank.fleet.ownership.lease import LeaseTimings
from myrtlecrank.fleet.register.reconfiguration import ReconfigurationResult
from myrtlecrank.fleet.register.voter_set import VoterSet
from myrtlecrank.fleet.step_scheduler import DutySchedule, Effect
from rig.multi_node.checkers import MajorityOutages, Resource, max_concurrent_actors
from rig.multi_node.environment import SimulatedEnvironment
from rig.multi_node.member import Member, newest_voter_set

DRIFT = 0.01
PAUSE_IN_WRITE_SHARE = 0.003  # effects with a pause between the check of the lease and the write
MEMBERSHIP_TIMING = MembershipTiming(
    probe_interval_ms=500.0,
    probe_reply_ms=150.0,
    helpers=3,
    min_suspicion_ms=1500.0,
    forget_ms=60_000.0,
    exchange_interval_ms=5000.0,
)
LENGTH_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Size, timing and faults of one play."""

    members: int = 5
    voters: int = 3
    duties: int = 4
    length_ms: float = LENGTH_MS
    faults: bool = True
    fault_interval_ms: float = 3000.0  # mean
    step_interval_ms: float = 120.0
    lease_ms: float = 600.0
    poll_interval_ms: float = 0.0  # of the fleet monitor; 0: off
    reseats: bool = False  # inject changes of the voters too
    fence: bool = True  # of the resource; off only to test that late effects are detected


@dataclass
class PlayResult:
    """Figures of one play, its injected faults (time, kind, member, duration in ms), its applied
    effects (time, duty, epoch, step, owner) and the violated limits."""

    seed: int
    figures: dict[str, float]
    script: list[tuple[float, str, str, float]]
    trace: list[tuple[float, str, int, int, str]] = field(default_factory=list)
    violations: str = ""


FAULTS = (
    "kill",
    "kill",
    "stop",
    "stop",
    "cut",
    "cut-in",
    "cut-out",
    "half",
    "slow",
    "disk-full",
    "lost-disk",
    "old-disk",
    "leave",
    "all-voters",
    "flap",
    "clock",
)
FIGURE_LIMITS = {
    "acting_at_once": 1,
    "owners_at_once": 1,
    "late_effects_taken": 0,
    "steps_lost": 0,
    "steps_twice": 0,
}


def fleet_config(scenario: Scenario) -> FleetConfig:
    """Returns the configuration that all members share."""
    voters = tuple(f"m{i}" for i in range(scenario.voters))
    schedules = tuple(
        DutySchedule(f"duty-{i}", scenario.step_interval_ms, 400.0, 100.0) for i in range(scenario.duties)
    )
    lease_terms = LeaseTimings.derive(scenario.lease_ms, DRIFT, scenario.lease_ms / 4.0)
    return FleetConfig(
        voters, schedules, lease_terms, MEMBERSHIP_TIMING, 250.0, 3000.0, scenario.poll_interval_ms
    )


class Simulation:
    """One play of the experiment. `inject_fault` changes the simulation before its members start."""

    def __init__(
        self, seed: int, scenario: Scenario, inject_fault: Callable[[Simulation], None] | None = None
    ) -> None:
        self.scenario, self.environment = scenario, SimulatedEnvironment(seed)
        if not scenario.faults:
            self.environment.loss_probability = 0.0
        self.config = fleet_config(scenario)
        self.resource = Resource(fence=scenario.fence)
        names = [f"m{i}" for i in range(scenario.members)]
        self.members = [
            Member(self.environment, name, f"z{i % 3}", self.config, names, DRIFT, self.carry_out)
            for i, name in enumerate(names)
        ]
        for one in self.members:
            one.peers = {other.name: other for other in self.members}
        self.script: list[tuple[float, str, str, float]] = []
        self.actions: list[tuple[float, str, str]] = []  # time of the decision, duty, owner
        self.outages = MajorityOutages(
            self.config.lease_timings.takeover_wait_ms + 2.0 * self.config.lease_timings.poll_interval_ms
        )
        self.seed = seed
        self.voters_changed = 0
        if inject_fault is not None:
            inject_fault(self)
        for one in self.members:
            one.start()
        self.sample_majority()
        if scenario.faults:
            self.environment.schedule(5000.0, self.inject_next_fault)

    # -- effects on their way to the resource

    def carry_out(self, member: Member, effect: Effect) -> None:
        """Starts the write of an effect, at times with a pause in it."""
        environment = self.environment
        self.actions.append((environment.now, effect.duty, f"{member.fleet.owner_id} {effect.epoch}"))
        if self.scenario.faults and environment.random.random() < PAUSE_IN_WRITE_SHARE:
            # Paused during the write: the lease was checked, and the bytes leave much later.
            self.record_fault(
                "stop-in-write",
                member.name,
                ms := environment.random.uniform(500.0, 3.0 * self.scenario.lease_ms),
            )
            member.pause_for(ms)
        member.host.run_at(environment.now + 0.2, lambda: self.send_effect(member, effect))

    def send_effect(self, member: Member, effect: Effect) -> None:
        owner = member.fleet.owner_id

        def arrive() -> None:
            taken = self.resource.offer(self.environment.now, owner, effect)
            self.environment.transmit(
                "resource", member.name, 20, lambda: self.deliver_answer(member, owner, effect, taken)
            )

        self.environment.transmit(member.name, "resource", 60, arrive)

    def deliver_answer(self, member: Member, owner: str, effect: Effect, taken: bool) -> None:
        def finish() -> None:
            if member.fleet.owner_id == owner:
                member.fleet.finish_effect(effect, taken, member.host.clock())
                member.tick()

        if member.host.is_up:
            member.host.run_at(self.environment.now, finish)

    # -- reachability of a majority

    def sample_majority(self) -> None:
        """Samples whether any member reaches a majority of voting voters, in both directions and within the
        time of a round. Without one no member can own a duty."""
        now = self.environment.now
        self.outages.sample(now, any(self._reaches_majority(one) for one in self.members))
        self.environment.schedule(now + 25.0, self.sample_majority)

    def _is_running(self, one: Member) -> bool:
        return one.host.is_up and one.host.paused_until <= self.environment.now

    def _reaches_majority(self, one: Member) -> bool:
        now = self.environment.now

        def through(a: Member, b: Member) -> bool:
            until, more = self.environment.slow_links.get((a.name, b.name), (0.0, 0.0))
            cut = self.environment.blocked_links.get((a.name, b.name), 0.0) > now
            return a is b or not (cut or (until > now and more > 100.0))

        reached = [
            (v.name, v.voter_host.voter.memory.identity)
            for v in self.members
            if v.voter_host is not None
            and self._is_running(v)
            and v.voter_host.voter.is_voting
            and v.disk.full_until <= now
            and through(one, v)
            and through(v, one)
        ]
        return self._is_running(one) and self.roster().has_majority(reached)

    def roster(self) -> VoterSet:
        """Returns the newest voter set that any voter uses."""
        return newest_voter_set(v.voter_host.voter for v in self.members if v.voter_host is not None)

    def voters(self) -> list[Member]:
        names = self.roster().names
        return [one for one in self.members if one.name in names]

    # -- faults

    def record_fault(self, kind: str, member_name: str, ms: float) -> None:
        self.script.append((round(self.environment.now, 1), kind, member_name, round(ms, 1)))

    def inject_next_fault(self) -> None:
        environment, random = self.environment, self.environment.random
        if environment.now > self.scenario.length_ms - 12_000.0:
            return  # the recovery after the last fault is checked too
        one = random.choice(self.members)
        kind = random.choice(FAULTS + ("reseat",) * 8 if self.scenario.reseats else FAULTS)
        ms = random.uniform(200.0, 3.0 * self.scenario.lease_ms)
        others = [other for other in self.members if other is not one]
        getattr(self, "_" + kind.replace("-", "_"))(one, others, ms)
        self.record_fault(kind, one.name, ms)
        environment.schedule(
            environment.now + random.expovariate(1.0 / self.scenario.fault_interval_ms),
            self.inject_next_fault,
        )

    def _restart_after(self, one: Member, ms: float) -> None:
        self.environment.schedule(
            self.environment.now + ms, lambda: one.start() if not one.host.is_up else None
        )

    def _kill(self, one: Member, _: list[Member], ms: float) -> None:
        one.crash()
        self._restart_after(one, ms)

    def _stop(self, one: Member, _: list[Member], ms: float) -> None:
        one.pause_for(ms)

    def _cut(self, one: Member, others: list[Member], ms: float) -> None:
        self._cut_in(one, others, ms)
        self._cut_out(one, others, ms)

    def _cut_in(self, one: Member, others: list[Member], ms: float) -> None:
        for other in others:
            self.environment.block_link(other.name, one.name, self.environment.now + ms)

    def _cut_out(self, one: Member, others: list[Member], ms: float) -> None:
        """Blocks one direction: the member receives messages, and its own are lost."""
        for other in others:
            self.environment.block_link(one.name, other.name, self.environment.now + ms)

    def _half(self, one: Member, others: list[Member], ms: float) -> None:
        side = [one, *self.environment.random.sample(others, len(others) // 2)]
        for a in self.members:
            for b in self.members:
                if (a in side) != (b in side):
                    self.environment.block_link(a.name, b.name, self.environment.now + ms)

    def _slow(self, one: Member, others: list[Member], ms: float) -> None:
        """Delays messages, at times by more than the lease."""
        more = self.environment.random.uniform(50.0, 1.5 * self.scenario.lease_ms)
        for other in others:
            for link in ((one.name, other.name), (other.name, one.name)):
                self.environment.slow_links[link] = (self.environment.now + ms, more)

    def _disk_full(self, one: Member, _: list[Member], ms: float) -> None:
        one.disk.full_until = self.environment.now + ms

    def _all_vote(self) -> bool:
        """Only one voter may lose its state at a time: what two have lost together cannot be recovered, and
        the register correctly stops for good."""
        voters = self.voters()
        return all(v.host.is_up and v.voter_host is not None and v.voter_host.voter.is_voting for v in voters)

    def _lost_disk(self, one: Member, _: list[Member], ms: float) -> None:
        all_vote = self._all_vote()
        one.crash()
        if all_vote:
            one.disk.image = None
        self._restart_after(one, ms)

    def _old_disk(self, one: Member, _: list[Member], ms: float) -> None:
        all_vote = self._all_vote()
        one.crash()
        if one.disk.older_images and all_vote:
            one.disk.image = self.environment.random.choice(one.disk.older_images)
        self._restart_after(one, ms)

    def _reseat(self, one: Member, _: list[Member], ms: float) -> None:
        """Replaces a voter by a member, which may be the same, as an operator at this member would."""
        if one.host.is_up and one.host.paused_until <= self.environment.now:
            voters = self.voters()
            drop = self.environment.random.choice(voters)
            add = self.environment.random.choice(
                [drop, *(other for other in self.members if other not in voters)]
            )
            one.fleet.replace_voters([drop.name], [add.name], self.reseated, one.host.clock())
            one.tick()

    def reseated(self, how: ReconfigurationResult) -> None:
        self.voters_changed += not how.error

    def _leave(self, one: Member, _: list[Member], ms: float) -> None:
        if one.host.is_up and one.host.paused_until <= self.environment.now:
            one.fleet.leave(one.host.clock())
            one.tick()
            self.environment.schedule(
                self.environment.now + 400.0, lambda: one.crash() if one.fleet.is_leaving else None
            )
            self._restart_after(one, 400.0 + ms)

    def _all_voters(self, one: Member, _: list[Member], ms: float) -> None:
        for voter in self.voters():
            voter.crash()
            self._restart_after(voter, ms * (0.2 + 0.1 * self.environment.random.random()))

    def _clock(self, one: Member, _: list[Member], ms: float) -> None:
        """Steps the wall clock by an hour, back or ahead."""
        one.host.wall_clock_step_ms += self.environment.random.choice([-3_600_000.0, 3_600_000.0])

    def _flap(self, one: Member, others: list[Member], ms: float) -> None:
        for i in range(12):
            self.environment.schedule(self.environment.now + 350.0 * i, lambda: self._cut(one, others, 170.0))

    # -- results

    def run(self) -> PlayResult:
        """Runs the whole play and computes its figures."""
        scenario, resource = self.scenario, self.resource
        self.environment.run(scenario.length_ms)
        names = [schedule.name for schedule in self.config.schedules]
        # An owner does a step each interval. A longer gap is unowned time, beyond a few tries.
        usual = 3.0 * scenario.step_interval_ms
        gaps = resource.gaps(4000.0, scenario.length_ms, names)
        unowned = sum(max(0.0, self.outages.available_ms(a, b) - usual) for a, b in gaps)
        changes = self._changes(names)
        takeovers = sorted(self.outages.available_ms(a, b) for a, b in changes)
        p95 = takeovers[int(0.95 * (len(takeovers) - 1))] if takeovers else 0.0
        last = {name: max((t.at for t in resource.applied if t.duty == name), default=0.0) for name in names}
        figures: dict[str, float] = {
            "acting_at_once": max_concurrent_actors(self.actions),
            **resource.figures(),
            "takeover_s": round(p95 / 1000.0, 3),
            "unowned_share": round(unowned / ((scenario.length_ms - 4000.0) * len(names)), 4),
            "owner_changes": len(changes),
            "majority_away_share": round(self.outages.total_ms() / scenario.length_ms, 4),
            "voters_changed": self.voters_changed,
            "stuck": sum(scenario.length_ms - at > 3000.0 for at in last.values()),
            "faults": len(self.script),
            "messages_a_member_a_second": round(
                self.environment.message_count / len(self.members) / scenario.length_ms * 1000.0, 1
            ),
        }
        trace = [(round(t.at, 3), t.duty, t.epoch, t.step, t.owner) for t in resource.applied]
        wrong = [f"{key} {figures[key]:g}" for key, most in FIGURE_LIMITS.items() if figures[key] > most]
        return PlayResult(self.seed, figures, self.script, trace, "; ".join(wrong))

    def _changes(self, names: list[str]) -> list[tuple[float, float]]:
        """Returns for each change of owner the last effect of the old owner and the first of the new one."""
        found: list[tuple[float, float]] = []
        for name in names:
            mine = [t for t in self.resource.applied if t.duty == name]
            found += [(a.at, b.at) for a, b in pairwise(mine) if a.owner != b.owner]
        return found


def play(seed: int, scenario: Scenario, inject_fault: Callable[[Any], None] | None = None) -> PlayResult:
    """Runs one play."""
    return Simulation(seed, scenario, inject_fault).run()
