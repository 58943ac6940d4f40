"""What the operators may set of the estimate of repeats. Times in ms."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """All bounds with the values that are used where the operators say nothing."""

    on: bool = True
    storm_from: float = 0.30  # share of repeats from which a storm is on
    storm_until: float = 0.15  # share below which it ends
    begin_ms: float = 500.0  # how long the share must stand above before a storm is told
    end_ms: float = 3000.0  # how long below before it is over
    least_arrivals: int = 40  # no estimate before so many were seen
    memory_ms: float = 10_000.0  # how long what was given up is remembered, twice that at the most
    digests: int = 8192  # given-up exchanges remembered in each of the two slices
    callers: int = 512  # callers told apart; the one heard of longest ago makes room
    news_ms: float = 60.0  # a caller has heard an answer by then
    deaf_from: float = 2.0  # breaches, halved every `deaf_half_ms`, from which a caller counts as deaf
    deaf_half_ms: float = 8000.0
