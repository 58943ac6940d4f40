"""The controller alone: the four rules, admission and cancellation, and each protection."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import answers_to, arrive, group, new_controller, operations_of

from myrtlecrank.policy.controller import CPU_WINDOW_SAMPLES, MIN_WEIGHT, Controller
from myrtlecrank.policy.exchange_state import ResumeReason
from myrtlecrank.policy.interface import (
    AwaitOriginal,
    CacheResult,
    Call,
    Cancel,
    Cancellation,
    Deny,
    DependencyKind,
    EffectKind,
    Exchange,
    Fail,
    Gauges,
    Outcome,
    Publish,
    PublishedValueKind,
    SetHealth,
    SetIdleTimeout,
    SkipCall,
    Start,
    Tenant,
)

BUSY = Gauges(cpu=1.0, on_cores=6.0, memory=0.1, connections=1.0)


def fill(controller: Controller, n: int, now: float = 0.0, **fields: Any) -> list[Exchange]:
    return [arrive(controller, now, **fields) for _ in range(n)]


def samples(controller: Controller, now: float, n: int, gauges: Gauges = BUSY) -> float:
    for _ in range(n):
        now += 100.0
        controller.sample_due("beat", gauges, now)
        controller.settle(now)
    return now


# Rule 1: one answer in time


@pytest.mark.parametrize("cancellation", list(Cancellation))
def test_running_exchange_is_answered_before_its_deadline(cancellation: Cancellation) -> None:
    controller, ops = new_controller(cancellation=cancellation)
    exchange = arrive(controller, 0.0)
    controller.settle(3800.0)
    assert not answers_to(ops, exchange)
    controller.settle(3900.0)
    assert len(answers_to(ops, exchange)) == 1
    assert len(operations_of(ops, Cancel, exchange)) == (cancellation is not Cancellation.NONE)
    controller.run_ended(exchange, Outcome.CANCELLED, 3900.0, 3901.0)
    assert controller.used_kb == 0.0 and len(answers_to(ops, exchange)) == 1


def test_queued_exchange_is_denied_once_it_can_earn_no_benefit() -> None:
    controller, ops = new_controller(group(late_benefit=0.0))
    fill(controller, 4)
    queued = arrive(controller, 0.0)
    controller.settle(700.0)
    assert not answers_to(ops, queued)
    controller.settle(900.0)
    assert operations_of(ops, Deny, queued) and controller.queued_count == 0


def test_without_a_sent_remaining_time_the_timeout_counts_from_reaching_the_machine() -> None:
    controller, ops = new_controller()
    exchange = arrive(controller, 0.0, remaining_time=None, read_delay=1000.0)
    controller.settle(2900.0)
    assert answers_to(ops, exchange)


def test_after_a_stall_every_overdue_exchange_is_answered() -> None:
    controller, ops = new_controller()
    exchanges = fill(controller, 8)
    controller.settle(60_000.0)
    assert all(
        len(answers_to(ops, exchange)) + (exchange.controller_state.is_answered is False) == 1
        for exchange in exchanges
    )


def test_events_for_closed_exchanges_change_nothing() -> None:
    controller, ops = new_controller()
    exchange = arrive(controller, 0.0)
    controller.run_ended(exchange, Outcome.OK, 100.0, 100.0)
    ops.clear()
    controller.run_ended(exchange, Outcome.NOT_STARTED, 0.0, 110.0)
    controller.call_reached(exchange, 110.0)
    controller.call_ended(exchange, Outcome.OK, 1.0, 110.0)
    controller.caller_left(exchange, 110.0)
    controller.settle(5000.0)
    assert not ops


def test_caller_that_left_gets_no_answer() -> None:
    controller, ops = new_controller()
    exchanges = fill(controller, 6)
    controller.caller_left(exchanges[0], 10.0)
    controller.caller_left(exchanges[5], 10.0)
    assert operations_of(ops, Cancel, exchanges[0]) and controller.queued_count == 1
    controller.settle(5000.0)
    assert not answers_to(ops, exchanges[0]) and not answers_to(ops, exchanges[5])


# Rule 2: at most one effect


def test_retry_waits_for_its_original_and_is_never_denied() -> None:
    controller, ops = new_controller(group(EffectKind.DEDUPLICATED))
    first = arrive(controller, 0.0)
    assert operations_of(ops, CacheResult, first)[0].duration == 5000.0
    again = arrive(controller, 10.0, original=first)
    assert operations_of(ops, AwaitOriginal, again) and not operations_of(ops, Start, again)
    controller.settle(4000.0)
    assert operations_of(ops, Fail, again) and not operations_of(ops, Deny, again)


@pytest.mark.parametrize("kind", [EffectKind.DEDUPLICATED, EffectKind.MUTATING])
def test_exchange_that_has_run_is_failed_and_not_denied(kind: EffectKind) -> None:
    controller, ops = new_controller(group(kind))
    exchange = arrive(controller, 0.0)
    controller._advance(exchange.controller_state, ResumeReason.DURESS)
    assert (
        operations_of(ops, Fail, exchange)
        and operations_of(ops, Cancel, exchange)
        and not operations_of(ops, Deny, exchange)
    )
    controller.settle(20.0)
    assert len(operations_of(ops, Start, exchange)) == 1


def test_read_shares_an_answer_where_the_settings_allow() -> None:
    controller, ops = new_controller(shared_result_lifetime=500.0)
    first = arrive(controller, 0.0, names_subject=True)
    assert operations_of(ops, CacheResult, first)
    assert operations_of(ops, AwaitOriginal, arrive(controller, 10.0, names_subject=True, original=first))


# Rule 3: drain


def test_arrivals_after_the_drain_grace_period_do_not_run() -> None:
    controller, ops = new_controller(published_value_kind=PublishedValueKind.CREDIT)
    until = controller.start_drain(5000.0, 0.0)
    assert operations_of(ops, SetHealth)[0].is_healthy is False and 800.0 < until < 1000.0
    early, late = arrive(controller, 500.0), arrive(controller, 1200.0)
    assert (
        operations_of(ops, Start, early)
        and operations_of(ops, Deny, late)
        and not operations_of(ops, Start, late)
    )


def test_draining_backend_asks_for_traffic_until_arrivals_no_longer_run() -> None:
    controller, ops = new_controller(published_value_kind=PublishedValueKind.CREDIT)
    until = controller.start_drain(5000.0, 0.0)
    for now in range(100, 1001, 100):
        controller.sample_due("beat", Gauges(0.1), float(now))
        assert (controller.published_value > 0.0) == (now <= until), now
    assert until < 1000.0 and operations_of(ops, Publish)[-1].value == 0.0


def test_credit_follows_the_peak_in_progress_and_not_an_idle_instant() -> None:
    controller, _ = new_controller(published_value_kind=PublishedValueKind.CREDIT)
    controller.openness = 8.0
    for start in (10.0, 310.0):
        exchanges = fill(controller, 4, start)
        for exchange in exchanges:
            controller.run_ended(exchange, Outcome.OK, 5.0, start + 5.0)
        for sample in range(1, 4):
            controller.settle(start + 5.0)
            controller.sample_due("beat", Gauges(0.1), start - 10.0 + 100.0 * sample)
        assert controller.published_value >= 6.0
    for sample in range(7, 13):
        controller.settle(100.0 * sample)
        controller.sample_due("beat", Gauges(0.1), 100.0 * sample)
    assert controller.published_value >= 6.0  # nothing came, so nothing was learned
    arrive(controller, 1210.0)
    for sample in range(13, 16):
        controller.sample_due("beat", Gauges(0.1), 100.0 * sample)
    assert controller.published_value == 3.0


def test_every_exchange_is_answered_before_the_process_stops() -> None:
    controller, ops = new_controller(group(EffectKind.DEDUPLICATED))
    exchanges = fill(controller, 6, 0.0)
    exchanges.append(arrive(controller, 0.0, original=exchanges[0]))
    controller.start_drain(1000.0, 0.0)
    controller.settle(850.0)
    assert all(len(answers_to(ops, exchange)) == 1 for exchange in exchanges)
    assert answers_to(ops, arrive(controller, 900.0))


# Rule 4: no overload


def test_memory_limit_covers_queued_and_running_exchanges() -> None:
    controller, ops = new_controller(memory_kb=400.0, survivable_concurrency_per_core=50.0)
    controller.run_limit = 50.0
    fill(controller, 20)
    assert controller.used_kb <= 400.0
    assert 1 <= len(operations_of(ops, Start)) <= 3 and operations_of(ops, Deny)


def test_exchange_that_never_fits_in_memory_is_denied() -> None:
    controller, ops = new_controller(memory_kb=100.0)
    exchange = arrive(controller, 0.0, memory_kb=20.0)
    assert operations_of(ops, Deny, exchange) and controller.used_kb == 0.0


def test_cold_backend_runs_fewer_and_ramps_up() -> None:
    controller, _ = new_controller(cold=True)
    controller.run_limit = 100.0
    cold = controller._run_capacity()
    controller.now = 5000.0
    half = controller._run_capacity()
    controller.now = 20_000.0
    assert cold < half < controller._run_capacity() <= 5.0 * 4


def test_calls_stay_under_the_limit_also_below_one() -> None:
    controller, ops = new_controller(
        group(may_call=True), dependency=DependencyKind.SHARED, call_limit=0.6, call_limit_window=1000.0
    )
    one, two = fill(controller, 2)
    controller.call_reached(one, 0.0)
    controller.call_reached(two, 0.0)
    controller.settle(0.0)
    assert [op.exchange for op in operations_of(ops, Call)] == [one]
    controller.call_ended(one, Outcome.OK, 900.0, 900.0)
    controller.settle(900.0)
    assert len(operations_of(ops, Call)) == 1
    controller.settle(2000.0)
    assert [op.exchange for op in operations_of(ops, Call)] == [one, two]


@pytest.mark.parametrize(
    ("kind", "outcome", "without", "expected"),
    [
        (EffectKind.REPEATABLE, Outcome.TIMEOUT, 0.0, Call),
        (EffectKind.MUTATING, Outcome.REJECTED, 0.0, Call),
        (EffectKind.MUTATING, Outcome.TIMEOUT, 0.0, Fail),
        (EffectKind.MUTATING, Outcome.RESET, 0.5, SkipCall),
    ],
)
def test_call_is_retried_only_where_it_does_no_harm(
    kind: EffectKind, outcome: Outcome, without: float, expected: type
) -> None:
    controller, ops = new_controller(
        group(kind, may_call=True, benefit_without_call=without), dependency=DependencyKind.TIER
    )
    exchange = arrive(controller, 0.0)
    controller.call_reached(exchange, 0.0)
    controller.settle(0.0)
    ops.clear()
    controller.call_ended(exchange, outcome, 10.0, 10.0)
    controller.settle(10.0)
    assert len(operations_of(ops, expected, exchange)) == 1


# Admission, queueing and cancellation


def test_duress_cancels_the_highest_score_after_three_samples() -> None:
    controller, ops = new_controller(group(timeout=1000.0, slo=500.0))
    old = arrive(controller, -700.0, remaining_time=9000.0)
    fill(controller, 6, 0.0, remaining_time=9000.0)
    samples(controller, 0.0, 2)
    assert not operations_of(ops, Cancel)
    samples(controller, 200.0, 1)
    assert [op.exchange for op in operations_of(ops, Cancel)] == [old]
    assert operations_of(ops, Deny, old)


def test_arrivals_are_denied_by_the_memory_gauge_and_the_queue_length() -> None:
    controller, ops = new_controller()
    controller.memory_gauge = 0.9
    assert operations_of(ops, Deny, arrive(controller, 0.0))
    controller.memory_gauge = 0.0
    exchanges = fill(controller, 30)
    assert len(operations_of(ops, Deny, exchanges[-1])) > 0 and controller.queued_count < 20


def test_cpu_gauge_shortens_the_queue() -> None:
    calm, _ = new_controller()
    fill(calm, 30)
    pressed, _ = new_controller()
    pressed.cpu_samples.extend([1.0] * CPU_WINDOW_SAMPLES)
    fill(pressed, 30)
    assert 0 < pressed.queued_count < calm.queued_count


def test_least_value_is_denied_for_a_better_arrival() -> None:
    controller, ops = new_controller(group(), group(benefit=3.0))
    low = fill(controller, 30)
    high = arrive(controller, 0.0, group=1)
    assert not answers_to(ops, high) and any(operations_of(ops, Deny, exchange) for exchange in low)


def test_queues_share_the_starts_by_value() -> None:
    controller, ops = new_controller(group(slo=9000.0), group(slo=9000.0, benefit=3.0))
    for g in controller.groups:
        g.mean_run_ms = 200.0
    fill(controller, 4)
    for _ in range(4):
        arrive(controller, 0.0)
        arrive(controller, 0.0, group=1)
    ops.clear()
    controller.run_limit = 8.0
    controller.settle(0.0)
    assert [op.exchange.group for op in operations_of(ops, Start)].count(1) == 3 and len(
        operations_of(ops, Start)
    ) == 4


def test_queue_is_longer_where_reading_is_expensive() -> None:
    queued = []
    for waited in (10.0, 100.0):
        controller, _ = new_controller(group(timeout=60_000.0))
        fill(controller, 40, remaining_time=60_000.0, read_delay=waited)
        queued.append(controller.queued_count)
    assert 0 < queued[0] < queued[1]


def test_tenant_beyond_its_allowance_has_less_value() -> None:
    tenants = [Tenant("a", 0.5, 10.0), Tenant("b", 0.5, 10.0)]
    controller, _ = new_controller(tenants=tenants, over_share_benefit=0.05, backends=2)
    fill(controller, 60, tenant=0)
    beyond, within = arrive(controller, 0.0, tenant=0), arrive(controller, 0.0, tenant=1)
    assert beyond.controller_state.value < 0.5 * within.controller_state.value


def test_run_limit_grows_while_cores_idle_and_shrinks_at_high_concurrency() -> None:
    controller, _ = new_controller()
    fill(controller, 6)
    samples(controller, 0.0, 5, Gauges(0.5, 2.0, 0.1, 1.0))
    grown = controller.run_limit
    assert grown > 4.0
    samples(controller, 500.0, 30, Gauges(1.0, 12.0, 0.1, 1.0))
    assert controller.run_limit < grown


def test_extra_concurrency_follows_the_finished_work() -> None:
    controller, _ = new_controller()
    fill(controller, 6)
    (
        controller.samples,
        controller.backlogged_samples,
        controller.finished_work_ms,
        controller.previous_finished_work_ms,
    ) = 29, 29, 10.0, 9.0
    start = controller.extra_concurrency
    samples(controller, 0.0, 1)
    up = controller.extra_concurrency
    controller.samples, controller.backlogged_samples, controller.finished_work_ms = 29, 29, 5.0
    samples(controller, 100.0, 1)
    assert start < up and controller.extra_concurrency < up


# Protections: published value, health, idle connections


def test_published_value_falls_with_waiting_and_recovers() -> None:
    controller, ops = new_controller(published_value_kind=PublishedValueKind.WEIGHT, backends=10)
    fill(controller, 6, read_delay=0.0)
    controller.mean_read_delay_ms = 2000.0
    controller._publish()
    published = operations_of(ops, Publish)[-1].value
    assert published < 1.0
    controller.mean_read_delay_ms = 0.0
    controller.groups[0].queue.clear()
    for _ in range(60):
        controller._publish()
    assert operations_of(ops, Publish)[-1].value > 0.95


def test_weight_never_falls_below_its_minimum() -> None:
    controller, _ = new_controller(published_value_kind=PublishedValueKind.WEIGHT, backends=10)
    controller.least_read_delay_ms, controller.mean_read_delay_ms = 0.0, 1e6
    for _ in range(100):
        controller._publish()
    assert controller.openness == MIN_WEIGHT


def test_advised_waits_are_random() -> None:
    controller, ops = new_controller()
    controller.mean_read_delay_ms = 500.0
    controller.memory_gauge = 0.9
    fill(controller, 20)
    waits = {op.retry_after for op in operations_of(ops, Deny)}
    assert len(waits) == 20 and max(waits) <= 1000.0


def test_health_is_bad_while_no_run_ends_and_good_again_after() -> None:
    controller, ops = new_controller(group(timeout=60_000.0))
    exchanges = fill(controller, 4, remaining_time=60_000.0)
    now = samples(controller, 0.0, 12)
    assert [op.is_healthy for op in operations_of(ops, SetHealth)] == [False]
    for exchange in exchanges:
        controller.run_ended(exchange, Outcome.OK, now, now)
    controller.least_read_delay_ms = 1.0
    samples(controller, now + 6000.0, 1)
    assert [op.is_healthy for op in operations_of(ops, SetHealth)] == [False, True]
    assert controller.least_read_delay_ms > 1.0


def test_health_stays_bad_while_runs_hang() -> None:
    controller, ops = new_controller(group(timeout=60_000.0))
    fill(controller, 4, remaining_time=60_000.0)
    samples(controller, 0.0, 200)
    assert [op.is_healthy for op in operations_of(ops, SetHealth)] == [False]


def test_backend_that_reads_only_stale_arrivals_shows_bad_health() -> None:
    controller, ops = new_controller(group(late_benefit=0.0))
    controller.least_read_delay_ms = 50.0
    arrive(controller, 0.0, read_delay=3000.0)
    now = samples(controller, 0.0, CPU_WINDOW_SAMPLES)
    assert [op.is_healthy for op in operations_of(ops, SetHealth)] == [False]
    for _ in range(7):
        arrive(controller, now, read_delay=3000.0)
        now = samples(controller, now, CPU_WINDOW_SAMPLES)
    assert [op.is_healthy for op in operations_of(ops, SetHealth)] == [False]
    samples(controller, now, 2 * CPU_WINDOW_SAMPLES)
    assert [op.is_healthy for op in operations_of(ops, SetHealth)] == [False, True]


def test_plain_load_keeps_good_health() -> None:
    controller, ops = new_controller()
    for i in range(200):
        exchange = arrive(controller, 50.0 * i)
        controller.run_ended(exchange, Outcome.OK, 300.0, 50.0 * i)
        controller.sample_due("beat", BUSY, 50.0 * i)
    assert not operations_of(ops, SetHealth)


def test_idle_connections_are_closed_early_only_while_many_are_open() -> None:
    controller, ops = new_controller(idle_timeout=30_000.0)
    for sample in range(1, 7):
        controller.sample_due("beat", Gauges(connections=500.0), 100.0 * sample)
    spans = [op.timeout for op in operations_of(ops, SetIdleTimeout)]
    assert len(spans) == 2 and 30_000.0 > spans[0] > spans[1]
    for sample in range(7, 60):
        controller.sample_due("beat", Gauges(connections=3.0), 100.0 * sample)
    assert operations_of(ops, SetIdleTimeout)[-1].timeout == 30_000.0


def test_denials_are_final_unless_this_backend_is_unhealthy() -> None:
    controller, ops = new_controller()
    filled = fill(controller, 40)
    assert {op.is_final for op in operations_of(ops, Deny)} == {True} and len(filled) == 40
    ops.clear()
    controller.unhealthy_until = 1e9
    fill(controller, 20)
    assert {op.is_final for op in operations_of(ops, Deny)} == {False}


def test_many_handshakes_keep_good_health() -> None:
    controller, ops = new_controller()
    controller.least_read_delay_ms = 50.0
    arrive(controller, 0.0, remaining_time=100.0, read_delay=3000.0)
    controller.mean_on_cores = 30.0
    samples(controller, 0.0, CPU_WINDOW_SAMPLES, Gauges(1.0, 30.0, 0.1, 50.0))
    assert not operations_of(ops, SetHealth)


@pytest.mark.parametrize(
    ("kind", "cpu", "answer"),
    [
        (EffectKind.REPEATABLE, 1.0, Deny),
        (EffectKind.REPEATABLE, 0.5, Fail),
        (EffectKind.MUTATING, 1.0, Fail),
    ],
)
def test_run_out_of_time_is_denied_only_under_pressure(kind: EffectKind, cpu: float, answer: type) -> None:
    controller, ops = new_controller(group(kind))
    controller.cpu_samples.extend([cpu] * CPU_WINDOW_SAMPLES)
    exchange = arrive(controller, 0.0)
    controller.settle(3900.0)
    assert [type(op) for op in answers_to(ops, exchange)] == [answer]
    assert operations_of(ops, Cancel, exchange)


def test_highest_value_of_a_queue_starts_first_and_the_eldest_among_equals() -> None:
    tenants = [Tenant("a", 0.5, 1.0), Tenant("b", 0.5, 1.0)]
    controller, ops = new_controller(cores=1, tenants=tenants, over_share_benefit=0.05)
    controller.tenant_rates = [0.01, 0.0]
    fill(controller, 3)
    within = fill(controller, 2, tenant=1)
    ops.clear()
    controller.run_limit = 2.0
    controller.settle(1.0)
    assert [op.exchange for op in operations_of(ops, Start)] == within[:1]


def test_rate_of_a_tenant_with_a_small_allowance_is_measured_over_a_longer_window() -> None:
    controller, _ = new_controller(tenants=[Tenant("large", 0.9, 90.0), Tenant("small", 0.1, 0.5)])
    arrive(controller, 0.0)
    arrive(controller, 0.0, tenant=1)
    assert controller.tenant_rates[0] == pytest.approx(1 / 3000) and controller.tenant_rates[
        1
    ] == pytest.approx(1 / 12_000)


def queued_when_full(cores: int, waited: float) -> int:
    controller, _ = new_controller(cores=cores)
    fill(controller, 60, read_delay=waited)
    return controller.queued_count


def test_queue_length_does_not_depend_on_cores_but_is_bounded_by_the_slo_time() -> None:
    assert queued_when_full(2, 0.0) == queued_when_full(6, 0.0) > 2
    assert queued_when_full(1, 100.0) == 5  # 0.8 of the SLO time, where runs take a fifth


def test_reads_and_handshakes_never_push_runs_below_one_a_core() -> None:
    controller, _ = new_controller()
    samples(controller, 0.0, 100, Gauges(1.0, 40.0, 0.1, 50.0))
    assert controller.run_limit == 4.0
