"""The retry estimator and its parts, without I/O and clocks."""

from __future__ import annotations

import random

import pytest

from myrtlecrank.retries.caller_timeouts import TimeoutHistogram
from myrtlecrank.retries.estimator import RetryEstimator
from myrtlecrank.retries.noncompliance import ComplianceTracker
from myrtlecrank.retries.options import RetryOptions
from myrtlecrank.retries.uncompleted import UncompletedDigests

DEADLINE = 2500.0


class Traffic:
    """A sequence of arrivals, one each 10 ms, and the estimator that records them."""

    def __init__(self, seed: int = 1, **options: object) -> None:
        self.estimator = RetryEstimator([DEADLINE], seed, RetryOptions(**options), 0.0)  # type: ignore[arg-type]
        self.rng = random.Random(seed)
        self.now = 0.0
        self.count = 0

    def arrive(self, left: float = 1000.0, caller: int = 1, body: bytes | None = None, rank: float = 0.5):
        self.count += 1
        self.now += 10.0
        body = b"subject %d" % self.count if body is None else body
        return self.estimator.arrived(0, 0, rank, body, caller, left, self.now, self.now)

    def first_tries(self, arrivals: int = 200, left: float = 1000.0, caller: int = 1) -> None:
        for _ in range(arrivals):
            self.arrive(left, caller)
            self.estimator.answered(0, 0, 0.5, b"subject %d" % self.count, caller, False, 0.0, None, self.now)

    def storm(self, seconds: int = 3, retry_share: float = 0.6, caller: int = 2) -> None:
        """First tries among retries whose remaining time lies anywhere; a sampling tick each 100 ms."""
        for i in range(seconds * 100):
            is_retry = self.rng.random() < retry_share
            self.arrive(self.rng.uniform(100.0, 2400.0) if is_retry else 1000.0, caller if is_retry else 1)
            if i % 10 == 0:
                self.estimator.update_storm_status(self.now)


def test_arrivals_off_the_peak_of_remaining_times_are_probably_retries() -> None:
    traffic = Traffic()
    traffic.first_tries()
    assert traffic.arrive(1000.0).retry_probability < 0.1
    estimate = traffic.arrive(1900.0)
    assert estimate.retry_probability >= 0.9
    assert estimate.age == pytest.approx(DEADLINE - 1900.0)


def test_two_timeouts_for_first_tries_make_two_peaks() -> None:
    traffic = Traffic()
    for _ in range(200):
        traffic.arrive(1000.0)
        traffic.arrive(677.0)
    assert traffic.arrive(1000.0).retry_probability < 0.1
    assert traffic.arrive(677.0).retry_probability < 0.1
    assert traffic.arrive(1400.0).retry_probability >= 0.9


def test_retries_of_any_age_make_no_peak() -> None:
    """In a retry storm most arrivals are retries: they must not count as first tries."""
    histogram, rng = TimeoutHistogram(DEADLINE), random.Random(4)
    for _ in range(3000):
        histogram.record(1000.0 if rng.random() < 0.2 else rng.uniform(100.0, 2450.0))
    assert [round((peak + 0.5) * histogram.bin_width_ms) for peak in histogram.peaks] == [1001]


def test_quick_retries_near_the_whole_deadline_make_no_peak_either() -> None:
    """Denied at once and sent again 15 to 100 ms later, most lie close together but not on one value."""
    histogram, rng = TimeoutHistogram(DEADLINE), random.Random(5)
    for _ in range(3000):
        histogram.record(1000.0 if rng.random() < 0.5 else DEADLINE - rng.uniform(15.0, 100.0))
    assert len(histogram.peaks) == 1


def test_there_is_no_estimate_before_the_least_number_of_arrivals() -> None:
    traffic = Traffic(least_arrivals=40)
    for _ in range(39):
        assert traffic.arrive(traffic.rng.uniform(10.0, 2400.0)).retry_probability == 0.0
    assert traffic.estimator.update_storm_status(traffic.now).retry_share is None
    assert not traffic.estimator.update_storm_status(traffic.now).storm


def test_a_storm_that_is_on_from_the_first_arrival_is_detected() -> None:
    traffic = Traffic()
    traffic.storm(seconds=5, retry_share=0.6)
    status = traffic.estimator.update_storm_status(traffic.now)
    assert status.storm
    assert status.retry_share == pytest.approx(0.55, abs=0.12)


def test_a_storm_is_detected_and_ends_with_the_retries() -> None:
    traffic = Traffic()
    traffic.first_tries()
    assert not traffic.estimator.update_storm_status(traffic.now).storm
    traffic.storm()
    assert traffic.estimator.update_storm_status(traffic.now).storm
    for _ in range(60):
        traffic.first_tries(10)
        traffic.estimator.update_storm_status(traffic.now)
    assert not traffic.estimator.update_storm_status(traffic.now).storm


def test_one_caller_with_nine_tenths_of_the_traffic_and_no_retries_is_no_storm() -> None:
    traffic = Traffic()
    for i in range(2000):
        traffic.arrive(1000.0, caller=9 if i % 10 else 1)
        if i % 10 == 0:
            traffic.estimator.update_storm_status(traffic.now)
    status = traffic.estimator.update_storm_status(traffic.now)
    assert not status.storm and status.noncompliant_callers == 0
    assert status.retry_share is not None and status.retry_share < 0.02


def test_a_storm_is_detected_although_all_callers_share_a_number() -> None:
    traffic = Traffic()
    traffic.first_tries(caller=7)
    traffic.storm(caller=7)
    assert traffic.estimator.update_storm_status(traffic.now).storm


def test_retries_that_come_to_each_backend_once_are_detected_by_their_remaining_time() -> None:
    """No digest occurs twice here."""
    traffic = Traffic()
    traffic.first_tries()
    traffic.storm(retry_share=0.7)
    share = traffic.estimator.update_storm_status(traffic.now).retry_share
    assert share is not None and share > 0.5


def test_a_retry_is_recognised_by_its_digest_where_no_remaining_time_is_stated() -> None:
    estimator = RetryEstimator([DEADLINE], 1, RetryOptions(least_arrivals=1), 0.0)
    estimator.arrived(0, 0, 0.5, b"one", 1, None, 0.0, 0.0)
    estimator.answered(0, 0, 0.5, b"one", 1, True, 0.0, None, 10.0)
    assert estimator.arrived(0, 0, 0.5, b"one", 1, None, 20.0, 20.0).retry_probability > 0.9
    assert estimator.arrived(0, 1, 0.5, b"one", 1, None, 21.0, 21.0).retry_probability == 0.0, (
        "of another tenant"
    )
    assert estimator.arrived(0, 0, 0.5, b"two", 1, None, 22.0, 22.0).retry_probability == 0.0


def test_a_popular_subject_is_distinguished_from_retries() -> None:
    """Twenty callers ask for the same subject; one of them is denied, and another one arrives."""
    estimator = RetryEstimator([DEADLINE], 1, RetryOptions(least_arrivals=1), 0.0)
    for at in range(20):
        estimator.arrived(0, 0, 0.5, b"stop", at, None, float(at), float(at))
    estimator.answered(0, 0, 0.5, b"stop", 3, True, 0.0, None, 21.0)
    assert estimator.arrived(0, 0, 0.5, b"stop", 30, None, 22.0, 22.0).retry_probability == 0.0


def test_a_flood_of_distinct_digests_shortens_the_memory_and_cannot_fill_it() -> None:
    digests = UncompletedDigests(seed=3, capacity=1000, max_age_ms=10_000.0)
    size = digests.size_bytes
    for i in range(50_000):
        digests.rotate_if_due(float(i) * 0.01)
        digests.record_arrival(digests.digest(0, 0, 0.5, b"flood %d" % i))
    assert digests.size_bytes == size
    assert digests.early_rotations > 20
    fresh = digests.digest(0, 0, 0.5, b"honest")
    digests.record_arrival(fresh)
    digests.record_uncompleted(fresh)
    assert digests.record_arrival(fresh)


def test_digests_depend_on_the_seed() -> None:
    """Without the seed, clients cannot craft bodies whose digests collide."""
    one, other = UncompletedDigests(1, 10, 1.0), UncompletedDigests(2, 10, 1.0)
    assert one.digest(0, 0, 0.5, b"x") != other.digest(0, 0, 0.5, b"x")


def test_memory_stays_within_its_bound_over_an_hour_of_events() -> None:
    import tracemalloc

    rng = random.Random(6)
    estimator = RetryEstimator([DEADLINE, DEADLINE], 1, RetryOptions(), 0.0)
    tracemalloc.start()
    now = 0.0
    for i in range(36_000):
        now += 100.0
        body = b"%d" % i
        estimator.arrived(i % 2, 0, 0.5, body, rng.randrange(100_000), rng.uniform(10.0, 2400.0), now, now)
        estimator.answered(i % 2, 0, 0.5, body, i % 100_000, i % 3 == 0, 100.0, 3.0, now + 1.0)
        estimator.update_storm_status(now)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    fixed = estimator.uncompleted.size_bytes + sum(
        p.bins.itemsize * len(p.bins) for p in estimator.histograms
    )
    assert len(estimator.compliance.callers) <= RetryOptions().callers
    assert peak + fixed < 2_000_000


def test_a_clock_that_steps_back_does_not_end_a_storm() -> None:
    traffic = Traffic()
    traffic.first_tries()
    traffic.storm()
    traffic.now -= 60_000.0
    assert traffic.estimator.update_storm_status(traffic.now).storm
    traffic.arrive(1000.0)
    assert traffic.estimator.update_storm_status(traffic.now + 100.0).storm


def advise_to_stay_away(tracker: ComplianceTracker, caller: int, now: float, wait: float = 300.0) -> None:
    tracker.record_arrival(caller, now, now)
    tracker.record_answer(caller, wait, None, now)


def test_a_caller_that_comes_while_it_should_stay_away_is_noncompliant_for_a_while() -> None:
    tracker = ComplianceTracker(10, answer_delay_ms=60.0, threshold=2.0, half_life_ms=8000.0)
    for at in range(3):
        advise_to_stay_away(tracker, 1, at * 1000.0)
        noncompliant = tracker.record_arrival(1, at * 1000.0 + 150.0, at * 1000.0 + 160.0)
    assert noncompliant
    assert not tracker.record_arrival(1, 40_000.0, 40_000.0)


def test_arrivals_before_the_advice_was_received_or_after_it_expired_are_no_breach() -> None:
    tracker = ComplianceTracker(10, answer_delay_ms=60.0, threshold=2.0, half_life_ms=8000.0)
    for at in range(20):
        advise_to_stay_away(tracker, 1, at * 1000.0)
        assert not tracker.record_arrival(1, at * 1000.0 + 40.0, at * 1000.0 + 400.0), (
            "sent before the advice was received"
        )
        assert not tracker.record_arrival(1, at * 1000.0 + 320.0, at * 1000.0 + 330.0)
        tracker.record_abandonment(1, at * 1000.0 + 340.0)
        tracker.record_abandonment(1, at * 1000.0 + 340.0)


def test_a_caller_that_keeps_retrying_quickly_is_noncompliant() -> None:
    traffic = Traffic()
    traffic.first_tries()
    for _ in range(10):
        noncompliant = traffic.arrive(traffic.rng.uniform(1600.0, 2400.0), caller=5).noncompliant
    assert noncompliant
    assert not traffic.arrive(1000.0, caller=1).noncompliant


def test_a_caller_that_retries_after_a_timeout_is_compliant() -> None:
    traffic = Traffic()
    traffic.first_tries()
    for _ in range(20):
        traffic.arrive(1000.0, caller=5)
        estimate = traffic.arrive(DEADLINE - 1003.0, caller=5)
    assert estimate.retry_probability >= 0.9
    assert not estimate.noncompliant


def test_the_number_of_recorded_callers_is_bounded() -> None:
    tracker = ComplianceTracker(100, answer_delay_ms=60.0, threshold=2.0, half_life_ms=8000.0)
    for caller in range(1000):
        advise_to_stay_away(tracker, caller, float(caller))
    assert len(tracker.callers) == 100
    assert 999 in tracker.callers and 0 not in tracker.callers
