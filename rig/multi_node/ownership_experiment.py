"""The experiment fleet-owner on the virtual clock: members, voters and duties under faults drawn from the
seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
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
from rig.multi_node.receiver_link import ReceiverLink

CLOCK_DRIFT = 0.01
ZONES = 3
POLLS_PER_LEASE = 4.0
STEP_DEADLINE_MS = 400.0
STEP_BACK_OFF_MS = 100.0
REGISTER_REPLY_MS = 250.0
REBALANCE_MS = 3000.0
MEMBERSHIP_TIMING = MembershipTiming(
    probe_interval_ms=500.0,
    probe_reply_ms=150.0,
    helpers=3,
    min_suspicion_ms=1500.0,
    forget_ms=60_000.0,
    exchange_interval_ms=5000.0,
)
LENGTH_MS = 60_000.0

# Effects on their way to the resource
EFFECT_WRITE_MS = 0.2
EFFECT_BYTES = 60
EFFECT_ANSWER_BYTES = 20
PAUSE_IN_WRITE_SHARE = 0.003  # effects with a pause between the check of the lease and the write
MIN_PAUSE_IN_WRITE_MS = 500.0

# Samples of whether a majority of voters is reachable
MAJORITY_SAMPLING_INTERVAL_MS = 25.0
MAX_ROUND_LINK_DELAY_MS = 100.0  # a link with a longer additional delay counts as unusable

# Faults; lengths in leases are multiples of Scenario.lease_ms
FIRST_FAULT_MS = 5000.0
FAULTLESS_END_MS = 12_000.0  # the recovery after the last fault is checked too
MIN_FAULT_MS = 200.0
MAX_FAULT_LEASES = 3.0
RESEAT_WEIGHT = 8  # entries of "reseat" beside those of FAULTS
MOVE_WEIGHT = 16  # the same for "move-and-back"
ROLL_WEIGHT = 3  # the same for "roll-lease"
LEASE_FACTORS = (0.25, 0.5, 2.0, 4.0)  # of Scenario.lease_ms, in a changed file
ROLL_INTERVAL_LEASES = 4.0  # between the restarts of two members, in the longest lease of both files
ROLL_DOWN_MS = 300.0
ROLL_STEP_INTERVAL_MS = 1500.0  # each step renews the lease, so that frequent ones would hide its length
MOVE_BACK_AFTER_MS = (20.0, 150.0)  # after the move
LONG_STEP_SHARE = 0.1  # of the steps, while duties are moved
LONG_STEP_MS = (200.0, 390.0)  # within STEP_DEADLINE_MS
BUSY_SHARE = 0.15  # of the offers that are answered false, while duties are moved
MIN_SLOW_LINK_DELAY_MS = 50.0
MAX_SLOW_LINK_DELAY_LEASES = 1.5
DRAIN_MS = 400.0  # from the start of a drain to the end of the process
WALL_CLOCK_STEP_MS = 3_600_000.0
FLAPS = 12
FLAP_INTERVAL_MS = 350.0
FLAP_CUT_MS = 170.0
MIN_VOTER_DOWN_SHARE = 0.2  # of a fault's duration, if all voters restart
VOTER_DOWN_SPREAD = 0.1

# Figures
START_UP_MS = 4000.0  # unowned time is counted after it
USUAL_GAP_STEPS = 3.0  # a longer gap between two steps, in step intervals, is unowned time
STUCK_AFTER_MS = 3000.0  # a duty without a step for so long at the end is stuck


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
    replaces_voters: bool = False  # inject changes of the voters too
    moves_duties: bool = False  # move duties away and back during a step, with a receiver that may be busy
    changes_lease: bool = False  # restart all members one by one with another lease
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
        DutySchedule(f"duty-{i}", scenario.step_interval_ms, STEP_DEADLINE_MS, STEP_BACK_OFF_MS)
        for i in range(scenario.duties)
    )
    return FleetConfig(
        voters=voters,
        schedules=schedules,
        lease_timings=LeaseTimings.derive(
            scenario.lease_ms, CLOCK_DRIFT, scenario.lease_ms / POLLS_PER_LEASE
        ),
        membership_timing=MEMBERSHIP_TIMING,
        register_reply_ms=REGISTER_REPLY_MS,
        rebalance_ms=REBALANCE_MS,
        view_interval_ms=scenario.poll_interval_ms,
    )


class Simulation:
    """One play of the experiment. `inject_fault` changes the simulation before its members start."""

    def __init__(
        self, seed: int, scenario: Scenario, inject_fault: Callable[[Simulation], None] | None = None
    ) -> None:
        self.seed = seed
        self.scenario = scenario
        self.environment = SimulatedEnvironment(seed)
        if not scenario.faults:
            self.environment.loss_probability = 0.0
        self.config = fleet_config(scenario)
        self.resource = Resource(fence=scenario.fence)
        names = [f"m{i}" for i in range(scenario.members)]
        self.members = [
            Member(self.environment, name, f"z{i % ZONES}", self.config, names, CLOCK_DRIFT, self.carry_out)
            for i, name in enumerate(names)
        ]
        for member in self.members:
            member.peers = {peer.name: peer for peer in self.members}
        self.script: list[tuple[float, str, str, float]] = []
        self.actions: list[tuple[float, str, str]] = []  # time of the decision, duty, owner
        timings = self.config.lease_timings
        self.outages = MajorityOutages(timings.takeover_wait_ms + 2.0 * timings.poll_interval_ms)
        self.voters_changed = 0
        self.receiver_links: dict[tuple[str, str], ReceiverLink] = {}  # by owner and duty
        self.aborts_offers = True  # a new offer of a duty ends the one under way
        if inject_fault is not None:
            inject_fault(self)
        for member in self.members:
            member.start()
        self.sample_majority()
        if scenario.faults:
            self.environment.schedule(FIRST_FAULT_MS, self.inject_next_fault)

    # -- effects on their way to the resource

    def carry_out(self, member: Member, effect: Effect) -> None:
        """Starts the write of an effect, at times with a pause in it."""
        environment, random = self.environment, self.environment.random
        self.actions.append((environment.now, effect.duty, f"{member.fleet.owner_id} {effect.epoch}"))
        if self.scenario.faults and random.random() < PAUSE_IN_WRITE_SHARE:
            # Paused during the write: the lease was checked, and the bytes leave much later.
            pause_ms = random.uniform(MIN_PAUSE_IN_WRITE_MS, MAX_FAULT_LEASES * self.scenario.lease_ms)
            self.record_fault("stop-in-write", member.name, pause_ms)
            member.pause_for(pause_ms)
        member.host.run_at(environment.now + EFFECT_WRITE_MS, lambda: self.send_effect(member, effect))

    def send_effect(self, member: Member, effect: Effect) -> None:
        """Sends an effect to the resource, which sends its answer back."""
        environment, owner = self.environment, member.fleet.owner_id
        if self.scenario.moves_duties:
            self._offer_over_link(member, owner, effect)
            return

        def arrive() -> None:
            taken = self.resource.offer(environment.now, owner, effect)
            environment.transmit(
                "resource",
                member.name,
                EFFECT_ANSWER_BYTES,
                lambda: self.deliver_answer(member, owner, effect, taken),
            )

        environment.transmit(member.name, "resource", EFFECT_BYTES, arrive)

    def _offer_over_link(self, member: Member, owner: str, effect: Effect) -> None:
        """Offers an effect over the connection of its duty, to a resource that is busy or slow at times."""
        environment, random = self.environment, self.environment.random
        link = self._open_receiver_link(member, owner, effect)
        number = link.offer_count

        def send_answer(taken: bool) -> None:
            def arrive() -> None:
                link.answer(number, taken)

            environment.transmit("resource", member.name, EFFECT_ANSWER_BYTES, arrive)

        def arrive() -> None:
            if random.random() < BUSY_SHARE:
                send_answer(False)
                return
            taken = self.resource.offer(environment.now, owner, effect)
            delay_ms = random.uniform(*LONG_STEP_MS) if random.random() < LONG_STEP_SHARE else 0.0
            environment.schedule(environment.now + delay_ms, lambda: send_answer(taken))

        environment.transmit(member.name, "resource", EFFECT_BYTES, arrive)

    def _open_receiver_link(self, member: Member, owner: str, effect: Effect) -> ReceiverLink:
        """Returns the connection for an offer. One with an offer under way is closed first."""
        key = (owner, effect.duty)
        link = self.receiver_links.get(key)
        if link is not None and link.reader is not None and self.aborts_offers:
            link.is_open = False
        if link is None or not link.is_open:
            link = self.receiver_links[key] = ReceiverLink(
                lambda offered, taken: self.deliver_answer(member, owner, offered, taken)
            )
        opened = link
        opened.offer(effect)
        expires_at = member.host.true_time(effect.expires_at)
        self.environment.schedule(expires_at, lambda: opened.expire(effect))
        return opened

    def deliver_answer(self, member: Member, owner: str, effect: Effect, taken: bool) -> None:
        """Passes the resource's answer to the member, unless it has restarted since it sent the effect."""

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
        self.outages.sample(now, any(self._reaches_majority(member) for member in self.members))
        self.environment.schedule(now + MAJORITY_SAMPLING_INTERVAL_MS, self.sample_majority)

    def _is_running(self, member: Member) -> bool:
        return member.host.is_up and member.host.paused_until <= self.environment.now

    def _is_link_usable(self, source: Member, target: Member) -> bool:
        if source is target:
            return True
        now, link = self.environment.now, (source.name, target.name)
        if self.environment.blocked_links.get(link, 0.0) > now:
            return False
        slow_until, slow_delay_ms = self.environment.slow_links.get(link, (0.0, 0.0))
        return slow_until <= now or slow_delay_ms <= MAX_ROUND_LINK_DELAY_MS

    def _reaches_majority(self, member: Member) -> bool:
        reached = [
            (peer.name, peer.voter_host.voter.memory.identity)
            for peer in self.members
            if peer.voter_host is not None
            and self._is_running(peer)
            and peer.voter_host.voter.is_voting
            and peer.disk.full_until <= self.environment.now
            and self._is_link_usable(member, peer)
            and self._is_link_usable(peer, member)
        ]
        return self._is_running(member) and self.newest_voter_set().has_majority(reached)

    def newest_voter_set(self) -> VoterSet:
        """Returns the newest voter set that any voter uses."""
        return newest_voter_set(
            member.voter_host.voter for member in self.members if member.voter_host is not None
        )

    def voters(self) -> list[Member]:
        """Returns the members of the newest voter set."""
        names = self.newest_voter_set().names
        return [member for member in self.members if member.name in names]

    # -- faults

    def record_fault(self, kind: str, member_name: str, duration_ms: float) -> None:
        """Adds a fault to the script of the play."""
        self.script.append((round(self.environment.now, 1), kind, member_name, round(duration_ms, 1)))

    def inject_next_fault(self) -> None:
        """Injects one random fault and schedules the next, until shortly before the end of the play."""
        environment, random = self.environment, self.environment.random
        if environment.now > self.scenario.length_ms - FAULTLESS_END_MS:
            return
        member = random.choice(self.members)
        kind = random.choice(self._fault_kinds())
        duration_ms = random.uniform(MIN_FAULT_MS, MAX_FAULT_LEASES * self.scenario.lease_ms)
        others = [other for other in self.members if other is not member]
        # The method of a fault has its name, after an underscore.
        getattr(self, "_" + kind.replace("-", "_"))(member, others, duration_ms)
        self.record_fault(kind, member.name, duration_ms)
        next_fault_at = environment.now + random.expovariate(1.0 / self.scenario.fault_interval_ms)
        environment.schedule(next_fault_at, self.inject_next_fault)

    def _fault_kinds(self) -> tuple[str, ...]:
        scenario = self.scenario
        return (
            FAULTS
            + ("reseat",) * (RESEAT_WEIGHT * scenario.replaces_voters)
            + ("move-and-back",) * (MOVE_WEIGHT * scenario.moves_duties)
            + ("roll-lease",) * (ROLL_WEIGHT * scenario.changes_lease)
        )

    def _move_and_back(self, member: Member, _: list[Member], __: float) -> None:
        """Moves a duty to another member, as an operator would, and soon after back."""
        owned = member.fleet.owned(member.host.clock()) if self._is_running(member) else []
        if not owned or not member.fleet.step_down(owned[0]):
            return
        duty_name = owned[0]
        successor = member.fleet.duties[duty_name].successor
        member.tick()

        def move_back() -> None:
            for other in self.members:
                if other.name == successor and self._is_running(other):
                    other.fleet.duties[duty_name].release(member.name)
                    other.tick()

        delay_ms = self.environment.random.uniform(*MOVE_BACK_AFTER_MS)
        self.environment.schedule(self.environment.now + delay_ms, move_back)

    def _roll_lease(self, _: Member, __: list[Member], ___: float) -> None:
        """Changes the lease in the operators' file, and restarts all members one by one."""
        environment = self.environment
        lease_ms = self.scenario.lease_ms * environment.random.choice(LEASE_FACTORS)
        timings = LeaseTimings.derive(lease_ms, CLOCK_DRIFT, lease_ms / POLLS_PER_LEASE)
        before_ms = max(member.config.lease_timings.lease_ms for member in self.members)
        interval_ms = ROLL_INTERVAL_LEASES * max(lease_ms, before_ms)
        for number, member in enumerate(self.members):

            def restart(member: Member = member) -> None:
                member.config = replace(member.config, lease_timings=timings)
                self._leave(member, [], ROLL_DOWN_MS)

            environment.schedule(environment.now + number * interval_ms, restart)

    def _restart_after(self, member: Member, down_ms: float) -> None:
        self.environment.schedule(
            self.environment.now + down_ms, lambda: member.start() if not member.host.is_up else None
        )

    def _kill(self, member: Member, _: list[Member], down_ms: float) -> None:
        member.crash()
        self._restart_after(member, down_ms)

    def _stop(self, member: Member, _: list[Member], pause_ms: float) -> None:
        member.pause_for(pause_ms)

    def _cut(self, member: Member, others: list[Member], duration_ms: float) -> None:
        self._cut_in(member, others, duration_ms)
        self._cut_out(member, others, duration_ms)

    def _cut_in(self, member: Member, others: list[Member], duration_ms: float) -> None:
        """Blocks one direction: the member sends messages, and receives none."""
        for other in others:
            self.environment.block_link(other.name, member.name, self.environment.now + duration_ms)

    def _cut_out(self, member: Member, others: list[Member], duration_ms: float) -> None:
        """Blocks one direction: the member receives messages, and its own are lost."""
        for other in others:
            self.environment.block_link(member.name, other.name, self.environment.now + duration_ms)

    def _half(self, member: Member, others: list[Member], duration_ms: float) -> None:
        """Partitions the members into two halves."""
        partition = [member, *self.environment.random.sample(others, len(others) // 2)]
        until = self.environment.now + duration_ms
        for source in self.members:
            for target in self.members:
                if (source in partition) != (target in partition):
                    self.environment.block_link(source.name, target.name, until)

    def _slow(self, member: Member, others: list[Member], duration_ms: float) -> None:
        """Delays messages, at times by more than the lease."""
        delay_ms = self.environment.random.uniform(
            MIN_SLOW_LINK_DELAY_MS, MAX_SLOW_LINK_DELAY_LEASES * self.scenario.lease_ms
        )
        for other in others:
            for link in ((member.name, other.name), (other.name, member.name)):
                self.environment.slow_links[link] = (self.environment.now + duration_ms, delay_ms)

    def _disk_full(self, member: Member, _: list[Member], duration_ms: float) -> None:
        member.disk.full_until = self.environment.now + duration_ms

    def _all_vote(self) -> bool:
        """Only one voter may lose its state at a time: what two have lost together cannot be recovered, and
        the register correctly stops for good."""
        return all(
            voter.host.is_up and voter.voter_host is not None and voter.voter_host.voter.is_voting
            for voter in self.voters()
        )

    def _lost_disk(self, member: Member, _: list[Member], down_ms: float) -> None:
        all_vote = self._all_vote()
        member.crash()
        if all_vote:
            member.disk.image = None
        self._restart_after(member, down_ms)

    def _old_disk(self, member: Member, _: list[Member], down_ms: float) -> None:
        all_vote = self._all_vote()
        member.crash()
        if member.disk.older_images and all_vote:
            member.disk.image = self.environment.random.choice(member.disk.older_images)
        self._restart_after(member, down_ms)

    def _reseat(self, member: Member, _: list[Member], __: float) -> None:
        """Replaces a voter by a member, which may be the same, as an operator at this member would."""
        if self._is_running(member):
            voters = self.voters()
            drop = self.environment.random.choice(voters)
            candidates = [drop, *(other for other in self.members if other not in voters)]
            add = self.environment.random.choice(candidates)
            member.fleet.replace_voters(
                [drop.name], [add.name], self.finish_reconfiguration, member.host.clock()
            )
            member.tick()

    def finish_reconfiguration(self, result: ReconfigurationResult) -> None:
        """Counts a completed reconfiguration."""
        self.voters_changed += not result.error

    def _leave(self, member: Member, _: list[Member], down_ms: float) -> None:
        if self._is_running(member):
            member.fleet.leave(member.host.clock())
            member.tick()
            self.environment.schedule(
                self.environment.now + DRAIN_MS,
                lambda: member.crash() if member.fleet.is_leaving else None,
            )
            self._restart_after(member, DRAIN_MS + down_ms)

    def _all_voters(self, _: Member, __: list[Member], duration_ms: float) -> None:
        """Restarts all voters, each after its own time."""
        for voter in self.voters():
            voter.crash()
            down_share = MIN_VOTER_DOWN_SHARE + VOTER_DOWN_SPREAD * self.environment.random.random()
            self._restart_after(voter, duration_ms * down_share)

    def _clock(self, member: Member, _: list[Member], __: float) -> None:
        """Steps the wall clock by an hour, back or ahead."""
        step_ms = self.environment.random.choice([-WALL_CLOCK_STEP_MS, WALL_CLOCK_STEP_MS])
        member.host.wall_clock_step_ms += step_ms

    def _flap(self, member: Member, others: list[Member], _: float) -> None:
        """Cuts the member off for short times, repeatedly."""
        for i in range(FLAPS):
            self.environment.schedule(
                self.environment.now + FLAP_INTERVAL_MS * i, lambda: self._cut(member, others, FLAP_CUT_MS)
            )

    # -- results

    def run(self) -> PlayResult:
        """Runs the whole play and computes its figures."""
        self.environment.run(self.scenario.length_ms)
        figures = self._figures()
        trace = [
            (round(effect.at, 3), effect.duty, effect.epoch, effect.step, effect.owner)
            for effect in self.resource.applied
        ]
        violations = [f"{key} {figures[key]:g}" for key, most in FIGURE_LIMITS.items() if figures[key] > most]
        return PlayResult(self.seed, figures, self.script, trace, "; ".join(violations))

    def _figures(self) -> dict[str, float]:
        length_ms = self.scenario.length_ms
        duties = [schedule.name for schedule in self.config.schedules]
        owner_changes = self._owner_changes(duties)
        unowned_share = self._unowned_ms(duties) / ((length_ms - START_UP_MS) * len(duties))
        messages_a_member = self.environment.message_count / len(self.members)
        return {
            "acting_at_once": max_concurrent_actors(self.actions),
            **self.resource.figures(),
            "takeover_s": round(self._takeover_p95_ms(owner_changes) / 1000.0, 3),
            "unowned_share": round(unowned_share, 4),
            "owner_changes": len(owner_changes),
            "majority_away_share": round(self.outages.total_ms() / length_ms, 4),
            "voters_changed": self.voters_changed,
            "stuck": self._stuck_duties(duties),
            "faults": len(self.script),
            "messages_a_member_a_second": round(messages_a_member / length_ms * 1000.0, 1),
        }

    def _unowned_ms(self, duties: list[str]) -> float:
        """An owner does a step each interval. A longer gap is unowned time, beyond a few tries."""
        usual_ms = USUAL_GAP_STEPS * self.scenario.step_interval_ms
        gaps = self.resource.gaps(START_UP_MS, self.scenario.length_ms, duties)
        return sum(max(0.0, self.outages.available_ms(begin, end) - usual_ms) for begin, end in gaps)

    def _takeover_p95_ms(self, owner_changes: list[tuple[float, float]]) -> float:
        takeovers = sorted(self.outages.available_ms(begin, end) for begin, end in owner_changes)
        return takeovers[int(0.95 * (len(takeovers) - 1))] if takeovers else 0.0

    def _stuck_duties(self, duties: list[str]) -> int:
        last_steps = [
            max((effect.at for effect in self.resource.applied if effect.duty == duty), default=0.0)
            for duty in duties
        ]
        return sum(self.scenario.length_ms - at > STUCK_AFTER_MS for at in last_steps)

    def _owner_changes(self, duties: list[str]) -> list[tuple[float, float]]:
        """Returns for each change of owner the last effect of the old owner and the first of the new one."""
        found: list[tuple[float, float]] = []
        for duty in duties:
            effects = [effect for effect in self.resource.applied if effect.duty == duty]
            found += [
                (previous.at, current.at)
                for previous, current in pairwise(effects)
                if previous.owner != current.owner
            ]
        return found


def play(seed: int, scenario: Scenario, inject_fault: Callable[[Any], None] | None = None) -> PlayResult:
    """Runs one play."""
    return Simulation(seed, scenario, inject_fault).run()
