"""Passes exchanges to the retry estimator and its estimates into interface.Exchange, for all hosts of the
controller alike."""

from __future__ import annotations

from myrtlecrank.policy.interface import Exchange
from myrtlecrank.retries.estimator import RetryEstimator


def estimate_arrival(
    estimator: RetryEstimator | None, exchange: Exchange, body: bytes, wait: float | None, now: float
) -> None:
    """Sets the estimates of an arrival, if there is an estimator.

    `wait`: how long the caller stated that it waits, from when the exchange reached the machine."""
    if estimator is not None:
        reached = now - exchange.read_delay
        estimate = estimator.arrived(
            exchange.group, exchange.tenant, exchange.rank, body, exchange.caller, wait, reached, now
        )
        exchange.retry_probability = estimate.retry_probability
        exchange.time_since_first_try = estimate.age
        exchange.ignores_backpressure = estimate.noncompliant


def record_answer(
    estimator: RetryEstimator | None,
    exchange: Exchange,
    body: bytes,
    uncompleted: bool,
    wait: float,
    credit: float | None,
    now: float,
) -> None:
    """Records an answer, if there is an estimator. The arguments are those of its own method."""
    if estimator is not None:
        estimator.answered(
            exchange.group,
            exchange.tenant,
            exchange.rank,
            body,
            exchange.caller,
            uncompleted,
            wait,
            credit,
            now,
        )
