"""Which callers heed nothing: they come although they were told to stay away, or come again with what was
denied.

Evidence needs no mark. An answer said `w` (stay away so long), and an exchange reached the machine after that
answer had been heard and before the time was over. Or much of what the caller brings is likely repeats, too
soon after their first tries to be those of callers that had waited in vain."""

from __future__ import annotations

from collections import OrderedDict

STEP_MS = 50.0  # between two fadings of what is known of a caller: each costs a power
SHARE = 0.25  # of what a caller brings, soon repeats from which it counts as deaf


class Told:
    """What one caller was told and how it kept to it."""

    __slots__ = (
        "again",
        "away_from",
        "away_until",
        "breaches",
        "came",
        "credit",
        "credit_at",
        "in_hand",
        "seen",
    )

    def __init__(self, now: float) -> None:
        self.away_from = self.away_until = 0.0
        self.credit, self.credit_at = float("inf"), now
        self.in_hand = 0
        self.breaches = self.came = self.again = 0.0
        self.seen = now


class Heeding:
    """The callers that were heard of last, up to a bound."""

    def __init__(self, most: int, news: float, deaf_from: float, half: float) -> None:
        self.told: OrderedDict[int, Told] = OrderedDict()
        self.adopt(most, news, deaf_from, half)

    def adopt(self, most: int, news: float, deaf_from: float, half: float) -> None:
        self.most, self.news, self.deaf_from, self.half = most, news, deaf_from, half
        while len(self.told) > most:
            self.told.popitem(last=False)

    def _of(self, caller: int, now: float) -> Told:
        told = self.told.get(caller)
        if told is None:
            if len(self.told) >= self.most:
                self.told.popitem(last=False)
            told = self.told[caller] = Told(now)
        else:
            self.told.move_to_end(caller)
        passed = now - told.seen
        if passed >= STEP_MS or passed < 0.0:
            passed = max(0.0, passed)
            fade = 0.5 ** (passed / self.half)
            told.breaches *= fade
            told.came *= fade
            told.again *= fade
            told.seen = now
        return told

    def arrived(self, caller: int, reached: float, now: float) -> bool:
        """Takes in one that reached the machine at `reached`; whether its caller counts as deaf."""
        told = self._of(caller, now)
        told.in_hand += 1
        if told.away_from + self.news < reached < told.away_until - 1.0:
            told.breaches += 1.0
        elif told.in_hand > told.credit + 1.0 and reached > told.credit_at + self.news:
            told.breaches += 0.25
        return self.is_deaf(told)

    def likely(self, caller: int, soon: float) -> None:
        """`soon`: how likely the one that just came repeats another that was denied, not one that waited."""
        told = self.told[caller]
        told.came += 1.0
        told.again += soon

    def is_deaf(self, told: Told) -> bool:
        return told.breaches >= self.deaf_from or (
            told.again >= self.deaf_from and told.again >= SHARE * told.came
        )

    def answered(self, caller: int, wait: float, credit: float | None, now: float) -> None:
        """What its answer says: to stay away so long, and how many it may have outstanding."""
        told = self._of(caller, now)
        told.in_hand = max(0, told.in_hand - 1)
        if wait > 0 and now + wait > told.away_until:
            if told.away_until <= now:
                told.away_from = now
            told.away_until = now + wait
        if credit is not None and credit != told.credit:
            told.credit, told.credit_at = max(1.0, credit), now

    def left(self, caller: int, now: float) -> None:
        told = self._of(caller, now)
        told.in_hand = max(0, told.in_hand - 1)

    def deaf(self) -> int:
        return sum(self.is_deaf(told) for told in self.told.values())
