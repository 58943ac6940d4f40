"""A virtual fleet: backends, the list as callers see it, callers, the load, faults, and what is counted."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from math import log, sqrt
from typing import Any

from myrtlecrank.core.actor import Core
from myrtlecrank.edge.accept_rate import AcceptRateOptions
from myrtlecrank.policy import interface
from myrtlecrank.retries.options import RetryOptions
from rig.backend import Backend
from rig.backend_stand_in import Stand
from rig.callers import Caller, Habits, Try, Wish
from rig.clock import Clock
from rig.machine import Build
from rig.rules import Rules

BUILD, HEEDING, DEAF, BOUNDS, ACCEPTING = (
    Build(),
    Habits(),
    Habits(deaf=True),
    RetryOptions(),
    AcceptRateOptions(),
)


@dataclass(frozen=True)
class Group:
    name: str
    share: float
    benefit: float
    late_benefit: float
    work: float = 300.0
    cv: float = 0.6


@dataclass(frozen=True)
class Scene:
    """One experiment's parameters. Times in ms."""

    backends: int = 8
    callers: int = 24
    load: float = 0.72  # work asked for over the cores, without readings
    deaf: float = 0.3  # part of the callers that heed nothing
    slo: float = 1000.0
    timeout: float = 2500.0
    groups: tuple[Group, ...] = (Group("stop", 0.65, 1.0, 0.2), Group("tour", 0.35, 3.0, 0.0))
    tenants: int = 6
    build: Build = BUILD
    calm_ms: float = 15_000.0  # before the first fault
    away_ms: float = 7000.0
    after_ms: float = 35_000.0  # from the servers' return on
    killed: float = 0.25  # part of the fleet
    deploy: bool = False  # all others are replaced, some at a time, from the kill on
    deploy_part: float = 0.18
    deploy_ms: float = 25_000.0
    burst: float = 1.0  # load times this in bursts of 4 s, every 10 s
    party: float = 0.0  # part of the wishes that copy a popular subject
    grace: float = 1800.0
    stop_ms: float = 3200.0
    lapse_ms: float = 3000.0  # an entry leaves the list so long after the last report
    seen_late: tuple[float, float] = (1000.0, 2000.0)  # list changes reach a caller by then
    habits: Habits = HEEDING
    deaf_habits: Habits = DEAF
    replace_in_ms: float = 500.0
    repeats: RetryOptions | None = BOUNDS  # None: the program without its estimate
    accepting: AcceptRateOptions | None = ACCEPTING  # None: connections are accepted as they come
    crowd: int = 0  # connections that come at one instant when a backend is back; real processes only

    @property
    def kill_at(self) -> float:
        return self.calm_ms

    @property
    def return_at(self) -> float:
        return self.calm_ms + self.away_ms

    @property
    def end(self) -> float:
        return self.return_at + self.after_ms

    def per_second(self) -> float:
        work = sum(g.share * g.work for g in self.groups)
        return self.load * self.backends * self.build.cores * self.build.speed * 1000.0 / work

    def facts(self, seed: int) -> interface.ControllerSettings:
        groups = [
            interface.EndpointGroup(
                g.name,
                interface.EffectKind.REPEATABLE,
                self.slo,
                self.timeout,
                g.benefit,
                g.late_benefit,
                0.0,
            )
            for g in self.groups
        ]
        each = self.per_second() * 1.2 / max(1, self.tenants)
        tenants = [interface.Tenant(f"tenant-{i}", 1.0 / self.tenants, each) for i in range(self.tenants)]
        b = self.build
        return interface.ControllerSettings(
            seed=seed,
            groups=groups,
            cores=b.cores,
            memory_kb=b.memory_kb,
            running_memory_multiple=b.run_weight,
            key_kb=1.0,
            survivable_concurrency_per_core=b.fall_multiple,
            survivable_concurrency_window=b.fall_ms,
            cold=False,
            cold_capacity=b.cold_from,
            warm_up_time=b.cold_ms,
            drain_grace=self.grace,
            answer_slack=60.0,
            clock_granularity=1.0,
            backends=self.backends,
            callers=self.callers,
            tenants=tenants,
            over_share_benefit=0.05,
            cancellation=interface.Cancellation.DROP,
            published_value_kind=interface.PublishedValueKind.CREDIT,
            published_value_lifetime=1000.0,
            max_retry_after=1000.0,
            idle_timeout=30_000.0,
        )


@dataclass
class Counts:
    """What came of the wishes, by the second in which each was first asked."""

    asked: list[float] = field(default_factory=list)
    earned: list[float] = field(default_factory=list)
    heeding: list[list[float]] = field(default_factory=list)  # asked, earned
    deaf: list[list[float]] = field(default_factory=list)
    wishes: list[int] = field(default_factory=list)
    tries: list[int] = field(default_factory=list)


class Fleet:
    def __init__(
        self,
        scene: Scene,
        seed: int,
        with_core: Callable[[Core], None] = lambda _: None,
        clock: Clock | None = None,
    ) -> None:
        self.scene, self.seed, self.with_core = scene, seed, with_core
        self.clock = clock or Clock()
        self.chance = random.Random(f"fleet {seed}")
        self.rules = Rules(scene.grace)
        self.tries: list[Try] = []
        self.wishes: list[Wish] = []
        self.backends: list[Stand] = []
        self.listed_at: list[list[tuple[float, bool]]] = [[] for _ in range(scene.backends)]
        self.starts = 0
        self.seen: list[Callable[[float], None]] = []  # looks every 100 ms
        self.on_read: list[Callable[[Try], None]] = []
        for number in range(scene.backends):
            self.listed_at[number].append((-1e9, True))
            self.backends.append(self._start(number, cold=False))
        delays = random.Random(f"delays {seed}")
        self.delay = [delays.uniform(*scene.seen_late) for _ in range(scene.callers)]
        deaf = round(scene.deaf * scene.callers)
        self.callers = [
            Caller(
                i,
                self.clock,
                self,
                scene.deaf_habits if i < deaf else scene.habits,
                seed,
                self.tries.append,
                lambda _: None,
            )
            for i in range(scene.callers)
        ]
        # The list as each caller sees it is made anew only when it changed.
        self.lists: dict[int, tuple[float, list[int]]] = {}
        self.popular = [
            (
                self.chance.random(),
                self.chance.uniform(10.0, 50.0),
                f"popular {i}".encode(),
                self.chance.randrange(scene.tenants),
            )
            for i in range(5)
        ]

    # The list

    def tell_list(self, number: int, on: bool) -> None:
        self.listed_at[number].append((self.clock.now, on))

    def listed(self, caller: Caller) -> list[int]:
        then = self.clock.now - self.delay[caller.number]
        slot, known = self.lists.get(caller.number, (-1.0, []))
        if self.clock.now - slot < 50.0:
            return known
        known = [
            n
            for n, told in enumerate(self.listed_at)
            if next((on for at, on in reversed(told) if at <= then), False)
        ]
        self.lists[caller.number] = (self.clock.now, known)
        return known

    def send(self, one: Try) -> None:
        self.clock.after(Stand.HOP, lambda: self.backends[one.backend].asked(one))

    # Backends

    def _start(self, number: int, cold: bool) -> Stand:
        self.starts += 1
        return Backend(
            number,
            self.clock,
            self.scene.facts(self.seed * 1000 + self.starts),
            self.scene.build,
            self.rules,
            cold,
            self.scene.stop_ms,
            self.tell_list,
            self.scene.repeats,
            self.with_core,
            self._read,
        )

    def _read(self, one: Try) -> None:
        for hook in self.on_read:
            hook(one)

    def kill(self, number: int) -> None:
        self.backends[number].kill()
        at = self.clock.now + self.scene.lapse_ms - self.chance.uniform(0.0, 800.0)

        def lapse() -> None:
            if not self.backends[number].alive:
                self.tell_list(number, False)

        self.clock.at(at, lapse)

    def revive(self, number: int) -> None:
        if not self.backends[number].alive:
            self.backends[number] = self._start(number, cold=True)
            self.tell_list(number, True)

    def replace(self, number: int) -> None:
        """As a rolling deploy does: notice, stop, a cold successor."""
        backend = self.backends[number]
        if not backend.alive or backend.notice is not None:
            return
        backend.leave()
        self.clock.after(self.scene.stop_ms + self.scene.replace_in_ms, lambda: self.revive(number))

    # The load

    def _load(self) -> None:
        scene = self.scene
        pace = scene.per_second() / 1000.0
        weights = [g.share for g in scene.groups]
        arrivals = random.Random(f"load {self.seed}")
        sigma = [sqrt(log(1.0 + g.cv**2)) for g in scene.groups]

        def one() -> None:
            now = self.clock.now
            group = arrivals.choices(range(len(scene.groups)), weights)[0]
            s = sigma[group]
            work = scene.groups[group].work * arrivals.lognormvariate(-s * s / 2.0, s)
            caller = self.callers[arrivals.randrange(scene.callers)]
            number = len(self.wishes)
            rank, kb, body = arrivals.random(), arrivals.uniform(8.0, 59.0), b"subject %d" % number
            tenant = arrivals.randrange(scene.tenants) if scene.tenants else 0
            if arrivals.random() < scene.party:
                rank, kb, body, tenant = self.popular[arrivals.randrange(len(self.popular))]
            wish = Wish(
                number,
                now,
                group,
                tenant,
                rank,
                kb,
                body,
                work,
                caller.habits.deaf,
                scene.slo,
                now + scene.timeout,
                scene.groups[group].benefit,
            )
            self.wishes.append(wish)
            caller.ask(wish)
            burst = scene.burst if now % 10_000.0 < 4000.0 and now > scene.calm_ms else 1.0
            due[0] += arrivals.expovariate(pace * burst)
            self.clock.at(due[0], one)

        due = [self.clock.now + arrivals.expovariate(pace)]  # not from now on: lateness would thin the load
        self.clock.at(due[0], one)

    def _look(self) -> None:
        self.rules.look(self.clock.now)
        for backend in self.backends:
            if backend.alive and backend.machine.fell:
                self.rules.fell(backend.number, self.clock.now)
                self.kill(backend.number)
                self.clock.after(self.scene.away_ms, lambda n=backend.number: self.revive(n))  # type: ignore[misc]
        for look in self.seen:
            look(self.clock.now)
        self.clock.after(100.0, self._look)

    def play(self) -> None:
        scene = self.scene
        self.clock.after(1000.0, self._load)
        self.clock.after(100.0, self._look)
        killed = self.chance.sample(range(scene.backends), round(scene.killed * scene.backends))
        for number in killed:
            self.clock.at(scene.kill_at, lambda n=number: self.kill(n))  # type: ignore[misc]
            self.clock.at(scene.return_at, lambda n=number: self.revive(n))  # type: ignore[misc]
        if scene.deploy:
            self._deploy([n for n in range(scene.backends) if n not in killed])
        self.clock.play(scene.end)

    def _deploy(self, others: list[int]) -> None:
        scene = self.scene
        batch = max(1, int(scene.deploy_part * scene.backends))
        groups = [others[i : i + batch] for i in range(0, len(others), batch)]
        step = scene.deploy_ms / max(1, len(groups))
        for i, group in enumerate(groups):
            for number in group:
                self.clock.at(scene.kill_at - 2000.0 + i * step, lambda n=number: self.replace(n))  # type: ignore[misc]

    # What came of it

    def counts(self) -> Counts:
        seconds = int(self.scene.end // 1000) + 1
        c = Counts(
            [0.0] * seconds,
            [0.0] * seconds,
            [[0.0, 0.0] for _ in range(seconds)],
            [[0.0, 0.0] for _ in range(seconds)],
            [0] * seconds,
            [0] * seconds,
        )
        for wish in self.wishes:
            s = int(wish.first // 1000)
            got = (
                wish.benefit
                if wish.served_at is not None and wish.served_at - wish.first <= wish.slo
                else 0.0
            )
            c.asked[s] += wish.benefit
            c.earned[s] += got
            c.wishes[s] += 1
            part = c.deaf if wish.deaf else c.heeding
            part[s][0] += wish.benefit
            part[s][1] += got
        for one in self.tries:
            c.tries[int(one.sent // 1000)] += 1
        return c


def figures(fleet: Fleet) -> dict[str, Any]:
    """Service before, through and after, recovery, tries for a first try."""
    scene, c = fleet.scene, fleet.counts()

    def service(a: float, b: float, rows: list[list[float]] | None = None) -> float:
        lo, hi = int(a // 1000), int(b // 1000)
        if rows is not None:
            asked, earned = sum(r[0] for r in rows[lo:hi]), sum(r[1] for r in rows[lo:hi])
        else:
            asked, earned = sum(c.asked[lo:hi]), sum(c.earned[lo:hi])
        return earned / asked if asked else 0.0

    kill, back, end = scene.kill_at, scene.return_at, scene.end - scene.timeout - 1000.0
    before = service(4000.0, kill)
    recovery = None
    at = back
    while at + 3000.0 <= end:
        if service(at, at + 3000.0) >= 0.9 * before:
            recovery = (at - back) / 1000.0
            break
        at += 1000.0
    lo, hi = int(kill // 1000), int(end // 1000)
    return {
        "before": round(before, 3),
        "away": round(service(kill, back), 3),
        "first_10s": round(service(back, back + 10_000.0), 3),
        "after_20s": round(service(back + min(20_000.0, 0.5 * scene.after_ms), end), 3),
        "recovery_s": recovery,
        "tries_per_first": round(sum(c.tries[lo:hi]) / max(1, sum(c.wishes[lo:hi])), 2),
        "heeding": round(service(kill, end, c.heeding), 3),
        "deaf": round(service(kill, end, c.deaf), 3),
        "rules": dict(fleet.rules.breaks),
        "first_break": fleet.rules.first,
    }
