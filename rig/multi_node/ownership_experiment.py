"""The experiment fleet-owner on the virtual clock: members, voters and duties between faults drawn from the
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
from rig.multi_node.checkers import Away, Resource, at_once
from rig.multi_node.environment import World
from rig.multi_node.member import Member, newest

DRIFT = 0.01
STOP_IN_WRITE = 0.003  # share of effects with a stop between the look at the lease and the bytes
PACE = MembershipTiming(
    probe_interval_ms=500.0,
    probe_reply_ms=150.0,
    helpers=3,
    min_suspicion_ms=1500.0,
    forget_ms=60_000.0,
    exchange_interval_ms=5000.0,
)
LONG = 60_000.0  # ms of one play; 30,000 with --quick


@dataclass(frozen=True, slots=True)
class Scene:
    members: int = 5
    voters: int = 3
    duties: int = 4
    length: float = LONG
    faults: bool = True
    every: float = 3000.0  # ms between two faults, in the mean
    step_every: float = 120.0
    lease: float = 600.0
    watch: float = 0.0  # ms between two views of the fleet
    reseats: bool = False  # voters are replaced too
    fence: bool = True  # of the resource; off only to see that its judge finds what comes late


@dataclass
class Played:
    seed: int
    figures: dict[str, float]
    script: list[tuple[float, str, str, float]]
    trace: list[tuple[float, str, int, int, str]] = field(default_factory=list)
    first_break: str = ""


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
AIMS = {"acting_at_once": 1, "owners_at_once": 1, "late_effects_taken": 0, "steps_lost": 0, "steps_twice": 0}


def plan_of(scene: Scene) -> FleetConfig:
    voters = tuple(f"m{i}" for i in range(scene.voters))
    works = tuple(DutySchedule(f"duty-{i}", scene.step_every, 400.0, 100.0) for i in range(scene.duties))
    timings = LeaseTimings.derive(scene.lease, DRIFT, scene.lease / 4.0)
    return FleetConfig(voters, works, timings, PACE, 250.0, 3000.0, scene.watch)


class Play:
    def __init__(self, seed: int, scene: Scene, plant: Callable[[Play], None] | None = None) -> None:
        self.scene, self.world = scene, World(seed)
        if not scene.faults:
            self.world.lose = 0.0
        self.plan = plan_of(scene)
        self.resource = Resource(fence=scene.fence)
        names = [f"m{i}" for i in range(scene.members)]
        self.members = [
            Member(self.world, name, f"z{i % 3}", self.plan, names, DRIFT, self.carry_out)
            for i, name in enumerate(names)
        ]
        for one in self.members:
            one.peers = {other.name: other for other in self.members}
        self.script: list[tuple[float, str, str, float]] = []
        self.acted: list[tuple[float, str, str]] = []  # when it was decided, on which duty, by which owner
        self.away = Away(
            self.plan.lease_timings.takeover_wait_ms + 2.0 * self.plan.lease_timings.poll_interval_ms
        )
        self.world_seed = seed
        self.voters_changed = 0
        if plant is not None:
            plant(self)
        for one in self.members:
            one.start()
        self.look_around()
        if scene.faults:
            self.world.at(5000.0, self.fault)

    # -- effects on their way to the resource

    def carry_out(self, member: Member, effect: Effect) -> None:
        world = self.world
        self.acted.append((world.now, effect.duty, f"{member.fleet.owner_id} {effect.epoch}"))
        if self.scene.faults and world.random.random() < STOP_IN_WRITE:
            # Stopped in the middle of the write: it has looked at its lease, and lets go of the bytes much
            # later.
            self.told("stop-in-write", member.name, ms := world.random.uniform(500.0, 3.0 * self.scene.lease))
            member.stop_for(ms)
        member.host.later(world.now + 0.2, lambda: self.let_go(member, effect))

    def let_go(self, member: Member, effect: Effect) -> None:
        owner = member.fleet.owner_id

        def arrive() -> None:
            taken = self.resource.offered(self.world.now, owner, effect)
            self.world.carry("resource", member.name, 20, lambda: self.answered(member, owner, effect, taken))

        self.world.carry(member.name, "resource", 60, arrive)

    def answered(self, member: Member, owner: str, effect: Effect, taken: bool) -> None:
        def told() -> None:
            if member.fleet.owner_id == owner:
                member.fleet.finish_effect(effect, taken, member.host.clock())
                member.tick()

        if member.host.up:
            member.host.later(self.world.now, told)

    # -- whether a majority is there to be had

    def look_around(self) -> None:
        """Nobody can own anything while no member reaches a majority of voters that vote, both ways and
        within a round's time."""
        now = self.world.now
        self.away.look(now, any(self._reaches(one) for one in self.members))
        self.world.at(now + 25.0, self.look_around)

    def _runs(self, one: Member) -> bool:
        return one.host.up and one.host.stopped_until <= self.world.now

    def _reaches(self, one: Member) -> bool:
        now = self.world.now

        def through(a: Member, b: Member) -> bool:
            until, more = self.world.slow.get((a.name, b.name), (0.0, 0.0))
            cut = self.world.cuts.get((a.name, b.name), 0.0) > now
            return a is b or not (cut or (until > now and more > 100.0))

        reached = [
            (v.name, v.voter.voter.memory.identity)
            for v in self.members
            if v.voter is not None
            and self._runs(v)
            and v.voter.voter.is_voting
            and v.disk.full_until <= now
            and through(one, v)
            and through(v, one)
        ]
        return self._runs(one) and self.roster().has_majority(reached)

    def roster(self) -> VoterSet:
        """The newest that any voter goes by."""
        return newest(v.voter.voter for v in self.members if v.voter is not None)

    def voters(self) -> list[Member]:
        names = self.roster().names
        return [one for one in self.members if one.name in names]

    # -- faults

    def told(self, kind: str, whom: str, ms: float) -> None:
        self.script.append((round(self.world.now, 1), kind, whom, round(ms, 1)))

    def fault(self) -> None:
        world, random = self.world, self.world.random
        if world.now > self.scene.length - 12_000.0:
            return  # what comes after the last fault is judged too
        one = random.choice(self.members)
        kind = random.choice(FAULTS + ("reseat",) * 8 if self.scene.reseats else FAULTS)
        ms = random.uniform(200.0, 3.0 * self.scene.lease)
        others = [other for other in self.members if other is not one]
        getattr(self, "_" + kind.replace("-", "_"))(one, others, ms)
        self.told(kind, one.name, ms)
        world.at(world.now + random.expovariate(1.0 / self.scene.every), self.fault)

    def _back(self, one: Member, ms: float) -> None:
        self.world.at(self.world.now + ms, lambda: one.start() if not one.host.up else None)

    def _kill(self, one: Member, _: list[Member], ms: float) -> None:
        one.die()
        self._back(one, ms)

    def _stop(self, one: Member, _: list[Member], ms: float) -> None:
        one.stop_for(ms)

    def _cut(self, one: Member, others: list[Member], ms: float) -> None:
        self._cut_in(one, others, ms)
        self._cut_out(one, others, ms)

    def _cut_in(self, one: Member, others: list[Member], ms: float) -> None:
        for other in others:
            self.world.cut(other.name, one.name, self.world.now + ms)

    def _cut_out(self, one: Member, others: list[Member], ms: float) -> None:
        """One way: it hears all and none hears it."""
        for other in others:
            self.world.cut(one.name, other.name, self.world.now + ms)

    def _half(self, one: Member, others: list[Member], ms: float) -> None:
        side = [one, *self.world.random.sample(others, len(others) // 2)]
        for a in self.members:
            for b in self.members:
                if (a in side) != (b in side):
                    self.world.cut(a.name, b.name, self.world.now + ms)

    def _slow(self, one: Member, others: list[Member], ms: float) -> None:
        """Slower than the lease, at times."""
        more = self.world.random.uniform(50.0, 1.5 * self.scene.lease)
        for other in others:
            for link in ((one.name, other.name), (other.name, one.name)):
                self.world.slow[link] = (self.world.now + ms, more)

    def _disk_full(self, one: Member, _: list[Member], ms: float) -> None:
        one.disk.full_until = self.world.now + ms

    def _all_vote(self) -> bool:
        """One memory is lost at a time: what two have lost together nobody can know, and the register stands
        still for good, as it should."""
        voters = self.voters()
        return all(v.host.up and v.voter is not None and v.voter.voter.is_voting for v in voters)

    def _lost_disk(self, one: Member, _: list[Member], ms: float) -> None:
        all_vote = self._all_vote()
        one.die()
        if all_vote:
            one.disk.image = None
        self._back(one, ms)

    def _old_disk(self, one: Member, _: list[Member], ms: float) -> None:
        all_vote = self._all_vote()
        one.die()
        if one.disk.copies and all_vote:
            one.disk.image = self.world.random.choice(one.disk.copies)
        self._back(one, ms)

    def _reseat(self, one: Member, _: list[Member], ms: float) -> None:
        """An operator at this member drops a voter and adds a member, which may be the same."""
        if one.host.up and one.host.stopped_until <= self.world.now:
            voters = self.voters()
            drop = self.world.random.choice(voters)
            add = self.world.random.choice([drop, *(other for other in self.members if other not in voters)])
            one.fleet.replace_voters([drop.name], [add.name], self.reseated, one.host.clock())
            one.tick()

    def reseated(self, how: ReconfigurationResult) -> None:
        self.voters_changed += not how.error

    def _leave(self, one: Member, _: list[Member], ms: float) -> None:
        if one.host.up and one.host.stopped_until <= self.world.now:
            one.fleet.leave(one.host.clock())
            one.tick()
            self.world.at(self.world.now + 400.0, lambda: one.die() if one.fleet.is_leaving else None)
            self._back(one, 400.0 + ms)

    def _all_voters(self, one: Member, _: list[Member], ms: float) -> None:
        for voter in self.voters():
            voter.die()
            self._back(voter, ms * (0.2 + 0.1 * self.world.random.random()))

    def _clock(self, one: Member, _: list[Member], ms: float) -> None:
        """The wall clock goes an hour back or ahead."""
        one.host.wall += self.world.random.choice([-3_600_000.0, 3_600_000.0])

    def _flap(self, one: Member, others: list[Member], ms: float) -> None:
        for i in range(12):
            self.world.at(self.world.now + 350.0 * i, lambda: self._cut(one, others, 170.0))

    # -- the end

    def run(self) -> Played:
        scene, resource = self.scene, self.resource
        self.world.run(scene.length)
        names = [work.name for work in self.plan.schedules]
        # An owner does a step every so often; what is longer without one, beyond a few tries, is unowned.
        usual = 3.0 * scene.step_every
        gaps = resource.gaps(4000.0, scene.length, names)
        unowned = sum(max(0.0, self.away.outside(a, b) - usual) for a, b in gaps)
        changes = self._changes(names)
        takeovers = sorted(self.away.outside(a, b) for a, b in changes)
        p95 = takeovers[int(0.95 * (len(takeovers) - 1))] if takeovers else 0.0
        last = {name: max((t.at for t in resource.taken if t.duty == name), default=0.0) for name in names}
        figures: dict[str, float] = {
            "acting_at_once": at_once(self.acted),
            **resource.figures(),
            "takeover_s": round(p95 / 1000.0, 3),
            "unowned_share": round(unowned / ((scene.length - 4000.0) * len(names)), 4),
            "owner_changes": len(changes),
            "majority_away_share": round(self.away.total() / scene.length, 4),
            "voters_changed": self.voters_changed,
            "stuck": sum(scene.length - at > 3000.0 for at in last.values()),
            "faults": len(self.script),
            "messages_a_member_a_second": round(
                self.world.messages / len(self.members) / scene.length * 1000.0, 1
            ),
        }
        trace = [(round(t.at, 3), t.duty, t.epoch, t.step, t.owner) for t in resource.taken]
        wrong = [f"{key} {figures[key]:g}" for key, most in AIMS.items() if figures[key] > most]
        return Played(self.world_seed, figures, self.script, trace, "; ".join(wrong))

    def _changes(self, names: list[str]) -> list[tuple[float, float]]:
        """For each change of a duty's owner: when the old one was last heard and the new one first."""
        found: list[tuple[float, float]] = []
        for name in names:
            mine = [t for t in self.resource.taken if t.duty == name]
            found += [(a.at, b.at) for a, b in pairwise(mine) if a.owner != b.owner]
        return found


def play(seed: int, scene: Scene, plant: Callable[[Any], None] | None = None) -> Played:
    return Play(seed, scene, plant).run()
