"""The fleet's watcher: what it gathers, the view that it publishes, and what is too old to be one."""

from __future__ import annotations

import math

from myrtlecrank.fleet.monitor.messages import Gauges, Seen, Told, Watched
from myrtlecrank.fleet.monitor.monitor import Watch

MINE, OTHER = Gauges(value=1.0), Gauges(value=2.0, storm=True)


def watch() -> Watch:
    return Watch(1000.0, 4000.0)


def watching(now: float = 0.0, epoch: int = 1) -> tuple[Watch, list[tuple[str, Watched]]]:
    one = watch()
    return one, one.tick(now, epoch, ["a", "b", "c"], "a", MINE)


def test_the_watcher_asks_all_others_and_tells_what_it_has() -> None:
    one, sends = watching()
    assert [to for to, _ in sends] == ["b", "c"]
    assert sends[0][1] == Watched(1, 1, [Seen("a", MINE, 0.0)])
    assert not one.tick(999.0, 1, ["a", "b", "c"], "a", MINE)


def test_one_that_does_not_own_the_duty_says_nothing() -> None:
    assert not watch().tick(5000.0, None, ["a", "b"], "a", MINE)


def test_an_answer_is_as_old_as_its_question() -> None:
    one, _ = watching()
    one.told("b", Told(1, 1, OTHER), 300.0)
    (_, message), *_ = one.tick(1000.0, 1, ["a", "b", "c"], "a", MINE)
    assert message.seen == [Seen("a", MINE, 0.0), Seen("b", OTHER, 1000.0)]


def test_an_answer_to_another_epoch_or_to_no_question_is_left() -> None:
    one, _ = watching()
    one.told("b", Told(2, 1, OTHER), 10.0)
    one.told("b", Told(1, 9, OTHER), 10.0)
    assert list(one.gathered) == ["a"]


def test_a_late_answer_does_not_replace_a_newer_one() -> None:
    one, _ = watching()
    one.tick(1000.0, 1, ["a", "b", "c"], "a", MINE)
    one.told("b", Told(1, 2, OTHER), 1100.0)
    one.told("b", Told(1, 1, MINE), 1200.0)
    assert one.gathered["b"].gauges == OTHER


def test_one_that_left_is_no_longer_told_of() -> None:
    one, _ = watching()
    one.told("b", Told(1, 1, OTHER), 10.0)
    ((_, message),) = one.tick(1000.0, 1, ["a", "c"], "a", MINE)
    assert [seen.member for seen in message.seen] == ["a"]


def test_a_new_watcher_begins_with_nothing() -> None:
    one, _ = watching()
    one.told("b", Told(1, 1, OTHER), 10.0)
    one.tick(2000.0, None, ["a", "b"], "a", MINE)
    ((_, message),) = one.tick(2100.0, 5, ["a", "b"], "a", MINE)
    assert message == Watched(5, 1, [Seen("a", MINE, 0.0)])


def test_a_view_is_answered_with_ones_own_gauges_and_ages_here() -> None:
    one = watch()
    assert one.hear(Watched(3, 7, [Seen("b", OTHER, 500.0)]), MINE, 100.0) == Told(3, 7, MINE)
    known = one.now_known(300.0)
    assert known is not None and (known[0].member, known[0].age) == ("b", 700.0)


def test_an_older_epoch_is_refused_and_so_is_a_view_that_was_overtaken() -> None:
    one = watch()
    one.hear(Watched(3, 7, []), MINE, 0.0)
    assert one.hear(Watched(2, 99, [Seen("b", OTHER, 0.0)]), MINE, 1.0) is None
    assert one.hear(Watched(3, 7, [Seen("b", OTHER, 0.0)]), MINE, 2.0) is None
    assert one.now_known(3.0) == []
    assert one.hear(Watched(4, 1, []), MINE, 4.0) is not None


def test_a_view_that_is_too_old_is_unknown_and_so_is_one_member_in_it() -> None:
    one = watch()
    assert one.now_known(0.0) is None
    one.hear(Watched(1, 1, [Seen("b", OTHER, 3000.0), Seen("c", OTHER, 0.0)]), MINE, 0.0)
    known = one.now_known(1000.0)
    assert known is not None and [k.member for k in known] == ["c"]
    assert one.now_known(4000.0) is None


def test_an_age_that_makes_no_sense_is_never_newer_than_now() -> None:
    one = watch()
    one.hear(Watched(1, 1, [Seen("b", OTHER, -5000.0), Seen("c", OTHER, math.nan)]), MINE, 0.0)
    known = one.now_known(10.0)
    assert known is not None and [(k.member, k.age) for k in known] == [("b", 10.0)]
