"""The options of the retry estimator in the operators' file. Times in ms."""

from __future__ import annotations

from dataclasses import dataclass

from myrtlecrank.operators.sections import scalar_option


@dataclass(frozen=True, slots=True)
class RetryOptions:
    """Section [repeats]: all options, with their defaults. Names and help texts are shown to operators."""

    on: bool = scalar_option(True, what="false: the program runs without the estimate of retries")
    storm_from: float = scalar_option(
        0.30, 0.05, 0.95, "share of probable retries among arrivals from which a retry storm begins"
    )
    storm_until: float = scalar_option(0.15, 0.01, 0.95, "share below which the storm ends")
    begin_ms: float = scalar_option(
        500.0, 0.0, 60_000.0, "how long the share must stay that high before a storm begins"
    )
    end_ms: float = scalar_option(
        3000.0, 0.0, 600_000.0, "how long the share must stay that low before a storm ends"
    )
    least_arrivals: int = scalar_option(40, 1, 100_000, "arrivals needed before anything is estimated")
    memory_ms: float = scalar_option(
        10_000.0,
        100.0,
        600_000.0,
        "minimum time to keep digests of rejected or failed exchanges, unless the filters fill up earlier",
    )
    digests: int = scalar_option(8192, 64, 65_536, "digests kept in each of two generations of filters")
    callers: int = scalar_option(
        512, 8, 4096, "callers with a record of their own; the least recently active one is evicted"
    )
    news_ms: float = scalar_option(60.0, 1.0, 10_000.0, "how long an answer may take to reach its caller")
    deaf_from: float = scalar_option(
        2.0, 0.5, 1000.0, "breaches or quick retries from which a caller counts as ignoring backpressure"
    )
    deaf_half_ms: float = scalar_option(8000.0, 100.0, 600_000.0, "half-life of these counts")


def contradictions(options: RetryOptions) -> list[str]:
    """Returns a line for each combination of options that makes no sense, though each alone is allowed."""
    problems = []
    if options.storm_until >= options.storm_from:
        problems.append(
            f"storm_until: is {options.storm_until:g}, not below storm_from {options.storm_from:g}: "
            "a storm would begin and end at the same share"
        )
    if options.least_arrivals > 4 * options.digests:
        problems.append(
            f"least_arrivals: is {options.least_arrivals}, over four times digests {options.digests}: "
            "the digests of arrivals would be cleared before anything is estimated"
        )
    return problems
