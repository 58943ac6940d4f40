"""Checker of the four rules. It observes tries, answers, runs, drain requests and stops from outside, without
asking the program."""

from __future__ import annotations

from dataclasses import dataclass, field

from rig.callers import Try, TryOutcome

ANSWER_SLACK_MS = 60.0  # an answer may arrive this much after its caller's timeout


@dataclass
class Rules:
    """Counts violations by rule.

    "lost": no answer in time; "twice": a second answer; "drain": a run started for a try that arrived
    after the drain grace period; "fall": the machine collapsed.
    """

    drain_grace_ms: float
    slack_ms: float = ANSWER_SLACK_MS
    violations: dict[str, int] = field(default_factory=lambda: {"lost": 0, "twice": 0, "drain": 0, "fall": 0})
    first_violation: str | None = None
    open_tries: dict[Try, None] = field(default_factory=dict)

    def _record_violation(self, rule: str, description: str) -> None:
        self.violations[rule] += 1
        if self.first_violation is None:
            self.first_violation = f"{rule}: {description}"

    def describe(self, one: Try) -> str:
        """Returns the history of a try for a violation message."""
        read = "never read" if one.read_at is None else f"read at {one.read_at:.0f}"
        end = "no answer" if one.outcome is None else f"{one.outcome.name.lower()} at {one.answered_at:.0f}"
        return (
            f"try {one.exchange_id} of request {one.request.number} at backend {one.backend}: "
            f"sent at {one.sent_at:.0f}, times out after {one.timeout:.0f} ms, {read}, "
            f"runs started at {[round(t) for t in one.run_starts]}, {end}"
        )

    def record_read(self, one: Try, now: float) -> None:
        """Records that a backend has received a try, and so owes an answer."""
        one.read_at = now
        self.open_tries[one] = None

    def record_run_start(self, one: Try, now: float, drain_requested_at: float | None) -> None:
        """Records the start of a run; no run starts for what arrived after the drain grace period."""
        one.run_starts.append(now)
        if drain_requested_at is not None and one.arrived_at > drain_requested_at + self.drain_grace_ms:
            self._record_violation("drain", self.describe(one))

    def record_answer(self, one: Try, outcome: TryOutcome, now: float) -> None:
        """Records an answer; called before the caller receives it."""
        if one.outcome is not None:
            self._record_violation("twice", self.describe(one))
        self.open_tries.pop(one, None)
        if one.read_at is not None and now > max(one.read_at, one.arrived_at + one.timeout) + self.slack_ms:
            self._record_violation("lost", f"late answer at {now:.0f}: {self.describe(one)}")

    def record_dropped_connection(self, one: Try, now: float) -> None:
        """Records that a connection ended at a backend that was neither draining nor killed."""
        self._record_violation("lost", f"connection closed at {now:.0f}: {self.describe(one)}")

    def record_unexpected_answer(self, backend: int, stream: int, now: float) -> None:
        """Records an answer on a stream that has no open try."""
        self._record_violation(
            "twice", f"backend {backend} answered stream {stream} at {now:.0f}, but no try was open there"
        )

    def record_lost_try(self, one: Try) -> None:
        """Records that the machine of a try was killed: no rule requires an answer."""
        one.is_lost = True
        self.open_tries.pop(one, None)

    def record_stop(self, tries: list[Try]) -> None:
        """Records that a process ended after a drain request with these tries unanswered."""
        for one in tries:
            if one in self.open_tries:
                del self.open_tries[one]
                self._record_violation("lost", f"unanswered at the stop: {self.describe(one)}")

    def record_collapse(self, backend: int, now: float) -> None:
        """Records that a machine collapsed or a process exited by itself."""
        self._record_violation("fall", f"backend {backend} collapsed at {now:.0f}")

    def check_overdue(self, now: float) -> None:
        """Records open tries whose answer can no longer arrive in time."""
        late = [
            o
            for o in self.open_tries
            if now > max(o.read_at or 0.0, o.arrived_at + o.timeout) + self.slack_ms
        ]
        for one in late:
            del self.open_tries[one]
            self._record_violation("lost", f"no answer by {now:.0f}: {self.describe(one)}")
