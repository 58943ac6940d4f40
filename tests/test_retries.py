"""The estimate of repeats, on facts alone."""

from __future__ import annotations

import random

import pytest

from myrtlecrank.retries.abandoned import GivenUp
from myrtlecrank.retries.caller_timeouts import Patience
from myrtlecrank.retries.estimator import Repeats
from myrtlecrank.retries.noncompliance import Heeding
from myrtlecrank.retries.options import Bounds

DEADLINE = 2500.0


class Days:
    """Arrivals in a row, told to an estimate by hand."""

    def __init__(self, seed: int = 1, **bounds: object) -> None:
        self.repeats = Repeats([DEADLINE], seed, Bounds(**bounds), 0.0)  # type: ignore[arg-type]
        self.chance = random.Random(seed)
        self.now = 0.0
        self.count = 0

    def first(self, left: float = 1000.0, caller: int = 1, body: bytes | None = None, rank: float = 0.5):
        self.count += 1
        self.now += 10.0
        body = b"subject %d" % self.count if body is None else body
        return self.repeats.arrived(0, 0, rank, body, caller, left, self.now, self.now)

    def calm(self, arrivals: int = 200, left: float = 1000.0, caller: int = 1) -> None:
        for _ in range(arrivals):
            self.first(left, caller)
            self.repeats.answered(0, 0, 0.5, b"subject %d" % self.count, caller, False, 0.0, None, self.now)

    def storm(self, seconds: int = 3, part: float = 0.6, caller: int = 2) -> None:
        """First tries among repeats whose time left lies anywhere; a beat every 100 ms."""
        for i in range(seconds * 100):
            repeat = self.chance.random() < part
            self.first(self.chance.uniform(100.0, 2400.0) if repeat else 1000.0, caller if repeat else 1)
            if i % 10 == 0:
                self.repeats.tide(self.now)


def test_first_tries_pile_up_on_one_time_left_and_others_are_likely_repeats() -> None:
    days = Days()
    days.calm()
    assert days.first(1000.0).likely < 0.1
    view = days.first(1900.0)
    assert view.likely >= 0.9
    assert view.age == pytest.approx(DEADLINE - 1900.0)


def test_two_habits_of_waiting_are_both_first_tries() -> None:
    days = Days()
    for _ in range(200):
        days.first(1000.0)
        days.first(677.0)
    assert days.first(1000.0).likely < 0.1
    assert days.first(677.0).likely < 0.1
    assert days.first(1400.0).likely >= 0.9


def test_repeats_at_any_age_make_no_peak_of_their_own() -> None:
    """In a storm most of what comes are repeats: they must not pass for a habit."""
    patience, chance = Patience(DEADLINE), random.Random(4)
    for _ in range(3000):
        patience.note(1000.0 if chance.random() < 0.2 else chance.uniform(100.0, 2450.0))
    assert [round((peak + 0.5) * patience.wide) for peak in patience.peaks] == [1001]


def test_quick_repeats_near_the_whole_deadline_are_no_habit_either() -> None:
    """Denied at once and sent again 15 to 60 ms later: most lie close together, though not on one value."""
    patience, chance = Patience(DEADLINE), random.Random(5)
    for _ in range(3000):
        patience.note(1000.0 if chance.random() < 0.5 else DEADLINE - chance.uniform(15.0, 100.0))
    assert len(patience.peaks) == 1


def test_no_estimate_while_cold_rather_than_a_wrong_one() -> None:
    days = Days(least_arrivals=40)
    for _ in range(39):
        assert days.first(days.chance.uniform(10.0, 2400.0)).likely == 0.0
    assert days.repeats.tide(days.now).share is None
    assert not days.repeats.tide(days.now).storm


def test_a_storm_that_begins_while_the_estimate_is_cold_is_seen_once_it_is_warm() -> None:
    days = Days()
    days.storm(seconds=5, part=0.6)
    tide = days.repeats.tide(days.now)
    assert tide.storm
    assert tide.share == pytest.approx(0.55, abs=0.12)


def test_a_storm_is_told_and_ends_with_the_repeats() -> None:
    days = Days()
    days.calm()
    assert not days.repeats.tide(days.now).storm
    days.storm()
    assert days.repeats.tide(days.now).storm
    for _ in range(60):
        days.calm(10)
        days.repeats.tide(days.now)
    assert not days.repeats.tide(days.now).storm


def test_one_caller_with_nine_tenths_of_the_traffic_that_repeats_nothing_is_no_storm() -> None:
    days = Days()
    for i in range(2000):
        days.first(1000.0, caller=9 if i % 10 else 1)
        if i % 10 == 0:
            days.repeats.tide(days.now)
    tide = days.repeats.tide(days.now)
    assert not tide.storm and tide.deaf == 0
    assert tide.share is not None and tide.share < 0.02


def test_all_callers_behind_one_number_still_show_a_storm() -> None:
    days = Days()
    days.calm(caller=7)
    days.storm(caller=7)
    assert days.repeats.tide(days.now).storm


def test_repeats_that_meet_each_backend_once_are_seen_by_their_time_left() -> None:
    """No digest ever comes twice here."""
    days = Days()
    days.calm()
    days.storm(part=0.7)
    share = days.repeats.tide(days.now).share
    assert share is not None and share > 0.5


def test_a_repeat_of_what_was_given_up_here_is_known_by_its_likeness_where_no_time_left_is_told() -> None:
    repeats = Repeats([DEADLINE], 1, Bounds(least_arrivals=1), 0.0)
    repeats.arrived(0, 0, 0.5, b"one", 1, None, 0.0, 0.0)
    repeats.answered(0, 0, 0.5, b"one", 1, True, 0.0, None, 10.0)
    assert repeats.arrived(0, 0, 0.5, b"one", 1, None, 20.0, 20.0).likely > 0.9
    assert repeats.arrived(0, 1, 0.5, b"one", 1, None, 21.0, 21.0).likely == 0.0, "another tenant's"
    assert repeats.arrived(0, 0, 0.5, b"two", 1, None, 22.0, 22.0).likely == 0.0


def test_a_popular_subject_is_told_from_repeats() -> None:
    """A coach party asks for one stop; some of it is denied, and the rest keeps coming."""
    repeats = Repeats([DEADLINE], 1, Bounds(least_arrivals=1), 0.0)
    for at in range(20):
        repeats.arrived(0, 0, 0.5, b"stop", at, None, float(at), float(at))
    repeats.answered(0, 0, 0.5, b"stop", 3, True, 0.0, None, 21.0)
    assert repeats.arrived(0, 0, 0.5, b"stop", 30, None, 22.0, 22.0).likely == 0.0


def test_a_flood_of_distinct_digests_shortens_the_memory_and_never_fills_it() -> None:
    given = GivenUp(seed=3, most=1000, span=10_000.0)
    size = given.bytes
    for i in range(50_000):
        given.turn(float(i) * 0.01)
        given.arrived(given.digest(0, 0, 0.5, b"flood %d" % i))
    assert given.bytes == size
    assert given.turned_early > 20
    fresh = given.digest(0, 0, 0.5, b"honest")
    given.arrived(fresh)
    given.gave_up(fresh)
    assert given.arrived(fresh)


def test_digests_depend_on_the_seed() -> None:
    """Guards against bodies made to collide: who does not know the seed cannot make them."""
    assert GivenUp(1, 10, 1.0).digest(0, 0, 0.5, b"x") != GivenUp(2, 10, 1.0).digest(0, 0, 0.5, b"x")


def test_an_hour_of_events_stays_within_the_bound_of_memory() -> None:
    import tracemalloc

    chance = random.Random(6)
    repeats = Repeats([DEADLINE, DEADLINE], 1, Bounds(), 0.0)
    tracemalloc.start()
    now = 0.0
    for i in range(36_000):
        now += 100.0
        body = b"%d" % i
        repeats.arrived(
            i % 2, 0, 0.5, body, chance.randrange(100_000), chance.uniform(10.0, 2400.0), now, now
        )
        repeats.answered(i % 2, 0, 0.5, body, i % 100_000, i % 3 == 0, 100.0, 3.0, now + 1.0)
        repeats.tide(now)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    fixed = repeats.given.bytes + sum(p.bins.itemsize * len(p.bins) for p in repeats.patience)
    assert len(repeats.heeding.told) <= Bounds().callers
    assert peak + fixed < 2_000_000


def test_a_clock_that_steps_back_neither_ends_nor_begins_a_storm() -> None:
    days = Days()
    days.calm()
    days.storm()
    days.now -= 60_000.0
    assert days.repeats.tide(days.now).storm
    days.first(1000.0)
    assert days.repeats.tide(days.now + 100.0).storm


def told(heeding: Heeding, caller: int, now: float, wait: float = 300.0) -> None:
    heeding.arrived(caller, now, now)
    heeding.answered(caller, wait, None, now)


def test_a_caller_that_comes_while_it_was_to_stay_away_counts_as_deaf_and_is_forgiven() -> None:
    heeding = Heeding(10, news=60.0, deaf_from=2.0, half=8000.0)
    for at in range(3):
        told(heeding, 1, at * 1000.0)
        deaf = heeding.arrived(1, at * 1000.0 + 150.0, at * 1000.0 + 160.0)
    assert deaf
    assert not heeding.arrived(1, 40_000.0, 40_000.0)


def test_news_under_way_and_times_that_are_over_are_no_breach() -> None:
    heeding = Heeding(10, news=60.0, deaf_from=2.0, half=8000.0)
    for at in range(20):
        told(heeding, 1, at * 1000.0)
        assert not heeding.arrived(1, at * 1000.0 + 40.0, at * 1000.0 + 400.0), "it was sent before it heard"
        assert not heeding.arrived(1, at * 1000.0 + 320.0, at * 1000.0 + 330.0)
        heeding.left(1, at * 1000.0 + 340.0)
        heeding.left(1, at * 1000.0 + 340.0)


def test_a_caller_whose_quick_repeats_go_on_counts_as_deaf() -> None:
    days = Days()
    days.calm()
    for _ in range(10):
        deaf = days.first(days.chance.uniform(1600.0, 2400.0), caller=5).deaf
    assert deaf
    assert not days.first(1000.0, caller=1).deaf


def test_a_caller_that_waited_in_vain_and_asks_once_more_is_not_deaf() -> None:
    days = Days()
    days.calm()
    for _ in range(20):
        days.first(1000.0, caller=5)
        view = days.first(DEADLINE - 1003.0, caller=5)
    assert view.likely >= 0.9
    assert not view.deaf


def test_callers_are_told_apart_up_to_a_bound() -> None:
    heeding = Heeding(100, news=60.0, deaf_from=2.0, half=8000.0)
    for caller in range(1000):
        told(heeding, caller, float(caller))
    assert len(heeding.told) == 100
    assert 999 in heeding.told and 0 not in heeding.told
