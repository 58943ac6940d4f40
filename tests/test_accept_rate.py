"""How fast connections are accepted, on facts alone, and at a listener."""

from __future__ import annotations

import pytest

from myrtlecrank.edge.accept_rate import MIN_RATE_SHARE, Accepting, AcceptRateLimiter, contradictions


def accepted(pace: AcceptRateLimiter, span: float, warmth: float = 1.0, begin: float = 0.0) -> int:
    """How many of a crowd that never ends are accepted within a span, waiting as they are told."""
    now, count = begin, 0
    while now < begin + span:
        wait = pace.acquire(warmth, now)
        count += wait == 0.0
        now += wait
    return count


def test_a_burst_is_taken_at_once_and_then_the_pace_holds() -> None:
    pace = AcceptRateLimiter(Accepting(per_second=100.0, cold_per_second=100.0, burst=10), 0.0)
    assert [pace.acquire(1.0, 0.0) for _ in range(10)] == [0.0] * 10
    assert pace.acquire(1.0, 0.0) == pytest.approx(10.0)
    assert accepted(pace, 1000.0) == pytest.approx(100, abs=1)


def test_a_cold_machine_accepts_slower_and_warms_up() -> None:
    bounds = Accepting(per_second=1000.0, cold_per_second=100.0, burst=1)
    paces = [accepted(AcceptRateLimiter(bounds, 0.0), 1000.0, warmth) for warmth in (0.0, 0.5, 1.0)]
    assert paces == [pytest.approx(n, abs=2) for n in (100, 550, 1000)]


def test_a_loop_that_is_late_accepts_slower_and_comes_back() -> None:
    pace = AcceptRateLimiter(Accepting(), 0.0)
    for _ in range(50):
        pace.adjust(late_ms=80.0)
    assert pace.rate_per_second(1.0) == pytest.approx(MIN_RATE_SHARE * Accepting().per_second)
    for _ in range(50):
        pace.adjust(late_ms=1.0)
    assert pace.rate_per_second(1.0) == Accepting().per_second


def test_turns_do_not_pile_up_beyond_the_burst() -> None:
    pace = AcceptRateLimiter(Accepting(burst=5), 0.0)
    assert sum(pace.acquire(1.0, 3_600_000.0) == 0.0 for _ in range(100)) == 5


def test_a_clock_that_steps_back_costs_no_more_than_the_turns_of_that_time() -> None:
    pace = AcceptRateLimiter(Accepting(per_second=1000.0, burst=1), 10_000.0)
    pace.acquire(1.0, 10_000.0)
    assert pace.acquire(1.0, 5000.0) <= 1.0
    assert pace.acquire(1.0, 5002.0) == 0.0


def test_a_quiet_time_holds_nobody_back() -> None:
    pace = AcceptRateLimiter(Accepting(), 0.0)
    assert all(pace.acquire(0.0, at * 10.0) == 0.0 for at in range(200))
    assert pace.delayed_connections == 0


def test_a_cold_pace_above_the_warm_one_is_told() -> None:
    assert not contradictions(Accepting())
    assert "cold_per_second" in contradictions(Accepting(per_second=100.0, cold_per_second=200.0))[0]
