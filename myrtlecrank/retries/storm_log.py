"""What the log says of storms: a line when one begins, one a minute while it lasts, one when it ends."""

from __future__ import annotations

from myrtlecrank.retries.estimator import Tide

EVERY_MS = 60_000.0


class Report:
    def __init__(self) -> None:
        self.began: float | None = None
        self.due = 0.0
        self.highest = 0.0

    def lines(self, tide: Tide | None, credit: float | None, now: float) -> list[str]:
        """Called once a beat, with None where the estimate is off; mostly empty."""
        if tide is None or not tide.storm:
            began, self.began = self.began, None
            if began is None:
                return []
            span = max(0.0, now - began) / 1000.0
            most = f"at most {self.highest:.0%} were likely repeats"
            return [f"the storm of repeats is over after {span:.0f} s; {most}"]
        share = tide.share or 0.0
        said = "none" if credit is None else f"{credit:.1f}"
        state = f"{share:.0%} of arrivals are likely repeats, credit {said}, {tide.deaf} callers heed nothing"
        if self.began is None:
            self.began, self.due, self.highest = now, now + EVERY_MS, share
            return [f"a storm of repeats begins: {state}"]
        self.highest = max(self.highest, share)
        if now < self.due:
            return []
        self.due = now + EVERY_MS
        return [f"the storm of repeats goes on for {(now - self.began) / 1000.0:.0f} s: {state}"]
