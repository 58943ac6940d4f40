"""Deduplicated exchanges: one run within the window whatever becomes of the first try, and no result for
requests that use the key of another."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import Play, arrival, backend, group, of

from myrtlecrank.core import result_cache
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
    """A core actor with one deduplicated endpoint group."""
    return Play(group(Kind.DEDUPLICATED, deduplication_window=5000.0), **({"idle": 30_000.0} | others))


def verdicts(play: Play) -> list[tuple[str, Verdict, bytes]]:
    return [(a.ticket.ident, a.verdict, a.result) for a in play.answers]


def launched(play: Play) -> list[str]:
    return [command.ident for command in play.commands(Launch)]


def test_a_retry_shares_the_outcome_of_the_first_try_during_its_run_and_after() -> None:
    play = keyed()
    play.ask("aa", 0.0, about="k")
    play.ask("bb", 10.0, about="k")
    play.turn(50.0, RunEnded("aa", Outcome.OK, 50.0, b"r"))
    play.ask("cc", 3000.0, about="k")
    play.turn(3001.0)
    assert launched(play) == ["aa"]
    assert verdicts(play) == [(i, Verdict.COMPLETED, b"r") for i in ("aa", "bb", "cc")]


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.CANCELLED])
def test_a_failed_run_is_not_repeated_and_its_retry_is_never_denied(outcome: Outcome) -> None:
    play = keyed()
    play.ask("aa", 0.0, about="k")
    play.turn(50.0, RunEnded("aa", outcome, 50.0, b""))
    play.ask("bb", 60.0, about="k")
    play.turn(61.0)
    assert launched(play) == ["aa"] and [v for _, v, _ in verdicts(play)] == [Verdict.TERMINATED] * 2


def test_a_retry_in_the_batch_that_abandons_its_first_try_waits_for_the_run() -> None:
    """The caller's connection breaks during the run, and its retry arrives at once."""
    play = keyed()
    first = play.ask("aa", 0.0, about="k")
    play.turn(9.0, CallersLeft([first]))
    play.ask("bb", 9.0, about="k")
    assert not play.commands(Freeze)
    play.turn(50.0, RunEnded("aa", Outcome.OK, 50.0, b"r"))
    assert launched(play) == ["aa"] and verdicts(play) == [("bb", Verdict.COMPLETED, b"r")]


def test_a_start_command_with_unknown_outcome_is_not_sent_again_for_a_retry() -> None:
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
    assert not play.core.entries_by_id and play.core.unanswered == 0 and not play.core.entries_in_doubt


@pytest.mark.parametrize("how", ["denied", "left", "refused"])
def test_a_first_try_that_never_ran_does_not_block_its_retry(how: str) -> None:
    play = keyed(cores=1, survivable_concurrency_per_core=1.0)
    if how != "refused":
        play.ask("zz", 0.0, about="other")  # takes all capacity
    first = play.ask("aa", 1.0, about="k", wait=300.0)
    if how == "left":
        play.turn(2.0, CallersLeft([first]))
    elif how == "denied":
        play.ask("bb", 2.0, about="k")
        play.turn(400.0)
        play.turn(401.0)
        # The retry that waited for it is answered at once, and not at the end of its own time.
        assert [i for i, _, _ in verdicts(play)] == ["aa", "bb"]
    else:
        play.turn(2.0, RunEnded("aa", Outcome.MOOT, 0.0, b"", refused=True))
    play.turn(450.0, RunEnded("zz", Outcome.OK, 50.0, b""))
    play.ask("cc", 500.0, about="k")
    assert launched(play)[-1] == "cc"


def test_a_retry_that_arrives_within_the_window_and_is_handled_after_it_is_recognised() -> None:
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


def test_a_request_with_the_key_of_another_gets_no_result() -> None:
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


def test_a_request_that_uses_a_key_before_its_owner_does_not_harm_the_owner() -> None:
    play = keyed()
    play.ask("ff", 0.0, about="k", body=b"forged")
    play.ask("aa", 1.0, about="k")
    play.turn(5.0, RunEnded("ff", Outcome.MOOT, 0.0, b"", refused=True))
    play.turn(6.0)
    play.turn(50.0, RunEnded("aa", Outcome.OK, 50.0, b"r"))
    assert launched(play) == ["ff", "aa"] and verdicts(play)[-1] == ("aa", Verdict.COMPLETED, b"r")


def test_when_the_cache_is_full_results_are_evicted_but_keys_stay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(result_cache, "CACHE_MAX_BYTES", 2 * result_cache.RESULT_MAX_BYTES)
    play = keyed()
    for i in range(4):
        play.ask(f"a{i}", float(i), about=f"k{i}")
        play.turn(i + 0.5, RunEnded(f"a{i}", Outcome.OK, 1.0, b"r"))
    play.ask("bb", 10.0, about="k0")
    play.ask("cc", 10.0, about="k3")
    play.turn(11.0)
    assert len(launched(play)) == 4 and len(play.core.cache.entries) == 4
    assert verdicts(play)[-2:] == [("bb", Verdict.TERMINATED, b""), ("cc", Verdict.COMPLETED, b"r")]
    assert play.core.cache.size_bytes == 2 * result_cache.RESULT_MAX_BYTES
    for now in range(100, 9600, 100):
        play.turn(float(now))
    assert not play.core.cache.entries and not play.core.cache.with_result and play.core.cache.size_bytes == 0


def test_the_memory_of_a_key_that_never_ran_is_freed_at_once_and_only_once() -> None:
    controller, ops = backend(group(Kind.DEDUPLICATED, deduplication_window=5000.0), key_kb=100.0)
    exchange = arrival()
    controller.arrived(exchange, 0.0)
    controller.settle(0.0)
    assert controller.used_kb == 200.0  # the run and its key
    controller.finished(exchange, Outcome.MOOT, 0.0, 1.0)
    assert controller.used_kb == 0.0 and of(ops, interface.Retain)
    controller.settle(6000.0)
    assert controller.used_kb == 0.0
