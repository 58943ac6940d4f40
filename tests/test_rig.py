"""The rig: its stand-ins keep to what they say, and its checkers find what is planted."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner

from rig.__main__ import main
from rig.callers import Caller, Habits, Said, Try, Wish
from rig.clock import Clock
from rig.experiments import play, scene_of
from rig.fleet import Fleet, Scene, figures
from rig.machine import Build, Machine
from rig.rules import Rules

SMALL = Scene(backends=3, callers=6, calm_ms=4000.0, away_ms=2000.0, after_ms=5000.0, killed=0.34, deaf=0.34)


def machine(**changes: object) -> tuple[Clock, Machine]:
    clock = Clock()
    return clock, Machine(clock, replace(Build(cores=2, reading=10.0), **changes), cold=False)  # type: ignore[arg-type]


def test_a_run_alone_takes_its_work() -> None:
    clock, one = machine()
    ends: list[float] = []
    one.run(100.0, 1.0, lambda: ends.append(clock.now))
    clock.play(1000.0)
    assert ends == [pytest.approx(100.0)]


def test_runs_and_readings_share_the_cores() -> None:
    clock, one = machine(thrash=1.0)
    ends: list[float] = []
    for _ in range(4):
        one.run(100.0, 1.0, lambda: ends.append(clock.now))
    clock.play(1000.0)
    assert ends == [pytest.approx(200.0)] * 4


def test_past_the_crowd_less_gets_done() -> None:
    clock, one = machine(thrash=0.5, thrash_at=1.0)
    ends: list[float] = []
    for _ in range(4):
        one.run(100.0, 1.0, lambda: ends.append(clock.now))
    clock.play(2000.0)
    assert ends[0] > 250.0


def test_each_core_reads_one_at_a_time() -> None:
    clock, one = machine()
    ends: list[float] = []
    for _ in range(4):
        one.read(lambda: ends.append(clock.now))
    clock.play(1000.0)
    assert ends == [pytest.approx(at) for at in (10.0, 10.0, 20.0, 20.0)]


def test_a_halted_run_leaves_the_cores_to_the_others() -> None:
    clock, one = machine(cores=1, thrash=1.0)
    ends: list[float] = []
    gone = one.run(100.0, 1.0, lambda: ends.append(-1.0))
    one.run(100.0, 1.0, lambda: ends.append(clock.now))
    clock.at(50.0, lambda: one.halt(gone))
    clock.play(1000.0)
    assert ends == [pytest.approx(125.0)]


class Answers:
    """Plays backends by hand: each try is answered at once with what `say` makes of it."""

    def __init__(self, clock: Clock, say: dict[int, tuple[Said, bool]]) -> None:
        self.clock, self.say = clock, say
        self.sent: list[Try] = []

    def listed(self, caller: Caller) -> list[int]:
        return [0, 1, 2]

    def send(self, one: Try) -> None:
        self.sent.append(one)
        said, last = self.say.get(one.backend, (Said.DENIED, False))
        self.clock.after(1.0, lambda: one.caller.heard(one, said, 5.0, 0.0, last))


def caller(habits: Habits, say: dict[int, tuple[Said, bool]]) -> tuple[Clock, Answers, Caller, Wish]:
    clock = Clock()
    net = Answers(clock, say)
    one = Caller(1, clock, net, habits, 1, lambda _: None, lambda _: None)
    wish = Wish(1, 0.0, 0, 0, 0.5, 10.0, b"", 100.0, habits.deaf, 1000.0, 500.0, 1.0)
    one.next = 0
    return clock, net, one, wish


def test_a_caller_walks_its_list_and_ends_with_it() -> None:
    clock, net, one, wish = caller(Habits(), {})
    one.ask(wish)
    clock.play(1000.0)
    assert [t.backend for t in net.sent] == [0, 1, 2]
    assert wish.over


def test_a_final_denial_ends_the_walk_of_one_that_heeds() -> None:
    clock, net, one, wish = caller(Habits(), {0: (Said.DENIED, True)})
    one.ask(wish)
    clock.play(1000.0)
    assert len(net.sent) == 1


def test_a_deaf_caller_goes_round_until_its_time_is_over() -> None:
    clock, net, one, wish = caller(Habits(deaf=True), {0: (Said.DENIED, True)})
    one.ask(wish)
    clock.play(2000.0)
    assert len(net.sent) > 100
    assert max(t.sent for t in net.sent) < 500.0
    assert len({t.ident for t in net.sent}) == len(net.sent)


def tried(clock: Clock, caller_: Caller, wish: Wish) -> Try:
    return Try("x", wish, caller_, 0, 0.0, 500.0, 1, reached=0.0)


@pytest.mark.parametrize("bug", ["lost", "late", "twice", "drain", "fall", "stop"])
def test_the_checker_finds_each_planted_break(bug: str) -> None:
    clock, _, one, wish = caller(Habits(), {})
    rules, t = Rules(grace=1800.0), tried(clock, one, wish)
    rules.read(t, 10.0)
    match bug:
        case "lost":
            rules.look(600.0)
        case "late":
            rules.answered(t, Said.DENIED, 600.0)
        case "twice":
            rules.answered(t, Said.DENIED, 20.0)
            t.answered = Said.DENIED
            rules.answered(t, Said.COMPLETED, 30.0)
        case "drain":
            t.reached = 2000.0
            rules.launched(t, 2001.0, notice=100.0)
        case "fall":
            rules.fell(0, 50.0)
        case "stop":
            rules.stopped([t])
    wanted = {"late": "lost", "stop": "lost"}.get(bug, bug)
    assert rules.breaks == {"lost": 0, "twice": 0, "drain": 0, "fall": 0} | {wanted: 1}
    assert rules.first is not None and rules.first.startswith(wanted)


def test_the_checker_is_silent_on_what_keeps_the_rules() -> None:
    clock, _, one, wish = caller(Habits(), {})
    rules, t = Rules(grace=1800.0), tried(clock, one, wish)
    rules.read(t, 10.0)
    rules.launched(t, 20.0, notice=None)
    rules.answered(t, Said.COMPLETED, 500.0)
    rules.look(10_000.0)
    assert not any(rules.breaks.values())


def test_a_program_that_answers_twice_is_found_in_a_played_fleet() -> None:
    fleet = Fleet(SMALL, seed=1)
    hurt = fleet.backends[0]
    answer = hurt._answer

    def twice(said: object) -> None:
        answer(said)  # type: ignore[arg-type]
        answer(said)  # type: ignore[arg-type]

    hurt._answer = twice  # type: ignore[method-assign]
    fleet.play()
    assert fleet.rules.breaks["twice"] > 0


def test_the_same_seed_plays_the_same_fleet() -> None:
    def trace(seed: int) -> list[tuple[str, float, str | None]]:
        fleet = Fleet(SMALL, seed)
        fleet.play()
        return [(t.ident, t.sent, t.answered.name if t.answered else None) for t in fleet.tries]

    assert trace(3) == trace(3) != trace(4)


def test_a_storm_that_does_not_end_without_the_estimate_ends_with_it() -> None:
    """Three of five backends left, six tenths of the callers deaf: the state that its cause no longer holds
    up."""
    scene = Scene(backends=5, callers=15, deaf=0.6, killed=0.4, after_ms=20_000.0, timeout=4500.0, slo=1800.0)
    without, with_it = Fleet(replace(scene, repeats=None), 2), Fleet(scene, 2)
    without.play()
    with_it.play()
    off, on = figures(without), figures(with_it)
    assert off["recovery_s"] is None
    assert on["recovery_s"] is not None and on["recovery_s"] < 15.0
    assert on["heeding"] > off["heeding"], "those that heed gain as well"
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
def test_no_false_alarm_without_repeats(name: str) -> None:
    one = play(name, 1, scene_of(name, quick=True))
    assert one.figures["false_alarm_s"] == 0.0
    assert not any(one.rules.values())


def test_a_broken_rule_ends_play_with_1_and_its_first_case(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Rules, "answered", lambda self, one, *_: self._broken("twice", self.story(one)))
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
    one = play("storm-deploy", 3, scene_of("storm-deploy", quick=True))
    assert not any(one.rules.values()), one.first_break
