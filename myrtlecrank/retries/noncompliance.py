"""Which callers ignore backpressure: they send although they were advised to wait, or retry at once what
was denied.

No mark by the caller is needed as evidence. Either an exchange reaches the machine while its caller should
stay away, and after the answer that said so must have been received; or it exceeds the caller's credit. Or a
large part of what the caller sends are probably retries, too soon after their first tries to be those of a
caller that waited in vain."""

from __future__ import annotations

from collections import OrderedDict

FADE_STEP_MS = 50.0  # between two updates of a caller's faded counts: each costs a power
MIN_QUICK_RETRY_SHARE = 0.25  # of a caller's arrivals, from which it counts as noncompliant
AWAY_MARGIN_MS = 1.0  # by which a caller may send early
CREDIT_MARGIN = 1.0  # exchanges by which a caller may exceed its credit
MIN_CREDIT = 1.0  # exchanges: each caller may have one outstanding
CREDIT_BREACH_WEIGHT = 0.25  # of a breach of credit, against one of advice to stay away


class CallerRecord:
    """The advice that one caller received and how it complied. `breaches`, `arrivals` and `quick_retries`
    fade."""

    __slots__ = (
        "arrivals",
        "away_from",
        "away_until",
        "breaches",
        "credit",
        "credit_changed_at",
        "faded_at",
        "outstanding",
        "quick_retries",
    )

    def __init__(self, now: float) -> None:
        self.away_from = 0.0
        self.away_until = 0.0
        self.credit = float("inf")
        self.credit_changed_at = now
        self.outstanding = 0
        self.breaches = 0.0
        self.arrivals = 0.0
        self.quick_retries = 0.0
        self.faded_at = now


class ComplianceTracker:
    """Records of the callers that were active most recently, up to a bound."""

    def __init__(self, capacity: int, answer_delay_ms: float, threshold: float, half_life_ms: float) -> None:
        self.callers: OrderedDict[int, CallerRecord] = OrderedDict()
        self.configure(capacity, answer_delay_ms, threshold, half_life_ms)

    def configure(self, capacity: int, answer_delay_ms: float, threshold: float, half_life_ms: float) -> None:
        """`answer_delay_ms`: how long an answer may be on its way to its caller; `threshold`: breaches or
        quick retries from which a caller is noncompliant; `half_life_ms`: of these counts."""
        self.capacity = capacity
        self.answer_delay_ms = answer_delay_ms
        self.threshold = threshold
        self.half_life_ms = half_life_ms
        while len(self.callers) > capacity:
            self.callers.popitem(last=False)

    def _record_of(self, caller: int, now: float) -> CallerRecord:
        record = self.callers.get(caller)
        if record is None:
            if len(self.callers) >= self.capacity:
                self.callers.popitem(last=False)
            record = self.callers[caller] = CallerRecord(now)
        else:
            self.callers.move_to_end(caller)
        elapsed = now - record.faded_at
        if elapsed >= FADE_STEP_MS or elapsed < 0.0:
            elapsed = max(0.0, elapsed)
            factor = 0.5 ** (elapsed / self.half_life_ms)
            record.breaches *= factor
            record.arrivals *= factor
            record.quick_retries *= factor
            record.faded_at = now
        return record

    def record_arrival(self, caller: int, reached: float, now: float) -> bool:
        """Records an exchange that reached the machine at the time `reached`. Returns whether its caller is
        noncompliant."""
        record = self._record_of(caller, now)
        record.outstanding += 1
        if record.away_from + self.answer_delay_ms < reached < record.away_until - AWAY_MARGIN_MS:
            record.breaches += 1.0
        elif (
            record.outstanding > record.credit + CREDIT_MARGIN
            and reached > record.credit_changed_at + self.answer_delay_ms
        ):
            record.breaches += CREDIT_BREACH_WEIGHT
        return self.is_noncompliant(record)

    def record_quick_retry(self, caller: int, probability: float) -> None:
        """`probability`: that the last arrival is a retry of a denied exchange, not of one that timed out."""
        record = self.callers[caller]
        record.arrivals += 1.0
        record.quick_retries += probability

    def is_noncompliant(self, record: CallerRecord) -> bool:
        """Whether the caller's breaches, or its quick retries, are beyond the threshold."""
        return record.breaches >= self.threshold or (
            record.quick_retries >= self.threshold
            and record.quick_retries >= MIN_QUICK_RETRY_SHARE * record.arrivals
        )

    def record_answer(self, caller: int, wait: float, credit: float | None, now: float) -> None:
        """Records what an answer tells the caller: to stay away for `wait` ms, and how many exchanges it may
        have outstanding."""
        record = self._record_of(caller, now)
        record.outstanding = max(0, record.outstanding - 1)
        if wait > 0 and now + wait > record.away_until:
            if record.away_until <= now:
                record.away_from = now
            record.away_until = now + wait
        if credit is not None and credit != record.credit:
            record.credit = max(MIN_CREDIT, credit)
            record.credit_changed_at = now

    def record_abandonment(self, caller: int, now: float) -> None:
        """Records that the caller gave up an outstanding exchange."""
        record = self._record_of(caller, now)
        record.outstanding = max(0, record.outstanding - 1)

    def noncompliant_count(self) -> int:
        """Returns how many of the recorded callers are noncompliant."""
        return sum(self.is_noncompliant(record) for record in self.callers.values())
