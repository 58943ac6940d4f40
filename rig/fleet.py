"""A virtual fleet: backends, the membership list as callers see it, callers, load, faults and the figures."""

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
from rig.backend_stand_in import BackendStandIn
from rig.callers import Caller, CallerBehaviour, Request, Try
from rig.clock import Clock
from rig.machine import MachineSpec
from rig.rules import Rules

BUILD = MachineSpec()
COMPLIANT = CallerBehaviour()
NONCOMPLIANT = CallerBehaviour(deaf=True)
RETRY_OPTIONS = RetryOptions()
ACCEPTING = AcceptRateOptions()

SAMPLING_INTERVAL_MS = 100.0
LIST_CACHE_MS = 50.0  # a caller's view of the list is computed at most this often
LOAD_START_MS = 1000.0
BURST_EVERY_MS = 10_000.0
BURST_MS = 4000.0
DEPLOY_LEAD_MS = 2000.0  # a rolling deploy begins this long before the kill
REPORT_INTERVAL_MS = 800.0  # a killed backend sent its last report at most this long ago
POPULAR_SUBJECTS = 5
RECOVERY_WINDOW_MS = 3000.0
RECOVERED_SHARE = 0.9  # of the service before the fault


@dataclass(frozen=True)
class Group:
    """An endpoint group. `work` is the mean in ms, `cv` its coefficient of variation."""

    name: str
    share: float
    benefit: float
    late_benefit: float
    work: float = 300.0
    cv: float = 0.6


@dataclass(frozen=True)
class Scene:
    """Parameters of an experiment. Times in ms. Field names are written to result.json."""

    backends: int = 8
    callers: int = 24
    load: float = 0.72  # requested work over the capacity of the cores, without reads
    deaf: float = 0.3  # share of the callers that ignore backpressure
    slo: float = 1000.0
    timeout: float = 2500.0
    groups: tuple[Group, ...] = (Group("stop", 0.65, 1.0, 0.2), Group("tour", 0.35, 3.0, 0.0))
    tenants: int = 6
    build: MachineSpec = BUILD
    calm_ms: float = 15_000.0  # before the first fault
    away_ms: float = 7000.0
    after_ms: float = 35_000.0  # from the return of the killed backends
    killed: float = 0.25  # share of the backends
    deploy: bool = False  # a rolling deploy replaces all others around the time of the kill
    deploy_part: float = 0.18
    deploy_ms: float = 25_000.0
    burst: float = 1.0  # load factor in bursts of BURST_MS every BURST_EVERY_MS
    party: float = 0.0  # share of the requests for a popular subject
    grace: float = 1800.0
    stop_ms: float = 3200.0
    lapse_ms: float = 3000.0  # an entry expires from the list this long after its last report
    seen_late: tuple[float, float] = (1000.0, 2000.0)  # range of delays until a caller sees a list change
    habits: CallerBehaviour = COMPLIANT
    deaf_habits: CallerBehaviour = NONCOMPLIANT
    replace_in_ms: float = 500.0
    repeats: RetryOptions | None = RETRY_OPTIONS  # None: the program without its retry estimator
    accepting: AcceptRateOptions | None = ACCEPTING  # None: connections are accepted without a rate limit
    crowd: int = 0  # connections opened at once to a restarted backend; real processes only

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
        """Returns the mean rate of requests."""
        work = sum(group.share * group.work for group in self.groups)
        return self.load * self.backends * self.build.cores * self.build.speed * 1000.0 / work

    def controller_settings(self, seed: int) -> interface.ControllerSettings:
        """Returns the settings with which a backend of this fleet starts."""
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
    """Requested and earned benefit, requests and tries, by the second in which each request began."""

    asked: list[float] = field(default_factory=list)
    earned: list[float] = field(default_factory=list)
    heeding: list[list[float]] = field(default_factory=list)  # asked, earned
    deaf: list[list[float]] = field(default_factory=list)
    requests: list[int] = field(default_factory=list)
    tries: list[int] = field(default_factory=list)


class Fleet:
    """Backends and callers on one clock, and the faults of a scene."""

    def __init__(
        self,
        scene: Scene,
        seed: int,
        with_core: Callable[[Core], None] = lambda _: None,
        clock: Clock | None = None,
    ) -> None:
        self.scene, self.seed, self.with_core = scene, seed, with_core
        self.clock = clock or Clock()
        self.random = random.Random(f"fleet {seed}")
        self.rules = Rules(scene.grace)
        self.tries: list[Try] = []
        self.requests: list[Request] = []
        self.backends: list[BackendStandIn] = []
        self.listing_history: list[list[tuple[float, bool]]] = [[] for _ in range(scene.backends)]
        self.start_count = 0
        self.on_sample: list[Callable[[float], None]] = []  # called every SAMPLING_INTERVAL_MS
        self.on_read: list[Callable[[Try], None]] = []
        for number in range(scene.backends):
            self.listing_history[number].append((-1e9, True))
            self.backends.append(self._start(number, cold=False))
        delays = random.Random(f"delays {seed}")
        self.list_delays_ms = [delays.uniform(*scene.seen_late) for _ in range(scene.callers)]
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
        # By caller: the list as it sees it, and when that was computed.
        self.list_cache: dict[int, tuple[float, list[int]]] = {}
        self.popular_subjects = [
            (
                self.random.random(),
                self.random.uniform(10.0, 50.0),
                f"popular {i}".encode(),
                self.random.randrange(scene.tenants),
            )
            for i in range(POPULAR_SUBJECTS)
        ]

    # The membership list

    def report_membership(self, number: int, on: bool) -> None:
        """Adds a backend to the list or removes it."""
        self.listing_history[number].append((self.clock.now, on))

    def listed_backends(self, caller: Caller) -> list[int]:
        """Returns the list as a caller sees it, with that caller's delay."""
        then = self.clock.now - self.list_delays_ms[caller.number]
        cached_at, known = self.list_cache.get(caller.number, (-1.0, []))
        if self.clock.now - cached_at < LIST_CACHE_MS:
            return known
        known = [
            n
            for n, history in enumerate(self.listing_history)
            if next((on for at, on in reversed(history) if at <= then), False)
        ]
        self.list_cache[caller.number] = (self.clock.now, known)
        return known

    def send(self, one: Try) -> None:
        """Carries a try to its backend."""
        self.clock.call_later(
            BackendStandIn.NETWORK_DELAY_MS, lambda: self.backends[one.backend].receive_try(one)
        )

    # Backends

    def _start(self, number: int, cold: bool) -> BackendStandIn:
        self.start_count += 1
        return Backend(
            number,
            self.clock,
            self.scene.controller_settings(self.seed * 1000 + self.start_count),
            self.scene.build,
            self.rules,
            cold,
            self.scene.stop_ms,
            self.report_membership,
            self.scene.repeats,
            self.with_core,
            self._read,
        )

    def _read(self, one: Try) -> None:
        for hook in self.on_read:
            hook(one)

    def kill(self, number: int) -> None:
        """Kills a backend; its entry on the list expires later."""
        self.backends[number].kill()
        at = self.clock.now + self.scene.lapse_ms - self.random.uniform(0.0, REPORT_INTERVAL_MS)

        def lapse() -> None:
            if not self.backends[number].alive:
                self.report_membership(number, False)

        self.clock.call_at(at, lapse)

    def revive(self, number: int) -> None:
        """Starts a cold backend in place of one that has ended."""
        if not self.backends[number].alive:
            self.backends[number] = self._start(number, cold=True)
            self.report_membership(number, True)

    def replace(self, number: int) -> None:
        """Replaces a backend as a rolling deploy does: drain request, stop, cold successor."""
        backend = self.backends[number]
        if not backend.alive or backend.drain_requested_at is not None:
            return
        backend.request_drain()
        self.clock.call_later(self.scene.stop_ms + self.scene.replace_in_ms, lambda: self.revive(number))

    # The load

    def _start_load(self) -> None:
        scene = self.scene
        arrivals_per_ms = scene.per_second() / 1000.0
        weights = [g.share for g in scene.groups]
        arrivals = random.Random(f"load {self.seed}")
        sigma = [sqrt(log(1.0 + g.cv**2)) for g in scene.groups]

        def arrive() -> None:
            now = self.clock.now
            group = arrivals.choices(range(len(scene.groups)), weights)[0]
            s = sigma[group]
            work = scene.groups[group].work * arrivals.lognormvariate(-s * s / 2.0, s)
            caller = self.callers[arrivals.randrange(scene.callers)]
            number = len(self.requests)
            rank = arrivals.random()
            memory_kb = arrivals.uniform(8.0, 59.0)
            body = b"subject %d" % number
            tenant = arrivals.randrange(scene.tenants) if scene.tenants else 0
            if arrivals.random() < scene.party:
                rank, memory_kb, body, tenant = self.popular_subjects[
                    arrivals.randrange(len(self.popular_subjects))
                ]
            request = Request(
                number,
                now,
                group,
                tenant,
                rank,
                memory_kb,
                body,
                work,
                caller.behaviour.deaf,
                scene.slo,
                now + scene.timeout,
                scene.groups[group].benefit,
            )
            self.requests.append(request)
            caller.submit(request)
            burst = scene.burst if now % BURST_EVERY_MS < BURST_MS and now > scene.calm_ms else 1.0
            due[0] += arrivals.expovariate(arrivals_per_ms * burst)
            self.clock.call_at(due[0], arrive)

        # Each arrival counts from the due time of the one before: a late callback must not lower the load.
        due = [self.clock.now + arrivals.expovariate(arrivals_per_ms)]
        self.clock.call_at(due[0], arrive)

    def _sample(self) -> None:
        self.rules.check_overdue(self.clock.now)
        for backend in self.backends:
            if backend.alive and backend.machine.has_collapsed:
                self.rules.record_collapse(backend.number, self.clock.now)
                self.kill(backend.number)
                self.clock.call_later(self.scene.away_ms, lambda n=backend.number: self.revive(n))  # type: ignore[misc]
        for hook in self.on_sample:
            hook(self.clock.now)
        self.clock.call_later(SAMPLING_INTERVAL_MS, self._sample)

    def run(self) -> None:
        """Runs the scene to its end."""
        scene = self.scene
        self.clock.call_later(LOAD_START_MS, self._start_load)
        self.clock.call_later(SAMPLING_INTERVAL_MS, self._sample)
        killed = self.random.sample(range(scene.backends), round(scene.killed * scene.backends))
        for number in killed:
            self.clock.call_at(scene.kill_at, lambda n=number: self.kill(n))  # type: ignore[misc]
            self.clock.call_at(scene.return_at, lambda n=number: self.revive(n))  # type: ignore[misc]
        if scene.deploy:
            self._deploy([n for n in range(scene.backends) if n not in killed])
        self.clock.run_until(scene.end)

    def _deploy(self, others: list[int]) -> None:
        scene = self.scene
        batch = max(1, int(scene.deploy_part * scene.backends))
        groups = [others[i : i + batch] for i in range(0, len(others), batch)]
        step = scene.deploy_ms / max(1, len(groups))
        for i, group in enumerate(groups):
            for number in group:
                start = scene.kill_at - DEPLOY_LEAD_MS + i * step
                self.clock.call_at(start, lambda n=number: self.replace(n))  # type: ignore[misc]

    # Figures

    def counts(self) -> Counts:
        """Returns the counts of all requests and tries so far."""
        seconds = int(self.scene.end // 1000) + 1
        counts = Counts(
            [0.0] * seconds,
            [0.0] * seconds,
            [[0.0, 0.0] for _ in range(seconds)],
            [[0.0, 0.0] for _ in range(seconds)],
            [0] * seconds,
            [0] * seconds,
        )
        for request in self.requests:
            s = int(request.created_at // 1000)
            earned = (
                request.benefit
                if request.served_at is not None and request.served_at - request.created_at <= request.slo
                else 0.0
            )
            counts.asked[s] += request.benefit
            counts.earned[s] += earned
            counts.requests[s] += 1
            part = counts.deaf if request.ignores_backpressure else counts.heeding
            part[s][0] += request.benefit
            part[s][1] += earned
        for one in self.tries:
            counts.tries[int(one.sent_at // 1000)] += 1
        return counts


def figures(fleet: Fleet) -> dict[str, Any]:
    """Returns the figures of a run: service before, during and after the fault, recovery and retries."""
    scene, counts = fleet.scene, fleet.counts()

    def service(a: float, b: float, rows: list[list[float]] | None = None) -> float:
        lo, hi = int(a // 1000), int(b // 1000)
        if rows is not None:
            asked, earned = sum(r[0] for r in rows[lo:hi]), sum(r[1] for r in rows[lo:hi])
        else:
            asked, earned = sum(counts.asked[lo:hi]), sum(counts.earned[lo:hi])
        return earned / asked if asked else 0.0

    kill, back, end = scene.kill_at, scene.return_at, scene.end - scene.timeout - 1000.0
    before = service(4000.0, kill)
    recovery = None
    at = back
    while at + RECOVERY_WINDOW_MS <= end:
        if service(at, at + RECOVERY_WINDOW_MS) >= RECOVERED_SHARE * before:
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
        "tries_per_first": round(sum(counts.tries[lo:hi]) / max(1, sum(counts.requests[lo:hi])), 2),
        "heeding": round(service(kill, end, counts.heeding), 3),
        "deaf": round(service(kill, end, counts.deaf), 3),
        "rules": dict(fleet.rules.violations),
        "first_break": fleet.rules.first_violation,
    }
