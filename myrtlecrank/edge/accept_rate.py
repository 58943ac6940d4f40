"""The rate at which new connections are accepted: decisions only, no I/O and no clock. Times in ms.

In a reconnect storm hundreds of callers connect at the same moment, to a backend that just came back cold or
to one whose event loop is late. Accepting all of them at once would keep the loop from the exchanges, the
agent's connection and the health checks it already serves. Connections that have to wait stay in the
listener's backlog and lose nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

from myrtlecrank.operators.sections import scalar_option

SLOWDOWN_FACTOR = 0.7  # after a sampling tick that was late
SPEEDUP_FACTOR = 1.1  # after one that was not
MIN_RATE_SHARE = 0.1  # of the configured rate, however late the loop is
TOKEN_TOLERANCE = 1e-6  # lest rounding delays a connection again that has waited the returned time


@dataclass(frozen=True, slots=True)
class AcceptRateOptions:
    """Options of the section [accepting] of the operators' file."""

    on: bool = scalar_option(True, what="false: connections are accepted without a rate limit")
    per_second: float = scalar_option(
        2000.0, 10.0, 1_000_000.0, "connections accepted per second, on average"
    )
    cold_per_second: float = scalar_option(500.0, 10.0, 1_000_000.0, "the same for a cold machine")
    burst: int = scalar_option(64, 1, 100_000, "connections accepted at once after an idle period")
    late_ms: float = scalar_option(
        50.0, 1.0, 10_000.0, "lateness of a sampling tick above which the rate falls"
    )


def contradictions(options: AcceptRateOptions) -> list[str]:
    """Returns a message for each pair of options that are legal alone but make no sense together."""
    if options.cold_per_second > options.per_second:
        return [
            f"cold_per_second: is {options.cold_per_second:g}, above per_second {options.per_second:g}: "
            "a cold machine would accept connections faster than a warm one"
        ]
    return []


class AcceptRateLimiter:
    """A token bucket whose rate follows the machine's warmth and the lateness of the event loop."""

    def __init__(self, options: AcceptRateOptions, now: float) -> None:
        self.options = options
        self.tokens = float(options.burst)
        self.rate_share = 1.0  # of the configured rate, lowered while the loop is late
        self.refilled_at_ms = now
        self.delayed_connections = 0  # since the server last read and reset it

    def rate_per_second(self, warmth: float) -> float:
        """Returns the current rate; `warmth` is 0 (cold) to 1 (warm)."""
        cold, warm = self.options.cold_per_second, self.options.per_second
        return (cold + (warm - cold) * min(1.0, max(0.0, warmth))) * self.rate_share

    def acquire(self, warmth: float, now: float) -> float:
        """Takes a token for the next connection and returns 0, or returns the ms until one is available."""
        rate_per_ms = self.rate_per_second(warmth) / 1000.0
        elapsed_ms = max(0.0, now - self.refilled_at_ms)
        self.tokens = min(float(self.options.burst), self.tokens + elapsed_ms * rate_per_ms)
        self.refilled_at_ms = now  # a clock that steps back costs the tokens of that time
        if self.tokens > 1.0 - TOKEN_TOLERANCE:
            self.tokens = max(0.0, self.tokens - 1.0)
            return 0.0
        self.delayed_connections += 1
        return (1.0 - self.tokens) / rate_per_ms

    def adjust(self, late_ms: float) -> None:
        """Lowers or raises the rate by how late the last sampling tick was."""
        factor = SLOWDOWN_FACTOR if late_ms > self.options.late_ms else SPEEDUP_FACTOR
        self.rate_share = min(1.0, max(MIN_RATE_SHARE, self.rate_share * factor))
