"""The options of the retry estimator in the operators' file. Times in ms."""

from __future__ import annotations

from dataclasses import dataclass

from myrtlecrank.operators.sections import scalar_option


@dataclass(frozen=True, slots=True)
class RetryOptions:
    """Section [repeats]: all options, with their defaults. Names and help texts are shown to operators."""

    on: bool = scalar_option(True, what="false: the program is as it is without the estimate")
    storm_from: float = scalar_option(0.30, 0.05, 0.95, "share of likely repeats from which a storm is on")
    storm_until: float = scalar_option(0.15, 0.01, 0.95, "share below which it ends")
    begin_ms: float = scalar_option(
        500.0, 0.0, 60_000.0, "how long the share stands above before a storm is on"
    )
    end_ms: float = scalar_option(3000.0, 0.0, 600_000.0, "how long below before it is over")
    least_arrivals: int = scalar_option(40, 1, 100_000, "nothing is estimated before so many arrived")
    memory_ms: float = scalar_option(
        10_000.0, 100.0, 600_000.0, "how long what was given up is remembered at least"
    )
    digests: int = scalar_option(8192, 64, 65_536, "exchanges remembered in each of two slices")
    callers: int = scalar_option(512, 8, 4096, "callers told apart; the one heard of longest ago makes room")
    news_ms: float = scalar_option(60.0, 1.0, 10_000.0, "how long an answer may be on its way to its caller")
    deaf_from: float = scalar_option(
        2.0, 0.5, 1000.0, "breaches or quick repeats from which a caller is deaf"
    )
    deaf_half_ms: float = scalar_option(8000.0, 100.0, 600_000.0, "time in which these count half")


def contradictions(options: RetryOptions) -> list[str]:
    """Returns a line for each combination of options that makes no sense, though each alone is allowed."""
    problems = []
    if options.storm_until >= options.storm_from:
        problems.append(
            f"storm_until: is {options.storm_until:g}, not below storm_from {options.storm_from:g}: "
            "a storm would begin and end on the same share"
        )
    if options.least_arrivals > 4 * options.digests:
        problems.append(
            f"least_arrivals: is {options.least_arrivals}, over four times digests {options.digests}: "
            "what arrived would be forgotten before anything is estimated"
        )
    return problems
