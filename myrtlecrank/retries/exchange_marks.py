"""Passes exchanges to the retry estimator and its estimates into interface.Exchange, for all hosts of the
controller alike."""

from __future__ import annotations

from myrtlecrank.policy.interface import Exchange
from myrtlecrank.retries.estimator import Repeats


def arrived(
    estimator: Repeats | None, exchange: Exchange, body: bytes, wait: float | None, now: float
) -> None:
    """Sets the estimates of an arrival, if there is an estimator.

    `wait`: how long the caller stated that it waits, from when the exchange reached the machine."""
    if estimator is not None:
        reached = now - exchange.waited
        estimate = estimator.arrived(
            exchange.group, exchange.tenant, exchange.rank, body, exchange.caller, wait, reached, now
        )
        exchange.likely = estimate.retry_probability
        exchange.age = estimate.age
        exchange.deaf = estimate.noncompliant


def answered(
    estimator: Repeats | None,
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
