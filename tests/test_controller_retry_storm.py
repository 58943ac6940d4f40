"""What the controller does in a retry storm, and that it does none of it otherwise."""

from __future__ import annotations

import pytest
from helpers import answers_to, arrival, arrive, group, new_controller, operations_of

from myrtlecrank.policy.controller import Controller
from myrtlecrank.policy.exchange_state import Phase
from myrtlecrank.policy.interface import Deny, Exchange, Gauges, Publish, PublishedValueKind, Start

CALM, STORM = Gauges(1.0, 6.0, 0.1, 1.0), Gauges(1.0, 6.0, 0.1, 1.0, is_retry_storm=True)


def in_storm(storm: bool = True, **fields: object) -> tuple[Controller, list[object]]:
    controller, ops = new_controller(**fields)  # type: ignore[arg-type]
    controller.sample_due("beat", STORM if storm else CALM, 0.0)
    controller.least_read_delay_ms, controller.mean_read_delay_ms = 50.0, 0.0
    return controller, ops


def fill(controller: Controller, n: int, **fields: object) -> list[Exchange]:
    return [arrive(controller, 0.0, read_delay=50.0, **fields) for _ in range(n)]  # type: ignore[arg-type]


def started(controller: Controller, ops: list[object]) -> Exchange:
    """The exchange that starts when one more may run."""
    ops.clear()
    controller.run_limit = len(controller.running) + 1.0
    controller.settle(1.0)
    return operations_of(ops, Start)[0].exchange


def test_caller_that_ignores_backpressure_is_queued_while_its_start_is_in_time() -> None:
    controller, _ = in_storm(cores=1)
    fill(controller, 40)
    queued = controller.queued_count
    noncompliant = fill(controller, 1, ignores_backpressure=True)[0]
    assert controller.queued_count == queued + 1
    assert noncompliant.controller_state.phase is Phase.QUEUED


def test_exchange_that_would_start_too_late_is_denied_on_arrival() -> None:
    controller, ops = in_storm(cores=1)
    fill(controller, 40, ignores_backpressure=True)
    late = arrival(remaining_time=300.0, read_delay=50.0, ignores_backpressure=True)
    controller.arrived(late, 0.0)
    assert [type(op) for op in answers_to(ops, late)] == [Deny]


def test_the_more_expensive_its_denial_the_sooner_an_exchange_runs() -> None:
    controller, ops = in_storm(cores=1)
    fill(controller, 3)
    noncompliant = fill(controller, 1, ignores_backpressure=True)[0]
    assert started(controller, ops) is noncompliant


def test_near_the_deadline_a_denial_is_cheap_and_the_order_is_the_usual_one() -> None:
    controller, _ = in_storm(cores=1)
    plain, noncompliant = (
        fill(controller, 2)[1],
        arrive(controller, 0.0, read_delay=50.0, remaining_time=1000.0, ignores_backpressure=True),
    )
    controller.now = 990.0
    assert noncompliant.controller_state.value == plain.controller_state.value
    assert controller._value_now(noncompliant.controller_state) < 1.25 * noncompliant.controller_state.value


def test_retry_too_old_for_its_slo_time_goes_last() -> None:
    controller, ops = in_storm(cores=1)
    fill(controller, 1)
    old = arrive(controller, 0.0, read_delay=50.0, retry_probability=0.9, time_since_first_try=1500.0)
    fresh = fill(controller, 1)[0]
    assert started(controller, ops) is fresh
    assert old.controller_state.phase is Phase.QUEUED


def test_retry_that_can_earn_no_benefit_is_denied_on_arrival() -> None:
    controller, ops = new_controller(group(late_benefit=0.0), cores=1)
    controller.sample_due("beat", STORM, 0.0)
    old = arrive(controller, 0.0, remaining_time=2000.0, retry_probability=0.9, time_since_first_try=1500.0)
    assert [type(op) for op in answers_to(ops, old)] == [Deny]


@pytest.mark.parametrize("storm", [True, False])
def test_credit_below_one_is_published_only_in_a_retry_storm(storm: bool) -> None:
    controller, ops = in_storm(storm, published_value_kind=PublishedValueKind.CREDIT)
    controller.mean_read_delay_ms = 5000.0
    for at in range(1, 60):
        controller.mean_read_delay_ms = 5000.0
        controller.sample_due("beat", STORM if storm else CALM, at * 100.0)
    least = min(op.value for op in operations_of(ops, Publish))
    assert least == (0.5 if storm else 1.0)


def test_without_a_retry_storm_the_estimate_changes_nothing() -> None:
    plain, estimated = in_storm(False, cores=2), in_storm(False, cores=2)
    for i in range(60):
        fields = {"read_delay": 50.0, "memory_kb": 10.0 + i}
        arrive(plain[0], i * 5.0, **fields)  # type: ignore[arg-type]
        arrive(
            estimated[0],
            i * 5.0,
            retry_probability=0.9,
            time_since_first_try=700.0,
            ignores_backpressure=True,
            **fields,
        )  # type: ignore[arg-type]

    def operations(ops: list[object]) -> list[tuple[str, float]]:
        return [(type(op).__name__, op.exchange.memory_kb) for op in ops if hasattr(op, "exchange")]

    assert operations(plain[1]) == operations(estimated[1])


def test_retry_storm_that_ends_leaves_no_exchange_unanswered() -> None:
    controller, ops = in_storm(cores=1)
    many = fill(controller, 60, ignores_backpressure=True)
    controller.sample_due("beat", CALM, 100.0)
    for at in range(2, 50):
        controller.settle(at * 100.0)
    assert all(len(answers_to(ops, exchange)) == 1 for exchange in many)


def test_in_a_retry_storm_the_queue_is_longer_while_starts_are_in_time() -> None:
    calm, _ = in_storm(False, cores=4)
    storm, ops = in_storm(cores=4)
    for controller in (calm, storm):
        fill(controller, 60)
    assert storm.queued_count > calm.queued_count
    assert storm._queue_wait_ms() <= 0.8 * 1000.0
    refused = [op for op in ops if isinstance(op, Deny)]
    assert len(refused) == 60 - storm.queued_count - len(storm.running)
