"""The estimate of repeats: for each arrival how likely it is one and how old its wish, for the backend the
share of late and whether a storm is on. Free of I/O and clocks: called with facts and the time now, in ms."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from myrtlecrank.retries.abandoned import GivenUp
from myrtlecrank.retries.caller_timeouts import Patience
from myrtlecrank.retries.noncompliance import STEP_MS, Heeding
from myrtlecrank.retries.options import Bounds

SHARE_MS = 1000.0  # over which the share is taken
ALIKE, OFF_PEAK, ALIKE_ON_PEAK, ON_PEAK = 0.95, 0.9, 0.5, 0.05  # likely a repeat, by what is seen


@dataclass(slots=True)
class View:
    """What is thought of one arrival."""

    likely: float = 0.0  # that it is a repeat, 0 to 1; 0 where nothing is known
    age: float = 0.0  # ms since its first try reached a machine, where it is likely a repeat
    deaf: bool = False  # its caller heeds neither credit nor advice


@dataclass(slots=True)
class Tide:
    """What the backend as a whole sees."""

    share: float | None  # of arrivals of late that are likely repeats; None: too little was seen
    storm: bool
    deaf: int  # callers that heed nothing; counted in a storm only


class Repeats:
    def __init__(self, deadlines: Sequence[float], seed: int, bounds: Bounds, now: float) -> None:
        """`deadlines`: the async timeout of each endpoint group; `seed`: of the digests."""
        self.bounds, self.deadlines = bounds, list(deadlines)
        self.patience = [Patience(deadline) for deadline in deadlines]
        self.given = GivenUp(seed, bounds.digests, bounds.memory_ms)
        self.heeding = Heeding(bounds.callers, bounds.news_ms, bounds.deaf_from, bounds.deaf_half_ms)
        self.now = now
        self.arrivals = self.again = 0.0  # of late
        self.came = 0
        self.storm = False
        self.crossed = now  # since when the share is beyond the bound that would change `storm`

    def adopt(self, bounds: Bounds) -> None:
        """Takes new bounds over. What was learned stays, but for tables whose size changed."""
        old, self.bounds = self.bounds, bounds
        if (bounds.digests, bounds.memory_ms) != (old.digests, old.memory_ms):
            self.given = GivenUp(self.given.seed, bounds.digests, bounds.memory_ms)
        self.heeding.adopt(bounds.callers, bounds.news_ms, bounds.deaf_from, bounds.deaf_half_ms)

    def _pass(self, now: float) -> None:
        """The clock may step back; what was counted then only fades later."""
        if self.now <= now < self.now + STEP_MS:
            return
        if now > self.now:
            fade = 0.5 ** ((now - self.now) / SHARE_MS)
            self.arrivals *= fade
            self.again *= fade
        self.now = now

    def arrived(
        self,
        group: int,
        tenant: int,
        rank: float,
        body: bytes,
        caller: int,
        left: float | None,
        reached: float,
        now: float,
    ) -> View:
        """`left`: the time left that its caller told, counted from `reached`, when it came to the machine."""
        self._pass(now)
        self.given.turn(now)
        self.came += 1
        deaf = self.heeding.arrived(caller, reached, now)
        alike = bool(body) and self.given.arrived(self.given.digest(group, tenant, rank, body))
        patience, peak, known = self.patience[group], False, False
        if left is not None:
            peak = patience.note(left)
            known = bool(patience.peaks) and patience.total >= self.bounds.least_arrivals
        if known and not peak:
            likely = OFF_PEAK
        elif alike:
            likely = ALIKE_ON_PEAK if known else ALIKE  # a popular subject that was denied looks so too
        else:
            likely = ON_PEAK if known else 0.0
        age = 0.0
        if known and not peak and left is not None:
            age = max(0.0, self.deadlines[group] - left)
        soon = likely if likely > ON_PEAK and not patience.waited(age) else 0.0
        self.heeding.likely(caller, soon)
        self.arrivals += 1.0
        self.again += likely if likely > ON_PEAK else 0.0
        if self.came < self.bounds.least_arrivals:
            return View(deaf=deaf)
        return View(likely, age, deaf)

    def answered(
        self,
        group: int,
        tenant: int,
        rank: float,
        body: bytes,
        caller: int,
        given_up: bool,
        wait: float,
        credit: float | None,
        now: float,
    ) -> None:
        """`given_up`: its answer was no completion, so it may come again."""
        if given_up and body:
            self.given.gave_up(self.given.digest(group, tenant, rank, body))
        self.heeding.answered(caller, wait, credit, now)

    def left(self, caller: int, now: float) -> None:
        """Its connection is gone before the answer."""
        self.heeding.left(caller, now)

    def tide(self, now: float) -> Tide:
        """Asked once a beat: share, and whether a storm is on."""
        self._pass(now)
        bounds = self.bounds
        share = (
            self.again / self.arrivals
            if self.arrivals >= 8.0 and self.came >= bounds.least_arrivals
            else None
        )
        beyond = share is not None and (
            share < bounds.storm_until if self.storm else share >= bounds.storm_from
        )
        if share is None and self.storm:
            beyond = True  # hardly anything comes
        if not beyond or now < self.crossed:
            self.crossed = now
        elif now - self.crossed >= (bounds.end_ms if self.storm else bounds.begin_ms):
            self.storm, self.crossed = not self.storm, now
        return Tide(share, self.storm, self.heeding.deaf() if self.storm else 0)
