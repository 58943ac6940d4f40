"""Tests of the rig: the stand-ins behave as specified, and the checkers find injected faults."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner

from rig.__main__ import main
from rig.backend import Backend
from rig.callers import Caller, CallerBehaviour, Request, Try, TryOutcome
from rig.clock import Clock
from rig.experiments import run_experiment, scene_of
from rig.fleet import Fleet, Scene, figures
from rig.machine import Machine, MachineSpec
from rig.rules import Rules

SMALL = Scene(backends=3, callers=6, calm_ms=4000.0, away_ms=2000.0, after_ms=5000.0, killed=0.34, deaf=0.34)


def machine(**changes: object) -> tuple[Clock, Machine]:
    clock = Clock()
    return clock, Machine(clock, replace(MachineSpec(cores=2, reading=10.0), **changes), cold=False)  # type: ignore[arg-type]


def test_a_run_alone_takes_its_work() -> None:
    clock, one = machine()
    ends: list[float] = []
    one.run(100.0, 1.0, lambda: ends.append(clock.now))
    clock.run_until(1000.0)
    assert ends == [pytest.approx(100.0)]


def test_runs_share_the_cores() -> None:
    clock, one = machine(thrash=1.0)
    ends: list[float] = []
    for _ in range(4):
        one.run(100.0, 1.0, lambda: ends.append(clock.now))
    clock.run_until(1000.0)
    assert ends == [pytest.approx(200.0)] * 4


def test_speed_falls_above_the_thrashing_threshold() -> None:
    clock, one = machine(thrash=0.5, thrash_at=1.0)
    ends: list[float] = []
    for _ in range(4):
        one.run(100.0, 1.0, lambda: ends.append(clock.now))
    clock.run_until(2000.0)
    assert ends[0] > 250.0


def test_each_core_reads_one_at_a_time() -> None:
    clock, one = machine()
    ends: list[float] = []
    for _ in range(4):
        one.read(lambda: ends.append(clock.now))
    clock.run_until(1000.0)
    assert ends == [pytest.approx(at) for at in (10.0, 10.0, 20.0, 20.0)]


def test_a_cancelled_run_frees_its_cores() -> None:
    clock, one = machine(cores=1, thrash=1.0)
    ends: list[float] = []
    gone = one.run(100.0, 1.0, lambda: ends.append(-1.0))
    one.run(100.0, 1.0, lambda: ends.append(clock.now))
    clock.call_at(50.0, lambda: one.cancel(gone))
    clock.run_until(1000.0)
    assert ends == [pytest.approx(125.0)]


class Answers:
    """Network double that answers each try after 1 ms with the outcome listed for its backend."""

    def __init__(self, clock: Clock, outcomes: dict[int, tuple[TryOutcome, bool]]) -> None:
        self.clock, self.outcomes = clock, outcomes
        self.sent: list[Try] = []

    def listed_backends(self, caller: Caller) -> list[int]:
        return [0, 1, 2]

    def send(self, one: Try) -> None:
        self.sent.append(one)
        outcome, last = self.outcomes.get(one.backend, (TryOutcome.DENIED, False))
        self.clock.call_later(1.0, lambda: one.caller.receive_answer(one, outcome, 5.0, 0.0, last))


def caller(
    habits: CallerBehaviour, outcomes: dict[int, tuple[TryOutcome, bool]]
) -> tuple[Clock, Answers, Caller, Request]:
    clock = Clock()
    net = Answers(clock, outcomes)
    one = Caller(1, clock, net, habits, 1, lambda _: None, lambda _: None)
    request = Request(1, 0.0, 0, 0, 0.5, 10.0, b"", 100.0, habits.deaf, 1000.0, 500.0, 1.0)
    one.next_position = 0
    return clock, net, one, request


def test_a_caller_tries_each_listed_backend_once() -> None:
    clock, net, one, request = caller(CallerBehaviour(), {})
    one.submit(request)
    clock.run_until(1000.0)
    assert [t.backend for t in net.sent] == [0, 1, 2]
    assert request.is_finished


def test_a_final_denial_stops_a_compliant_caller() -> None:
    clock, net, one, request = caller(CallerBehaviour(), {0: (TryOutcome.DENIED, True)})
    one.submit(request)
    clock.run_until(1000.0)
    assert len(net.sent) == 1


def test_a_noncompliant_caller_retries_until_its_deadline() -> None:
    clock, net, one, request = caller(CallerBehaviour(deaf=True), {0: (TryOutcome.DENIED, True)})
    one.submit(request)
    clock.run_until(2000.0)
    assert len(net.sent) > 100
    assert max(t.sent_at for t in net.sent) < 500.0
    assert len({t.exchange_id for t in net.sent}) == len(net.sent)


def first_try(clock: Clock, caller_: Caller, request: Request) -> Try:
    return Try("x", request, caller_, 0, 0.0, 500.0, 1, arrived_at=0.0)


@pytest.mark.parametrize("bug", ["lost", "late", "twice", "drain", "fall", "stop"])
def test_the_checker_finds_each_injected_violation(bug: str) -> None:
    clock, _, one, request = caller(CallerBehaviour(), {})
    rules, t = Rules(drain_grace_ms=1800.0), first_try(clock, one, request)
    rules.record_read(t, 10.0)
    match bug:
        case "lost":
            rules.check_overdue(600.0)
        case "late":
            rules.record_answer(t, TryOutcome.DENIED, 600.0)
        case "twice":
            rules.record_answer(t, TryOutcome.DENIED, 20.0)
            t.outcome = TryOutcome.DENIED
            rules.record_answer(t, TryOutcome.COMPLETED, 30.0)
        case "drain":
            t.arrived_at = 2000.0
            rules.record_run_start(t, 2001.0, drain_requested_at=100.0)
        case "fall":
            rules.record_collapse(0, 50.0)
        case "stop":
            rules.record_stop([t])
    wanted = {"late": "lost", "stop": "lost"}.get(bug, bug)
    assert rules.violations == {"lost": 0, "twice": 0, "drain": 0, "fall": 0} | {wanted: 1}
    assert rules.first_violation is not None and rules.first_violation.startswith(wanted)


def test_the_checker_reports_nothing_when_the_rules_hold() -> None:
    clock, _, one, request = caller(CallerBehaviour(), {})
    rules, t = Rules(drain_grace_ms=1800.0), first_try(clock, one, request)
    rules.record_read(t, 10.0)
    rules.record_run_start(t, 20.0, drain_requested_at=None)
    rules.record_answer(t, TryOutcome.COMPLETED, 500.0)
    rules.check_overdue(10_000.0)
    assert not any(rules.violations.values())


def test_a_second_answer_in_a_fleet_run_is_found() -> None:
    fleet = Fleet(SMALL, seed=1)
    faulty_backend = fleet.backends[0]
    assert isinstance(faulty_backend, Backend)
    answer = faulty_backend._answer

    def twice(outcome: object) -> None:
        answer(outcome)  # type: ignore[arg-type]
        answer(outcome)  # type: ignore[arg-type]

    faulty_backend._answer = twice  # type: ignore[method-assign, assignment]
    fleet.run()
    assert fleet.rules.violations["twice"] > 0


def test_the_same_seed_gives_the_same_trace() -> None:
    def trace(seed: int) -> list[tuple[str, float, str | None]]:
        fleet = Fleet(SMALL, seed)
        fleet.run()
        return [(t.exchange_id, t.sent_at, t.outcome.name if t.outcome else None) for t in fleet.tries]

    assert trace(3) == trace(3) != trace(4)


def test_a_storm_that_does_not_end_without_the_estimate_ends_with_it() -> None:
    """Three of five backends remain and 60% of the callers ignore backpressure: a metastable overload that
    persists after its cause has gone."""
    scene = Scene(backends=5, callers=15, deaf=0.6, killed=0.4, after_ms=20_000.0, timeout=4500.0, slo=1800.0)
    without, with_it = Fleet(replace(scene, repeats=None), 2), Fleet(scene, 2)
    without.run()
    with_it.run()
    off, on = figures(without), figures(with_it)
    assert off["recovery_s"] is None
    assert on["recovery_s"] is not None and on["recovery_s"] < 15.0
    assert on["heeding"] > off["heeding"], "compliant callers get better service too"
    assert not any(on["rules"].values())


def test_play_prints_one_object_with_figures_and_rules_as_its_last_line() -> None:
    result = CliRunner().invoke(main, ["play", "storm", "--quick", "--seed", "2"])
    assert result.exit_code == 0
    told = json.loads(result.stdout.splitlines()[-1])
    assert told["experiment"] == "storm" and told["seed"] == 2 and told["incomplete"] is None
    assert set(told["rules"].values()) == {0}
    assert {"recovery_s", "service_in_storm", "tries_per_first", "estimate_error"} <= set(told["figures"])
    assert told["figures"]["estimate_error"] < 0.10
    assert told["figures"]["wrongly_deaf"] == 0


@pytest.mark.parametrize("name", ["calm", "coach-party"])
def test_no_false_alarm_without_retries(name: str) -> None:
    one = run_experiment(name, 1, scene_of(name, quick=True))
    assert one.figures["false_alarm_s"] == 0.0
    assert not any(one.rules.values())


def test_a_violated_rule_makes_play_exit_with_1_and_report_the_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        Rules, "record_answer", lambda self, one, *_: self._record_violation("twice", self.describe(one))
    )
    result = CliRunner().invoke(main, ["play", "calm", "--quick"])
    assert result.exit_code == 1
    assert "twice: try" in result.stderr


def test_compare_keeps_results_and_the_chart_can_be_drawn_again(tmp_path: Path) -> None:
    out = tmp_path / "kept"
    result = CliRunner().invoke(
        main, ["compare", "storm", "--quick", "--seeds", "1", "--jobs", "1", "--out", str(out)]
    )
    assert result.exit_code == 0, result.output
    assert {file.name for file in out.iterdir()} == {"result.json", "table.md", "chart.png"}
    (out / "chart.png").unlink()
    assert CliRunner().invoke(main, ["chart", str(out)]).exit_code == 0
    assert (out / "chart.png").stat().st_size > 10_000


def test_a_rolling_deploy_in_a_storm_keeps_the_rules() -> None:
    one = run_experiment("storm-deploy", 3, scene_of("storm-deploy", quick=True))
    assert not any(one.rules.values()), one.first_break
