"""The core actor without sockets: one answer to each exchange, timers, the agent, drain, shared results."""

from __future__ import annotations

import gc
import random
import weakref
from typing import Any

import pytest
from helpers import CoreHarness, group

from myrtlecrank.core.connection_errors import CloseReason
from myrtlecrank.core.messages import (
    AgentConnected,
    AgentDisconnected,
    CancelRun,
    CommandsNotSent,
    DrainRequested,
    ExchangesAbandoned,
    GaugesSampled,
    RunEnded,
    SampleGauges,
    StartRun,
    Verdict,
)
from myrtlecrank.policy.interface import EffectKind, Gauges, Outcome


def test_the_result_of_a_run_is_answered_once() -> None:
    harness = CoreHarness()
    harness.submit("aa", 0.0)
    assert harness.commands(StartRun) == [StartRun("aa", "group", b"body")]
    harness.process_batch(
        50.0, RunEnded("aa", Outcome.OK, 50.0, b"result"), RunEnded("aa", Outcome.OK, 50.0, b"again")
    )
    assert [(a.verdict, a.result) for a in harness.answers] == [(Verdict.COMPLETED, b"result")]
    assert (
        not harness.core.entries_by_id
        and not harness.core.entries_by_exchange
        and harness.core.unanswered == 0
    )


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.CANCELLED, Outcome.NOT_STARTED])
def test_a_run_without_a_result_is_answered_as_terminated(outcome: Outcome) -> None:
    harness = CoreHarness()
    harness.submit("aa", 0.0)
    harness.process_batch(50.0, RunEnded("aa", outcome, 50.0, b""))
    assert [a.verdict for a in harness.answers] == [Verdict.TERMINATED] and not harness.core.entries_by_id


def test_time_before_the_actor_handles_an_exchange_counts_as_waited() -> None:
    harness = CoreHarness()
    harness.submit("aa", 700.0, arrived_at=200.0, caller_timeout=1000.0)
    (ex,) = harness.core.entries_by_exchange
    assert ex.read_delay == 500.0 and ex.remaining_time == 500.0


def test_a_clock_that_steps_back_does_not_turn_the_controller_back() -> None:
    harness = CoreHarness()
    harness.process_batch(5000.0)
    harness.submit("aa", 100.0, arrived_at=4990.0)
    assert harness.core.now == 5000.0 and harness.core.controller and harness.core.controller.now == 5000.0


def test_exchanges_are_answered_in_time_while_the_agent_is_silent() -> None:
    harness = CoreHarness()
    harness.submit("aa", 0.0, caller_timeout=1000.0)
    for now in range(10, 1001, 10):
        harness.process_batch(float(now))
        if harness.answers:
            break
    assert now < 1000 and harness.answers[0].verdict is not Verdict.COMPLETED
    assert harness.commands(CancelRun) == [CancelRun("aa")]
    harness.process_batch(1100.0, RunEnded("aa", Outcome.CANCELLED, 1090.0, b""))
    assert len(harness.answers) == 1 and not harness.core.entries_by_id


def test_gauges_trigger_the_sampling_tick_which_late_gauges_do_not_delay() -> None:
    harness = CoreHarness()
    controller = harness.core.controller
    assert controller
    harness.process_batch(100.0)
    (sample,) = harness.commands(SampleGauges)
    assert controller.samples == 0
    harness.process_batch(104.0, GaugesSampled(sample.tag, Gauges(0.5)))
    assert controller.samples == 1 and harness.core.alarm_due == 200.0
    harness.process_batch(200.0)
    harness.process_batch(300.0)
    assert controller.samples == 2
    harness.process_batch(301.0, GaugesSampled(harness.commands(SampleGauges)[1].tag, Gauges(0.5)))
    assert controller.samples == 2


def test_entries_in_doubt_are_settled_after_the_reports_that_a_reconnection_brings() -> None:
    harness = CoreHarness(group(), group(kind=EffectKind.MUTATING))
    harness.submit("aa", 0.0)
    harness.submit("bb", 0.0, group=1)
    harness.process_batch(10.0, AgentDisconnected(CloseReason.RESET_BY_PEER))
    harness.submit("cc", 20.0, group=1)
    harness.submit("dd", 20.0)
    harness.process_batch(30.0, AgentConnected(False, 30.0), RunEnded("aa", Outcome.OK, 5.0, b"r"))
    assert len(harness.commands(StartRun)) == 2
    harness.process_batch(40.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    # aa has ended; bb is mutating and may have run; cc and dd were never sent.
    assert [c.exchange_id for c in harness.commands(StartRun)] == ["aa", "bb", "cc", "dd"]


@pytest.mark.parametrize("reason", list(CloseReason))
def test_a_mutating_start_is_not_sent_again_whatever_closed_the_connection(reason: CloseReason) -> None:
    harness = CoreHarness(group(kind=EffectKind.MUTATING))
    harness.submit("aa", 0.0)
    harness.process_batch(10.0, AgentDisconnected(reason))
    harness.process_batch(20.0, AgentConnected(False, 20.0))
    harness.process_batch(30.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    assert len(harness.commands(StartRun)) == 1


def test_a_sample_of_an_earlier_connection_settles_nothing() -> None:
    harness = CoreHarness()
    harness.submit("aa", 0.0)
    harness.process_batch(10.0, AgentDisconnected(CloseReason.RESET_BY_PEER))
    harness.process_batch(20.0, AgentConnected(False, 20.0))
    old = harness.commands(SampleGauges)[-1].tag
    harness.process_batch(30.0, AgentDisconnected(CloseReason.RESET_BY_PEER), GaugesSampled(old, Gauges()))
    harness.process_batch(40.0, AgentConnected(False, 40.0), GaugesSampled(old, Gauges()))
    assert len(harness.commands(StartRun)) == 1
    harness.process_batch(50.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    assert len(harness.commands(StartRun)) == 2


def test_a_cancel_command_that_found_no_connection_is_sent_after_reconnection() -> None:
    harness = CoreHarness()
    harness.submit("aa", 0.0, caller_timeout=500.0)
    harness.process_batch(10.0, AgentDisconnected(CloseReason.UNRESPONSIVE))
    harness.process_batch(450.0)
    harness.process_batch(500.0, AgentConnected(False, 500.0))
    harness.process_batch(501.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    assert len(harness.answers) == 1 and harness.commands(CancelRun) == [CancelRun("aa")]


@pytest.mark.parametrize("kind", list(EffectKind))
@pytest.mark.parametrize("connected", [True, False])
def test_a_start_command_lost_with_its_connection_frees_its_capacity(
    kind: EffectKind, connected: bool
) -> None:
    """The agent does not report the cancellation of an execution that it never started."""
    harness = CoreHarness(group(kind=kind))
    if not connected:
        harness.process_batch(0.0, AgentDisconnected(CloseReason.RESET_BY_PEER))
    harness.submit("aa", 1.0, caller_timeout=500.0)
    if connected:
        harness.process_batch(2.0, AgentDisconnected(CloseReason.RESET_BY_PEER))
        harness.process_batch(450.0)
        assert len(harness.answers) == 1
    harness.process_batch(500.0, AgentConnected(False, 500.0))
    for now in (501.0, 601.0, 701.0):
        harness.process_batch(now)
        harness.process_batch(now + 1.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    assert len(harness.answers) == 1 and not harness.core.entries_by_id and not harness.core.entries_in_doubt
    assert harness.core.controller and not harness.core.controller.running


def test_commands_that_the_agent_has_received_are_not_in_doubt() -> None:
    harness = CoreHarness()
    harness.submit("aa", 0.0)
    harness.process_batch(100.0)
    harness.process_batch(101.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    harness.submit("bb", 102.0)
    harness.process_batch(110.0, AgentDisconnected(CloseReason.RESET_BY_PEER))
    harness.process_batch(120.0, AgentConnected(False, 120.0))
    harness.process_batch(121.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    assert [c.exchange_id for c in harness.commands(StartRun)] == ["aa", "bb", "bb"]


def test_nothing_runs_before_the_agent_has_connected() -> None:
    harness = CoreHarness(agent_connected=False)
    harness.submit("aa", 0.0)
    assert [a.verdict for a in harness.answers] == [Verdict.TERMINATED] and harness.core.published.healthy


def test_warmth_starts_from_what_the_agent_reports_when_it_connects() -> None:
    harness = CoreHarness(agent_connected=False)
    harness.process_batch(1000.0, AgentConnected(True, 600.0))
    controller = harness.core.controller
    assert (
        controller
        and controller.machine_started_at == 400.0
        and controller.initial_warmth == 0.2
        and harness.health == [True]
    )


def test_an_abandoned_exchange_gets_no_answer_and_its_run_is_cancelled() -> None:
    harness = CoreHarness()
    request = harness.submit("aa", 0.0)
    harness.process_batch(10.0, ExchangesAbandoned([request]))
    assert harness.commands(CancelRun) == [CancelRun("aa")] and harness.core.unanswered == 0
    harness.process_batch(20.0, RunEnded("aa", Outcome.CANCELLED, 10.0, b""))
    assert not harness.answers and not harness.core.entries_by_id


def test_an_identifier_in_use_starts_no_second_run() -> None:
    harness = CoreHarness()
    harness.submit("aa", 0.0)
    harness.submit("aa", 1.0)
    assert len(harness.commands(StartRun)) == 1 and not harness.answers
    harness.process_batch(9.0, RunEnded("aa", Outcome.OK, 9.0, b""))
    assert [a.verdict for a in harness.answers] == [Verdict.COMPLETED, Verdict.TERMINATED]
    assert (
        not harness.core.entries_by_id and not harness.core.conflicts.waiting and harness.core.unanswered == 0
    )


def test_the_genuine_one_of_two_with_an_identifier_is_served_whichever_came_first() -> None:
    harness = CoreHarness()
    first = harness.submit("aa", 0.0, body=b"forged")
    second = harness.submit("aa", 1.0)
    harness.process_batch(5.0, RunEnded("aa", Outcome.NOT_STARTED, 0.0, b"", refused=True))
    harness.process_batch(6.0, RunEnded("aa", Outcome.OK, 1.0, b"result"))
    assert [(a.request, a.verdict) for a in harness.answers] == [
        (first, Verdict.TERMINATED),
        (second, Verdict.COMPLETED),
    ]


def test_a_conflict_with_an_exchange_that_the_agent_runs_is_rejected_soon() -> None:
    harness = CoreHarness()
    harness.submit("aa", 0.0)
    late = harness.submit("aa", 1.0, body=b"forged")
    gone = harness.submit("aa", 2.0, body=b"forged")
    harness.process_batch(3.0, ExchangesAbandoned([gone]))
    harness.process_batch(100.0)
    harness.process_batch(101.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    assert {a.request for a in harness.answers} == {late, gone} and "aa" in harness.core.entries_by_id
    again = harness.submit("aa", 102.0, body=b"forged")
    assert harness.answers[-1].request is again and harness.core.unanswered == 1


def test_a_conflicting_request_is_answered_within_a_second_and_before_the_stop() -> None:
    harness = CoreHarness(cores=1)
    harness.submit("zz", 0.0)
    harness.submit("aa", 0.0)
    harness.submit("aa", 1.0)
    harness.process_batch(990.0)
    assert not harness.answers
    harness.process_batch(1001.0)
    assert len(harness.answers) == 1 and harness.core.unanswered == 2
    harness.process_batch(1100.0, DrainRequested(1100.0))
    harness.submit("zz", 4100.0, caller_timeout=9000.0)
    harness.process_batch(4101.0)
    assert harness.core.unanswered == 0


@pytest.mark.parametrize("first", [True, False])
def test_a_start_command_that_was_never_sent_is_sent_after_reconnection(first: bool) -> None:
    harness = CoreHarness(group(kind=EffectKind.MUTATING))
    harness.submit("aa", 0.0)
    unsent = [StartRun(exchange_id, "group", b"body") for exchange_id in ("aa", "gone")]
    events = [AgentDisconnected(CloseReason.UNRESPONSIVE), CommandsNotSent([*unsent])]
    harness.process_batch(10.0, *(events if first else reversed(events)))
    harness.process_batch(20.0, AgentConnected(False, 20.0))
    harness.process_batch(30.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    assert [c.exchange_id for c in harness.commands(StartRun)] == ["aa", "aa"]


def test_tick_hooks_run_before_the_agent_has_connected_as_well() -> None:
    harness, ticks = CoreHarness(agent_connected=False), []
    harness.core.on_tick.append(ticks.append)
    harness.process_batch(100.0)
    harness.process_batch(250.0)
    assert len(ticks) == 2
    harness.process_batch(260.0, AgentConnected(False, 1.0))
    harness.process_batch(340.0)
    assert len(ticks) == 2


def test_an_exchange_leaves_no_reference_cycle() -> None:
    harness = CoreHarness()
    harness.submit("aa", 0.0)
    (ex,) = harness.core.entries_by_exchange
    state = weakref.ref(ex.controller_state)
    harness.process_batch(9.0, RunEnded("aa", Outcome.OK, 9.0, b""))
    del ex
    assert harness.core.controller
    harness.core.controller.timers.clear()
    gc.disable()
    try:
        assert state() is None
    finally:
        gc.enable()


def test_a_drain_makes_the_backend_unhealthy_once_and_answers_all_before_the_stop() -> None:
    harness = CoreHarness()
    stopped: list[Any] = []
    harness.core.on_stop_accepting.append(lambda: stopped.append(1))
    for i in range(6):
        harness.submit(f"a{i}", 0.0)
    harness.process_batch(10.0, DrainRequested(10.0))
    harness.process_batch(20.0, DrainRequested(20.0))
    assert stopped == [] and harness.health[-1] is False and harness.core.stop_at == 3210.0
    harness.submit("soon", 800.0, arrived_at=800.0)
    assert "soon" in harness.core.entries_by_id and not harness.core.published.stopped_accepting
    harness.submit("late", 2500.0, arrived_at=2500.0)
    assert stopped == [1] and harness.core.published.stopped_accepting
    assert harness.answers[-1].verdict is Verdict.DENIED and "late" not in harness.core.entries_by_id
    for now in range(2500, 3210, 50):
        harness.process_batch(float(now))
    assert harness.core.unanswered == 0


def test_a_drain_counts_from_its_signal_and_not_from_the_handling_of_its_message() -> None:
    """The signal comes at 100 ms and is handled at 700 ms, which delays neither the end of the grace period
    of 1,000 ms nor the stop."""
    harness = CoreHarness()
    harness.process_batch(700.0, DrainRequested(100.0))
    assert harness.core.stop_at == 3300.0
    harness.submit("within", 980.0, arrived_at=980.0)
    harness.submit("beyond", 1150.0, arrived_at=1150.0)
    assert [c.exchange_id for c in harness.commands(StartRun)] == [
        "within"
    ] and harness.core.published.stopped_accepting
    assert harness.answers[-1].verdict is Verdict.DENIED


def test_an_agent_that_connects_during_a_drain_neither_extends_it_nor_makes_the_backend_healthy() -> None:
    harness = CoreHarness(agent_connected=False)
    harness.process_batch(0.0, DrainRequested(0.0))
    harness.process_batch(900.0, AgentConnected(True, 10.0))
    harness.submit("in", 905.0, arrived_at=700.0)
    harness.submit("late", 1500.0, arrived_at=1500.0)
    assert [c.exchange_id for c in harness.commands(StartRun)] == ["in"] and not any(harness.health)
    assert [(a.request.exchange_id, a.verdict) for a in harness.answers] == [("late", Verdict.DENIED)]
    assert harness.core.stop_at == 3200.0 and not harness.core.published.healthy


def test_a_restart_of_the_agent_ends_what_ran_and_starts_from_a_cold_machine() -> None:
    harness = CoreHarness(group(), group(kind=EffectKind.DEDUPLICATED))
    harness.submit("aa", 0.0)
    harness.submit("bb", 0.0, group=1, result_key="k")
    harness.process_batch(100.0)
    harness.process_batch(101.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    harness.process_batch(200.0, AgentDisconnected(CloseReason.RESET_BY_PEER))
    harness.submit("cc", 210.0)
    harness.process_batch(300.0, AgentConnected(True, 20.0, restarted=True))
    assert {a.request.exchange_id for a in harness.answers} == {"aa", "bb"}
    harness.process_batch(301.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    harness.submit("dd", 310.0, group=1, result_key="k")
    harness.process_batch(311.0)
    # cc was never sent, so it runs now; bb may have taken effect, so its retry does not run.
    assert [c.exchange_id for c in harness.commands(StartRun)] == ["aa", "bb", "cc"]
    assert "dd" not in harness.core.entries_by_id
    controller = harness.core.controller
    assert controller and controller.machine_started_at == 280.0 and controller.warmth() < 0.25


def test_reads_of_the_same_subject_share_a_result_while_it_is_fresh() -> None:
    harness = CoreHarness(shared_result_lifetime=1000.0)
    harness.submit("aa", 0.0, result_key="stop 7")
    harness.submit("bb", 10.0, result_key="stop 7")
    harness.process_batch(50.0, RunEnded("aa", Outcome.OK, 50.0, b"result"))
    harness.submit("cc", 60.0, result_key="stop 7")
    harness.process_batch(61.0)
    assert [a.result for a in harness.answers] == [b"result"] * 3 and len(harness.commands(StartRun)) == 1
    harness.submit("dd", 1100.0, result_key="stop 7")
    assert len(harness.commands(StartRun)) == 2
    harness.process_batch(1150.0, RunEnded("dd", Outcome.ERROR, 50.0, b""))
    harness.process_batch(9000.0)
    assert (
        not harness.core.cache.entries
        and not harness.core.entries_by_id
        and harness.core.cache.size_bytes == 0
    )


@pytest.mark.parametrize("seed", range(12))
def test_each_exchange_gets_one_answer_in_time_under_random_events(seed: int) -> None:
    rng = random.Random(seed)
    harness = CoreHarness(
        group(), group(kind=EffectKind.MUTATING), shared_result_lifetime=rng.choice([0.0, 500.0]), cores=2
    )
    requests: dict[str, Any] = {}
    answered_at: dict[str, float] = {}
    gone: set[str] = set()
    running: dict[str, float] = {}
    launched: list[str] = []
    connected, now, read = True, 0.0, 0
    while now < 14_000.0:
        now += rng.choice([1.0, 5.0, 20.0])
        events: list[Any] = []
        before = len(harness.answers)
        if now < 9000.0 and rng.random() < 0.15:
            exchange_id = f"{len(requests):x}"
            about = rng.choice(["", "stop 1", "stop 2"])
            requests[exchange_id] = harness.submit(
                exchange_id,
                now,
                group=rng.randrange(2),
                result_key=about,
                arrived_at=now - 3.0,
                caller_timeout=rng.choice([0.0, 40.0, 300.0, 2000.0, 4000.0]),
                kb=60.0,
            )
        if rng.random() < 0.02:
            connected = not connected
            events.append(
                AgentConnected(False, now) if connected else AgentDisconnected(rng.choice(list(CloseReason)))
            )
        for command in harness.sent_commands[read:] if connected else []:
            if isinstance(command, StartRun) and command.exchange_id not in running:
                launched.append(command.exchange_id)
                running[command.exchange_id] = now + rng.choice([10.0, 200.0, 200.0, 1e9])
            elif isinstance(command, CancelRun) and running.pop(command.exchange_id, None):
                events.append(RunEnded(command.exchange_id, Outcome.CANCELLED, 1.0, b""))
            elif isinstance(command, SampleGauges) and rng.random() < 0.8:
                events.append(GaugesSampled(command.tag, Gauges(1.0, 3.0, 0.2, 4.0)))
        read = len(harness.sent_commands)
        for exchange_id in [i for i, end in running.items() if end <= now and connected]:
            del running[exchange_id]
            end = rng.choice([Outcome.OK, Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.CANCELLED])
            events += [RunEnded(exchange_id, end, 10.0, b"r")] * rng.choice([1, 1, 2])
        if requests and rng.random() < 0.01:
            exchange_id = rng.choice(list(requests))
            gone.add(exchange_id)
            events.append(ExchangesAbandoned([requests[exchange_id]]))
        if now > 9000.0 and harness.core.stop_at is None:
            events.append(DrainRequested(now))
        harness.process_batch(now, *events)
        for answer in harness.answers[before:]:
            assert answer.request.exchange_id not in answered_at, "two answers"
            answered_at[answer.request.exchange_id] = now
            if answer.request.group == 1 and answer.request.exchange_id in launched:
                assert answer.verdict is not Verdict.DENIED
    for exchange_id, request in requests.items():
        at = answered_at.get(exchange_id)
        assert at is not None or exchange_id in gone
        assert at is None or at <= request.arrived_at + request.caller_timeout + 25.0
    mutating = [i for i in launched if requests[i].group == 1]
    assert len(mutating) == len(set(mutating)) and len(requests) > 50 and harness.core.unanswered == 0
