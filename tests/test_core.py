"""The module's actor, without sockets: one answer to each exchange, timers, links, drain, repeats."""

from __future__ import annotations

import gc
import random
import weakref
from typing import Any

import pytest
from helpers import Play, group

from myrtlecrank.core.connection_errors import End
from myrtlecrank.core.messages import (
    CallersLeft,
    Freeze,
    Greeted,
    Launch,
    Leave,
    Parted,
    RunEnded,
    Sample,
    Sampled,
    Unsent,
    Verdict,
)
from myrtlecrank.policy.interface import Gauges, Kind, Outcome


def test_a_run_brings_its_result_to_the_caller_once() -> None:
    play = Play()
    play.ask("aa", 0.0)
    assert play.commands(Launch) == [Launch("aa", "group", b"body")]
    play.turn(50.0, RunEnded("aa", Outcome.OK, 50.0, b"result"), RunEnded("aa", Outcome.OK, 50.0, b"again"))
    assert [(a.verdict, a.result) for a in play.answers] == [(Verdict.COMPLETED, b"result")]
    assert not play.core.table and not play.core.entries and play.core.unanswered == 0


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.CANCELLED, Outcome.MOOT])
def test_a_run_without_a_result_is_answered_too(outcome: Outcome) -> None:
    play = Play()
    play.ask("aa", 0.0)
    play.turn(50.0, RunEnded("aa", outcome, 50.0, b""))
    assert [a.verdict for a in play.answers] == [Verdict.TERMINATED] and not play.core.table


def test_time_on_the_way_to_the_module_counts_as_waited() -> None:
    play = Play()
    play.ask("aa", 700.0, reached=200.0, wait=1000.0)
    (ex,) = play.core.entries
    assert ex.waited == 500.0 and ex.left == 500.0


def test_a_clock_that_steps_back_does_not_turn_the_module_back() -> None:
    play = Play()
    play.turn(5000.0)
    play.ask("aa", 100.0, reached=4990.0)
    assert play.core.now == 5000.0 and play.core.controller and play.core.controller.now == 5000.0


def test_due_times_hold_while_the_agent_is_silent() -> None:
    play = Play()
    play.ask("aa", 0.0, wait=1000.0)
    for now in range(10, 1001, 10):
        play.turn(float(now))
        if play.answers:
            break
    assert now < 1000 and play.answers[0].verdict is not Verdict.COMPLETED
    assert play.commands(Freeze) == [Freeze("aa")]
    play.turn(1100.0, RunEnded("aa", Outcome.CANCELLED, 1090.0, b""))
    assert len(play.answers) == 1 and not play.core.table


def test_gauges_are_the_beat_and_late_ones_do_not_hold_it_up() -> None:
    play = Play()
    controller = play.core.controller
    assert controller
    play.turn(100.0)
    (sample,) = play.commands(Sample)
    assert controller.samples == 0
    play.turn(104.0, Sampled(sample.tag, Gauges(0.5)))
    assert controller.samples == 1 and play.core.alarm_due == 200.0
    play.turn(200.0)
    play.turn(300.0)
    assert controller.samples == 2
    play.turn(301.0, Sampled(play.commands(Sample)[1].tag, Gauges(0.5)))
    assert controller.samples == 2


def test_what_a_lost_link_leaves_in_doubt_is_settled_after_the_missed_notices() -> None:
    play = Play(group(), group(kind=Kind.MUTATING))
    play.ask("aa", 0.0)
    play.ask("bb", 0.0, group=1)
    play.turn(10.0, Parted(End.RESET))
    play.ask("cc", 20.0, group=1)
    play.ask("dd", 20.0)
    play.turn(30.0, Greeted(False, 30.0), RunEnded("aa", Outcome.OK, 5.0, b"r"))
    assert len(play.commands(Launch)) == 2
    play.turn(40.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    # aa has ended; bb may have run and has an effect; cc and dd never left.
    assert [c.ident for c in play.commands(Launch)] == ["aa", "bb", "cc", "dd"]


@pytest.mark.parametrize("end", list(End))
def test_however_a_link_ends_what_was_launched_on_it_may_have_run(end: End) -> None:
    play = Play(group(kind=Kind.MUTATING))
    play.ask("aa", 0.0)
    play.turn(10.0, Parted(end))
    play.turn(20.0, Greeted(False, 20.0))
    play.turn(30.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert len(play.commands(Launch)) == 1


def test_a_sample_of_a_lost_link_settles_nothing() -> None:
    play = Play()
    play.ask("aa", 0.0)
    play.turn(10.0, Parted(End.RESET))
    play.turn(20.0, Greeted(False, 20.0))
    old = play.commands(Sample)[-1].tag
    play.turn(30.0, Parted(End.RESET), Sampled(old, Gauges()))
    play.turn(40.0, Greeted(False, 40.0), Sampled(old, Gauges()))
    assert len(play.commands(Launch)) == 1
    play.turn(50.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert len(play.commands(Launch)) == 2


def test_a_stop_that_found_no_link_is_sent_again() -> None:
    play = Play()
    play.ask("aa", 0.0, wait=500.0)
    play.turn(10.0, Parted(End.SILENT))
    play.turn(450.0)
    play.turn(500.0, Greeted(False, 500.0))
    play.turn(501.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert len(play.answers) == 1 and play.commands(Freeze) == [Freeze("aa")]


@pytest.mark.parametrize("kind", list(Kind))
@pytest.mark.parametrize("linked", [True, False])
def test_a_launch_lost_with_its_link_holds_no_room_for_good(kind: Kind, linked: bool) -> None:
    """The agent says nothing of a stop of a run that it never began."""
    play = Play(group(kind=kind))
    if not linked:
        play.turn(0.0, Parted(End.RESET))
    play.ask("aa", 1.0, wait=500.0)
    if linked:
        play.turn(2.0, Parted(End.RESET))
        play.turn(450.0)
        assert len(play.answers) == 1
    play.turn(500.0, Greeted(False, 500.0))
    for now in (501.0, 601.0, 701.0):
        play.turn(now)
        play.turn(now + 1.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert len(play.answers) == 1 and not play.core.table and not play.core.doubted
    assert play.core.controller and not play.core.controller.running


def test_what_the_agent_has_taken_in_is_in_no_doubt() -> None:
    play = Play()
    play.ask("aa", 0.0)
    play.turn(100.0)
    play.turn(101.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    play.ask("bb", 102.0)
    play.turn(110.0, Parted(End.RESET))
    play.turn(120.0, Greeted(False, 120.0))
    play.turn(121.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert [c.ident for c in play.commands(Launch)] == ["aa", "bb", "bb"]


def test_nothing_runs_before_the_start() -> None:
    play = Play(greeted=False)
    play.ask("aa", 0.0)
    assert [a.verdict for a in play.answers] == [Verdict.TERMINATED] and play.core.board.well


def test_the_greeting_tells_how_warm_the_machine_is() -> None:
    play = Play(greeted=False)
    play.turn(1000.0, Greeted(True, 600.0))
    controller = play.core.controller
    assert (
        controller
        and controller.machine_started_at == 400.0
        and controller.initial_warmth == 0.2
        and play.health == [True]
    )


def test_a_caller_that_left_gets_no_answer_and_its_run_is_stopped() -> None:
    play = Play()
    ticket = play.ask("aa", 0.0)
    play.turn(10.0, CallersLeft([ticket]))
    assert play.commands(Freeze) == [Freeze("aa")] and play.core.unanswered == 0
    play.turn(20.0, RunEnded("aa", Outcome.CANCELLED, 10.0, b""))
    assert not play.answers and not play.core.table


def test_a_name_in_use_starts_no_second_run() -> None:
    play = Play()
    play.ask("aa", 0.0)
    play.ask("aa", 1.0)
    assert len(play.commands(Launch)) == 1 and not play.answers
    play.turn(9.0, RunEnded("aa", Outcome.OK, 9.0, b""))
    assert [a.verdict for a in play.answers] == [Verdict.COMPLETED, Verdict.TERMINATED]
    assert not play.core.table and not play.core.contested and play.core.unanswered == 0


def test_the_real_one_of_two_under_a_name_is_served_whichever_came_first() -> None:
    play = Play()
    first = play.ask("aa", 0.0, body=b"forged")
    second = play.ask("aa", 1.0)
    play.turn(5.0, RunEnded("aa", Outcome.MOOT, 0.0, b"", refused=True))
    play.turn(6.0, RunEnded("aa", Outcome.OK, 1.0, b"result"))
    assert [(a.ticket, a.verdict) for a in play.answers] == [
        (first, Verdict.TERMINATED),
        (second, Verdict.COMPLETED),
    ]


def test_one_under_a_name_that_the_agent_runs_is_turned_away_soon() -> None:
    play = Play()
    play.ask("aa", 0.0)
    late = play.ask("aa", 1.0, body=b"forged")
    gone = play.ask("aa", 2.0, body=b"forged")
    play.turn(3.0, CallersLeft([gone]))
    play.turn(100.0)
    play.turn(101.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert {a.ticket for a in play.answers} == {late, gone} and "aa" in play.core.table
    again = play.ask("aa", 102.0, body=b"forged")
    assert play.answers[-1].ticket is again and play.core.unanswered == 1


def test_one_that_waits_for_its_name_is_answered_before_long_and_before_the_stop() -> None:
    play = Play(cores=1)
    play.ask("zz", 0.0)
    play.ask("aa", 0.0)
    play.ask("aa", 1.0)
    play.turn(990.0)
    assert not play.answers
    play.turn(1001.0)
    assert len(play.answers) == 1 and play.core.unanswered == 2
    play.turn(1100.0, Leave(1100.0))
    play.ask("zz", 4100.0, wait=9000.0)
    play.turn(4101.0)
    assert play.core.unanswered == 0


@pytest.mark.parametrize("first", [True, False])
def test_what_found_no_link_any_more_never_left_and_is_launched_again(first: bool) -> None:
    play = Play(group(kind=Kind.MUTATING))
    play.ask("aa", 0.0)
    letters = [Parted(End.SILENT), Unsent(["aa", "gone"])]
    play.turn(10.0, *(letters if first else reversed(letters)))
    play.turn(20.0, Greeted(False, 20.0))
    play.turn(30.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert [c.ident for c in play.commands(Launch)] == ["aa", "aa"]


def test_connections_are_looked_after_before_the_start_as_well() -> None:
    play, beats = Play(greeted=False), []
    play.core.on_beat.append(beats.append)
    play.turn(100.0)
    play.turn(250.0)
    assert len(beats) == 2
    play.turn(260.0, Greeted(False, 1.0))
    play.turn(340.0)
    assert len(beats) == 2


def test_an_exchange_leaves_nothing_for_the_collector() -> None:
    play = Play()
    play.ask("aa", 0.0)
    (ex,) = play.core.entries
    course = weakref.ref(ex.course)
    play.turn(9.0, RunEnded("aa", Outcome.OK, 9.0, b""))
    del ex
    assert play.core.controller
    play.core.controller.timers.clear()
    gc.disable()
    try:
        assert course() is None
    finally:
        gc.enable()


def test_a_notice_to_leave_turns_health_bad_once_and_all_is_answered_before_the_stop() -> None:
    play = Play()
    left: list[Any] = []
    play.core.on_shut.append(lambda: left.append(1))
    for i in range(6):
        play.ask(f"a{i}", 0.0)
    play.turn(10.0, Leave(10.0))
    play.turn(20.0, Leave(20.0))
    assert left == [] and play.health[-1] is False and play.core.stop_at == 3210.0
    play.ask("soon", 800.0, reached=800.0)
    assert "soon" in play.core.table and not play.core.board.shut
    play.ask("late", 2500.0, reached=2500.0)
    assert left == [1] and play.core.board.shut
    assert play.answers[-1].verdict is Verdict.DENIED and "late" not in play.core.table
    for now in range(2500, 3210, 50):
        play.turn(float(now))
    assert play.core.unanswered == 0


def test_a_notice_that_lay_behind_other_letters_counts_from_when_it_came() -> None:
    """It came at 100 and is read at 700: the grace of 1,000 and the stop do not wait for that."""
    play = Play()
    play.turn(700.0, Leave(100.0))
    assert play.core.stop_at == 3300.0
    play.ask("within", 980.0, reached=980.0)
    play.ask("beyond", 1150.0, reached=1150.0)
    assert [c.ident for c in play.commands(Launch)] == ["within"] and play.core.board.shut
    assert play.answers[-1].verdict is Verdict.DENIED


def test_a_machine_that_comes_up_after_the_notice_gets_no_longer_grace_and_no_good_health() -> None:
    play = Play(greeted=False)
    play.turn(0.0, Leave(0.0))
    play.turn(900.0, Greeted(True, 10.0))
    play.ask("in", 905.0, reached=700.0)
    play.ask("late", 1500.0, reached=1500.0)
    assert [c.ident for c in play.commands(Launch)] == ["in"] and not any(play.health)
    assert [(a.ticket.ident, a.verdict) for a in play.answers] == [("late", Verdict.DENIED)]
    assert play.core.stop_at == 3200.0 and not play.core.board.well


def test_what_ran_on_a_machine_that_began_anew_is_answered_at_once_and_cold_cores_are_spared() -> None:
    play = Play(group(), group(kind=Kind.DEDUPLICATED))
    play.ask("aa", 0.0)
    play.ask("bb", 0.0, group=1, about="k")
    play.turn(100.0)
    play.turn(101.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    play.turn(200.0, Parted(End.RESET))
    play.ask("cc", 210.0)
    play.turn(300.0, Greeted(True, 20.0, anew=True))
    assert {a.ticket.ident for a in play.answers} == {"aa", "bb"}
    play.turn(301.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    play.ask("dd", 310.0, group=1, about="k")
    play.turn(311.0)
    # cc never left, so it runs now; bb may have had its effect, so its repeat does not run.
    assert [c.ident for c in play.commands(Launch)] == ["aa", "bb", "cc"] and "dd" not in play.core.table
    controller = play.core.controller
    assert controller and controller.machine_started_at == 280.0 and controller.warmth() < 0.25


def test_reads_of_the_same_share_a_result_while_it_is_fresh() -> None:
    play = Play(share_for=1000.0)
    play.ask("aa", 0.0, about="stop 7")
    play.ask("bb", 10.0, about="stop 7")
    play.turn(50.0, RunEnded("aa", Outcome.OK, 50.0, b"result"))
    play.ask("cc", 60.0, about="stop 7")
    play.turn(61.0)
    assert [a.result for a in play.answers] == [b"result"] * 3 and len(play.commands(Launch)) == 1
    play.ask("dd", 1100.0, about="stop 7")
    assert len(play.commands(Launch)) == 2
    play.turn(1150.0, RunEnded("dd", Outcome.ERROR, 50.0, b""))
    play.turn(9000.0)
    assert not play.core.kept and not play.core.table and play.core.kept_bytes == 0


@pytest.mark.parametrize("seed", range(12))
def test_whatever_comes_in_whatever_order_each_exchange_gets_one_answer_in_time(seed: int) -> None:
    chance = random.Random(seed)
    play = Play(group(), group(kind=Kind.MUTATING), share_for=chance.choice([0.0, 500.0]), cores=2)
    tickets: dict[str, Any] = {}
    answered_at: dict[str, float] = {}
    gone: set[str] = set()
    running: dict[str, float] = {}
    launched: list[str] = []
    linked, now, read = True, 0.0, 0
    while now < 14_000.0:
        now += chance.choice([1.0, 5.0, 20.0])
        letters: list[Any] = []
        before = len(play.answers)
        if now < 9000.0 and chance.random() < 0.15:
            ident = f"{len(tickets):x}"
            about = chance.choice(["", "stop 1", "stop 2"])
            tickets[ident] = play.ask(
                ident,
                now,
                group=chance.randrange(2),
                about=about,
                reached=now - 3.0,
                wait=chance.choice([0.0, 40.0, 300.0, 2000.0, 4000.0]),
                kb=60.0,
            )
        if chance.random() < 0.02:
            linked = not linked
            letters.append(Greeted(False, now) if linked else Parted(chance.choice(list(End))))
        for command in play.commanded[read:] if linked else []:
            if isinstance(command, Launch) and command.ident not in running:
                launched.append(command.ident)
                running[command.ident] = now + chance.choice([10.0, 200.0, 200.0, 1e9])
            elif isinstance(command, Freeze) and running.pop(command.ident, None):
                letters.append(RunEnded(command.ident, Outcome.CANCELLED, 1.0, b""))
            elif isinstance(command, Sample) and chance.random() < 0.8:
                letters.append(Sampled(command.tag, Gauges(1.0, 3.0, 0.2, 4.0)))
        read = len(play.commanded)
        for ident in [i for i, end in running.items() if end <= now and linked]:
            del running[ident]
            end = chance.choice([Outcome.OK, Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.CANCELLED])
            letters += [RunEnded(ident, end, 10.0, b"r")] * chance.choice([1, 1, 2])
        if tickets and chance.random() < 0.01:
            ident = chance.choice(list(tickets))
            gone.add(ident)
            letters.append(CallersLeft([tickets[ident]]))
        if now > 9000.0 and play.core.stop_at is None:
            letters.append(Leave(now))
        play.turn(now, *letters)
        for answer in play.answers[before:]:
            assert answer.ticket.ident not in answered_at, "two answers"
            answered_at[answer.ticket.ident] = now
            if answer.ticket.group == 1 and answer.ticket.ident in launched:
                assert answer.verdict is not Verdict.DENIED
    for ident, ticket in tickets.items():
        at = answered_at.get(ident)
        assert at is not None or ident in gone
        assert at is None or at <= ticket.reached + ticket.wait + 25.0
    mutating = [i for i in launched if tickets[i].group == 1]
    assert len(mutating) == len(set(mutating)) and len(tickets) > 50 and play.core.unanswered == 0
