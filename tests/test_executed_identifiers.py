"""Identifiers of mutating exchanges that come again after their client has left."""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket
from helpers import CoreHarness, group

from myrtlecrank.core.executed_identifiers import ExecutedIdentifiers
from myrtlecrank.core.messages import (
    ExchangesAbandoned,
    GaugesSampled,
    RunEnded,
    SampleGauges,
    StartRun,
    Verdict,
)
from myrtlecrank.policy.interface import EffectKind, Gauges, Outcome
from rig.processes.caller_protocol import frame
from rig.processes.flood_client import fields_of
from rig.processes.flood_play import REQUEST, Backend

SEED = 5
LEAVING_CLIENTS = 5
REQUESTS_PER_CLIENT = 32


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.ERROR, Outcome.CANCELLED])
@pytest.mark.parametrize("kind", list(EffectKind))
def test_an_identifier_of_a_mutating_exchange_that_ran_never_runs_again(
    kind: EffectKind, outcome: Outcome
) -> None:
    """Guards against an effect that comes twice, as its client left and the identifier came again."""
    harness = CoreHarness(group(kind))
    first = harness.submit("aa", 0.0, result_key="k1")
    harness.process_batch(5.0, ExchangesAbandoned([first]))
    harness.process_batch(300.0, RunEnded("aa", outcome, 300.0, b""))
    again = harness.submit("aa", 400.0, result_key="k2")
    runs = [command.exchange_id for command in harness.commands(StartRun)]
    if kind is EffectKind.MUTATING:
        assert runs == ["aa"] and [(a.request, a.verdict) for a in harness.answers] == [
            (again, Verdict.TERMINATED)
        ]
    else:
        assert runs == ["aa", "aa"]


def test_an_identifier_that_never_ran_may_run_later() -> None:
    harness = CoreHarness(group(EffectKind.MUTATING))
    harness.submit("aa", 0.0)
    harness.process_batch(5.0, RunEnded("aa", Outcome.NOT_STARTED, 0.0, b"", refused=True))
    harness.submit("aa", 10.0)
    assert len(harness.commands(StartRun)) == 2


@pytest.mark.parametrize("seed", range(5))
def test_no_mutating_identifier_runs_twice_however_clients_come_and_go(seed: int) -> None:
    chance = random.Random(seed)
    harness = CoreHarness(group(EffectKind.MUTATING), cores=2)
    ran: list[str] = []
    running: list[str] = []
    started = 0
    now = 0.0
    while now < 6000.0:
        now += 10.0
        events: list[Any] = []
        for identifier in [one for one in running if chance.random() < 0.2]:
            running.remove(identifier)
            events.append(RunEnded(identifier, chance.choice([Outcome.OK, Outcome.ERROR]), 10.0, b""))
        harness.process_batch(now, *events)
        if samples := harness.commands(SampleGauges):
            harness.process_batch(now, GaugesSampled(samples[-1].tag, Gauges()))
        request = harness.submit(
            f"i{chance.randrange(40)}", now, caller_timeout=chance.choice([300.0, 2000.0])
        )
        if chance.random() < 0.5:
            harness.process_batch(now, ExchangesAbandoned([request]))
        commands = harness.commands(StartRun)
        running += [command.exchange_id for command in commands[started:]]
        ran += [command.exchange_id for command in commands[started:]]
        started = len(commands)
    assert len(ran) == len(set(ran)) > 10


def test_the_memory_of_identifiers_is_bounded() -> None:
    identifiers = ExecutedIdentifiers(100)
    for number in range(1000):
        identifiers.add(f"{number:016x}")
    assert len(identifiers.identifiers) == 100 and f"{999:016x}" in identifiers


def test_identifiers_of_clients_that_left_run_once_on_a_real_backend(tmp_path: Path) -> None:
    """Clients leave while their mutating exchanges run; the identifiers come again on a new connection."""
    categories = [
        {"name": "page", "effect": "non_idempotent", "aim": 600_000, "deadline": 1_500_000, "worth": 1.0}
    ]
    backend = Backend(tmp_path, settings={"categories": categories})
    backend.agent.run_s = 0.3
    chance = random.Random(SEED)
    try:
        requests = [
            [fields_of(chance, f=str(client)) for _ in range(REQUESTS_PER_CLIENT)]
            for client in range(LEAVING_CLIENTS)
        ]
        backend.agent.known |= {fields["i"] for batch in requests for fields in batch}
        for pause_s in (0.15, 2.0):
            sockets = [socket.create_connection(backend.address) for _ in requests]
            for sock, batch in zip(sockets, requests, strict=True):
                arrived = {"s": str(int(time.time() * 1000))}
                frames = [
                    frame(REQUEST, stream, fields | arrived, b"x") for stream, fields in enumerate(batch, 1)
                ]
                sock.sendall(b"".join(frames))
            gevent.sleep(pause_s)
            for sock in sockets:
                sock.close()
            gevent.sleep(0.5)
        started = backend.agent.started
        assert len(started) == len(set(started)) > 0
    finally:
        backend.close()
