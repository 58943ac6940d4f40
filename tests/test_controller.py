"""The decisions without the bench: the four rules, the design's path, and each defence."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import answers, arrive, backend, group, of

from myrtlecrank.policy.controller import CPU_WINDOW_SAMPLES, MIN_WEIGHT, Controller
from myrtlecrank.policy.exchange_state import ResumeReason
from myrtlecrank.policy.interface import (
    Below,
    Call,
    Cancellation,
    Deny,
    Exchange,
    Fail,
    Gauges,
    Halt,
    Health,
    IdleLimit,
    Join,
    Kind,
    Outcome,
    Publish,
    PublishedValueKind,
    Retain,
    Skip,
    Start,
    Tenant,
)

BUSY = Gauges(cpu=1.0, on_cores=6.0, memory=0.1, connections=1.0)


def fill(controller: Controller, n: int, now: float = 0.0, **facts: Any) -> list[Exchange]:
    return [arrive(controller, now, **facts) for _ in range(n)]


def beats(controller: Controller, now: float, n: int, gauges: Gauges = BUSY) -> float:
    for _ in range(n):
        now += 100.0
        controller.alarm("beat", gauges, now)
        controller.settle(now)
    return now


# Rule 1: one answer in time


@pytest.mark.parametrize("cancellation", list(Cancellation))
def test_running_work_is_answered_before_it_is_due(cancellation: Cancellation) -> None:
    controller, ops = backend(cancellation=cancellation)
    ex = arrive(controller, 0.0)
    controller.settle(3800.0)
    assert not answers(ops, ex)
    controller.settle(3900.0)
    assert len(answers(ops, ex)) == 1
    assert len(of(ops, Halt, ex)) == (cancellation is not Cancellation.NONE)
    controller.finished(ex, Outcome.CANCELLED, 3900.0, 3901.0)
    assert controller.used_kb == 0.0 and len(answers(ops, ex)) == 1


def test_held_work_is_denied_at_once_when_it_can_no_longer_be_of_use() -> None:
    controller, ops = backend(group(late_benefit=0.0))
    fill(controller, 4)
    held = arrive(controller, 0.0)
    controller.settle(700.0)
    assert not answers(ops, held)
    controller.settle(900.0)
    assert of(ops, Deny, held) and controller.queued_count == 0


def test_without_a_told_wait_the_timeout_counts_from_the_machine() -> None:
    controller, ops = backend()
    ex = arrive(controller, 0.0, left=None, waited=1000.0)
    controller.settle(2900.0)
    assert answers(ops, ex)


def test_after_a_stall_all_that_is_due_is_answered() -> None:
    controller, ops = backend()
    exes = fill(controller, 8)
    controller.settle(60_000.0)
    assert all(len(answers(ops, ex)) + (ex.course.is_answered is False) == 1 for ex in exes)


def test_events_for_what_is_over_are_harmless() -> None:
    controller, ops = backend()
    ex = arrive(controller, 0.0)
    controller.finished(ex, Outcome.OK, 100.0, 100.0)
    ops.clear()
    controller.finished(ex, Outcome.MOOT, 0.0, 110.0)
    controller.at_call(ex, 110.0)
    controller.call_ended(ex, Outcome.OK, 1.0, 110.0)
    controller.caller_left(ex, 110.0)
    controller.settle(5000.0)
    assert not ops


def test_a_caller_that_left_is_owed_nothing() -> None:
    controller, ops = backend()
    exes = fill(controller, 6)
    controller.caller_left(exes[0], 10.0)
    controller.caller_left(exes[5], 10.0)
    assert of(ops, Halt, exes[0]) and controller.queued_count == 1
    controller.settle(5000.0)
    assert not answers(ops, exes[0]) and not answers(ops, exes[5])


# Rule 2: one effect


def test_a_repeat_joins_and_is_never_denied() -> None:
    controller, ops = backend(group(Kind.DEDUPLICATED))
    first = arrive(controller, 0.0)
    assert of(ops, Retain, first)[0].duration == 5000.0
    again = arrive(controller, 10.0, earlier=first)
    assert of(ops, Join, again) and not of(ops, Start, again)
    controller.settle(4000.0)
    assert of(ops, Fail, again) and not of(ops, Deny, again)


@pytest.mark.parametrize("kind", [Kind.DEDUPLICATED, Kind.MUTATING])
def test_what_has_run_is_failed_not_denied(kind: Kind) -> None:
    controller, ops = backend(group(kind))
    ex = arrive(controller, 0.0)
    controller._advance(ex.course, ResumeReason.DURESS)
    assert of(ops, Fail, ex) and of(ops, Halt, ex) and not of(ops, Deny, ex)
    controller.settle(20.0)
    assert len(of(ops, Start, ex)) == 1


def test_a_read_shares_an_answer_where_the_site_allows() -> None:
    controller, ops = backend(share_for=500.0)
    first = arrive(controller, 0.0, keyed=True)
    assert of(ops, Retain, first)
    assert of(ops, Join, arrive(controller, 10.0, keyed=True, earlier=first))


# Rule 3: drain


def test_what_arrives_after_the_grace_does_not_run() -> None:
    controller, ops = backend(published_value_kind=PublishedValueKind.CREDIT)
    until = controller.leave(5000.0, 0.0)
    assert of(ops, Health)[0].is_healthy is False and 800.0 < until < 1000.0
    early, late = arrive(controller, 500.0), arrive(controller, 1200.0)
    assert of(ops, Start, early) and of(ops, Deny, late) and not of(ops, Start, late)


def test_a_backend_that_leaves_draws_traffic_until_nothing_more_would_run() -> None:
    controller, ops = backend(published_value_kind=PublishedValueKind.CREDIT)
    until = controller.leave(5000.0, 0.0)
    for now in range(100, 1001, 100):
        controller.alarm("beat", Gauges(0.1), float(now))
        assert (controller.published_value > 0.0) == (now <= until), now
    assert until < 1000.0 and of(ops, Publish)[-1].value == 0.0


def test_a_credit_follows_the_most_in_hand_and_not_an_idle_instant() -> None:
    controller, _ = backend(published_value_kind=PublishedValueKind.CREDIT)
    controller.openness = 8.0
    for start in (10.0, 310.0):
        exes = fill(controller, 4, start)
        for ex in exes:
            controller.finished(ex, Outcome.OK, 5.0, start + 5.0)
        for beat in range(1, 4):
            controller.settle(start + 5.0)
            controller.alarm("beat", Gauges(0.1), start - 10.0 + 100.0 * beat)
        assert controller.published_value >= 6.0
    for beat in range(7, 13):
        controller.settle(100.0 * beat)
        controller.alarm("beat", Gauges(0.1), 100.0 * beat)
    assert controller.published_value >= 6.0  # nothing came, so nothing was learned
    arrive(controller, 1210.0)
    for beat in range(13, 16):
        controller.alarm("beat", Gauges(0.1), 100.0 * beat)
    assert controller.published_value == 3.0


def test_all_is_answered_before_the_stop() -> None:
    controller, ops = backend(group(Kind.DEDUPLICATED))
    exes = fill(controller, 6, 0.0)
    exes.append(arrive(controller, 0.0, earlier=exes[0]))
    controller.leave(1000.0, 0.0)
    controller.settle(850.0)
    assert all(len(answers(ops, ex)) == 1 for ex in exes)
    assert answers(ops, arrive(controller, 900.0))


# Rule 4: no fall-over


def test_memory_is_kept_for_all_that_is_held_and_running() -> None:
    controller, ops = backend(memory_kb=400.0, survivable_concurrency_per_core=50.0)
    controller.run_limit = 50.0
    fill(controller, 20)
    assert controller.used_kb <= 400.0
    assert 1 <= len(of(ops, Start)) <= 3 and of(ops, Deny)


def test_what_never_fits_is_denied_not_held() -> None:
    controller, ops = backend(memory_kb=100.0)
    ex = arrive(controller, 0.0, kb=20.0)
    assert of(ops, Deny, ex) and controller.used_kb == 0.0


def test_a_cold_backend_starts_fewer_and_ramps() -> None:
    controller, _ = backend(cold=True)
    controller.run_limit = 100.0
    cold = controller._run_capacity()
    controller.now = 5000.0
    half = controller._run_capacity()
    controller.now = 20_000.0
    assert cold < half < controller._run_capacity() <= 5.0 * 4


def test_calls_stay_under_the_share_also_below_one() -> None:
    controller, ops = backend(
        group(may_call=True), below=Below.SHARED, call_limit=0.6, call_limit_window=1000.0
    )
    one, two = fill(controller, 2)
    controller.at_call(one, 0.0)
    controller.at_call(two, 0.0)
    controller.settle(0.0)
    assert [op.exchange for op in of(ops, Call)] == [one]
    controller.call_ended(one, Outcome.OK, 900.0, 900.0)
    controller.settle(900.0)
    assert len(of(ops, Call)) == 1
    controller.settle(2000.0)
    assert [op.exchange for op in of(ops, Call)] == [one, two]


@pytest.mark.parametrize(
    ("kind", "outcome", "without", "expected"),
    [
        (Kind.REPEATABLE, Outcome.TIMEOUT, 0.0, Call),
        (Kind.MUTATING, Outcome.FULL, 0.0, Call),
        (Kind.MUTATING, Outcome.TIMEOUT, 0.0, Fail),
        (Kind.MUTATING, Outcome.RESET, 0.5, Skip),
    ],
)
def test_a_call_is_repeated_only_without_harm(
    kind: Kind, outcome: Outcome, without: float, expected: type
) -> None:
    controller, ops = backend(group(kind, may_call=True, benefit_without_call=without), below=Below.TIER)
    ex = arrive(controller, 0.0)
    controller.at_call(ex, 0.0)
    controller.settle(0.0)
    ops.clear()
    controller.call_ended(ex, outcome, 10.0, 10.0)
    controller.settle(10.0)
    assert len(of(ops, expected, ex)) == 1


# The design's path


def test_duress_cancels_the_highest_score_after_three_samples_one_a_sample() -> None:
    controller, ops = backend(group(timeout=1000.0, slo=500.0))
    old = arrive(controller, -700.0, left=9000.0)
    fill(controller, 6, 0.0, left=9000.0)
    beats(controller, 0.0, 2)
    assert not of(ops, Halt)
    beats(controller, 200.0, 1)
    assert [op.exchange for op in of(ops, Halt)] == [old]
    assert of(ops, Deny, old)


def test_arrivals_are_refused_on_the_memory_gauge_and_the_size_of_the_hold() -> None:
    controller, ops = backend()
    controller.memory_gauge = 0.9
    assert of(ops, Deny, arrive(controller, 0.0))
    controller.memory_gauge = 0.0
    exes = fill(controller, 30)
    assert len(of(ops, Deny, exes[-1])) > 0 and controller.queued_count < 20


def test_the_cpu_gauge_shortens_the_hold() -> None:
    calm, _ = backend()
    fill(calm, 30)
    pressed, _ = backend()
    pressed.cpu_samples.extend([1.0] * CPU_WINDOW_SAMPLES)
    fill(pressed, 30)
    assert 0 < pressed.queued_count < calm.queued_count


def test_the_least_value_is_turned_away_for_a_better_arrival() -> None:
    controller, ops = backend(group(), group(benefit=3.0))
    low = fill(controller, 30)
    high = arrive(controller, 0.0, group=1)
    assert not answers(ops, high) and any(of(ops, Deny, ex) for ex in low)


def test_lines_take_turns_by_weight() -> None:
    controller, ops = backend(group(slo=9000.0), group(slo=9000.0, benefit=3.0))
    for g in controller.groups:
        g.mean_run_ms = 200.0
    fill(controller, 4)
    for _ in range(4):
        arrive(controller, 0.0)
        arrive(controller, 0.0, group=1)
    ops.clear()
    controller.run_limit = 8.0
    controller.settle(0.0)
    assert [op.exchange.group for op in of(ops, Start)].count(1) == 3 and len(of(ops, Start)) == 4


def test_the_hold_is_longer_where_reading_is_dear() -> None:
    held = []
    for waited in (10.0, 100.0):
        controller, _ = backend(group(timeout=60_000.0))
        fill(controller, 40, left=60_000.0, waited=waited)
        held.append(controller.queued_count)
    assert 0 < held[0] < held[1]


def test_a_tenant_beyond_its_part_is_worth_less() -> None:
    from myrtlecrank.policy.interface import Tenant

    tenants = [Tenant("a", 0.5, 10.0), Tenant("b", 0.5, 10.0)]
    controller, _ = backend(tenants=tenants, over_share_benefit=0.05, backends=2)
    fill(controller, 60, tenant=0)
    a, b = arrive(controller, 0.0, tenant=0), arrive(controller, 0.0, tenant=1)
    assert a.course.value < 0.5 * b.course.value


def test_how_many_run_grows_while_cores_idle_and_shrinks_in_a_crowd() -> None:
    controller, _ = backend()
    fill(controller, 6)
    beats(controller, 0.0, 5, Gauges(0.5, 2.0, 0.1, 1.0))
    grown = controller.run_limit
    assert grown > 4.0
    beats(controller, 500.0, 30, Gauges(1.0, 12.0, 0.1, 1.0))
    assert controller.run_limit < grown


def test_how_full_the_cores_should_be_follows_the_work_that_ends() -> None:
    controller, _ = backend()
    fill(controller, 6)
    (
        controller.samples,
        controller.backlogged_samples,
        controller.finished_work_ms,
        controller.previous_finished_work_ms,
    ) = 29, 29, 10.0, 9.0
    start = controller.extra_concurrency
    beats(controller, 0.0, 1)
    up = controller.extra_concurrency
    controller.samples, controller.backlogged_samples, controller.finished_work_ms = 29, 29, 5.0
    beats(controller, 100.0, 1)
    assert start < up and controller.extra_concurrency < up


# Defences


def test_the_published_value_falls_with_waiting_and_recovers() -> None:
    controller, ops = backend(published_value_kind=PublishedValueKind.WEIGHT, backends=10)
    fill(controller, 6, waited=0.0)
    controller.mean_read_delay_ms = 2000.0
    controller._publish()
    said = of(ops, Publish)[-1].value
    assert said < 1.0
    controller.mean_read_delay_ms = 0.0
    controller.groups[0].queue.clear()
    for _ in range(60):
        controller._publish()
    assert of(ops, Publish)[-1].value > 0.95


def test_the_weight_never_closes_quite() -> None:
    controller, _ = backend(published_value_kind=PublishedValueKind.WEIGHT, backends=10)
    controller.least_read_delay_ms, controller.mean_read_delay_ms = 0.0, 1e6
    for _ in range(100):
        controller._publish()
    assert controller.openness == MIN_WEIGHT


def test_advised_waits_are_spread() -> None:
    controller, ops = backend()
    controller.mean_read_delay_ms = 500.0
    controller.memory_gauge = 0.9
    fill(controller, 20)
    waits = {op.retry_after for op in of(ops, Deny)}
    assert len(waits) == 20 and max(waits) <= 1000.0


def test_bad_health_where_nothing_finishes_and_good_again_when_it_does() -> None:
    controller, ops = backend(group(timeout=60_000.0))
    exes = fill(controller, 4, left=60_000.0)
    now = beats(controller, 0.0, 12)
    assert [op.is_healthy for op in of(ops, Health)] == [False]
    for ex in exes:
        controller.finished(ex, Outcome.OK, now, now)
    controller.least_read_delay_ms = 1.0
    beats(controller, now + 6000.0, 1)
    assert [op.is_healthy for op in of(ops, Health)] == [False, True]
    assert controller.least_read_delay_ms > 1.0


def test_no_comeback_while_the_work_still_hangs() -> None:
    controller, ops = backend(group(timeout=60_000.0))
    fill(controller, 4, left=60_000.0)
    beats(controller, 0.0, 200)
    assert [op.is_healthy for op in of(ops, Health)] == [False]


def test_one_that_reads_only_stale_arrivals_stays_away() -> None:
    controller, ops = backend(group(late_benefit=0.0))
    controller.least_read_delay_ms = 50.0
    arrive(controller, 0.0, waited=3000.0)
    now = beats(controller, 0.0, CPU_WINDOW_SAMPLES)
    assert [op.is_healthy for op in of(ops, Health)] == [False]
    for _ in range(7):
        arrive(controller, now, waited=3000.0)
        now = beats(controller, now, CPU_WINDOW_SAMPLES)
    assert [op.is_healthy for op in of(ops, Health)] == [False]
    beats(controller, now, 2 * CPU_WINDOW_SAMPLES)
    assert [op.is_healthy for op in of(ops, Health)] == [False, True]


def test_plain_load_is_no_sickness() -> None:
    controller, ops = backend()
    for i in range(200):
        ex = arrive(controller, 50.0 * i)
        controller.finished(ex, Outcome.OK, 300.0, 50.0 * i)
        controller.alarm("beat", BUSY, 50.0 * i)
    assert not of(ops, Health)


def test_idle_connections_are_closed_early_only_while_many_are_open() -> None:
    controller, ops = backend(idle=30_000.0)
    for beat in range(1, 7):
        controller.alarm("beat", Gauges(connections=500.0), 100.0 * beat)
    spans = [op.timeout for op in of(ops, IdleLimit)]
    assert len(spans) == 2 and 30_000.0 > spans[0] > spans[1]
    for beat in range(7, 60):
        controller.alarm("beat", Gauges(connections=3.0), 100.0 * beat)
    assert of(ops, IdleLimit)[-1].timeout == 30_000.0


def test_denials_are_final_unless_this_backend_alone_is_to_blame() -> None:
    controller, ops = backend()
    filled = fill(controller, 40)
    assert {op.is_final for op in of(ops, Deny)} == {True} and len(filled) == 40
    ops.clear()
    controller.unhealthy_until = 1e9
    fill(controller, 20)
    assert {op.is_final for op in of(ops, Deny)} == {False}


def test_a_storm_of_handshakes_is_no_sickness() -> None:
    controller, ops = backend()
    controller.least_read_delay_ms = 50.0
    arrive(controller, 0.0, left=100.0, waited=3000.0)
    controller.mean_on_cores = 30.0
    beats(controller, 0.0, CPU_WINDOW_SAMPLES, Gauges(1.0, 30.0, 0.1, 50.0))
    assert not of(ops, Health)


@pytest.mark.parametrize(
    ("kind", "cpu", "answer"),
    [(Kind.REPEATABLE, 1.0, Deny), (Kind.REPEATABLE, 0.5, Fail), (Kind.MUTATING, 1.0, Fail)],
)
def test_a_run_out_of_time_is_denied_only_under_pressure(kind: Kind, cpu: float, answer: type) -> None:
    controller, ops = backend(group(kind))
    controller.cpu_samples.extend([cpu] * CPU_WINDOW_SAMPLES)
    ex = arrive(controller, 0.0)
    controller.settle(3900.0)
    assert [type(op) for op in answers(ops, ex)] == [answer]
    assert of(ops, Halt, ex)


def test_of_a_line_the_highest_value_starts_first_and_the_eldest_among_equals() -> None:
    tenants = [Tenant("a", 0.5, 1.0), Tenant("b", 0.5, 1.0)]
    controller, ops = backend(cores=1, tenants=tenants, over_share_benefit=0.05)
    controller.tenant_rates = [0.01, 0.0]
    fill(controller, 3)
    within = fill(controller, 2, tenant=1)
    ops.clear()
    controller.run_limit = 2.0
    controller.settle(1.0)
    assert [op.exchange for op in of(ops, Start)] == within[:1]


def test_the_rate_of_a_tenant_with_a_small_share_is_taken_over_a_longer_time() -> None:
    controller, _ = backend(tenants=[Tenant("large", 0.9, 90.0), Tenant("small", 0.1, 0.5)])
    arrive(controller, 0.0)
    arrive(controller, 0.0, tenant=1)
    assert controller.tenant_rates[0] == pytest.approx(1 / 3000) and controller.tenant_rates[
        1
    ] == pytest.approx(1 / 12_000)


def held_when_full(cores: int, waited: float) -> int:
    controller, _ = backend(cores=cores)
    fill(controller, 60, waited=waited)
    return controller.queued_count


def test_the_hold_takes_as_many_on_any_number_of_cores_but_no_more_than_is_of_use() -> None:
    assert held_when_full(2, 0.0) == held_when_full(6, 0.0) > 2
    assert held_when_full(1, 100.0) == 5  # 0.8 of the SLO time, where runs take a fifth


def test_readings_and_handshakes_never_push_runs_below_one_a_core() -> None:
    controller, _ = backend()
    beats(controller, 0.0, 100, Gauges(1.0, 40.0, 0.1, 50.0))
    assert controller.run_limit == 4.0
