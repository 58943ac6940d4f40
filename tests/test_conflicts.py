"""Requests with the identifier or the key of another: each wait ends by the waiter's own due time, and what
one connection may let wait is bounded."""

from __future__ import annotations

import random
from typing import Any

import pytest
from helpers import CoreHarness, group

from myrtlecrank.core.messages import (
    ExchangeArrived,
    ExchangeRequest,
    ExchangesAbandoned,
    GaugesSampled,
    RunEnded,
    SampleGauges,
    StartRun,
    Verdict,
)
from myrtlecrank.policy.interface import EffectKind, Gauges, Outcome

ANSWER_SLACK_MS = 60.0
ROUND_MS = 10.0


def busy_harness(kind: EffectKind = EffectKind.REPEATABLE) -> CoreHarness:
    """A core whose only core is at work for long."""
    harness = CoreHarness(
        group(kind, deduplication_window=5000.0), cores=1, survivable_concurrency_per_core=1.0
    )
    harness.submit("running", 0.0, result_key="running", caller_timeout=9000.0)
    return harness


@pytest.mark.parametrize("wait_ms", [20.0, 250.0, 400.0, 600.0, 850.0])
@pytest.mark.parametrize("is_key", [True, False])
def test_a_conflicting_request_is_answered_by_its_own_due_time(wait_ms: float, is_key: bool) -> None:
    """Guards against a second of waiting behind a bad copy, whatever is left of the waiter's own time."""
    harness = busy_harness(EffectKind.DEDUPLICATED)
    harness.submit("bad", 1.0, result_key="k", body=b"forged", caller_timeout=3000.0)
    identifier = "good" if is_key else "bad"
    request = harness.submit(identifier, 100.0, result_key="k", caller_timeout=wait_ms)
    now = 100.0
    while not any(answer.request is request for answer in harness.answers):
        now += ROUND_MS
        assert now < 100.0 + wait_ms + ANSWER_SLACK_MS
        harness.process_batch(now)


def test_a_request_that_waits_for_one_after_another_waits_a_second_in_all() -> None:
    """Guards against a wait that begins anew with each exchange before the waiting one."""
    harness = busy_harness()
    holders = [harness.submit("aa", float(number), body=b"%d" % number) for number in range(8)]
    last = harness.submit("aa", 10.0)
    for number, holder in enumerate(holders):
        harness.process_batch(200.0 * (number + 1), ExchangesAbandoned([holder]))
    answered = [answer.request for answer in harness.answers]
    assert last in answered and harness.core.now < 2000.0


@pytest.mark.parametrize("seed", range(10))
def test_every_request_is_answered_in_its_time_whoever_it_waits_for(seed: int) -> None:
    """Drawn requests with few identifiers and keys; the agent refuses, runs or holds what is launched."""
    chance = random.Random(seed)
    harness = CoreHarness(
        group(EffectKind.REPEATABLE),
        group(EffectKind.DEDUPLICATED, deduplication_window=1000.0),
        group(EffectKind.MUTATING),
        cores=2,
    )
    answered_at: dict[ExchangeRequest, float] = {}
    handled_at: dict[ExchangeRequest, float] = {}
    connections = [object() for _ in range(6)]
    started = 0
    now = 0.0
    while now < 8000.0:
        now += ROUND_MS
        events: list[Any] = []
        for _ in range(chance.randint(0, 3) if now < 5000.0 else 0):
            request = ExchangeRequest(
                exchange_id=f"i{chance.randrange(12)}",
                group=chance.randrange(3),
                tenant=0,
                arrived_at=now - chance.uniform(0.0, 50.0),
                caller_timeout=chance.choice([30.0, 200.0, 600.0, 1500.0]),
                kb=10.0,
                rank=0.0,
                caller=chance.randrange(4),
                result_key=f"k{chance.randrange(6)}",
                body=chance.choice([b"genuine", b"forged"]),
                send_answer=lambda answer: answered_at.setdefault(answer.request, harness.core.now),
                connection=chance.choice(connections),
            )
            handled_at[request] = now
            events.append(ExchangeArrived(request))
        for command in harness.commands(StartRun)[started:]:
            if command.body == b"forged":
                events.append(RunEnded(command.exchange_id, Outcome.NOT_STARTED, 0.0, b"", refused=True))
            elif chance.random() < 0.8:
                events.append(RunEnded(command.exchange_id, Outcome.OK, 5.0, b"r"))
        started = len(harness.commands(StartRun))
        if samples := harness.commands(SampleGauges):
            events.append(GaugesSampled(samples[-1].tag, Gauges()))
        harness.process_batch(now, *events)
        waiting = harness.core.conflicts.waiting.values()
        assert all(len(one) <= len(connections) for one in waiting)
    assert len(answered_at) == len(handled_at)
    for request, handled in handled_at.items():
        assert request.caller_timeout is not None
        due = request.arrived_at + request.caller_timeout
        assert answered_at[request] <= max(due, handled)  # what comes too late is answered at once
    assert not harness.core.conflicts.awaited


def test_a_connection_lets_one_request_wait_for_an_exchange() -> None:
    """Guards against one client that fills the memory, and the time of each end, with copies."""
    harness = busy_harness()
    harness.submit("aa", 1.0, body=b"first")
    connection = object()
    copies = [harness.submit("aa", 2.0, connection=connection) for _ in range(100)]
    other = harness.submit("aa", 3.0, connection=object())
    assert len(harness.core.conflicts.awaited) == 2
    assert [answer.request for answer in harness.answers] == copies[:-1]
    assert all(answer.verdict is Verdict.TERMINATED for answer in harness.answers)
    assert other in harness.core.conflicts.awaited
    assert len(harness.core.timers.heap) < 80  # those of the replaced ones are gone before they are due


def test_a_request_whose_caller_left_between_two_exchanges_is_not_taken_in() -> None:
    """Guards against a run for a caller that left in the batch in which its wait for another ended."""
    harness = busy_harness()
    harness.submit("aa", 1.0, caller_timeout=500.0)
    waiting = harness.submit("aa", 2.0, caller_timeout=4000.0)
    entry = harness.core.entries_by_id["aa"]
    harness.core.conflicts.release(entry)  # as when the controller ends the exchange in settle()
    harness.core._add_timer(3.0, lambda: harness.core._readmit(waiting))
    harness.process_batch(3.0, ExchangesAbandoned([waiting]))
    assert waiting not in [other.request for other in harness.core.entries_by_id.values()]
    harness.process_batch(500.0)
    assert "aa" not in harness.core.entries_by_id
