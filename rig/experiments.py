"""The experiments, how one is run, and the figures of a run."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from rig.callers import CallerBehaviour
from rig.fleet import Fleet, Scene, figures
from rig.ground_truth import GroundTruth

Progress = Callable[[float], None]
CALM = Scene(killed=0.0, deaf=0.0, after_ms=23_000.0)


@dataclass(frozen=True)
class Experiment:
    """An experiment as `rig list` names it."""

    description: str
    scene: Scene
    storm: bool = True  # backends are killed, so there is a recovery
    real: bool = False  # always with real processes, as it tests sockets


EXPERIMENTS = {
    "storm": Experiment("a fifth of the backends are killed and come back cold", Scene(killed=0.2)),
    "storm-deploy": Experiment(
        "the same while a rolling deploy replaces the others, a fifth at a time",
        Scene(killed=0.2, deploy=True),
    ),
    "storm-deaf": Experiment(
        "the same, and 60% of the callers ignore backpressure", Scene(killed=0.2, deaf=0.6)
    ),
    "storm-patient": Experiment(
        "as storm-deaf with SLO time 1.8 s and async timeout 4.5 s: retries go on for longer",
        Scene(killed=0.2, deaf=0.6, slo=1800.0, timeout=4500.0),
    ),
    "storm-short": Experiment(
        "as storm-deaf, but noncompliant callers time out after 1 s per try, which hides their retries",
        Scene(killed=0.2, deaf=0.6, deaf_habits=CallerBehaviour(deaf=True, patience=1000.0)),
    ),
    "reconnect": Experiment(
        "as storm, and 400 connections open at once to each restarted backend (real processes)",
        Scene(killed=0.2, crowd=400),
        real=True,
    ),
    "calm": Experiment("no fault; all callers respect backpressure", CALM, storm=False),
    "coach-party": Experiment(
        "bursts of 1.6 times the load, half for five popular subjects; all callers respect backpressure",
        replace(CALM, burst=1.6, party=0.5, load=0.6),
        storm=False,
    ),
}


@dataclass
class ExperimentResult:
    """Result of one run. Field names are written to result.json."""

    experiment: str
    seed: int
    parameters: dict[str, Any]
    figures: dict[str, float | None]
    rules: dict[str, int]
    first_break: str | None
    series: dict[str, list[float]]
    latency_ms: dict[str, float]
    took_s: float
    incomplete: str | None = None

    def line(self) -> dict[str, Any]:
        """Returns the last line of `rig play`."""
        return {
            "experiment": self.experiment,
            "seed": self.seed,
            "figures": self.figures,
            "rules": self.rules,
            "incomplete": self.incomplete,
        }


def scene_of(name: str, off: str | None = None, quick: bool = False, **changes: Any) -> Scene:
    """Returns the scene of an experiment, without subsystem `off` and with the changes that are not None."""
    scene = EXPERIMENTS[name].scene
    if quick:
        scene = replace(
            scene,
            backends=min(scene.backends, 5),
            callers=min(scene.callers, 15),
            after_ms=min(scene.after_ms, 22_000.0),
        )
        if scene.killed:
            scene = replace(scene, killed=0.4)
    scene = replace(scene, **{key: value for key, value in changes.items() if value is not None})
    without: dict[str, Any] = {off: None} if off else {}
    return replace(scene, **without)


def ideal_service(scene: Scene) -> float:
    """Returns the service of an ideal fleet with the remaining backends.

    It reads each request once and serves those with the most benefit for their work.
    """
    remaining = 1.0 - round(scene.killed * scene.backends) / scene.backends
    work = sum(g.share * g.work for g in scene.groups)
    reading = scene.build.reading / work
    capacity = max(0.0, remaining / scene.load - reading)  # as a share of the requested work
    asked = sum(g.share * g.benefit for g in scene.groups)
    earned = 0.0
    for g in sorted(scene.groups, key=lambda g: -g.benefit / g.work):
        served_share = min(1.0, capacity / (g.share * g.work / work))
        earned += served_share * g.share * g.benefit
        capacity -= served_share * g.share * g.work / work
    return earned / asked


def run_experiment(
    name: str, seed: int, scene: Scene, progress: Progress = lambda _: None, real: bool = False
) -> ExperimentResult:
    """Runs an experiment on the virtual clock, or with real processes on loopback."""
    began = time.perf_counter()
    fleet: Fleet
    real = real or EXPERIMENTS[name].real
    if real:
        from rig.processes.fleet import (
            RealFleet,  # imports sockets and process control, which virtual runs do without
        )

        fleet = RealFleet(scene, seed)
    else:
        fleet = Fleet(scene, seed)
    ground_truth = GroundTruth(fleet)
    fleet.on_sample.append(lambda now: progress(now / scene.end))
    fleet.run()
    found = figures(fleet)
    rules, first = found.pop("rules"), found.pop("first_break")
    if EXPERIMENTS[name].storm:
        found["service_in_storm"] = round(found["away"] / ideal_service(scene), 3)
    else:
        for key in ("away", "first_10s", "after_20s", "recovery_s", "deaf"):
            found.pop(key)
    incomplete = None
    if real:
        assert isinstance(fleet, RealFleet)
        found |= fleet.usage()
        incomplete = fleet.incomplete()
        found["storm_lines"] = float(fleet.log().count("a storm of repeats begins"))
    elif scene.repeats is not None:
        found |= ground_truth.figures()
    counts = fleet.counts()
    times = HdrHistogram(1, 60_000, 3)
    for request in fleet.requests:
        if request.served_at is not None:
            times.record_value(max(1, round(request.served_at - request.created_at)))
    return ExperimentResult(
        name,
        seed,
        asdict(scene),
        found,
        rules,
        first,
        {
            "asked": counts.asked,
            "earned": counts.earned,
            "wishes": [float(n) for n in counts.requests],
            "tries": [float(n) for n in counts.tries],
        },
        {f"p{p:g}": float(times.get_value_at_percentile(p)) for p in (50.0, 90.0, 99.0)},
        round(time.perf_counter() - began, 2),
        incomplete,
    )
