"""The log lines on retry storms: one when a storm begins, one a minute while it lasts, one when it ends."""

from __future__ import annotations

from myrtlecrank.retries.estimator import StormStatus

REPORT_INTERVAL_MS = 60_000.0


class StormLog:
    """Turns the status at each sampling tick into log lines."""

    def __init__(self) -> None:
        self.began_at: float | None = None  # None: there is no storm
        self.next_report_at = 0.0
        self.highest_share = 0.0

    def lines(self, status: StormStatus | None, credit: float | None, now: float) -> list[str]:
        """Returns the lines that are due, mostly none. Called on each sampling tick; `status` is None while
        the estimator is off."""
        if status is None or not status.storm:
            began_at, self.began_at = self.began_at, None
            if began_at is None:
                return []
            duration_s = max(0.0, now - began_at) / 1000.0
            highest = f"at most {self.highest_share:.0%} were likely repeats"
            return [f"the storm of repeats is over after {duration_s:.0f} s; {highest}"]
        share = status.retry_share or 0.0
        credit_text = "none" if credit is None else f"{credit:.1f}"
        state = (
            f"{share:.0%} of arrivals are likely repeats, credit {credit_text}, "
            f"{status.noncompliant_callers} callers heed nothing"
        )
        if self.began_at is None:
            self.began_at = now
            self.next_report_at = now + REPORT_INTERVAL_MS
            self.highest_share = share
            return [f"a storm of repeats begins: {state}"]
        self.highest_share = max(self.highest_share, share)
        if now < self.next_report_at:
            return []
        self.next_report_at = now + REPORT_INTERVAL_MS
        return [f"the storm of repeats goes on for {(now - self.began_at) / 1000.0:.0f} s: {state}"]
