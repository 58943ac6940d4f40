"""Carries exchanges to the estimate, and what it thinks of them into port.Exchange, for every host alike."""

from __future__ import annotations

from myrtlecrank.policy.interface import Exchange
from myrtlecrank.retries.estimator import Repeats


def arrived(repeats: Repeats | None, ex: Exchange, body: bytes, wait: float | None, now: float) -> None:
    """`wait`: how long the caller told that it waits, from when the exchange reached the machine."""
    if repeats is not None:
        reached = now - ex.waited
        view = repeats.arrived(ex.group, ex.tenant, ex.rank, body, ex.caller, wait, reached, now)
        ex.likely, ex.age, ex.deaf = view.likely, view.age, view.deaf


def answered(
    repeats: Repeats | None,
    ex: Exchange,
    body: bytes,
    given_up: bool,
    wait: float,
    credit: float | None,
    now: float,
) -> None:
    if repeats is not None:
        repeats.answered(ex.group, ex.tenant, ex.rank, body, ex.caller, given_up, wait, credit, now)
