"""Decisions on exchanges of connections that send far more than they get completed."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import answers_to, arrival, arrive, group, new_controller, operations_of

from myrtlecrank.policy.interface import Deny, Outcome, Publish, PublishedValueKind, Start


def full_controller(is_from_background: bool, **others: Any) -> tuple[Any, list[Any], list[Any]]:
    """A controller whose cores are at work and whose queue takes no more; and the queued exchanges."""
    controller, ops = new_controller(group(), cores=1, survivable_concurrency_per_core=1.0, **others)
    arrive(controller, 0.0)  # runs
    queued = [arrive(controller, 0.0, is_from_background=is_from_background) for _ in range(200)]
    queued = [exchange for exchange in queued if not answers_to(ops, exchange)]
    assert queued and controller.queued_count == len(queued)
    return controller, ops, queued


def test_an_exchange_of_a_sound_caller_takes_the_place_of_one_from_the_background() -> None:
    """Guards against sound callers that are denied because a flood fills the queue."""
    controller, ops, queued = full_controller(is_from_background=True)
    sound = arrive(controller, 1.0)
    assert not answers_to(ops, sound)
    assert sum(bool(answers_to(ops, exchange)) for exchange in queued) == 1


def test_an_exchange_from_the_background_takes_no_place_of_a_sound_caller() -> None:
    controller, ops, queued = full_controller(is_from_background=False)
    from_background = arrive(controller, 1.0, is_from_background=True)
    assert operations_of(ops, Deny, from_background)
    assert not any(answers_to(ops, exchange) for exchange in queued)


def test_an_exchange_of_a_sound_caller_starts_before_those_from_the_background() -> None:
    controller, ops, _ = full_controller(is_from_background=True)
    first = operations_of(ops, Start)[0].exchange
    sound = arrive(controller, 1.0)
    controller.run_ended(first, Outcome.OK, 5.0, 5.0)
    controller.settle(5.0)
    assert operations_of(ops, Start)[-1].exchange is sound


@pytest.mark.parametrize("stale_ms", [3000.0, 1e12])
@pytest.mark.parametrize("is_from_background", [True, False])
def test_a_stale_stamp_keeps_no_caller_away_for_long(stale_ms: float, is_from_background: bool) -> None:
    """Guards against a published value that stays low for minutes after one request from long ago."""
    controller, ops = new_controller(published_value_kind=PublishedValueKind.CREDIT)
    controller.arrived(
        arrival(remaining_time=0.0, read_delay=stale_ms, is_from_background=is_from_background), 0.0
    )
    controller.settle(0.0)
    longest_ms = 0.0 if is_from_background else 0.1 * group().timeout
    assert controller.mean_read_delay_ms <= longest_ms
    assert not is_from_background or not operations_of(ops, Publish)
