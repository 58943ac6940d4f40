"""The retry estimator: for each arrival the probability that it is a retry and the age of its first try, and
for the backend the share of retries and whether there is a retry storm.

Free of I/O and clocks: each call passes the current time, in ms."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from myrtlecrank.retries.caller_timeouts import TimeoutHistogram
from myrtlecrank.retries.noncompliance import FADE_STEP_MS, ComplianceTracker
from myrtlecrank.retries.options import RetryOptions
from myrtlecrank.retries.uncompleted import UncompletedDigests

SHARE_HALF_LIFE_MS = 1000.0  # of the counts that make up the share of retries
MIN_RECENT_ARRIVALS = 8.0  # faded count below which no share is stated

# Probabilities that an arrival is a retry, by what is known of it
DIGEST_MATCHES = 0.95  # where nothing is known of the remaining times of first tries
REMAINING_TIME_OFF_PEAK = 0.9
DIGEST_MATCHES_ON_PEAK = 0.5  # a popular subject of which some were denied looks the same
REMAINING_TIME_ON_PEAK = 0.05


@dataclass(slots=True)
class ArrivalEstimate:
    """The estimate for one arrival."""

    retry_probability: float = 0.0  # 0 where nothing is known
    age: float = 0.0  # ms since its first try reached a machine, where it is probably a retry
    noncompliant: bool = False  # its caller ignores backpressure


@dataclass(slots=True)
class StormStatus:
    """The estimate for the backend as a whole."""

    retry_share: float | None  # of recent arrivals; None: too few were seen
    storm: bool
    noncompliant_callers: int  # counted during a storm only


class RetryEstimator:
    """Estimates retries and the compliance of callers for one backend."""

    def __init__(self, deadlines: Sequence[float], seed: int, options: RetryOptions, now: float) -> None:
        """`deadlines`: the async timeout of each endpoint group; `seed`: of the digests."""
        self.options = options
        self.deadlines = list(deadlines)
        self.histograms = [TimeoutHistogram(deadline) for deadline in deadlines]
        self.uncompleted = UncompletedDigests(seed, options.digests, options.memory_ms)
        self.compliance = ComplianceTracker(
            options.callers, options.news_ms, options.deaf_from, options.deaf_half_ms
        )
        self.now = now
        self.recent_arrivals = 0.0  # faded
        self.recent_retries = 0.0  # faded
        self.total_arrivals = 0
        self.storm = False
        self.threshold_crossed_at = now  # since when the share is beyond the limit that would change `storm`

    def change_options(self, options: RetryOptions) -> None:
        """Takes over new options. Learned state stays, except in tables whose size or duration changes."""
        previous, self.options = self.options, options
        if (options.digests, options.memory_ms) != (previous.digests, previous.memory_ms):
            self.uncompleted = UncompletedDigests(self.uncompleted.seed, options.digests, options.memory_ms)
        self.compliance.configure(options.callers, options.news_ms, options.deaf_from, options.deaf_half_ms)

    def _fade(self, now: float) -> None:
        """The clock may step back: the counts then fade later."""
        if self.now <= now < self.now + FADE_STEP_MS:
            return
        if now > self.now:
            factor = 0.5 ** ((now - self.now) / SHARE_HALF_LIFE_MS)
            self.recent_arrivals *= factor
            self.recent_retries *= factor
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
    ) -> ArrivalEstimate:
        """Records an arrival and returns its estimate.

        `left`: the remaining time that its caller stated, counted from `reached`, its arrival at the
        machine."""
        self._fade(now)
        self.uncompleted.rotate_if_due(now)
        self.total_arrivals += 1
        noncompliant = self.compliance.record_arrival(caller, reached, now)
        digest_matches = bool(body) and self.uncompleted.record_arrival(
            self.uncompleted.digest(group, tenant, rank, body)
        )
        histogram = self.histograms[group]
        on_peak = False
        peaks_known = False
        if left is not None:
            on_peak = histogram.record(left)
            peaks_known = bool(histogram.peaks) and histogram.total >= self.options.least_arrivals
        if peaks_known and not on_peak:
            probability = REMAINING_TIME_OFF_PEAK
        elif digest_matches:
            probability = DIGEST_MATCHES_ON_PEAK if peaks_known else DIGEST_MATCHES
        else:
            probability = REMAINING_TIME_ON_PEAK if peaks_known else 0.0
        age = 0.0
        if peaks_known and not on_peak and left is not None:
            age = max(0.0, self.deadlines[group] - left)
        probably_retry = probability > REMAINING_TIME_ON_PEAK
        quick = probably_retry and not histogram.follows_timeout(age)
        self.compliance.record_quick_retry(caller, probability if quick else 0.0)
        self.recent_arrivals += 1.0
        self.recent_retries += probability if probably_retry else 0.0
        if self.total_arrivals < self.options.least_arrivals:
            return ArrivalEstimate(noncompliant=noncompliant)
        return ArrivalEstimate(probability, age, noncompliant)

    def answered(
        self,
        group: int,
        tenant: int,
        rank: float,
        body: bytes,
        caller: int,
        uncompleted: bool,
        wait: float,
        credit: float | None,
        now: float,
    ) -> None:
        """Records an answer. `uncompleted`: it was rejected or failed, so it may be retried; `wait`: how long
        its caller was advised to stay away; `credit`: the published value."""
        if uncompleted and body:
            self.uncompleted.record_uncompleted(self.uncompleted.digest(group, tenant, rank, body))
        self.compliance.record_answer(caller, wait, credit, now)

    def record_abandonment(self, caller: int, now: float) -> None:
        """Records that the caller gave up an exchange or disconnected before its answer."""
        self.compliance.record_abandonment(caller, now)

    def update_storm_status(self, now: float) -> StormStatus:
        """Returns the share of retries and whether there is a storm. Called on each sampling tick."""
        self._fade(now)
        retry_share = self._retry_share()
        threshold_crossed = self._is_threshold_crossed(retry_share)
        if not threshold_crossed or now < self.threshold_crossed_at:
            self.threshold_crossed_at = now
        elif now - self.threshold_crossed_at >= (
            self.options.end_ms if self.storm else self.options.begin_ms
        ):
            self.storm = not self.storm
            self.threshold_crossed_at = now
        noncompliant_callers = self.compliance.noncompliant_count() if self.storm else 0
        return StormStatus(retry_share, self.storm, noncompliant_callers)

    def _retry_share(self) -> float | None:
        if self.recent_arrivals < MIN_RECENT_ARRIVALS or self.total_arrivals < self.options.least_arrivals:
            return None
        return self.recent_retries / self.recent_arrivals

    def _is_threshold_crossed(self, retry_share: float | None) -> bool:
        """Whether the share calls for a change of `storm`. A storm also ends when hardly anything arrives."""
        if retry_share is None:
            return self.storm
        if self.storm:
            return retry_share < self.options.storm_until
        return retry_share >= self.options.storm_from
