"""Deduplicated exchanges: one run within the window whatever becomes of the first try, and no result for
requests that use the key of another."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import CoreHarness, arrival, group, new_controller, operations_of

from myrtlecrank.core import result_cache
from myrtlecrank.core.connection_errors import CloseReason
from myrtlecrank.core.messages import (
    AgentConnected,
    AgentDisconnected,
    CancelRun,
    ExchangesAbandoned,
    GaugesSampled,
    RunEnded,
    SampleGauges,
    StartRun,
    Verdict,
)
from myrtlecrank.policy import interface
from myrtlecrank.policy.interface import EffectKind, Gauges, Outcome


def keyed(**others: Any) -> CoreHarness:
    """A core actor with one deduplicated endpoint group."""
    return CoreHarness(
        group(EffectKind.DEDUPLICATED, deduplication_window=5000.0), **({"idle_timeout": 30_000.0} | others)
    )


def verdicts(harness: CoreHarness) -> list[tuple[str, Verdict, bytes]]:
    return [(a.request.exchange_id, a.verdict, a.result) for a in harness.answers]


def launched(harness: CoreHarness) -> list[str]:
    return [command.exchange_id for command in harness.commands(StartRun)]


def test_a_retry_shares_the_outcome_of_the_first_try_during_its_run_and_after() -> None:
    harness = keyed()
    harness.submit("aa", 0.0, result_key="k")
    harness.submit("bb", 10.0, result_key="k")
    harness.process_batch(50.0, RunEnded("aa", Outcome.OK, 50.0, b"r"))
    harness.submit("cc", 3000.0, result_key="k")
    harness.process_batch(3001.0)
    assert launched(harness) == ["aa"]
    assert verdicts(harness) == [(i, Verdict.COMPLETED, b"r") for i in ("aa", "bb", "cc")]


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.CANCELLED])
def test_a_failed_run_is_not_repeated_and_its_retry_is_never_denied(outcome: Outcome) -> None:
    harness = keyed()
    harness.submit("aa", 0.0, result_key="k")
    harness.process_batch(50.0, RunEnded("aa", outcome, 50.0, b""))
    harness.submit("bb", 60.0, result_key="k")
    harness.process_batch(61.0)
    assert launched(harness) == ["aa"] and [v for _, v, _ in verdicts(harness)] == [Verdict.TERMINATED] * 2


def test_a_retry_in_the_batch_that_abandons_its_first_try_waits_for_the_run() -> None:
    """The caller's connection breaks during the run, and its retry arrives at once."""
    harness = keyed()
    first = harness.submit("aa", 0.0, result_key="k")
    harness.process_batch(9.0, ExchangesAbandoned([first]))
    harness.submit("bb", 9.0, result_key="k")
    assert not harness.commands(CancelRun)
    harness.process_batch(50.0, RunEnded("aa", Outcome.OK, 50.0, b"r"))
    assert launched(harness) == ["aa"] and verdicts(harness) == [("bb", Verdict.COMPLETED, b"r")]


def test_a_start_command_with_unknown_outcome_is_not_sent_again_for_a_retry() -> None:
    harness = keyed()
    harness.submit("aa", 0.0, result_key="k", caller_timeout=1000.0)
    harness.process_batch(5.0, AgentDisconnected(CloseReason.RESET_BY_PEER))
    harness.process_batch(10.0, AgentConnected(False, 10.0))
    harness.process_batch(11.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    harness.submit("bb", 20.0, result_key="k", caller_timeout=1000.0)
    for now in range(30, 1500, 10):
        harness.process_batch(float(now))
        if harness.commands(SampleGauges):
            harness.process_batch(now + 1.0, GaugesSampled(harness.commands(SampleGauges)[-1].tag, Gauges()))
    assert launched(harness) == ["aa"] and [v for _, v, _ in verdicts(harness)] == [Verdict.TERMINATED] * 2
    assert (
        not harness.core.entries_by_id and harness.core.unanswered == 0 and not harness.core.entries_in_doubt
    )


@pytest.mark.parametrize("how", ["denied", "left", "refused"])
def test_a_first_try_that_never_ran_does_not_block_its_retry(how: str) -> None:
    harness = keyed(cores=1, survivable_concurrency_per_core=1.0)
    if how != "refused":
        harness.submit("zz", 0.0, result_key="other")  # takes all capacity
    first = harness.submit("aa", 1.0, result_key="k", caller_timeout=300.0)
    if how == "left":
        harness.process_batch(2.0, ExchangesAbandoned([first]))
    elif how == "denied":
        harness.submit("bb", 2.0, result_key="k")
        harness.process_batch(400.0)
        harness.process_batch(401.0)
        # The retry that waited for it is answered at once, and not at the end of its own time.
        assert [i for i, _, _ in verdicts(harness)] == ["aa", "bb"]
    else:
        harness.process_batch(2.0, RunEnded("aa", Outcome.NOT_STARTED, 0.0, b"", refused=True))
    harness.process_batch(450.0, RunEnded("zz", Outcome.OK, 50.0, b""))
    harness.submit("cc", 500.0, result_key="k")
    assert launched(harness)[-1] == "cc"


def test_a_retry_that_arrives_within_the_window_and_is_handled_after_it_is_recognised() -> None:
    harness = keyed()
    harness.submit("aa", 0.0, result_key="k")
    harness.process_batch(50.0, RunEnded("aa", Outcome.OK, 50.0, b"r"))
    for now in range(100, 5600, 100):
        harness.process_batch(float(now))
    harness.submit("bb", 5600.0, result_key="k", arrived_at=4990.0)
    harness.process_batch(5601.0)
    assert launched(harness) == ["aa"] and verdicts(harness)[-1] == ("bb", Verdict.COMPLETED, b"r")
    harness.submit("cc", 5610.0, result_key="k")
    assert launched(harness) == ["aa", "cc"]


def test_a_request_with_the_key_of_another_gets_no_result() -> None:
    harness = keyed()
    harness.submit("aa", 0.0, result_key="k")
    harness.submit("ff", 1.0, result_key="k", body=b"forged")
    harness.process_batch(50.0, RunEnded("aa", Outcome.OK, 50.0, b"r"))
    harness.submit("fe", 60.0, result_key="k", body=b"forged")
    harness.process_batch(61.0)
    assert launched(harness) == ["aa"]
    assert verdicts(harness) == [
        ("aa", Verdict.COMPLETED, b"r"),
        ("ff", Verdict.TERMINATED, b""),
        ("fe", Verdict.TERMINATED, b""),
    ]


def test_a_request_that_uses_a_key_before_its_owner_does_not_harm_the_owner() -> None:
    harness = keyed()
    harness.submit("ff", 0.0, result_key="k", body=b"forged")
    harness.submit("aa", 1.0, result_key="k")
    harness.process_batch(5.0, RunEnded("ff", Outcome.NOT_STARTED, 0.0, b"", refused=True))
    harness.process_batch(6.0)
    harness.process_batch(50.0, RunEnded("aa", Outcome.OK, 50.0, b"r"))
    assert launched(harness) == ["ff", "aa"] and verdicts(harness)[-1] == ("aa", Verdict.COMPLETED, b"r")


def test_when_the_cache_is_full_results_are_evicted_but_keys_stay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(result_cache, "CACHE_MAX_BYTES", 2 * result_cache.RESULT_MAX_BYTES)
    harness = keyed()
    for i in range(4):
        harness.submit(f"a{i}", float(i), result_key=f"k{i}")
        harness.process_batch(i + 0.5, RunEnded(f"a{i}", Outcome.OK, 1.0, b"r"))
    harness.submit("bb", 10.0, result_key="k0")
    harness.submit("cc", 10.0, result_key="k3")
    harness.process_batch(11.0)
    assert len(launched(harness)) == 4 and len(harness.core.cache.entries) == 4
    assert verdicts(harness)[-2:] == [("bb", Verdict.TERMINATED, b""), ("cc", Verdict.COMPLETED, b"r")]
    assert harness.core.cache.size_bytes == 2 * result_cache.RESULT_MAX_BYTES
    for now in range(100, 9600, 100):
        harness.process_batch(float(now))
    assert (
        not harness.core.cache.entries
        and not harness.core.cache.with_result
        and harness.core.cache.size_bytes == 0
    )


def test_the_memory_of_a_key_that_never_ran_is_freed_at_once_and_only_once() -> None:
    controller, ops = new_controller(
        group(EffectKind.DEDUPLICATED, deduplication_window=5000.0), key_kb=100.0
    )
    exchange = arrival()
    controller.arrived(exchange, 0.0)
    controller.settle(0.0)
    assert controller.used_kb == 200.0  # the run and its key
    controller.run_ended(exchange, Outcome.NOT_STARTED, 0.0, 1.0)
    assert controller.used_kb == 0.0 and operations_of(ops, interface.CacheResult)
    controller.settle(6000.0)
    assert controller.used_kb == 0.0
