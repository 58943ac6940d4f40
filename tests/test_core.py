"""The core actor without sockets: one answer to each exchange, timers, the agent, drain, shared results."""

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


def test_the_result_of_a_run_is_answered_once() -> None:
    play = Play()
    play.ask("aa", 0.0)
    assert play.commands(Launch) == [Launch("aa", "group", b"body")]
    play.turn(50.0, RunEnded("aa", Outcome.OK, 50.0, b"result"), RunEnded("aa", Outcome.OK, 50.0, b"again"))
    assert [(a.verdict, a.result) for a in play.answers] == [(Verdict.COMPLETED, b"result")]
    assert not play.core.entries_by_id and not play.core.entries_by_exchange and play.core.unanswered == 0


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.CANCELLED, Outcome.MOOT])
def test_a_run_without_a_result_is_answered_as_terminated(outcome: Outcome) -> None:
    play = Play()
    play.ask("aa", 0.0)
    play.turn(50.0, RunEnded("aa", outcome, 50.0, b""))
    assert [a.verdict for a in play.answers] == [Verdict.TERMINATED] and not play.core.entries_by_id


def test_time_before_the_actor_handles_an_exchange_counts_as_waited() -> None:
    play = Play()
    play.ask("aa", 700.0, reached=200.0, wait=1000.0)
    (ex,) = play.core.entries_by_exchange
    assert ex.waited == 500.0 and ex.left == 500.0


def test_a_clock_that_steps_back_does_not_turn_the_controller_back() -> None:
    play = Play()
    play.turn(5000.0)
    play.ask("aa", 100.0, reached=4990.0)
    assert play.core.now == 5000.0 and play.core.controller and play.core.controller.now == 5000.0


def test_exchanges_are_answered_in_time_while_the_agent_is_silent() -> None:
    play = Play()
    play.ask("aa", 0.0, wait=1000.0)
    for now in range(10, 1001, 10):
        play.turn(float(now))
        if play.answers:
            break
    assert now < 1000 and play.answers[0].verdict is not Verdict.COMPLETED
    assert play.commands(Freeze) == [Freeze("aa")]
    play.turn(1100.0, RunEnded("aa", Outcome.CANCELLED, 1090.0, b""))
    assert len(play.answers) == 1 and not play.core.entries_by_id


def test_gauges_trigger_the_sampling_tick_which_late_gauges_do_not_delay() -> None:
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


def test_entries_in_doubt_are_settled_after_the_reports_that_a_reconnection_brings() -> None:
    play = Play(group(), group(kind=Kind.MUTATING))
    play.ask("aa", 0.0)
    play.ask("bb", 0.0, group=1)
    play.turn(10.0, Parted(End.RESET))
    play.ask("cc", 20.0, group=1)
    play.ask("dd", 20.0)
    play.turn(30.0, Greeted(False, 30.0), RunEnded("aa", Outcome.OK, 5.0, b"r"))
    assert len(play.commands(Launch)) == 2
    play.turn(40.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    # aa has ended; bb is mutating and may have run; cc and dd were never sent.
    assert [c.ident for c in play.commands(Launch)] == ["aa", "bb", "cc", "dd"]


@pytest.mark.parametrize("end", list(End))
def test_a_mutating_start_is_not_sent_again_whatever_closed_the_connection(end: End) -> None:
    play = Play(group(kind=Kind.MUTATING))
    play.ask("aa", 0.0)
    play.turn(10.0, Parted(end))
    play.turn(20.0, Greeted(False, 20.0))
    play.turn(30.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert len(play.commands(Launch)) == 1


def test_a_sample_of_an_earlier_connection_settles_nothing() -> None:
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


def test_a_cancel_command_that_found_no_connection_is_sent_after_reconnection() -> None:
    play = Play()
    play.ask("aa", 0.0, wait=500.0)
    play.turn(10.0, Parted(End.SILENT))
    play.turn(450.0)
    play.turn(500.0, Greeted(False, 500.0))
    play.turn(501.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert len(play.answers) == 1 and play.commands(Freeze) == [Freeze("aa")]


@pytest.mark.parametrize("kind", list(Kind))
@pytest.mark.parametrize("connected", [True, False])
def test_a_start_command_lost_with_its_connection_frees_its_capacity(kind: Kind, connected: bool) -> None:
    """The agent does not report the cancellation of an execution that it never started."""
    play = Play(group(kind=kind))
    if not connected:
        play.turn(0.0, Parted(End.RESET))
    play.ask("aa", 1.0, wait=500.0)
    if connected:
        play.turn(2.0, Parted(End.RESET))
        play.turn(450.0)
        assert len(play.answers) == 1
    play.turn(500.0, Greeted(False, 500.0))
    for now in (501.0, 601.0, 701.0):
        play.turn(now)
        play.turn(now + 1.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert len(play.answers) == 1 and not play.core.entries_by_id and not play.core.entries_in_doubt
    assert play.core.controller and not play.core.controller.running


def test_commands_that_the_agent_has_received_are_not_in_doubt() -> None:
    play = Play()
    play.ask("aa", 0.0)
    play.turn(100.0)
    play.turn(101.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    play.ask("bb", 102.0)
    play.turn(110.0, Parted(End.RESET))
    play.turn(120.0, Greeted(False, 120.0))
    play.turn(121.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert [c.ident for c in play.commands(Launch)] == ["aa", "bb", "bb"]


def test_nothing_runs_before_the_agent_has_connected() -> None:
    play = Play(greeted=False)
    play.ask("aa", 0.0)
    assert [a.verdict for a in play.answers] == [Verdict.TERMINATED] and play.core.board.well


def test_warmth_starts_from_what_the_agent_reports_when_it_connects() -> None:
    play = Play(greeted=False)
    play.turn(1000.0, Greeted(True, 600.0))
    controller = play.core.controller
    assert (
        controller
        and controller.machine_started_at == 400.0
        and controller.initial_warmth == 0.2
        and play.health == [True]
    )


def test_an_abandoned_exchange_gets_no_answer_and_its_run_is_cancelled() -> None:
    play = Play()
    ticket = play.ask("aa", 0.0)
    play.turn(10.0, CallersLeft([ticket]))
    assert play.commands(Freeze) == [Freeze("aa")] and play.core.unanswered == 0
    play.turn(20.0, RunEnded("aa", Outcome.CANCELLED, 10.0, b""))
    assert not play.answers and not play.core.entries_by_id


def test_an_identifier_in_use_starts_no_second_run() -> None:
    play = Play()
    play.ask("aa", 0.0)
    play.ask("aa", 1.0)
    assert len(play.commands(Launch)) == 1 and not play.answers
    play.turn(9.0, RunEnded("aa", Outcome.OK, 9.0, b""))
    assert [a.verdict for a in play.answers] == [Verdict.COMPLETED, Verdict.TERMINATED]
    assert not play.core.entries_by_id and not play.core.entries_with_conflicts and play.core.unanswered == 0


def test_the_genuine_one_of_two_with_an_identifier_is_served_whichever_came_first() -> None:
    play = Play()
    first = play.ask("aa", 0.0, body=b"forged")
    second = play.ask("aa", 1.0)
    play.turn(5.0, RunEnded("aa", Outcome.MOOT, 0.0, b"", refused=True))
    play.turn(6.0, RunEnded("aa", Outcome.OK, 1.0, b"result"))
    assert [(a.ticket, a.verdict) for a in play.answers] == [
        (first, Verdict.TERMINATED),
        (second, Verdict.COMPLETED),
    ]


def test_a_conflict_with_an_exchange_that_the_agent_runs_is_rejected_soon() -> None:
    play = Play()
    play.ask("aa", 0.0)
    late = play.ask("aa", 1.0, body=b"forged")
    gone = play.ask("aa", 2.0, body=b"forged")
    play.turn(3.0, CallersLeft([gone]))
    play.turn(100.0)
    play.turn(101.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert {a.ticket for a in play.answers} == {late, gone} and "aa" in play.core.entries_by_id
    again = play.ask("aa", 102.0, body=b"forged")
    assert play.answers[-1].ticket is again and play.core.unanswered == 1


def test_a_conflicting_request_is_answered_within_a_second_and_before_the_stop() -> None:
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
def test_a_start_command_that_was_never_sent_is_sent_after_reconnection(first: bool) -> None:
    play = Play(group(kind=Kind.MUTATING))
    play.ask("aa", 0.0)
    events = [Parted(End.SILENT), Unsent(["aa", "gone"])]
    play.turn(10.0, *(events if first else reversed(events)))
    play.turn(20.0, Greeted(False, 20.0))
    play.turn(30.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert [c.ident for c in play.commands(Launch)] == ["aa", "aa"]


def test_tick_hooks_run_before_the_agent_has_connected_as_well() -> None:
    play, ticks = Play(greeted=False), []
    play.core.on_beat.append(ticks.append)
    play.turn(100.0)
    play.turn(250.0)
    assert len(ticks) == 2
    play.turn(260.0, Greeted(False, 1.0))
    play.turn(340.0)
    assert len(ticks) == 2


def test_an_exchange_leaves_no_reference_cycle() -> None:
    play = Play()
    play.ask("aa", 0.0)
    (ex,) = play.core.entries_by_exchange
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


def test_a_drain_makes_the_backend_unhealthy_once_and_answers_all_before_the_stop() -> None:
    play = Play()
    stopped: list[Any] = []
    play.core.on_shut.append(lambda: stopped.append(1))
    for i in range(6):
        play.ask(f"a{i}", 0.0)
    play.turn(10.0, Leave(10.0))
    play.turn(20.0, Leave(20.0))
    assert stopped == [] and play.health[-1] is False and play.core.stop_at == 3210.0
    play.ask("soon", 800.0, reached=800.0)
    assert "soon" in play.core.entries_by_id and not play.core.board.shut
    play.ask("late", 2500.0, reached=2500.0)
    assert stopped == [1] and play.core.board.shut
    assert play.answers[-1].verdict is Verdict.DENIED and "late" not in play.core.entries_by_id
    for now in range(2500, 3210, 50):
        play.turn(float(now))
    assert play.core.unanswered == 0


def test_a_drain_counts_from_its_signal_and_not_from_the_handling_of_its_message() -> None:
    """The signal comes at 100 ms and is handled at 700 ms, which delays neither the end of the grace period
    of 1,000 ms nor the stop."""
    play = Play()
    play.turn(700.0, Leave(100.0))
    assert play.core.stop_at == 3300.0
    play.ask("within", 980.0, reached=980.0)
    play.ask("beyond", 1150.0, reached=1150.0)
    assert [c.ident for c in play.commands(Launch)] == ["within"] and play.core.board.shut
    assert play.answers[-1].verdict is Verdict.DENIED


def test_an_agent_that_connects_during_a_drain_neither_extends_it_nor_makes_the_backend_healthy() -> None:
    play = Play(greeted=False)
    play.turn(0.0, Leave(0.0))
    play.turn(900.0, Greeted(True, 10.0))
    play.ask("in", 905.0, reached=700.0)
    play.ask("late", 1500.0, reached=1500.0)
    assert [c.ident for c in play.commands(Launch)] == ["in"] and not any(play.health)
    assert [(a.ticket.ident, a.verdict) for a in play.answers] == [("late", Verdict.DENIED)]
    assert play.core.stop_at == 3200.0 and not play.core.board.well


def test_a_restart_of_the_agent_ends_what_ran_and_starts_from_a_cold_machine() -> None:
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
    # cc was never sent, so it runs now; bb may have taken effect, so its retry does not run.
    assert [c.ident for c in play.commands(Launch)] == ["aa", "bb", "cc"]
    assert "dd" not in play.core.entries_by_id
    controller = play.core.controller
    assert controller and controller.machine_started_at == 280.0 and controller.warmth() < 0.25


def test_reads_of_the_same_subject_share_a_result_while_it_is_fresh() -> None:
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
    assert not play.core.cache.entries and not play.core.entries_by_id and play.core.cache.size_bytes == 0


@pytest.mark.parametrize("seed", range(12))
def test_each_exchange_gets_one_answer_in_time_under_random_events(seed: int) -> None:
    rng = random.Random(seed)
    play = Play(group(), group(kind=Kind.MUTATING), share_for=rng.choice([0.0, 500.0]), cores=2)
    requests: dict[str, Any] = {}
    answered_at: dict[str, float] = {}
    gone: set[str] = set()
    running: dict[str, float] = {}
    launched: list[str] = []
    connected, now, read = True, 0.0, 0
    while now < 14_000.0:
        now += rng.choice([1.0, 5.0, 20.0])
        events: list[Any] = []
        before = len(play.answers)
        if now < 9000.0 and rng.random() < 0.15:
            ident = f"{len(requests):x}"
            about = rng.choice(["", "stop 1", "stop 2"])
            requests[ident] = play.ask(
                ident,
                now,
                group=rng.randrange(2),
                about=about,
                reached=now - 3.0,
                wait=rng.choice([0.0, 40.0, 300.0, 2000.0, 4000.0]),
                kb=60.0,
            )
        if rng.random() < 0.02:
            connected = not connected
            events.append(Greeted(False, now) if connected else Parted(rng.choice(list(End))))
        for command in play.commanded[read:] if connected else []:
            if isinstance(command, Launch) and command.ident not in running:
                launched.append(command.ident)
                running[command.ident] = now + rng.choice([10.0, 200.0, 200.0, 1e9])
            elif isinstance(command, Freeze) and running.pop(command.ident, None):
                events.append(RunEnded(command.ident, Outcome.CANCELLED, 1.0, b""))
            elif isinstance(command, Sample) and rng.random() < 0.8:
                events.append(Sampled(command.tag, Gauges(1.0, 3.0, 0.2, 4.0)))
        read = len(play.commanded)
        for ident in [i for i, end in running.items() if end <= now and connected]:
            del running[ident]
            end = rng.choice([Outcome.OK, Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.CANCELLED])
            events += [RunEnded(ident, end, 10.0, b"r")] * rng.choice([1, 1, 2])
        if requests and rng.random() < 0.01:
            ident = rng.choice(list(requests))
            gone.add(ident)
            events.append(CallersLeft([requests[ident]]))
        if now > 9000.0 and play.core.stop_at is None:
            events.append(Leave(now))
        play.turn(now, *events)
        for answer in play.answers[before:]:
            assert answer.ticket.ident not in answered_at, "two answers"
            answered_at[answer.ticket.ident] = now
            if answer.ticket.group == 1 and answer.ticket.ident in launched:
                assert answer.verdict is not Verdict.DENIED
    for ident, ticket in requests.items():
        at = answered_at.get(ident)
        assert at is not None or ident in gone
        assert at is None or at <= ticket.reached + ticket.wait + 25.0
    mutating = [i for i in launched if requests[i].group == 1]
    assert len(mutating) == len(set(mutating)) and len(requests) > 50 and play.core.unanswered == 0
