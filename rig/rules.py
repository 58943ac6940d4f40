"""The four rules, counted from outside: tries, answers, runs, notices to leave, stops. Never asks the
program."""

from __future__ import annotations

from dataclasses import dataclass, field

from rig.callers import Said, Try

SLACK = 60.0  # an answer may come this much later than its caller waits


@dataclass
class Rules:
    grace: float
    slack: float = SLACK
    breaks: dict[str, int] = field(default_factory=lambda: {"lost": 0, "twice": 0, "drain": 0, "fall": 0})
    first: str | None = None
    open: dict[Try, None] = field(default_factory=dict)

    def _broken(self, rule: str, story: str) -> None:
        self.breaks[rule] += 1
        if self.first is None:
            self.first = f"{rule}: {story}"

    def story(self, one: Try) -> str:
        read = "never read" if one.read_at is None else f"read at {one.read_at:.0f}"
        end = "no answer" if one.answered is None else f"{one.answered.name.lower()} at {one.answered_at:.0f}"
        return (
            f"try {one.ident} of wish {one.wish.number} at backend {one.backend}: sent at {one.sent:.0f}, "
            f"waits {one.wait:.0f}, {read}, launches {[round(t) for t in one.launches]}, {end}"
        )

    def read(self, one: Try, now: float) -> None:
        one.read_at = now
        self.open[one] = None

    def launched(self, one: Try, now: float, notice: float | None) -> None:
        one.launches.append(now)
        if notice is not None and one.reached > notice + self.grace:
            self._broken("drain", self.story(one))

    def answered(self, one: Try, said: Said, now: float) -> None:
        """Called before the caller hears it."""
        if one.answered is not None:
            self._broken("twice", self.story(one))
        self.open.pop(one, None)
        if one.read_at is not None and now > max(one.read_at, one.reached + one.wait) + self.slack:
            self._broken("lost", f"late answer at {now:.0f}: {self.story(one)}")

    def dropped(self, one: Try, now: float) -> None:
        """Its connection ended at a backend that neither left nor died."""
        self._broken("lost", f"connection closed at {now:.0f}: {self.story(one)}")

    def strange(self, backend: int, stream: int, now: float) -> None:
        """An answer on a stream that has none to come."""
        self._broken("twice", f"backend {backend} answered stream {stream} at {now:.0f}, where none was open")

    def cut(self, one: Try) -> None:
        """Its machine was killed: no rule asks for an answer."""
        one.broken = True
        self.open.pop(one, None)

    def stopped(self, tries: list[Try]) -> None:
        """The process ended after a notice to leave; these were open there."""
        for one in tries:
            if one in self.open:
                del self.open[one]
                self._broken("lost", f"open at the stop: {self.story(one)}")

    def fell(self, backend: int, now: float) -> None:
        self._broken("fall", f"backend {backend} fell over at {now:.0f}")

    def look(self, now: float) -> None:
        """What is open past its time has no answer in time any more."""
        late = [o for o in self.open if now > max(o.read_at or 0.0, o.reached + o.wait) + self.slack]
        for one in late:
            del self.open[one]
            self._broken("lost", f"no answer by {now:.0f}: {self.story(one)}")
