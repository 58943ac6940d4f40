"""The accept rate limiter and its options, without sockets."""

from __future__ import annotations

import pytest

from myrtlecrank.edge.accept_rate import MIN_RATE_SHARE, AcceptRateLimiter, AcceptRateOptions, contradictions


def count_accepted(
    limiter: AcceptRateLimiter, duration_ms: float, warmth: float = 1.0, start: float = 0.0
) -> int:
    """Counts the connections accepted from an endless queue that waits as the limiter says."""
    now, count = start, 0
    while now < start + duration_ms:
        wait = limiter.acquire(warmth, now)
        count += wait == 0.0
        now += wait
    return count


def test_burst_is_accepted_at_once_and_then_the_rate_holds() -> None:
    limiter = AcceptRateLimiter(AcceptRateOptions(per_second=100.0, cold_per_second=100.0, burst=10), 0.0)
    assert [limiter.acquire(1.0, 0.0) for _ in range(10)] == [0.0] * 10
    assert limiter.acquire(1.0, 0.0) == pytest.approx(10.0)
    assert count_accepted(limiter, 1000.0) == pytest.approx(100, abs=1)


def test_accept_rate_rises_with_warmth() -> None:
    options = AcceptRateOptions(per_second=1000.0, cold_per_second=100.0, burst=1)
    counts = [count_accepted(AcceptRateLimiter(options, 0.0), 1000.0, warmth) for warmth in (0.0, 0.5, 1.0)]
    assert counts == [pytest.approx(n, abs=2) for n in (100, 550, 1000)]


def test_late_event_loop_lowers_the_rate_until_it_recovers() -> None:
    limiter = AcceptRateLimiter(AcceptRateOptions(), 0.0)
    for _ in range(50):
        limiter.adjust(late_ms=80.0)
    assert limiter.rate_per_second(1.0) == pytest.approx(MIN_RATE_SHARE * AcceptRateOptions().per_second)
    for _ in range(50):
        limiter.adjust(late_ms=1.0)
    assert limiter.rate_per_second(1.0) == AcceptRateOptions().per_second


def test_tokens_do_not_accumulate_beyond_the_burst() -> None:
    limiter = AcceptRateLimiter(AcceptRateOptions(burst=5), 0.0)
    assert sum(limiter.acquire(1.0, 3_600_000.0) == 0.0 for _ in range(100)) == 5


def test_clock_that_steps_back_costs_at_most_the_tokens_of_that_time() -> None:
    limiter = AcceptRateLimiter(AcceptRateOptions(per_second=1000.0, burst=1), 10_000.0)
    limiter.acquire(1.0, 10_000.0)
    assert limiter.acquire(1.0, 5000.0) <= 1.0
    assert limiter.acquire(1.0, 5002.0) == 0.0


def test_low_load_is_never_delayed() -> None:
    limiter = AcceptRateLimiter(AcceptRateOptions(), 0.0)
    assert all(limiter.acquire(0.0, at * 10.0) == 0.0 for at in range(200))
    assert limiter.delayed_connections == 0


def test_cold_rate_above_the_warm_rate_is_a_contradiction() -> None:
    assert not contradictions(AcceptRateOptions())
    assert "cold_per_second" in contradictions(AcceptRateOptions(per_second=100.0, cold_per_second=200.0))[0]
