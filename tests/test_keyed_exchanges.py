"""Deduplicated exchanges: one run within the window whatever becomes of the first try, and no answer for
those that use the key of another."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import Play, arrival, backend, group, of

from myrtlecrank.core import actor
from myrtlecrank.core.connection_errors import End
from myrtlecrank.core.messages import (
    CallersLeft,
    Freeze,
    Greeted,
    Launch,
    Parted,
    RunEnded,
    Sample,
    Sampled,
    Verdict,
)
from myrtlecrank.policy import interface
from myrtlecrank.policy.interface import Gauges, Kind, Outcome


def keyed(**others: Any) -> Play:
    return Play(group(Kind.DEDUPLICATED, deduplication_window=5000.0), **({"idle": 30_000.0} | others))


def verdicts(play: Play) -> list[tuple[str, Verdict, bytes]]:
    return [(a.ticket.ident, a.verdict, a.result) for a in play.answers]


def launched(play: Play) -> list[str]:
    return [command.ident for command in play.commands(Launch)]


def test_a_repeat_takes_the_outcome_of_the_first_try_while_it_runs_and_after() -> None:
    play = keyed()
    play.ask("aa", 0.0, about="k")
    play.ask("bb", 10.0, about="k")
    play.turn(50.0, RunEnded("aa", Outcome.OK, 50.0, b"r"))
    play.ask("cc", 3000.0, about="k")
    play.turn(3001.0)
    assert launched(play) == ["aa"]
    assert verdicts(play) == [(i, Verdict.COMPLETED, b"r") for i in ("aa", "bb", "cc")]


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.CANCELLED])
def test_what_ran_without_success_is_not_run_again_and_never_denied(outcome: Outcome) -> None:
    play = keyed()
    play.ask("aa", 0.0, about="k")
    play.turn(50.0, RunEnded("aa", outcome, 50.0, b""))
    play.ask("bb", 60.0, about="k")
    play.turn(61.0)
    assert launched(play) == ["aa"] and [v for _, v, _ in verdicts(play)] == [Verdict.TERMINATED] * 2


def test_a_repeat_that_comes_as_its_first_try_loses_its_caller_waits_for_the_run() -> None:
    """The connection breaks under the run, and the repeat is in the same batch."""
    play = keyed()
    first = play.ask("aa", 0.0, about="k")
    play.turn(9.0, CallersLeft([first]))
    play.ask("bb", 9.0, about="k")
    assert not play.commands(Freeze)
    play.turn(50.0, RunEnded("aa", Outcome.OK, 50.0, b"r"))
    assert launched(play) == ["aa"] and verdicts(play) == [("bb", Verdict.COMPLETED, b"r")]


def test_a_launch_that_may_be_lost_with_its_link_is_not_made_again_for_the_repeat() -> None:
    play = keyed()
    play.ask("aa", 0.0, about="k", wait=1000.0)
    play.turn(5.0, Parted(End.RESET))
    play.turn(10.0, Greeted(False, 10.0))
    play.turn(11.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    play.ask("bb", 20.0, about="k", wait=1000.0)
    for now in range(30, 1500, 10):
        play.turn(float(now))
        if play.commands(Sample):
            play.turn(now + 1.0, Sampled(play.commands(Sample)[-1].tag, Gauges()))
    assert launched(play) == ["aa"] and [v for _, v, _ in verdicts(play)] == [Verdict.TERMINATED] * 2
    assert not play.core.table and play.core.unanswered == 0 and not play.core.doubted


@pytest.mark.parametrize("how", ["denied", "left", "refused"])
def test_what_never_ran_stands_in_no_repeats_way(how: str) -> None:
    play = keyed(cores=1, survivable_concurrency_per_core=1.0)
    if how != "refused":
        play.ask("zz", 0.0, about="other")  # the only one that may run
    first = play.ask("aa", 1.0, about="k", wait=300.0)
    if how == "left":
        play.turn(2.0, CallersLeft([first]))
    elif how == "denied":
        play.ask("bb", 2.0, about="k")
        play.turn(400.0)
        play.turn(401.0)
        # The one that waited for it is answered at once, and not when its own time is up.
        assert [i for i, _, _ in verdicts(play)] == ["aa", "bb"]
    else:
        play.turn(2.0, RunEnded("aa", Outcome.MOOT, 0.0, b"", refused=True))
    play.turn(450.0, RunEnded("zz", Outcome.OK, 50.0, b""))
    play.ask("cc", 500.0, about="k")
    assert launched(play)[-1] == "cc"


def test_a_repeat_that_came_within_the_window_and_is_read_after_it_is_known() -> None:
    play = keyed()
    play.ask("aa", 0.0, about="k")
    play.turn(50.0, RunEnded("aa", Outcome.OK, 50.0, b"r"))
    for now in range(100, 5600, 100):
        play.turn(float(now))
    play.ask("bb", 5600.0, about="k", reached=4990.0)
    play.turn(5601.0)
    assert launched(play) == ["aa"] and verdicts(play)[-1] == ("bb", Verdict.COMPLETED, b"r")
    play.ask("cc", 5610.0, about="k")
    assert launched(play) == ["aa", "cc"]


def test_one_that_uses_the_key_of_another_gets_nothing_of_its_run() -> None:
    play = keyed()
    play.ask("aa", 0.0, about="k")
    play.ask("ff", 1.0, about="k", body=b"forged")
    play.turn(50.0, RunEnded("aa", Outcome.OK, 50.0, b"r"))
    play.ask("fe", 60.0, about="k", body=b"forged")
    play.turn(61.0)
    assert launched(play) == ["aa"]
    assert verdicts(play) == [
        ("aa", Verdict.COMPLETED, b"r"),
        ("ff", Verdict.TERMINATED, b""),
        ("fe", Verdict.TERMINATED, b""),
    ]


def test_one_that_used_a_key_before_its_owner_costs_the_owner_nothing() -> None:
    play = keyed()
    play.ask("ff", 0.0, about="k", body=b"forged")
    play.ask("aa", 1.0, about="k")
    play.turn(5.0, RunEnded("ff", Outcome.MOOT, 0.0, b"", refused=True))
    play.turn(6.0)
    play.turn(50.0, RunEnded("aa", Outcome.OK, 50.0, b"r"))
    assert launched(play) == ["ff", "aa"] and verdicts(play)[-1] == ("aa", Verdict.COMPLETED, b"r")


def test_when_results_fill_their_room_the_keys_stay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(actor, "KEPT_BYTES", 2 * actor.RESULT_AT_MOST)
    play = keyed()
    for i in range(4):
        play.ask(f"a{i}", float(i), about=f"k{i}")
        play.turn(i + 0.5, RunEnded(f"a{i}", Outcome.OK, 1.0, b"r"))
    play.ask("bb", 10.0, about="k0")
    play.ask("cc", 10.0, about="k3")
    play.turn(11.0)
    assert len(launched(play)) == 4 and len(play.core.kept) == 4
    assert verdicts(play)[-2:] == [("bb", Verdict.TERMINATED, b""), ("cc", Verdict.COMPLETED, b"r")]
    assert play.core.kept_bytes == 2 * actor.RESULT_AT_MOST
    for now in range(100, 9600, 100):
        play.turn(float(now))
    assert not play.core.kept and not play.core.heavy and play.core.kept_bytes == 0


def test_the_room_of_a_key_that_never_ran_is_free_at_once_and_given_back_once() -> None:
    controller, ops = backend(group(Kind.DEDUPLICATED, deduplication_window=5000.0), key_kb=100.0)
    ex = arrival()
    controller.arrived(ex, 0.0)
    controller.settle(0.0)
    assert controller.used_kb == 200.0  # running and its key
    controller.finished(ex, Outcome.MOOT, 0.0, 1.0)
    assert controller.used_kb == 0.0 and of(ops, interface.Retain)
    controller.settle(6000.0)
    assert controller.used_kb == 0.0
